// Package exchange forwards a caller's request to backend servers and returns the
// response. It decides where a request goes, when it is retried, when a stream resumes
// on another server, and what a caller is told when nothing more can be done. It
// reaches callers and backend servers through interfaces and knows no protocol.
//
// An attempt is one delivery of a request to one server. If the server of a stream's attempt
// sends nothing, the stream is handed over: another server is asked to continue it, and unless
// that refuses, the former attempt is ended. To read a prompt is to compute its KV
// cache (prefill); a server that holds a copy of that cache resumes a stream at once.
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

// Request is a caller's request.
type Request struct {
	ID     string // of the caller's attempt; backend servers echo it
	Method string
	Target string // path and query as received
	Host   string
	Header http.Header // to be forwarded; holds nothing that a caller could forge
	Body   []byte

	Arrived      time.Time // with a monotonic clock reading
	Deadline     time.Time // when the caller stops waiting or the route times out
	DeadlineBy   EndedBy   // whose deadline it is; empty: the caller's
	Route        *site.Route
	Service      string
	Organisation string // empty if no key was needed
	LastEvent    string // id of the last event that the caller has from an earlier request; empty: none
	// Resumes is the id of the caller's attempt that brought the first event of the stream
	// that this request resumes; empty: none is named, or the id is invalid.
	Resumes        string
	ResumesInvalid bool   // an attempt is named, and its id is invalid
	Version        uint64 // of the configuration that the route and the service come from

	// Urgency orders the request among those that compete for the service's servers. It has
	// an effect only if Competition is set.
	Urgency site.Urgency
	// Competition lists the classes of streams that compete for the service's servers; nil:
	// the configuration puts none before another.
	Competition *site.Competition

	PromptTokens int
	MaxTokens    int
	LengthHint   int                // tokens that the caller expects in the response; 0: it says nothing
	Prompt       []promptcache.Part // the parts of the prompt in order, as far as they are known

	sends sends
}

// Fingerprint identifies the content of a request. A request that crashes the servers
// that run it comes back with another id, but with the same method, path, organisation
// and body.
func (r *Request) Fingerprint() types.Fingerprint {
	h := xxhash.New()
	_, _ = h.WriteString(r.Organisation)
	_, _ = h.WriteString("\x00" + r.Method + " " + r.Target + "\x00")
	_, _ = h.Write(r.Body)
	return types.Fingerprint(h.Sum64())
}

// Attempt is one delivery of a request to one backend server.
type Attempt struct {
	Request     *Request
	Server      *directory.Server
	Timeout     time.Duration // how long the server may take
	ResumeAfter string        // id of the event to resume after; empty: from the start
	// CopyTo is where the server sends a running copy of the stream's KV cache; nil:
	// nowhere.
	CopyTo *directory.Server
	// ResumeFrom is the copy to resume from instead of reading the prompt; nil: none.
	ResumeFrom *KVCopy
	// SentBefore is set if the request has been sent to the server before.
	SentBefore bool
	// OnSend, if set, is called just before the first byte is sent; see MarkSent.
	OnSend func()
}

// MarkSent must be called by a Backend just before it sends the request: from then on the
// server may run it.
func (a *Attempt) MarkSent() {
	if a.OnSend != nil {
		a.OnSend()
	}
}

// KVCopy is a copy of a running stream's KV cache.
type KVCopy struct {
	Server *directory.Server // holder of the copy; only this server can resume from it
	// Source and Handle identify a copy made by Backend.Copy. Without a handle it is
	// the one that the run itself sends there as it grows.
	Source *directory.Server
	Handle string
}

// Answer is a backend server's response: its head and its body.
type Answer struct {
	Status int
	Header http.Header // to be forwarded
	Body   Body
}

// Body reads a response body. io.EOF means that the response is complete; any other
// error, or a Close before it, ends the server's work.
type Body interface {
	Read(p []byte) (int, error)
	Close() error
}

// Backend sends attempts to servers. Its errors are *NotRunError and *BrokenError.
type Backend interface {
	Open(ctx context.Context, a *Attempt) (*Answer, error)
	// Copy copies the KV cache of a running attempt to another server. The run
	// continues.
	Copy(ctx context.Context, req *Request, from, to *directory.Server) (*KVCopy, error)
	// Free releases a copy that was made by Copy.
	Free(ctx context.Context, c *KVCopy) error
	// Probe checks that a server is alive, bypassing its queue. It returns the start
	// time of the process that answered (see directory.Start), 0 if the process did not
	// report it.
	Probe(ctx context.Context, s *directory.Server) (born int64, err error)
	// CachedPrompts asks a server which prompt parts it has cached, and how many tokens
	// of each.
	CachedPrompts(ctx context.Context, s *directory.Server) (promptcache.Contents, error)
}

// Sink writes a stream's response to the caller.
type Sink interface {
	// Begin sends the response head. It is called once.
	Begin(status int, header http.Header) error
	// Event sends one complete event immediately.
	Event(raw []byte) error
}
