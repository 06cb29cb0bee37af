package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/exchange"
	"github.com/pearyard/pearyard/site"
)

// clientsLook is how often callers' connections are looked through: a tenth of
// the shortest limit that operators set, a second.
const clientsLook = 100 * time.Millisecond

// clientsLate is how late a look may come before it says that this process
// stood still: what its callers sent meanwhile has not been read yet.
const clientsLate = 5 * clientsLook

// lateBuckets end with what counts as a standstill and beyond.
var lateBuckets = []float64{0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 1, 2, 5}

// clients closes callers' connections that idle, or take for the head of a
// request, longer than the configuration in force allows. net/http's own limits
// are fixed when a server starts; they stay above these and hold while no
// configuration is known.
//
// Failure it stops: connections that nobody uses any more, and heads that come
// byte by byte, take a process's descriptors until no caller gets in.
type clients struct {
	net.Listener
	limits   func() site.ClientLimits
	recorder *event.Recorder
	dropped  *prometheus.CounterVec
	unread   *prometheus.CounterVec
	late     prometheus.Histogram
	lookLate time.Duration // how late this look is; known to the looking goroutine only
	zero     time.Time     // times of connections are steady ones since then: the time of day may jump

	mu   sync.Mutex // guards open
	open map[*clientConn]struct{}
}

// newClients returns a listener whose connections are kept within limits.
func newClients(l net.Listener, limits func() site.ClientLimits, recorder *event.Recorder, r prometheus.Registerer) *clients {
	return &clients{
		Listener: l, limits: limits, recorder: recorder, zero: time.Now(), open: map[*clientConn]struct{}{},
		dropped: promauto.With(r).NewCounterVec(prometheus.CounterOpts{
			Name: "pearyard_entry_callers_dropped_total",
			Help: "Callers' connections closed for idling (idle) or for a head that took too long (head), by the configuration's limits.",
		}, []string{"phase"}),
		unread: promauto.With(r).NewCounterVec(prometheus.CounterOpts{
			Name: "pearyard_entry_callers_unread_total",
			Help: "Callers' connections closed by the configuration's limits although bytes had come on them that this process had not read.",
		}, []string{"phase"}),
		late: promauto.With(r).NewHistogram(prometheus.HistogramOpts{
			Name: "pearyard_entry_callers_look_late_seconds",
			Help: "How late this process looked through its callers' connections, seconds.", Buckets: lateBuckets,
		}),
	}
}

// Accept implements net.Listener.
func (c *clients) Accept() (net.Conn, error) {
	raw, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &clientConn{Conn: raw, zero: c.zero}
	conn.touch(time.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[conn] = struct{}{}
	return conn, nil
}

// changed is the server's ConnState hook.
func (c *clients) changed(conn net.Conn, state http.ConnState) {
	caller, ok := conn.(*clientConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		caller.answered()
	case http.StateClosed, http.StateHijacked:
		caller.lost(nil)
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.open, caller)
	}
}

type clientKey struct{}

// context is the server's ConnContext hook.
func (c *clients) context(ctx context.Context, conn net.Conn) context.Context {
	if caller, ok := conn.(*clientConn); ok {
		ctx, caller.lost = context.WithCancelCause(ctx)
	}
	return context.WithValue(ctx, clientKey{}, conn)
}

// refuseDropped hands on the requests of connections that are still open. The
// answer to one that came just as its connection was closed could not be
// delivered, so it must not run.
func (c *clients) refuseDropped(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if caller, ok := r.Context().Value(clientKey{}).(*clientConn); ok && !caller.serve() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// run sweeps until ctx ends.
func (c *clients) run(ctx context.Context) error {
	tick := time.NewTicker(clientsLook)
	defer tick.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			now := time.Now()
			c.look(now, now.Sub(last))
			last = now
		}
	}
}

// look closes what is over its limit, unless this process has just stood still.
func (c *clients) look(now time.Time, sinceLast time.Duration) {
	c.lookLate = max(0, sinceLast-clientsLook)
	c.late.Observe(c.lookLate.Seconds())
	if sinceLast <= clientsLate {
		c.sweep(now)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		conn.touch(now)
	}
}

// sweep closes the connections that are over their limits.
func (c *clients) sweep(now time.Time) {
	limits := c.limits()
	var over []*clientConn
	var unread unreadDrops
	c.mu.Lock()
	for conn := range c.open {
		if phase, dropped := conn.drop(limits, now); dropped {
			c.dropped.WithLabelValues(phaseNames[phase]).Inc()
			unread.add(c.unread, conn, phase, now)
			over = append(over, conn)
		}
	}
	c.mu.Unlock()
	for _, conn := range over {
		_ = conn.Close()
	}
	unread.tell(c.recorder, limits, c.lookLate)
}

// finish ends a planned stop: nothing new comes in, and the server shuts down.
func (c *clients) finish(ctx context.Context, server *http.Server) error { return server.Shutdown(ctx) }

// clientPhase is what a caller's connection is waited for.
type clientPhase = int32

const (
	clientIdle    clientPhase = iota // waits for a request
	clientHead                       // a request's head is being read
	clientServed                     // a request is being served
	clientDropped                    // closed by sweep
)

var phaseNames = map[clientPhase]string{clientIdle: "idle", clientHead: "head"}

// clientConn is a caller's connection. Its phase changes by compare-and-swap
// only, so that a request is either served or its connection dropped before it.
type clientConn struct {
	net.Conn
	zero  time.Time
	phase atomic.Int32
	since atomic.Int64            // steady nanoseconds after zero at which the phase began; written before it
	lost  context.CancelCauseFunc // ends the connection's requests
}

func (c *clientConn) touch(now time.Time) { c.since.Store(int64(now.Sub(c.zero))) }

// Read implements net.Conn. The first bytes after a pause begin a head.
func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.phase.Load() == clientIdle {
		c.touch(time.Now())
		c.phase.CompareAndSwap(clientIdle, clientHead)
	}
	c.note(err)
	return n, err
}

// Write implements net.Conn.
func (c *clientConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.note(err)
	return n, err
}

// note ends the connection's requests in the name of its link if that broke.
// net/http ends them too, a moment later and without a cause, as it does when
// the caller closes its connection in order: a caller that was still waiting
// would be said to have left.
func (c *clientConn) note(err error) {
	if err != nil && exchange.IsLinkLost(err) {
		c.lost(&exchange.End{By: exchange.EndedByCallerLink, Err: err})
	}
}

// serve notes that a head has come; false if the connection was dropped.
func (c *clientConn) serve() bool {
	for {
		phase := c.phase.Load()
		if phase == clientDropped {
			return false
		}
		if c.phase.CompareAndSwap(phase, clientServed) {
			return true
		}
	}
}

// answered notes that the connection waits for its next request.
func (c *clientConn) answered() {
	c.touch(time.Now())
	c.phase.CompareAndSwap(clientServed, clientIdle)
}

// drop takes the connection out of use if it is over its limit.
func (c *clientConn) drop(limits site.ClientLimits, now time.Time) (phase clientPhase, dropped bool) {
	phase = c.phase.Load()
	limit := time.Duration(0)
	switch phase {
	case clientIdle:
		limit = limits.IdleTime
	case clientHead:
		limit = limits.HeaderTime
	}
	if limit <= 0 || now.Sub(c.zero)-time.Duration(c.since.Load()) <= limit {
		return phase, false
	}
	return phase, c.phase.CompareAndSwap(phase, clientDropped)
}
