package lab

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// RunnerIP is the loopback address of all runners. No client uses it as its local address, so
// that a runner that starts again finds its port free.
const RunnerIP = "127.0.62.1"

// Conn is a connection to a runner.
type Conn struct {
	net.Conn
	Extra []byte // bytes to be sent at the point where the next answer is expected
}

// Runner is one server of a service. Serve handles one request, whose answer it writes to the
// connection; false: the connection ends. ctx ends when the connection does.
type Runner struct {
	Site                               *Site
	ID, Service, Zone, Version, Listen string
	Slots                              int
	Born                               int64
	Serve                              func(ctx context.Context, r *Runner, c *Conn, req *http.Request, body []byte) bool

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	active   int
	down     bool
}

// Start listens and lists the runner.
func (r *Runner) Start() error {
	if r.Listen == "" {
		r.Listen = RunnerIP + ":0"
	}
	l, err := net.Listen("tcp4", r.Listen)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.listener, r.Listen, r.conns, r.active, r.down = l, l.Addr().String(), map[net.Conn]bool{}, 0, false
	r.Born = time.Now().UnixMilli()
	r.mu.Unlock()
	go r.accept(l)
	r.Site.List(r.ID, r.Service, r.Zone, r.Version, r.Listen, r.Born, r.Slots, "ready")
	return nil
}

// Crash closes the listener and all connections at once, as the kernel does for a process that
// is killed. The entry stays.
func (r *Runner) Crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = true
	_ = r.listener.Close()
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Down reports whether the runner has crashed and has not started again.
func (r *Runner) Down() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.down
}

// Take takes a slot; false: all are taken.
func (r *Runner) Take() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.active >= r.Slots {
		return false
	}
	r.active++
	return true
}

// Leave gives a slot back.
func (r *Runner) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active--
}

func (r *Runner) accept(l net.Listener) {
	for {
		raw, err := l.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[raw] = true
		r.mu.Unlock()
		go r.handle(raw)
	}
}

func (r *Runner) handle(raw net.Conn) {
	defer func() {
		_ = raw.Close()
		r.mu.Lock()
		delete(r.conns, raw)
		r.mu.Unlock()
	}()
	c := &Conn{Conn: raw}
	in := bufio.NewReader(raw)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if len(c.Extra) > 0 {
			if _, err := c.Write(c.Extra); err != nil {
				return
			}
			c.Extra = nil
		}
		if !r.one(c, in, req, body) {
			return
		}
	}
}

// one handles a request. While it does, the end of the connection is watched for.
func (r *Runner) one(c *Conn, in *bufio.Reader, req *http.Request, body []byte) bool {
	switch {
	case req.URL.Path == "/pearyard/report":
		return c.Answer(200, nil, fmt.Appendf(nil, `{"phase":"unified","models":[],"busy":false,"seq":1,"queued":0,"active":0,"kvUsedTokens":0,"kvTotalTokens":88000,"kvHandles":0,"born":%d}`, r.Born))
	case req.URL.Path == "/healthz":
		return c.Answer(200, http.Header{"Instance-Id": {r.ID}}, nil)
	case strings.HasPrefix(req.URL.Path, "/pearyard/kv-list"):
		return c.Answer(200, nil, []byte(`{"epoch":1,"next":1,"held":[]}`))
	case strings.HasPrefix(req.URL.Path, "/pearyard/"):
		return c.Answer(404, nil, nil)
	}
	id := req.Header.Get("Attempt-Id")
	if want := req.Header.Get("Target-Instance"); want != "" && want != r.ID {
		return c.Answer(421, http.Header{"Attempt-Id": {id}, "Instance-Id": {r.ID}}, nil)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watching := make(chan struct{})
	go func() { // the sender waits for the answer, so what can be read meanwhile is the end
		defer close(watching)
		if _, err := in.Peek(1); err != nil && ctx.Err() == nil {
			if !isTimeout(err) {
				cancel()
			}
		}
	}()
	keep := r.Serve(ctx, r, c, req, body)
	_ = c.SetReadDeadline(time.Unix(1, 0))
	<-watching
	_ = c.SetReadDeadline(time.Time{})
	return keep
}

func isTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}

// Answer writes an answer with a length. It reports whether the connection may be kept.
func (c *Conn) Answer(status int, h http.Header, body []byte) bool {
	_, err := c.Write(Encode(status, h, body))
	return err == nil
}

// Encode returns an answer with a length.
func Encode(status int, h http.Header, body []byte) []byte {
	var out bytes.Buffer
	_, _ = fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = h.Write(&out)
	_, _ = fmt.Fprintf(&out, "Content-Length: %d\r\n\r\n", len(body))
	out.Write(body)
	return out.Bytes()
}

// Head returns the head of a chunked answer.
func Head(status int, h http.Header) []byte {
	var out bytes.Buffer
	_, _ = fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = h.Write(&out)
	_, _ = out.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	return out.Bytes()
}

// Chunk returns a chunk; an empty one ends the answer.
func Chunk(data string) []byte { return fmt.Appendf(nil, "%x\r\n%s\r\n", len(data), data) }
