package node

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/oklog/run"
	. "github.com/onsi/gomega"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/plain"
	streampb "github.com/pearyard/pearyard/rpc/stream"
)

const (
	// linkRate is 10 Mbit/s.
	linkRate = 10_000_000 / 8
	// sendBuffer is how many unread bytes the simulated kernel buffers.
	sendBuffer  = 256 << 10
	segmentSize = 1 << 10
)

// slowLink is a listener whose connections carry rate bytes per second from server to
// client, behind a buffer like the kernel's: Write returns when its bytes are in the
// buffer, and buffered bytes are still delivered after Close.
type slowLink struct {
	rate   int
	accept chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newSlowLink(rate int) *slowLink {
	return &slowLink{rate: rate, accept: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *slowLink) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *slowLink) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *slowLink) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 7100} }

func (l *slowLink) client() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		s := newSlowConn(far)
		go s.pump(l.rate)
		select {
		case l.accept <- s:
			return near, nil
		case <-l.closed:
			return nil, net.ErrClosed
		}
	}}}
}

// slowConn is the server's end of a connection. As in the Linux kernel, a writer that has
// found the buffer full waits until a third of it is free.
type slowConn struct {
	net.Conn
	mu     sync.Mutex
	cond   *sync.Cond
	queue  []byte
	full   bool
	closed bool
}

func newSlowConn(c net.Conn) *slowConn {
	s := &slowConn{Conn: c}
	s.cond = sync.NewCond(&s.mu)
	return s
}

func (s *slowConn) Write(p []byte) (n int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n < len(p) {
		for s.full && !s.closed {
			s.cond.Wait()
		}
		if s.closed {
			return n, net.ErrClosed
		}
		part := min(len(p)-n, sendBuffer-len(s.queue))
		s.queue = append(s.queue, p[n:n+part]...)
		s.full = len(s.queue) == sendBuffer
		n += part
		s.cond.Broadcast()
	}
	return n, nil
}

func (s *slowConn) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.cond.Broadcast()
	return nil
}

// nextSegment removes the next segment from the buffer. It returns an empty one after the
// end.
func (s *slowConn) nextSegment() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.queue) == 0 && !s.closed {
		s.cond.Wait()
	}
	out := bytes.Clone(s.queue[:min(segmentSize, len(s.queue))])
	s.queue = s.queue[len(out):]
	s.full = s.full && len(s.queue) > sendBuffer*2/3
	s.cond.Broadcast()
	return out
}

// pump sends the buffered bytes to the client at the given rate, in bytes per second.
func (s *slowConn) pump(rate int) {
	defer func() { _ = s.Conn.Close() }()
	for part := s.nextSegment(); len(part) > 0; part = s.nextSegment() {
		time.Sleep(time.Second * time.Duration(len(part)) / time.Duration(rate))
		if _, err := s.Conn.Write(part); err != nil {
			return
		}
	}
}

// largeAnswers is a plain service whose answers have the maximum size.
type largeAnswers struct{ ran chan struct{} }

const largeAnswer = 8 << 20 // bytes

func (largeAnswers) Healthy(context.Context) error { return nil }

func (s largeAnswers) Do(context.Context, plain.Call) (plain.Answer, error) {
	close(s.ran)
	return plain.Answer{Status: http.StatusOK, Body: make([]byte, largeAnswer)}, nil
}

// A backend server is stopped as planned while an 8 MB response to a call that may run at
// most once is being sent to the router over a 10 Mbit/s link. The call stopped counting
// towards the drain when it had run; 2.3 s later (drainLinger and shutdownTimeout) the
// process closed the connection, and the caller didn't know the outcome.
func TestPlannedStopOfASidecarLetsALargeAnswerOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		peers, service := newSlowLink(linkRate), largeAnswers{make(chan struct{})}
		s, err := NewSidecar(SidecarOptions{
			Common:        Common{ID: "s", Zone: "z1", Peers: peers, Logger: log.NewNopLogger()},
			BackendServer: "a", Plain: service,
		})
		g.Expect(err).NotTo(HaveOccurred())
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- s.Run(ctx) }()
		go func() {
			<-service.ran
			stop()
		}()
		response, err := streampb.NewSidecarProtobufClient("http://s", peers.client()).Call(t.Context(), &streampb.CallRequest{RequestId: "r", Method: "POST", Path: "/"})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.GetOutcome()).To(Equal(streampb.CallOutcome_CALL_COMPLETED))
		g.Expect(response.GetBody()).To(HaveLen(largeAnswer))
		g.Expect(<-ended).To(Succeed())
	})
}

// The reader of a response has frozen. It must not keep a process from ending: an operator
// has limited the stop to five seconds, and without a limit a minute is enough.
func TestFrozenReaderDoesNotKeepASidecarFromEnding(t *testing.T) {
	for limit, want := range map[time.Duration]time.Duration{5 * time.Second: 7 * time.Second, 0: responseDrainTimeout + shutdownTimeout} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			peers, service := newSlowLink(segmentSize), largeAnswers{make(chan struct{})}
			s, err := NewSidecar(SidecarOptions{
				Common:        Common{ID: "s", Zone: "z1", Peers: peers, Logger: log.NewNopLogger(), Drain: limit},
				BackendServer: "a", Plain: service,
			})
			g.Expect(err).NotTo(HaveOccurred())
			ctx, stop := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			go func() { ended <- s.Run(ctx) }()
			reading, cancel := context.WithCancel(t.Context())
			go func() {
				_, _ = streampb.NewSidecarProtobufClient("http://s", peers.client()).Call(reading, &streampb.CallRequest{RequestId: "r", Method: "POST", Path: "/"})
			}()
			<-service.ran
			began := time.Now()
			stop()
			g.Expect(<-ended).To(Succeed())
			g.Expect(time.Since(began)).To(BeNumerically("<=", want))
			cancel()
			time.Sleep(2 * time.Second) // lets the last segment be sent
		})
	}
}

// A router is stopped as planned while a caller reads a response over a 240 kbit/s link.
// The request stops counting towards the drain when its handler returns, while the server
// still holds up to 4 KB of the response, which for some sizes wait for space in the
// kernel's buffer. Two seconds later the connection was closed without sending them.
func TestPlannedStopOfARouterLetsTheLastBytesOut(t *testing.T) {
	// Answers of 512 KB and more, in steps of 1 KB. The rate is in bytes per second.
	const minAnswer, sizes, step, rate = 512 << 10, 90, 1 << 10, 30_000
	for i := range sizes {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			answer := make([]byte, minAnswer+i*step)
			var group run.Group
			callers, handled := newSlowLink(rate), make(chan struct{})
			addServer(&group, callers, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				defer close(handled)
				_, _ = io.Copy(struct{ io.Writer }{w}, struct{ io.Reader }{bytes.NewReader(answer)})
			}), (&base{}).responseTimeout, event.Discard())
			addActor(&group, func(context.Context) error {
				<-handled
				return nil
			})
			ended := make(chan error, 1)
			go func() { ended <- group.Run() }()
			response, err := callers.client().Get("http://router/")
			g.Expect(err).NotTo(HaveOccurred())
			body, err := io.ReadAll(response.Body)
			g.Expect(err).NotTo(HaveOccurred(), "response of %d bytes", len(answer))
			g.Expect(body).To(HaveLen(len(answer)))
			g.Expect(<-ended).To(Succeed())
		})
	}
}
