package peer

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/types"
)

// HeaderStamp is the header of requests and responses that holds the sender's stamp.
const HeaderStamp = "Pearyard-Stamp"

const (
	dialTimeout         = 700 * time.Millisecond
	idleConnTimeout     = 90 * time.Second
	maxIdleConnsPerPeer = 64
	stampFields         = 4 // number of fields of a stamp in its wire form
)

// ErrMalformedStamp is returned for a stamp that ParseStamp can't parse.
var ErrMalformedStamp = errors.New("peer: malformed stamp")

// Identity identifies one run of a process. Address is the address of its peer listener.
type Identity struct {
	ID          types.ProcessID
	Incarnation types.Incarnation
	Address     string
}

// Stamp is what a process reports about itself with every message.
type Stamp struct {
	Identity
	Revision types.Revision
	// AsOf is set for the stamp of a response: the time at which this process began the
	// call, by its own clock. The stamp was written no earlier. It is zero for the stamp of
	// a request, which may have waited here for any length of time.
	AsOf time.Time
}

// String returns the stamp in its wire form.
func (s Stamp) String() string {
	return fmt.Sprintf("%s;%d;%s;%d", s.ID, s.Incarnation, s.Address, s.Revision)
}

// ParseStamp is the inverse of Stamp.String.
func ParseStamp(text string) (Stamp, error) {
	parts := strings.Split(text, ";")
	if len(parts) != stampFields || parts[0] == "" {
		return Stamp{}, ErrMalformedStamp
	}
	incarnation, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return Stamp{}, ErrMalformedStamp
	}
	revision, err := strconv.ParseUint(parts[3], 10, 64)
	if err != nil {
		return Stamp{}, ErrMalformedStamp
	}
	identity := Identity{ID: types.ProcessID(parts[0]), Incarnation: types.Incarnation(incarnation), Address: parts[2]}
	return Stamp{Identity: identity, Revision: types.Revision(revision)}, nil
}

// Options configures a Peer. Revision and OnStamp are called for every message, so they
// must not block.
type Options struct {
	Self     Identity
	Revision func() types.Revision // returns the configuration revision in force here
	OnStamp  func(Stamp)           // receives the stamps of other processes; may be nil
}

// Peer adds stamps to the calls between processes and reads those of others.
type Peer struct {
	opts      Options
	transport *http.Transport
	onStamp   atomic.Pointer[func(Stamp)]
}

// New returns a Peer with its own connection pool.
func New(opts Options) *Peer {
	p := &Peer{opts: opts, transport: &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdleConnsPerPeer,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}}
	if opts.OnStamp != nil {
		p.SetOnStamp(opts.OnStamp)
	}
	return p
}

// SetOnStamp replaces the function that receives the stamps of other processes.
func (p *Peer) SetOnStamp(onStamp func(Stamp)) { p.onStamp.Store(&onStamp) }

// Self returns the identity that this process stamps its messages with.
func (p *Peer) Self() Identity { return p.opts.Self }

// Client returns an HTTP client for calls to other processes. It has no timeout: callers
// limit calls by their context.
func (p *Peer) Client() *http.Client { return &http.Client{Transport: roundTripper{p}} }

// Close closes the idle connections.
func (p *Peer) Close() { p.transport.CloseIdleConnections() }

// Handler wraps next: it reads the stamps of requests and adds this process's stamp to the
// responses.
func (p *Peer) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.readStamp(r.Header, time.Time{})
		w.Header().Set(HeaderStamp, p.stamp())
		if stamp, err := ParseStamp(r.Header.Get(HeaderStamp)); err == nil {
			r = r.WithContext(context.WithValue(r.Context(), senderKey{}, stamp))
		}
		next.ServeHTTP(w, r)
	})
}

type senderKey struct{}

// Sender returns the stamp of the process that sent the request to which ctx belongs, or
// the zero value if it had none.
func Sender(ctx context.Context) Stamp {
	stamp, _ := ctx.Value(senderKey{}).(Stamp)
	return stamp
}

func (p *Peer) stamp() string {
	return Stamp{Identity: p.opts.Self, Revision: p.opts.Revision()}.String()
}

// readStamp passes the stamp in a message's headers, if there is a valid one, to the OnStamp
// function.
func (p *Peer) readStamp(h http.Header, asOf time.Time) {
	onStamp := p.onStamp.Load()
	if onStamp == nil {
		return
	}
	stamp, err := ParseStamp(h.Get(HeaderStamp))
	if err != nil {
		return
	}
	stamp.AsOf = asOf
	(*onStamp)(stamp)
}

type roundTripper struct{ p *Peer }

// RoundTrip implements http.RoundTripper.
func (t roundTripper) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(HeaderStamp, t.p.stamp())
	allowReplay(r)
	started := time.Now()
	resp, err := t.p.transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	t.p.readStamp(resp.Header, started)
	return resp, nil
}
