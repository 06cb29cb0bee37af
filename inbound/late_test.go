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

// lateness is that of a process which gets no processor time: its reads wait
// until the test lets them go on.
type lateness struct {
	reads   atomic.Int64 // that still bring something in time
	held    atomic.Int64
	release chan struct{}
	once    sync.Once
}

func (l *lateness) wait() {
	if l.reads.Load() <= 0 {
		l.held.Add(1)
		<-l.release
	}
}

func (l *lateness) end() { l.once.Do(func() { close(l.release) }) }

// lateConn is a connection that is read late: before the process begins to
// read, or while it waits in its read.
type lateConn struct {
	net.Conn
	late *lateness
}

// Read implements net.Conn.
func (c *lateConn) Read(b []byte) (int, error) {
	c.late.wait()
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.late.reads.Add(-1)
	}
	return n, err
}

// SyscallConn implements syscall.Conn.
func (c *lateConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	return &lateRaw{RawConn: raw, late: c.late}, err
}

type lateRaw struct {
	syscall.RawConn
	late *lateness
}

// Read implements syscall.RawConn.
func (r *lateRaw) Read(f func(uintptr) bool) error {
	r.late.wait()
	return r.RawConn.Read(f)
}

type lateListener struct {
	net.Listener
	late     *lateness
	mu       sync.Mutex // guards accepted
	accepted []net.Conn
}

// Accept implements net.Listener.
func (l *lateListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepted = append(l.accepted, conn)
	return &lateConn{Conn: conn, late: l.late}, nil
}

// unread tells whether anything waits unread in the newest connection's socket.
func (l *lateListener) unread() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.accepted) > 0 && httpconn.HasUnreadData(inner(l.accepted[len(l.accepted)-1]))
}

// inner returns the socket's own connection.
func inner(conn net.Conn) net.Conn {
	for {
		switch c := conn.(type) {
		case *clientConn:
			conn = c.Conn
		case *lateConn:
			conn = c.Conn
		default:
			return conn
		}
	}
}

// lateProcess serves callers; its reads are late.
type lateProcess struct {
	*Listener
	*lateness
	server  *httptest.Server
	sockets *lateListener
	limits  *Limits
}

const (
	lateBeforeRead = "before it reads"
	lateInRead     = "in its read"
)

// newLateProcess starts one whose first reads are in time, and after each answer
// are late again.
func newLateProcess(t *testing.T, where string, reads int64, limits Limits) *lateProcess {
	t.Helper()
	p := &lateProcess{lateness: &lateness{release: make(chan struct{})}, limits: &limits}
	p.reads.Store(reads)
	p.server = httptest.NewUnstartedServer(nil)
	current := func() Limits { return *p.limits }
	p.sockets = &lateListener{Listener: p.server.Listener, late: p.lateness}
	if where == lateInRead {
		p.Listener = New(p.sockets, Options{Limits: current, Recorder: event.Discard()})
		p.server.Listener = p.Listener
	} else {
		p.Listener = New(p.server.Listener, Options{Limits: current, Recorder: event.Discard()})
		p.sockets.Listener = p.Listener
		p.server.Listener = p.sockets
	}
	p.server.Config.Handler = p.handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") }))
	p.server.Config.ConnState = func(conn net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			p.reads.Store(0)
		}
		p.changed(clientOf(conn), state)
	}
	p.server.Config.ConnContext = func(ctx context.Context, conn net.Conn) context.Context { return p.context(ctx, clientOf(conn)) }
	p.server.Start()
	t.Cleanup(p.server.Close)
	t.Cleanup(p.end)
	return p
}

// clientOf returns the connection as the hooks of clients know it.
func clientOf(conn net.Conn) net.Conn {
	if late, ok := conn.(*lateConn); ok {
		return late.Conn
	}
	return conn
}

const wholeRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// expectAnswer reads an answer and holds it to be the whole one.
func expectAnswer(t *testing.T, conn net.Conn) {
	t.Helper()
	g := gomega.NewWithT(t)
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred(), "neither an answer nor a refusal")
	body, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(body)).To(gomega.Equal("whole"))
}

func eachLateness(t *testing.T, test func(t *testing.T, where string)) {
	for _, where := range []string{lateBeforeRead, lateInRead} {
		t.Run(where, func(t *testing.T) { test(t, where) })
	}
}

// A caller uses its kept connection well within the idle limit that it knows. A
// new configuration shortens the limit, and the process, busy with others, has
// not read the request yet. It closed the connection, as nothing had been read
// on it for long: the caller saw a reset, neither an answer nor a refusal.
func TestRequestUnreadOnAKeptConnectionIsServedWhenTheIdleLimitShortens(t *testing.T) {
	eachLateness(t, func(t *testing.T, where string) {
		g := gomega.NewWithT(t)
		p := newLateProcess(t, where, 100, Limits{IdleTime: time.Minute, HeaderTime: time.Minute})
		conn := dialCaller(t, p.Addr().String())
		_, _ = io.WriteString(conn, wholeRequest)
		expectAnswer(t, conn)
		_, _ = io.WriteString(conn, wholeRequest)
		g.Eventually(p.sockets.unread).Should(gomega.BeTrue())
		p.limits.IdleTime = time.Second
		p.sweep(time.Now().Add(50 * time.Second))
		p.end()
		expectAnswer(t, conn)
	})
}

// The same without a change: the request comes just within the limit, and the
// process reads it only after it. The connection is a new one.
func TestFirstRequestIsServedWhenItIsReadAfterTheIdleLimit(t *testing.T) {
	eachLateness(t, func(t *testing.T, where string) {
		g := gomega.NewWithT(t)
		p := newLateProcess(t, where, 0, Limits{IdleTime: 10 * time.Second, HeaderTime: time.Minute})
		conn := dialCaller(t, p.Addr().String())
		_, _ = io.WriteString(conn, wholeRequest)
		g.Eventually(p.sockets.unread).Should(gomega.BeTrue())
		p.sweep(time.Now().Add(11 * time.Second))
		p.end()
		expectAnswer(t, conn)
	})
}

// A caller has sent the rest of a head in time. The process has read the first
// part only when the limit for heads passes, and cut the caller off for a head
// that had come whole.
func TestHeadThatHasComeIsServedWhenItIsReadAfterItsLimit(t *testing.T) {
	eachLateness(t, func(t *testing.T, where string) {
		g := gomega.NewWithT(t)
		p := newLateProcess(t, where, 1, Limits{IdleTime: time.Minute, HeaderTime: 3 * time.Second})
		conn := dialCaller(t, p.Addr().String())
		_, _ = io.WriteString(conn, wholeRequest[:10])
		g.Eventually(p.held.Load).Should(gomega.BeNumerically(">", 0), "the next read waits")
		_, _ = io.WriteString(conn, wholeRequest[10:])
		g.Eventually(p.sockets.unread).Should(gomega.BeTrue())
		p.sweep(time.Now().Add(4 * time.Second))
		p.end()
		expectAnswer(t, conn)
	})
}

// A planned stop is over: nothing runs any more. A request has come on a kept
// connection, or on a new one, that the process has not read yet. The server's
// shutdown closed the connection with the request in it.
func TestRequestUnreadAtTheEndOfAStopIsAnswered(t *testing.T) {
	eachLateness(t, func(t *testing.T, where string) {
		for _, kept := range []bool{true, false} {
			t.Run(map[bool]string{true: "kept", false: "new"}[kept], func(t *testing.T) {
				g := gomega.NewWithT(t)
				reads := int64(0)
				if kept {
					reads = 100
				}
				p := newLateProcess(t, where, reads, Limits{IdleTime: time.Minute, HeaderTime: time.Minute})
				conn := dialCaller(t, p.Addr().String())
				if kept {
					_, _ = io.WriteString(conn, wholeRequest)
					expectAnswer(t, conn)
				}
				_, _ = io.WriteString(conn, wholeRequest)
				g.Eventually(p.sockets.unread).Should(gomega.BeTrue())
				finished := p.finishing(t, 5*time.Second)
				g.Consistently(finished, "100ms").ShouldNot(gomega.BeClosed())
				p.end()
				expectAnswer(t, conn)
				g.Eventually(finished, "2s").Should(gomega.BeClosed())
			})
		}
	})
}

// finishing begins the end of a planned stop.
func (p *lateProcess) finishing(t *testing.T, within time.Duration) <-chan struct{} {
	ctx, cancel := context.WithTimeout(t.Context(), within)
	t.Cleanup(cancel)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = p.Finish(ctx, p.server.Config)
	}()
	return done
}

// heldQueue is a listener whose queue the process gets to late.
type heldQueue struct {
	net.Listener
	release chan struct{}
	closed  chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (q *heldQueue) Accept() (net.Conn, error) {
	<-q.release
	return q.Listener.Accept()
}

// Close implements net.Listener.
func (q *heldQueue) Close() error {
	q.once.Do(func() { close(q.closed) })
	return q.Listener.Close()
}

// A planned stop is over. Two callers have connected and sent their requests,
// and the process has not got to its queue of connections yet. The listener was
// closed with them in it: both saw a reset.
func TestConnectionsInTheQueueAtTheEndOfAStopAreAnswered(t *testing.T) {
	g := gomega.NewWithT(t)
	raw, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	queue := &heldQueue{Listener: raw, release: make(chan struct{}), closed: make(chan struct{})}
	c := New(queue, Options{Recorder: event.Discard()})
	answer := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
	server := &http.Server{Handler: answer}
	c.Attach(server)
	served := make(chan error, 1)
	go func() { served <- server.Serve(c) }()
	t.Cleanup(func() { _ = server.Close() })
	callers := []net.Conn{dialCaller(t, raw.Addr().String()), dialCaller(t, raw.Addr().String())}
	for _, conn := range callers {
		_, _ = io.WriteString(conn, wholeRequest)
	}
	p := &lateProcess{Listener: c, server: &httptest.Server{Config: server}}
	finished := p.finishing(t, 5*time.Second)
	select {
	case <-queue.closed:
	case <-time.After(100 * time.Millisecond):
	}
	close(queue.release)
	for _, conn := range callers {
		expectAnswer(t, conn)
	}
	g.Eventually(finished, "2s").Should(gomega.BeClosed())
	g.Expect(<-served).To(gomega.MatchError(http.ErrServerClosed))
}

// A caller sends a head byte after byte, and whenever its connection is looked
// at one of them is unread. It must not hold its connection for good: it is cut
// off ten seconds over the limit, and a line says that something was unread.
func TestHeadWithSomethingUnreadAtEachLookIsCutOff(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newLateProcess(t, lateInRead, 1, Limits{IdleTime: time.Minute, HeaderTime: 3 * time.Second})
	p.opts.Recorder = event.NewRecorder(log.NewNopLogger(), 16)
	conn := dialCaller(t, p.Addr().String())
	_, _ = io.WriteString(conn, wholeRequest[:10])
	g.Eventually(p.held.Load).Should(gomega.BeNumerically(">", 0), "the next read waits")
	_, _ = io.WriteString(conn, "x")
	g.Eventually(p.sockets.unread).Should(gomega.BeTrue())
	p.sweep(time.Now().Add(12 * time.Second))
	g.Consistently(closed(conn), "20ms").Should(gomega.BeFalse())
	p.sweep(time.Now().Add(14 * time.Second))
	g.Eventually(closed(conn)).Should(gomega.BeTrue())
	told := p.opts.Recorder.Entries("")
	g.Expect(told).To(gomega.HaveLen(1))
	g.Expect(told[0].Fields).To(gomega.HaveKeyWithValue("head", "1"))
}

// Callers keep connections that they don't use. The end of a planned stop does
// not wait for them, nor for one whose first request never comes.
func TestEndOfAStopDoesNotWaitForQuietConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newLateProcess(t, lateInRead, 100, Limits{IdleTime: time.Minute, HeaderTime: time.Minute})
	conn := dialCaller(t, p.Addr().String())
	_, _ = io.WriteString(conn, wholeRequest)
	p.end()
	expectAnswer(t, conn)
	dialCaller(t, p.Addr().String())
	g.Eventually(p.in(clientIdle)).Should(gomega.Equal(2))
	g.Eventually(p.finishing(t, time.Minute), "5s").Should(gomega.BeClosed())
	g.Expect(closed(conn)()).To(gomega.BeTrue())
}

// A process that can't get to its queue ends all the same, and says that it has
// left connections behind.
func TestEndOfAStopDoesNotWaitForAQueueThatIsNotAccepted(t *testing.T) {
	g := gomega.NewWithT(t)
	raw, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	recorder := event.NewRecorder(log.NewNopLogger(), 16)
	c := New(raw, Options{Recorder: recorder})
	p := &lateProcess{Listener: c, server: &httptest.Server{Config: &http.Server{}}}
	g.Eventually(p.finishing(t, time.Minute), "5s").Should(gomega.BeClosed())
	g.Expect(recorder.Entries("")).NotTo(gomega.BeEmpty())
	g.Expect(recorder.Entries("")[0].Name).To(gomega.Equal(EventQueueLeft.Name))
}

// A planned stop's time is over, and a request on a connection is still unread.
// Its caller gets no answer; a line says so.
func TestEndOfAStopTellsWhatItLeavesUnread(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newLateProcess(t, lateInRead, 0, Limits{})
	p.opts.Recorder = event.NewRecorder(log.NewNopLogger(), 16)
	conn := dialCaller(t, p.Addr().String())
	_, _ = io.WriteString(conn, wholeRequest)
	g.Eventually(p.sockets.unread).Should(gomega.BeTrue())
	g.Eventually(p.finishing(t, 200*time.Millisecond), "5s").Should(gomega.BeClosed())
	told := p.opts.Recorder.Entries("")
	g.Expect(told).To(gomega.HaveLen(1))
	g.Expect(told[0].Name).To(gomega.Equal(EventUnreadDropped.Name))
}

// stoppedConn is a connection on which a request comes right after each look.
type stoppedConn struct {
	*net.TCPConn
	send func()
}

// SyscallConn implements syscall.Conn.
func (c *stoppedConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return &stoppedRaw{raw, c.send}, err
}

type stoppedRaw struct {
	syscall.RawConn
	send func()
}

// Control implements syscall.RawConn.
func (r *stoppedRaw) Control(f func(uintptr)) error {
	defer r.send()
	return r.RawConn.Control(f)
}

// A process gets no processor time between its look at an idle connection, which
// finds nothing, and the close. The request that comes in between has neither an
// answer nor a refusal. No line told it from a request that the process never saw.
func TestRequestBetweenLookAndCloseIsTold(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer listener.Close()
	client := dialCaller(t, listener.Addr().String())
	raw, err := listener.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	send := func() {
		_, _ = io.WriteString(client, wholeRequest)
		g.Eventually(func() bool { return httpconn.HasUnreadData(raw) }).Should(gomega.BeTrue())
	}
	lines := &bytes.Buffer{}
	l := New(listener, Options{Recorder: event.NewRecorder(log.NewLogfmtLogger(lines), 1)})
	conn := &clientConn{Conn: &stoppedConn{raw.(*net.TCPConn), send}, zero: l.zero}
	l.open[conn] = struct{}{}
	l.sweepBy(Limits{IdleTime: time.Second}, time.Now().Add(time.Minute))
	g.Expect(lines.String()).To(gomega.ContainSubstring("PY1010"))
	g.Expect(lines.String()).To(gomega.ContainSubstring("between_look_and_close=1"))
}
