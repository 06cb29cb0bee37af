package httpconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Options of a Pool; zero fields take the defaults.
type Options struct {
	ConnectTimeout time.Duration
	MaxIdle        time.Duration // kept connections are dropped after it
	MaxIdlePerAddr int
}

// Defaults of Options.
const (
	// DefaultConnectTimeout is many times the round trip within a region; a VM
	// without power doesn't answer at all.
	DefaultConnectTimeout = 250 * time.Millisecond
	// DefaultMaxIdle is short: the longer a connection idles, the likelier it is
	// that its other end has closed it just as the next request is sent.
	DefaultMaxIdle        = 2 * time.Second
	DefaultMaxIdlePerAddr = 16
	// readBuffer holds the head of an answer or several events.
	readBuffer = 4096
	// syncBody is the largest request that is written before the answer is
	// read. A longer one is written beside it: a server may answer before it
	// has read all, and neither end may then wait for the other.
	syncBody = 2048
)

// ErrGarbage: bytes arrived on a connection before a request was sent on it.
var ErrGarbage = errors.New("httpconn: bytes on an idle connection")

// ConnectError says that no connection could be made: nothing was sent.
type ConnectError struct{ Err error }

// Error implements error.
func (e *ConnectError) Error() string { return "httpconn: connect: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.Err }

// Pool keeps connections by address.
type Pool struct {
	opts   Options
	dialer net.Dialer

	mu   sync.Mutex // guards idle; held for a few instructions only
	idle map[string][]*Conn
}

// NewPool returns an empty pool.
func NewPool(opts Options) *Pool {
	if opts.ConnectTimeout == 0 {
		opts.ConnectTimeout = DefaultConnectTimeout
	}
	if opts.MaxIdle == 0 {
		opts.MaxIdle = DefaultMaxIdle
	}
	if opts.MaxIdlePerAddr == 0 {
		opts.MaxIdlePerAddr = DefaultMaxIdlePerAddr
	}
	return &Pool{opts: opts, dialer: net.Dialer{Timeout: opts.ConnectTimeout, KeepAlive: -1}, idle: map[string][]*Conn{}}
}

// Conn is one connection. It carries one request at a time.
type Conn struct {
	net.Conn
	pool      *Pool
	addr      string
	reader    *bufio.Reader
	Used      int           // requests sent before this one
	idleSince time.Time     // set while kept
	keepFor   time.Duration // what the server said; 0: nothing
	stop      func() bool   // ends the watch of the request's context
	written   chan error    // the outcome of a long request's writing
	body      *Body
}

// Get returns a kept connection to addr that looks sound, or a new one.
func (p *Pool) Get(ctx context.Context, addr string) (*Conn, error) {
	for {
		c := p.take(addr)
		if c == nil {
			return p.dial(ctx, addr)
		}
		if c.sound() {
			return c, nil
		}
		_ = c.Conn.Close()
	}
}

func (p *Pool) take(addr string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	p.idle[addr] = list[:len(list)-1]
	return c
}

func (p *Pool) dial(ctx context.Context, addr string) (*Conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, &ConnectError{Err: err}
	}
	return &Conn{Conn: raw, pool: p, addr: addr, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

// sound tells whether a kept connection may carry another request: it was not
// idle for too long, not closed by the server, and nothing has arrived on it.
// A late second answer would otherwise be read as that to the next request.
func (c *Conn) sound() bool {
	limit := c.pool.opts.MaxIdle
	if c.keepFor > 0 {
		limit = min(limit, c.keepFor*4/5)
	}
	if time.Since(c.idleSince) > limit || c.reader.Buffered() > 0 {
		return false
	}
	state := look(c.Conn)
	return state == idleQuiet || state == idleUnknown
}

// Request is one request as it goes over the wire.
type Request struct {
	Method string
	Target string // path and query as they came
	Host   string
	Header http.Header
	Body   []byte
}

// encode writes the head, and the body if it is short.
func (r *Request) encode() []byte {
	buf := make([]byte, 0, 1024)
	buf = append(buf, r.Method...)
	buf = append(buf, ' ')
	buf = append(buf, r.Target...)
	buf = append(buf, " HTTP/1.1\r\nHost: "...)
	buf = append(buf, r.Host...)
	buf = append(buf, "\r\n"...)
	for name, values := range r.Header {
		for _, v := range values {
			buf = append(buf, name...)
			buf = append(buf, ": "...)
			buf = append(buf, v...)
			buf = append(buf, "\r\n"...)
		}
	}
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete) {
		buf = append(buf, "Content-Length: "...)
		buf = strconv.AppendInt(buf, int64(len(r.Body)), 10)
		buf = append(buf, "\r\n"...)
	}
	return append(buf, "\r\n"...)
}

// Send writes a request. The end of ctx closes the connection until the
// answer's body is finished with, so that the server stops its work.
func (c *Conn) Send(ctx context.Context, r *Request) error {
	c.stop = context.AfterFunc(ctx, func() { _ = c.Conn.Close() })
	head := r.encode()
	if len(r.Body) <= syncBody {
		_, err := c.Conn.Write(append(head, r.Body...))
		return errors.Wrap(err, "httpconn: write")
	}
	c.written = make(chan error, 1)
	go func() {
		_, err := (&net.Buffers{head, r.Body}).WriteTo(c.Conn)
		c.written <- err
	}()
	return nil
}

// Receive reads the head of the next answer.
func (c *Conn) Receive(method string) (*http.Response, error) {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	for err == nil && resp.StatusCode >= 100 && resp.StatusCode < 200 {
		resp, err = http.ReadResponse(c.reader, &http.Request{Method: method})
	}
	if err != nil {
		return nil, errors.Wrap(err, "httpconn: read")
	}
	c.body = &Body{conn: c, raw: resp.Body, reusable: !resp.Close && (resp.ContentLength >= 0 || chunked(resp)), keepFor: keepAlive(resp.Header)}
	resp.Body = c.body
	return resp, nil
}

func chunked(resp *http.Response) bool {
	return len(resp.TransferEncoding) > 0 && resp.TransferEncoding[0] == "chunked"
}

// Skip reads past an answer that belongs to another request. It fails if that
// answer's end can't be told.
func (c *Conn) Skip() error {
	if c.body == nil || !c.body.reusable {
		return errors.New("httpconn: an answer without a length can't be skipped")
	}
	_, err := io.Copy(io.Discard, io.LimitReader(c.body.raw, maxSkip+1))
	return errors.Wrap(err, "httpconn: skip")
}

// maxSkip bounds what is read of an answer that nobody wants.
const maxSkip = 1 << 20

// Abort closes the connection.
func (c *Conn) Abort() {
	if c.stop != nil {
		c.stop()
	}
	_ = c.Conn.Close()
}

func (p *Pool) put(c *Conn) {
	c.Used++
	c.idleSince = time.Now()
	c.body = nil
	p.mu.Lock()
	list := p.idle[c.addr]
	if len(list) < p.opts.MaxIdlePerAddr {
		p.idle[c.addr] = append(list, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	_ = c.Conn.Close()
}

// Prune closes connections that have idled for too long.
func (p *Pool) Prune() {
	p.mu.Lock()
	var old []*Conn
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if time.Since(c.idleSince) > p.opts.MaxIdle {
				old = append(old, c)
				continue
			}
			kept = append(kept, c)
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = kept
	}
	p.mu.Unlock()
	for _, c := range old {
		_ = c.Conn.Close()
	}
}
