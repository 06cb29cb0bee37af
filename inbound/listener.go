package inbound

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
)

// clientsLook is how often clients' connections are looked through: a tenth of
// the shortest limit that operators set, a second.
const clientsLook = 100 * time.Millisecond

// clientsLate is how late a look may come before it says that this process
// stood still: what its clients sent meanwhile has not been read yet.
const clientsLate = 5 * clientsLook

// lateBuckets end with what counts as a standstill and beyond.
var lateBuckets = []float64{0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 1, 2, 5}

// Limits bound what a client may do with its connection; 0 is no limit.
type Limits struct {
	IdleTime   time.Duration // between requests
	HeaderTime time.Duration // for a request's head
}

// Options of a Listener.
type Options struct {
	Limits     func() Limits // in force now; nil: none
	Recorder   *event.Recorder
	Registerer prometheus.Registerer // nil: no metrics
	Metrics    string                // prefix of the metrics' names
	// Broken returns why a connection's requests end with an error of its reads or
	// writes; nil: they don't. It may be nil itself.
	Broken func(error) error
}

// Listener closes clients' connections that idle, or take for the head of a
// request, longer than the limits in force allow. net/http's own limits can't
// take their place: they are fixed when a server starts, and go by what was read.
//
// Connections that nobody uses any more, and heads that come byte by byte, would take a
// process's descriptors.
//
// Invariant: a connection is given up only while this process waits for its
// client, in a read that has begun, and nothing has come. What has been read so far
// says too little: a whole request may lie unread in the socket.
type Listener struct {
	net.Listener
	opts     Options
	dropped  *prometheus.CounterVec
	unread   *prometheus.CounterVec
	spared   *prometheus.CounterVec
	late     prometheus.Histogram
	lookLate atomic.Int64 // how late the last look was, nanoseconds
	zero     time.Time    // times of connections are steady ones since then: the time of day may jump
	queue    *queueEnd
	ending   atomic.Bool // a connection's next answer is its last

	mu   sync.Mutex // guards open
	open map[*clientConn]struct{}
}

// New returns a listener that keeps track of the connections of l.
func New(l net.Listener, opts Options) *Listener {
	if opts.Limits == nil {
		opts.Limits = func() Limits { return Limits{} }
	}
	if opts.Broken == nil {
		opts.Broken = func(error) error { return nil }
	}
	counter := func(name, help string) *prometheus.CounterVec {
		return promauto.With(opts.Registerer).NewCounterVec(prometheus.CounterOpts{Name: opts.Metrics + name, Help: help}, []string{"phase"})
	}
	return &Listener{
		Listener: l, opts: opts, zero: time.Now(), queue: newQueueEnd(), open: map[*clientConn]struct{}{},
		dropped: counter("_dropped_total", "Clients' connections closed for idling (idle) or for a head that took too long (head), by the limits in force."),
		unread:  counter("_unread_total", "Clients' connections closed by the limits in force although something had come on them that this process had not dealt with."),
		spared:  counter("_spared_total", "Looks at clients' connections that were over the limits in force and stayed, as something had come on them that this process had not dealt with."),
		late: promauto.With(opts.Registerer).NewHistogram(prometheus.HistogramOpts{
			Name: opts.Metrics + "_look_late_seconds",
			Help: "How late this process looked through its clients' connections, seconds.", Buckets: lateBuckets,
		}),
	}
}

// Attach makes server, which is to serve on the listener, tell it of its connections.
func (c *Listener) Attach(server *http.Server) {
	server.Handler = c.handler(server.Handler)
	server.ConnState = c.changed
	server.ConnContext = c.context
}

// Accept implements net.Listener.
func (c *Listener) Accept() (net.Conn, error) {
	raw, err := c.Listener.Accept()
	if errors.Is(err, net.ErrClosed) {
		c.queue.hold()
	}
	if err != nil {
		return nil, err
	}
	conn := &clientConn{Conn: raw, zero: c.zero, broken: c.opts.Broken}
	conn.touch(time.Now())
	conn.phase.Store(clientReading)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[conn] = struct{}{}
	return conn, nil
}

// changed is the server's ConnState hook.
func (c *Listener) changed(conn net.Conn, state http.ConnState) {
	client, ok := conn.(*clientConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		client.taken()
	case http.StateIdle:
		client.answered()
	case http.StateClosed, http.StateHijacked:
		client.lost(nil)
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.open, client)
	}
}

type clientKey struct{}

// context is the server's ConnContext hook.
func (c *Listener) context(ctx context.Context, conn net.Conn) context.Context {
	if client, ok := conn.(*clientConn); ok {
		ctx, client.lost = context.WithCancelCause(ctx)
	}
	return context.WithValue(ctx, clientKey{}, conn)
}

// ResetAtClose makes the close of a request's connection a reset.
func ResetAtClose(r *http.Request) {
	client, ok := r.Context().Value(clientKey{}).(*clientConn)
	if !ok {
		return // a connection of tests
	}
	if conn, ok := client.Conn.(*net.TCPConn); ok {
		_ = conn.SetLinger(0) // fails on a connection that is closed already
	}
}

// handler hands on the requests of connections that are still open. The answer
// to one that came just as its connection was closed could not be delivered, so
// it must not run.
func (c *Listener) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if client, ok := r.Context().Value(clientKey{}).(*clientConn); ok && !client.serve() {
			panic(http.ErrAbortHandler)
		}
		if c.ending.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Run closes connections by the limits in force until ctx ends.
func (c *Listener) Run(ctx context.Context) error {
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
func (c *Listener) look(now time.Time, sinceLast time.Duration) {
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

// sweep closes the connections that are over the limits in force.
func (c *Listener) sweep(now time.Time) { c.sweepBy(c.opts.Limits(), now) }

// sweepBy closes the connections that are over limits and have nothing for us. Each
// is closed right after its look: closed together after all looks, a process that
// gets no processor time in between closes connections on which requests have
// come meanwhile.
func (c *Listener) sweepBy(limits Limits, now time.Time) {
	var unread unreadDrops
	var closed closes
	c.mu.Lock()
	for conn := range c.open {
		looked := time.Now()
		phase, found := conn.look(limits, now)
		switch found {
		case spared:
			c.spared.WithLabelValues(phaseNames[phase]).Inc()
		case droppedUnread:
			unread.add(phase, conn.inPhase(now))
			c.unread.WithLabelValues(phaseNames[phase]).Inc()
		}
		if found == dropped && conn.arrivedIn(phase) {
			unread.betweenLookAndClose++
			c.unread.WithLabelValues(phaseNames[phase]).Inc()
		}
		if found == dropped || found == droppedUnread {
			c.dropped.WithLabelValues(phaseNames[phase]).Inc()
			_ = conn.Close()
			closed.add(time.Since(looked))
		}
	}
	c.mu.Unlock()
	closed.tell(c.opts.Recorder, limits)
	unread.tell(c.opts.Recorder, limits, time.Duration(c.lookLate.Load()))
}
