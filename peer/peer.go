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

// HeaderStamp is the header, of requests and of answers, that holds the sender's stamp.
const HeaderStamp = "Pearyard-Stamp"

const (
	dialTimeout         = 700 * time.Millisecond
	idleConnTimeout     = 90 * time.Second
	maxIdleConnsPerPeer = 64
	stampFields         = 4
)

// ErrMalformedStamp reports a stamp that this system did not write.
var ErrMalformedStamp = errors.New("peer: malformed stamp")

// Identity says which run of which process is speaking. Address is where its
// peer listener can be reached.
type Identity struct {
	ID          types.ProcessID
	Incarnation types.Incarnation
	Address     string
}

// Stamp is what a process says of itself on every message.
type Stamp struct {
	Identity
	Revision types.Revision
	// AsOf is not later than the moment the stamp was written, by this
	// process's clock: when the call that it answers was begun. It is zero for
	// the stamp of a request, which may have waited here for any time.
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

// Options configure a Peer. Revision and Seen are called on every message, so
// they must not block.
type Options struct {
	Self     Identity
	Revision func() types.Revision // revision in force here
	Seen     func(Stamp)           // what another process said of itself
}

// Peer stamps calls between processes.
type Peer struct {
	opts      Options
	transport *http.Transport
	seen      atomic.Pointer[func(Stamp)]
}

// New returns a Peer with its own pool of connections.
func New(opts Options) *Peer {
	p := &Peer{opts: opts, transport: &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdleConnsPerPeer,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}}
	if opts.Seen != nil {
		p.OnSeen(opts.Seen)
	}
	return p
}

// OnSeen replaces the function that is told of others' stamps.
func (p *Peer) OnSeen(seen func(Stamp)) { p.seen.Store(&seen) }

// Self returns the identity that this process stamps its messages with.
func (p *Peer) Self() Identity { return p.opts.Self }

// Client returns an HTTP client for calls to other processes. It has no
// timeout of its own: callers bound calls by context.
func (p *Peer) Client() *http.Client { return &http.Client{Transport: roundTripper{p}} }

// Close drops the idle connections.
func (p *Peer) Close() { p.transport.CloseIdleConnections() }

// Handler stamps the answers of next and learns from the requests' stamps.
func (p *Peer) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.learn(r.Header, time.Time{})
		w.Header().Set(HeaderStamp, p.stamp())
		if stamp, err := ParseStamp(r.Header.Get(HeaderStamp)); err == nil {
			r = r.WithContext(context.WithValue(r.Context(), stampKey{}, stamp))
		}
		next.ServeHTTP(w, r)
	})
}

type stampKey struct{}

// Sender returns the stamp of the process whose request ctx belongs to; its
// zero value if the request had none.
func Sender(ctx context.Context) Stamp {
	stamp, _ := ctx.Value(stampKey{}).(Stamp)
	return stamp
}

func (p *Peer) stamp() string {
	return Stamp{Identity: p.opts.Self, Revision: p.opts.Revision()}.String()
}

func (p *Peer) learn(h http.Header, asOf time.Time) {
	seen := p.seen.Load()
	if seen == nil {
		return
	}
	stamp, err := ParseStamp(h.Get(HeaderStamp))
	if err != nil {
		return
	}
	stamp.AsOf = asOf
	(*seen)(stamp)
}

type roundTripper struct{ p *Peer }

// RoundTrip implements http.RoundTripper.
func (t roundTripper) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(HeaderStamp, t.p.stamp())
	markRepeatable(r)
	begun := time.Now()
	resp, err := t.p.transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	t.p.learn(resp.Header, begun)
	return resp, nil
}
