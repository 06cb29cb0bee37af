// Package exchange carries one request of a caller to backend servers and the
// answer back. It decides where a request goes, when it is sent once more, when
// a stream goes on elsewhere, and what a caller is told when nothing more can
// be done. It speaks to callers and backend servers through ports and knows no
// protocol.
package exchange

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/promptcache"
	"github.com/pearyard/pearyard/site"
	"github.com/pearyard/pearyard/types"
)

// Request is one request of a caller.
type Request struct {
	ID     string // of the caller's attempt; backend servers echo it
	Method string
	Target string // path and query as they came
	Host   string
	Header http.Header // to be passed on; nothing in it is the caller's to forge
	Body   []byte

	Arrived      time.Time // steady
	Until        time.Time // when the caller stops waiting or the route's time is up
	UntilBy      EndedBy   // whose time Until is; empty: the caller's
	Route        *site.Route
	Service      string
	Organisation string // empty without keys
	LastEvent    string // event that the caller has already; empty: none
	Version      uint64 // of the configuration that gave the route and the service

	PromptTokens int
	MaxTokens    int
	Prompt       []promptcache.Part // its pieces in order, as far as they are known
}

// Fingerprint names what is asked for: a request that crashes the servers that
// run it comes again with another id, but the same path, organisation and body.
func (r *Request) Fingerprint() types.Fingerprint {
	h := xxhash.New()
	_, _ = h.WriteString(r.Organisation)
	_, _ = h.WriteString("\x00" + r.Method + " " + r.Target + "\x00")
	_, _ = h.Write(r.Body)
	return types.Fingerprint(h.Sum64())
}

// Attempt is one sending of a request to one backend server.
type Attempt struct {
	Request *Request
	Server  *directory.Server
	Left    time.Duration // what the server may take
	After   string        // event after which it is to go on; empty: from the start
	// CopyTo is where the server sends a running copy of the stream's memory.
	CopyTo *directory.Server
	// From is what the server goes on from, in place of reading the prompt; nil: nothing.
	From *Memory
}

// Memory is a copy of a running stream's memory.
type Memory struct {
	At *directory.Server // where the copy lies; only this server can go on from it
	// Source and Handle name a copy that was made by a call; without a handle
	// it is the one that the run itself sends there as it grows.
	Source *directory.Server
	Handle string
}

// Answer is the head of a backend server's answer, and its body.
type Answer struct {
	Status int
	Header http.Header // to be passed on
	Body   Body
}

// Body reads an answer's body. io.EOF means that the answer came whole; any
// other error, or a Close before it, ends the server's work.
type Body interface {
	Read(p []byte) (int, error)
	Close() error
}

// Backend sends attempts. Its errors are *NotRunError and *BrokenError.
type Backend interface {
	Open(ctx context.Context, a *Attempt) (*Answer, error)
	// Copy copies the memory of a running attempt to another server; the run goes on.
	Copy(ctx context.Context, req *Request, from, to *directory.Server) (*Memory, error)
	// Free gives up a copy that was made by a call.
	Free(ctx context.Context, m *Memory) error
	// Probe asks a server for a sign of life, outside its queue. It returns when
	// the process that answered was born (directory.Start), 0 if that did not tell.
	Probe(ctx context.Context, s *directory.Server) (born int64, err error)
	// Kept asks a server which pieces of prompts it keeps.
	Kept(ctx context.Context, s *directory.Server) (promptcache.Contents, error)
}

// Sink takes a stream's answer to the caller.
type Sink interface {
	// Begin sends the head; it is called once.
	Begin(status int, header http.Header) error
	// Event sends one whole event at once.
	Event(raw []byte) error
}
