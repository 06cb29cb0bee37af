package inbound

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/httpconn"
)

// stall simulates a process that gets no CPU time: after a number of reads that
// proceed, reads block until the test resumes them.
type stall struct {
	reads   atomic.Int64 // remaining reads that don't block
	blocked atomic.Int64 // reads that have blocked
	release chan struct{}
	once    sync.Once
}

func (s *stall) wait() {
	if s.reads.Load() <= 0 {
		s.blocked.Add(1)
		<-s.release
	}
}

func (s *stall) resume() { s.once.Do(func() { close(s.release) }) }

// stalledConn is a connection whose reads block, either before the process starts
// to read or while it waits in its read.
type stalledConn struct {
	net.Conn
	stall *stall
}

// Read implements net.Conn.
func (c *stalledConn) Read(b []byte) (int, error) {
	c.stall.wait()
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.stall.reads.Add(-1)
	}
	return n, err
}

// SyscallConn implements syscall.Conn.
func (c *stalledConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	return &stalledRawConn{RawConn: raw, stall: c.stall}, err
}

type stalledRawConn struct {
	syscall.RawConn
	stall *stall
}

// Read implements syscall.RawConn.
func (r *stalledRawConn) Read(f func(uintptr) bool) error {
	r.stall.wait()
	return r.RawConn.Read(f)
}

type stalledListener struct {
	net.Listener
	stall    *stall
	mu       sync.Mutex // guards accepted
	accepted []net.Conn
}

// Accept implements net.Listener.
func (l *stalledListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepted = append(l.accepted, conn)
	return &stalledConn{Conn: conn, stall: l.stall}, nil
}

// hasUnread reports whether the newest connection's socket has unread data.
func (l *stalledListener) hasUnread() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.accepted) > 0 && httpconn.HasUnreadData(socketOf(l.accepted[len(l.accepted)-1]))
}

// socketOf returns the unwrapped connection.
func socketOf(conn net.Conn) net.Conn {
	for {
		switch c := conn.(type) {
		case *clientConn:
			conn = c.Conn
		case *stalledConn:
			conn = c.Conn
		default:
			return conn
		}
	}
}

// stalledServer is a server whose reads block.
type stalledServer struct {
	*Listener
	*stall
	server  *httptest.Server
	sockets *stalledListener
	limits  *Limits
}

const (
	stallBeforeRead = "before it reads"
	stallInRead     = "in its read"
)

// newStalledServer starts a server whose first reads don't block; after each response
// reads block again.
func newStalledServer(t *testing.T, where string, reads int64, limits Limits) *stalledServer {
	t.Helper()
	s := &stalledServer{stall: &stall{release: make(chan struct{})}, limits: &limits}
	s.reads.Store(reads)
	s.server = httptest.NewUnstartedServer(nil)
	current := func() Limits { return *s.limits }
	s.sockets = &stalledListener{Listener: s.server.Listener, stall: s.stall}
	if where == stallInRead {
		s.Listener = New(s.sockets, Options{Limits: current, Recorder: event.Discard()})
		s.server.Listener = s.Listener
	} else {
		s.Listener = New(s.server.Listener, Options{Limits: current, Recorder: event.Discard()})
		s.sockets.Listener = s.Listener
		s.server.Listener = s.sockets
	}
	s.server.Config.Handler = s.handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") }))
	s.server.Config.ConnState = func(conn net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			s.reads.Store(0)
		}
		s.connState(trackedConn(conn), state)
	}
	s.server.Config.ConnContext = func(ctx context.Context, conn net.Conn) context.Context { return s.connContext(ctx, trackedConn(conn)) }
	s.server.Start()
	t.Cleanup(s.server.Close)
	t.Cleanup(s.resume)
	return s
}

// trackedConn returns the connection that the Listener's hooks expect.
func trackedConn(conn net.Conn) net.Conn {
	if stalled, ok := conn.(*stalledConn); ok {
		return stalled.Conn
	}
	return conn
}

const wholeRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// expectWholeResponse reads a response and fails unless it is complete.
func expectWholeResponse(t *testing.T, conn net.Conn) {
	t.Helper()
	g := gomega.NewWithT(t)
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred(), "neither a response nor a refusal")
	body, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(body)).To(gomega.Equal("whole"))
}

func forEachStall(t *testing.T, test func(t *testing.T, where string)) {
	for _, where := range []string{stallBeforeRead, stallInRead} {
		t.Run(where, func(t *testing.T) { test(t, where) })
	}
}

// A client sends a request on a kept-alive connection well within the idle limit.
// Before the busy process reads it, a new configuration shortens the limit. The
// connection used to be closed, as nothing had been read on it for long: the client
// saw a reset, neither a response nor a refusal.
func TestUnreadRequestIsServedWhenIdleLimitShortens(t *testing.T) {
	forEachStall(t, func(t *testing.T, where string) {
		g := gomega.NewWithT(t)
		s := newStalledServer(t, where, 100, Limits{IdleTime: time.Minute, HeaderTime: time.Minute})
		conn := dialClient(t, s.Addr().String())
		_, _ = io.WriteString(conn, wholeRequest)
		expectWholeResponse(t, conn)
		_, _ = io.WriteString(conn, wholeRequest)
		g.Eventually(s.sockets.hasUnread).Should(gomega.BeTrue())
		s.limits.IdleTime = time.Second
		s.sweep(time.Now().Add(50 * time.Second))
		s.resume()
		expectWholeResponse(t, conn)
	})
}

// The first request of a new connection arrives just within the idle limit, and the
// process reads it only after the limit.
func TestFirstRequestReadAfterIdleLimitIsServed(t *testing.T) {
	forEachStall(t, func(t *testing.T, where string) {
		g := gomega.NewWithT(t)
		s := newStalledServer(t, where, 0, Limits{IdleTime: 10 * time.Second, HeaderTime: time.Minute})
		conn := dialClient(t, s.Addr().String())
		_, _ = io.WriteString(conn, wholeRequest)
		g.Eventually(s.sockets.hasUnread).Should(gomega.BeTrue())
		s.sweep(time.Now().Add(11 * time.Second))
		s.resume()
		expectWholeResponse(t, conn)
	})
}

// A client sends the rest of a header in time, but the process has read only the
// first part when the limit for headers passes. The connection used to be closed
// although the whole header had arrived.
func TestHeaderReadAfterItsLimitIsServed(t *testing.T) {
	forEachStall(t, func(t *testing.T, where string) {
		g := gomega.NewWithT(t)
		s := newStalledServer(t, where, 1, Limits{IdleTime: time.Minute, HeaderTime: 3 * time.Second})
		conn := dialClient(t, s.Addr().String())
		_, _ = io.WriteString(conn, wholeRequest[:10])
		g.Eventually(s.blocked.Load).Should(gomega.BeNumerically(">", 0), "the next read blocks")
		_, _ = io.WriteString(conn, wholeRequest[10:])
		g.Eventually(s.sockets.hasUnread).Should(gomega.BeTrue())
		s.sweep(time.Now().Add(4 * time.Second))
		s.resume()
		expectWholeResponse(t, conn)
	})
}

// At the end of a planned stop a request has arrived on a kept-alive or a new
// connection and is not read yet. The server's Shutdown used to close the connection
// with the request in it.
func TestUnreadRequestIsServedDuringFinish(t *testing.T) {
	forEachStall(t, func(t *testing.T, where string) {
		for _, kept := range []bool{true, false} {
			t.Run(map[bool]string{true: "kept", false: "new"}[kept], func(t *testing.T) {
				g := gomega.NewWithT(t)
				reads := int64(0)
				if kept {
					reads = 100
				}
				s := newStalledServer(t, where, reads, Limits{IdleTime: time.Minute, HeaderTime: time.Minute})
				conn := dialClient(t, s.Addr().String())
				if kept {
					_, _ = io.WriteString(conn, wholeRequest)
					expectWholeResponse(t, conn)
				}
				_, _ = io.WriteString(conn, wholeRequest)
				g.Eventually(s.sockets.hasUnread).Should(gomega.BeTrue())
				finished := s.startFinish(t, 5*time.Second)
				g.Consistently(finished, "100ms").ShouldNot(gomega.BeClosed())
				s.resume()
				expectWholeResponse(t, conn)
				g.Eventually(finished, "2s").Should(gomega.BeClosed())
			})
		}
	})
}

// startFinish calls Finish and returns a channel that is closed when it has returned.
func (s *stalledServer) startFinish(t *testing.T, within time.Duration) <-chan struct{} {
	ctx, cancel := context.WithTimeout(t.Context(), within)
	t.Cleanup(cancel)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Finish(ctx, s.server.Config)
	}()
	return done
}

// blockedListener is a listener whose connections are not accepted until the test
// releases them.
type blockedListener struct {
	net.Listener
	release chan struct{}
	closed  chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (l *blockedListener) Accept() (net.Conn, error) {
	<-l.release
	return l.Listener.Accept()
}

// SyscallConn implements syscall.Conn.
func (l *blockedListener) SyscallConn() (syscall.RawConn, error) {
	return l.Listener.(syscall.Conn).SyscallConn()
}

// Close implements net.Listener.
func (l *blockedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// At the end of a planned stop two clients have connected and sent their requests,
// and the process has not accepted the connections yet. The listener used to be
// closed with them in its queue, and both clients saw a reset.
func TestQueuedConnectionsAreServedDuringFinish(t *testing.T) {
	g := gomega.NewWithT(t)
	raw, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	queue := &blockedListener{Listener: raw, release: make(chan struct{}), closed: make(chan struct{})}
	l := New(queue, Options{Recorder: event.Discard()})
	answer := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
	server := &http.Server{Handler: answer}
	l.Attach(server)
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	clients := []net.Conn{dialClient(t, raw.Addr().String()), dialClient(t, raw.Addr().String())}
	for _, conn := range clients {
		_, _ = io.WriteString(conn, wholeRequest)
	}
	s := &stalledServer{Listener: l, server: &httptest.Server{Config: server}}
	finished := s.startFinish(t, 5*time.Second)
	select {
	case <-queue.closed:
	case <-time.After(100 * time.Millisecond):
	}
	close(queue.release)
	for _, conn := range clients {
		expectWholeResponse(t, conn)
	}
	g.Eventually(finished, "2s").Should(gomega.BeClosed())
	g.Expect(<-served).To(gomega.MatchError(http.ErrServerClosed))
}

// A client sends a header byte by byte, and at every check of its connection a byte
// is unread. It must not keep its connection forever: the connection is closed ten
// seconds over the limit, and an event reports the unread data.
func TestHeaderWithUnreadDataAtEachCheckIsClosed(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newStalledServer(t, stallInRead, 1, Limits{IdleTime: time.Minute, HeaderTime: 3 * time.Second})
	s.opts.Recorder = event.NewRecorder(log.NewNopLogger(), 16)
	conn := dialClient(t, s.Addr().String())
	_, _ = io.WriteString(conn, wholeRequest[:10])
	g.Eventually(s.blocked.Load).Should(gomega.BeNumerically(">", 0), "the next read blocks")
	_, _ = io.WriteString(conn, "x")
	g.Eventually(s.sockets.hasUnread).Should(gomega.BeTrue())
	s.sweep(time.Now().Add(12 * time.Second))
	g.Consistently(isClosed(conn), "20ms").Should(gomega.BeFalse())
	s.sweep(time.Now().Add(14 * time.Second))
	g.Eventually(isClosed(conn)).Should(gomega.BeTrue())
	entries := s.opts.Recorder.Entries("")
	g.Expect(entries).To(gomega.HaveLen(1))
	g.Expect(entries[0].Fields).To(gomega.HaveKeyWithValue("head", "1"))
}

// Clients keep connections that they don't use. Finish must not wait for them, nor
// for a new connection whose first request never arrives.
func TestFinishDoesNotWaitForQuietConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newStalledServer(t, stallInRead, 100, Limits{IdleTime: time.Minute, HeaderTime: time.Minute})
	conn := dialClient(t, s.Addr().String())
	_, _ = io.WriteString(conn, wholeRequest)
	s.resume()
	expectWholeResponse(t, conn)
	dialClient(t, s.Addr().String())
	g.Eventually(s.countInPhase(phaseIdle)).Should(gomega.Equal(2))
	g.Eventually(s.startFinish(t, time.Minute), "5s").Should(gomega.BeClosed())
	g.Expect(isClosed(conn)()).To(gomega.BeTrue())
}

// Nothing accepts the queued connections. Finish must return nevertheless and report
// that connections may be left in the queue.
func TestFinishDoesNotWaitForUnacceptedQueue(t *testing.T) {
	g := gomega.NewWithT(t)
	raw, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	recorder := event.NewRecorder(log.NewNopLogger(), 16)
	l := New(raw, Options{Recorder: recorder})
	s := &stalledServer{Listener: l, server: &httptest.Server{Config: &http.Server{}}}
	g.Eventually(s.startFinish(t, time.Minute), "5s").Should(gomega.BeClosed())
	g.Expect(recorder.Entries("")).NotTo(gomega.BeEmpty())
	g.Expect(recorder.Entries("")[0].Name).To(gomega.Equal(EventQueueLeft.Name))
}

// The time of a planned stop is over and a request is still unread. Its client gets
// no response, and an event reports that.
func TestFinishReportsUnreadData(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newStalledServer(t, stallInRead, 0, Limits{})
	s.opts.Recorder = event.NewRecorder(log.NewNopLogger(), 16)
	conn := dialClient(t, s.Addr().String())
	_, _ = io.WriteString(conn, wholeRequest)
	g.Eventually(s.sockets.hasUnread).Should(gomega.BeTrue())
	g.Eventually(s.startFinish(t, 200*time.Millisecond), "5s").Should(gomega.BeClosed())
	entries := s.opts.Recorder.Entries("")
	g.Expect(entries).To(gomega.HaveLen(2))
	g.Expect(entries[0].Name).To(gomega.Equal(EventListenerClosed.Name))
	g.Expect(entries[1].Name).To(gomega.Equal(EventUnreadDropped.Name))
}

// racingConn is a connection on which a request arrives right after each check.
type racingConn struct {
	*net.TCPConn
	send func()
}

// SyscallConn implements syscall.Conn.
func (c *racingConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return &racingRawConn{raw, c.send}, err
}

type racingRawConn struct {
	syscall.RawConn
	send func()
}

// Control implements syscall.RawConn.
func (r *racingRawConn) Control(f func(uintptr)) error {
	defer r.send()
	return r.RawConn.Control(f)
}

// newRacingListener returns a listener with one connection, on which a whole request arrives right after each check, and its log.
func newRacingListener(t *testing.T, opts Options) (*Listener, *clientConn, *bytes.Buffer) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	client := dialClient(t, listener.Addr().String())
	raw, err := listener.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	send := func() {
		_, _ = io.WriteString(client, wholeRequest)
		g.Eventually(func() bool { return httpconn.HasUnreadData(raw) }).Should(gomega.BeTrue())
	}
	lines := &bytes.Buffer{}
	opts.Recorder = event.NewRecorder(log.NewLogfmtLogger(lines), 1)
	l := New(listener, opts)
	conn := &clientConn{Conn: &racingConn{raw.(*net.TCPConn), send}, epoch: l.epoch}
	l.open[conn] = struct{}{}
	return l, conn, lines
}

// A process gets no CPU time between the check of an idle connection, which finds no
// data, and the close. A request that arrives in between gets neither a response nor
// a refusal. Without an event it would look like one that never reached the process.
func TestRequestBetweenCheckAndCloseIsReported(t *testing.T) {
	g := gomega.NewWithT(t)
	l, _, lines := newRacingListener(t, Options{})
	l.sweepWithLimits(Limits{IdleTime: time.Second}, time.Now().Add(time.Minute))
	g.Expect(lines.String()).To(gomega.ContainSubstring("PY1010"))
	g.Expect(lines.String()).To(gomega.ContainSubstring("between_look_and_close=1"))
}

// Guards against the loss of a request that a client sends before the limit that it knows, while this process stalls between check and close.
func TestRequestSentBeforeAShortenedIdleLimitOutlivesAStall(t *testing.T) {
	g := gomega.NewWithT(t)
	const before, shortened = 1500 * time.Millisecond, time.Second
	l, conn, lines := newRacingListener(t, Options{IdleMargin: time.Second, Limits: func() Limits { return Limits{IdleTime: shortened} }})
	l.sweep(l.epoch.Add(before * 4 / 5))
	g.Expect(conn.phase.Load()).To(gomega.Equal(phaseIdle))
	g.Expect(lines.String()).To(gomega.BeEmpty())

	l.sweep(l.epoch.Add(shortened + l.opts.IdleMargin + time.Millisecond))
	g.Expect(conn.phase.Load()).To(gomega.Equal(phaseDropped))
}
