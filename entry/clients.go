package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/pearyard/pearyard/event"
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
// are not used: they are fixed when a server starts, and go by what has been read.
//
// Failure it stops: connections that nobody uses any more, and heads that come
// byte by byte, take a process's descriptors until no caller gets in.
//
// Invariant: a connection is given up only while this process waits for its
// caller, in a read that has begun, and nothing has come. Given up by what had
// been read, a connection was closed with a whole request in it when the limit
// was shortened or the process had no processor time: the caller saw a reset,
// neither an answer nor a refusal.
type clients struct {
	net.Listener
	limits   func() site.ClientLimits
	recorder *event.Recorder
	dropped  *prometheus.CounterVec
	unread   *prometheus.CounterVec
	spared   *prometheus.CounterVec
	late     prometheus.Histogram
	lookLate atomic.Int64 // how late the last look was, nanoseconds
	zero     time.Time    // times of connections are steady ones since then: the time of day may jump
	queue    *queueEnd

	mu   sync.Mutex // guards open
	open map[*clientConn]struct{}
}

// newClients returns a listener whose connections are kept within limits.
func newClients(l net.Listener, limits func() site.ClientLimits, recorder *event.Recorder, r prometheus.Registerer) *clients {
	return &clients{
		Listener: l, limits: limits, recorder: recorder, zero: time.Now(), queue: newQueueEnd(), open: map[*clientConn]struct{}{},
		dropped: promauto.With(r).NewCounterVec(prometheus.CounterOpts{
			Name: "pearyard_entry_callers_dropped_total",
			Help: "Callers' connections closed for idling (idle) or for a head that took too long (head), by the configuration's limits.",
		}, []string{"phase"}),
		unread: promauto.With(r).NewCounterVec(prometheus.CounterOpts{
			Name: "pearyard_entry_callers_unread_total",
			Help: "Callers' connections closed by the configuration's limits although bytes had come on them that this process had not read.",
		}, []string{"phase"}),
		spared: promauto.With(r).NewCounterVec(prometheus.CounterOpts{
			Name: "pearyard_entry_callers_spared_total",
			Help: "Looks at callers' connections that were over the configuration's limits and stayed, as bytes had come on them that this process had not dealt with.",
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
	if errors.Is(err, net.ErrClosed) {
		c.queue.hold()
	}
	if err != nil {
		return nil, err
	}
	conn := &clientConn{Conn: raw, zero: c.zero}
	conn.touch(time.Now())
	conn.phase.Store(clientReading)
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
	case http.StateActive:
		caller.taken()
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
	late := max(0, sinceLast-clientsLook)
	c.lookLate.Store(int64(late))
	c.late.Observe(late.Seconds())
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

// sweep closes the connections that are over the configuration's limits.
func (c *clients) sweep(now time.Time) { c.sweepBy(c.limits(), now) }

// sweepBy closes the connections that are over limits and have nothing for us.
func (c *clients) sweepBy(limits site.ClientLimits, now time.Time) {
	var over []*clientConn
	var unread unreadDrops
	c.mu.Lock()
	for conn := range c.open {
		phase, found := conn.look(limits, now)
		switch found {
		case spared:
			c.spared.WithLabelValues(phaseNames[phase]).Inc()
		case droppedUnread:
			unread.add(phase, conn.inPhase(now))
			c.unread.WithLabelValues(phaseNames[phase]).Inc()
		}
		if found == dropped || found == droppedUnread {
			c.dropped.WithLabelValues(phaseNames[phase]).Inc()
			over = append(over, conn)
		}
	}
	c.mu.Unlock()
	for _, conn := range over {
		_ = conn.Close()
	}
	unread.tell(c.recorder, limits, time.Duration(c.lookLate.Load()))
}
