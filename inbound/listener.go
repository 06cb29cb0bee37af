package inbound

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
)

// sweepInterval is how often clients' connections are checked: a tenth of the
// shortest limit that operators set, which is one second.
const sweepInterval = 100 * time.Millisecond

// stallThreshold is the time between two sweeps above which this process counts as
// stalled. It has then not read what clients sent meanwhile, and no limit is applied.
const stallThreshold = 5 * sweepInterval

// delayBuckets are in seconds and reach beyond the delay that counts as a stall.
var delayBuckets = []float64{0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 1, 2, 5}

// Limits bound what a client may do with its connection; 0 is no limit.
type Limits struct {
	IdleTime   time.Duration // between requests
	HeaderTime time.Duration // to send a request's header
}

// Options of a Listener.
type Options struct {
	Limits func() Limits // returns the limits in force; nil: none
	// IdleMargin is how much longer than Limits.IdleTime a connection stays open. A client
	// may send just before the limit that it knows, which may have been shortened since,
	// and this process may stall between the check of a connection and its close.
	IdleMargin time.Duration
	Recorder   *event.Recorder
	Registerer prometheus.Registerer // nil: no metrics
	Metrics    string                // prefix of the metrics' names
	// CancelCause maps an error of a connection's reads or writes to the cause with
	// which the connection's requests are cancelled, or to nil if they continue. The
	// function may be nil: no error cancels requests.
	CancelCause func(error) error
}

// Listener closes clients' connections that are idle, or take to send a request's
// header, for longer than the limits in force allow: unused connections and headers
// sent byte by byte would exhaust the process's file descriptors. net/http's own
// timeouts can't be used, as they are fixed when a server starts and depend only on
// what was read.
//
// Invariant: a connection is closed only while this process waits for its client in
// a pending read and no data has arrived, except as unreadGrace allows. What was read
// so far is not enough to decide: a whole request may be unread in the socket.
type Listener struct {
	net.Listener
	opts       Options
	dropped    *prometheus.CounterVec
	unread     *prometheus.CounterVec
	spared     *prometheus.CounterVec
	delay      prometheus.Histogram
	lastDelay  atomic.Int64 // how late the last sweep was, nanoseconds
	epoch      time.Time    // connections' times are monotonic and relative to it, as the wall clock may jump
	lastAccept atomic.Int64 // when the newest connection was accepted, nanoseconds after epoch; 0: none was
	end        *listenerEnd
	stopping   atomic.Bool // the next response on a connection closes it

	mu   sync.Mutex // guards open
	open map[*clientConn]struct{}
}

// New returns a listener that tracks the connections of l, which must pass its socket on as
// syscall.Conn: the queue of any other listener is lost when a planned stop closes it.
func New(l net.Listener, opts Options) *Listener {
	if opts.Limits == nil {
		opts.Limits = func() Limits { return Limits{} }
	}
	if opts.CancelCause == nil {
		opts.CancelCause = func(error) error { return nil }
	}
	counter := func(name, help string) *prometheus.CounterVec {
		return promauto.With(opts.Registerer).NewCounterVec(prometheus.CounterOpts{Name: opts.Metrics + name, Help: help}, []string{"phase"})
	}
	return &Listener{
		Listener: l, opts: opts, epoch: time.Now(), end: newListenerEnd(), open: map[*clientConn]struct{}{},
		dropped: counter("_dropped_total", "Clients' connections closed for idling (idle) or for a head that took too long (head), by the limits in force."),
		unread:  counter("_unread_total", "Clients' connections closed by the limits in force although something had come on them that this process had not dealt with."),
		spared:  counter("_spared_total", "Looks at clients' connections that were over the limits in force and stayed, as something had come on them that this process had not dealt with."),
		delay: promauto.With(opts.Registerer).NewHistogram(prometheus.HistogramOpts{
			Name: opts.Metrics + "_look_late_seconds",
			Help: "How late this process looked through its clients' connections, seconds.", Buckets: delayBuckets,
		}),
	}
}

// Attach sets the hooks and the handler of server, which is to serve on the listener,
// so that the listener knows the state of its connections.
func (l *Listener) Attach(server *http.Server) {
	server.Handler = l.handler(server.Handler)
	server.ConnState = l.connState
	server.ConnContext = l.connContext
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		raw, err = l.end.next(err)
	}
	if err != nil {
		return nil, err
	}
	conn := &clientConn{Conn: raw, epoch: l.epoch, cancelCause: l.opts.CancelCause}
	now := time.Now()
	conn.restartClock(now)
	conn.phase.Store(phaseReading)
	l.lastAccept.Store(int64(now.Sub(l.epoch)))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[conn] = struct{}{}
	return conn, nil
}

// connState is the server's ConnState hook.
func (l *Listener) connState(conn net.Conn, state http.ConnState) {
	client, ok := conn.(*clientConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		client.headerRead()
	case http.StateIdle:
		client.requestDone()
	case http.StateClosed, http.StateHijacked:
		client.cancelRequests(nil)
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.open, client)
	}
}

type clientKey struct{}

// connContext is the server's ConnContext hook.
func (l *Listener) connContext(ctx context.Context, conn net.Conn) context.Context {
	if client, ok := conn.(*clientConn); ok {
		ctx, client.cancelRequests = context.WithCancelCause(ctx)
	}
	return context.WithValue(ctx, clientKey{}, conn)
}

// ResetAtClose makes closing a request's connection send a reset (RST).
func ResetAtClose(r *http.Request) {
	client, ok := r.Context().Value(clientKey{}).(*clientConn)
	if !ok {
		return // only in tests
	}
	if conn, ok := client.Conn.(*net.TCPConn); ok {
		_ = conn.SetLinger(0) // fails if the connection is already closed
	}
}

// handler passes on requests whose connections are still open. A request that
// arrives just as its connection is closed must not run, as its response could not
// be delivered.
func (l *Listener) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if client, ok := r.Context().Value(clientKey{}).(*clientConn); ok && !client.beginRequest() {
			panic(http.ErrAbortHandler)
		}
		if l.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Run closes connections by the limits in force until ctx ends.
func (l *Listener) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			now := time.Now()
			l.tick(now, now.Sub(last))
			last = now
		}
	}
}

// tick closes the connections that are over their limit. If this process has just
// stalled it restarts their times instead.
func (l *Listener) tick(now time.Time, sinceLast time.Duration) {
	delay := max(0, sinceLast-sweepInterval)
	l.lastDelay.Store(int64(delay))
	l.delay.Observe(delay.Seconds())
	if sinceLast <= stallThreshold {
		l.sweep(now)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.open {
		conn.restartClock(now)
	}
}

// sweep closes the connections that are over the limits in force.
func (l *Listener) sweep(now time.Time) {
	limits := l.opts.Limits()
	if limits.IdleTime > 0 {
		limits.IdleTime += l.opts.IdleMargin
	}
	l.sweepWithLimits(limits, now)
}

// sweepWithLimits closes the connections that are over limits and have no unread
// data. Each is closed right after its check: if all were closed after the last
// check, a process that gets no CPU time in between would close connections on which
// requests have arrived meanwhile.
func (l *Listener) sweepWithLimits(limits Limits, now time.Time) {
	var unread unreadCloses
	var closed limitCloses
	l.mu.Lock()
	for conn := range l.open {
		checked := time.Now()
		phase, result := conn.check(limits, now)
		switch result {
		case unreadSpared:
			l.spared.WithLabelValues(phaseLabels[phase]).Inc()
		case closedUnread:
			unread.add(phase, conn.elapsed(now))
			l.unread.WithLabelValues(phaseLabels[phase]).Inc()
		}
		if result == closedQuiet && conn.hasUnread(phase) {
			unread.betweenCheckAndClose++
			l.unread.WithLabelValues(phaseLabels[phase]).Inc()
		}
		if result == closedQuiet || result == closedUnread {
			l.dropped.WithLabelValues(phaseLabels[phase]).Inc()
			_ = conn.Close()
			closed.add(time.Since(checked))
		}
	}
	l.mu.Unlock()
	closed.emit(l.opts.Recorder, limits)
	unread.emit(l.opts.Recorder, limits, time.Duration(l.lastDelay.Load()))
}
