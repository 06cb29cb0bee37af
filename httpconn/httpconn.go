package httpconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/httpwire"
)

// Options configure a Pool; zero fields take the defaults.
type Options struct {
	ConnectTimeout time.Duration
	MaxIdle        time.Duration // idle connections are dropped after it
	MaxIdlePerAddr int           // idle connections kept per address; further ones are closed
}

// Defaults for Options.
const (
	// DefaultConnectTimeout is many times the round trip within a region. A VM
	// that is powered off doesn't answer at all.
	DefaultConnectTimeout = 250 * time.Millisecond
	// DefaultMaxIdle is short: the longer a connection is idle, the more likely
	// it is that the peer closes it just as the next request is sent.
	DefaultMaxIdle        = 2 * time.Second
	DefaultMaxIdlePerAddr = 16
	// readBufferSize, in bytes, fits the head of a response or several server-sent events.
	readBufferSize = 4096
	// maxSyncBody is the largest request body, in bytes, that is written before the response is
	// read. A longer one is written concurrently: a server may respond before it
	// has read the whole request, and if both ends only wrote they would deadlock.
	maxSyncBody = 2048
	// maxConnRequests is how many requests a connection carries: it knows the keys of all, 8 bytes
	// each, and what answers named.
	maxConnRequests = 512
)

// ErrUnexpectedData says that data arrived on a connection before a request was sent on
// it.
var ErrUnexpectedData = errors.New("httpconn: bytes on an idle connection")

// ConnectError says that no connection could be established, so nothing was sent.
type ConnectError struct{ Err error }

// Error implements error.
func (e *ConnectError) Error() string { return "httpconn: connect: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.Err }

// Pool keeps idle connections by address.
type Pool struct {
	opts   Options
	dialer net.Dialer

	mu   sync.Mutex // guards idle; never held during I/O
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
	*httpwire.Conn   // fails at what is no response
	pool             *Pool
	addr             string
	head             *headLimit
	reader           *bufio.Reader     // from head
	carried          []uint64          // hashes of the keys of its requests
	claims           map[string]string // what answers on it named, by request
	PriorRequests    int               // requests completed before the current one
	idleSince        time.Time         // set while in the pool
	keepAliveTimeout time.Duration     // idle timeout announced by the server; 0: none
	stopWatch        func() bool       // stops watching the request's context
	writeResult      chan error        // result of writing a long request concurrently
	drains           bool              // reads have the deadline of Drain
	body             *Body             // of the last response received; nil while in the pool
}

// Get returns an idle connection to addr that is usable, or a new one.
func (p *Pool) Get(ctx context.Context, addr string) (*Conn, error) {
	return p.get(ctx, addr, func(*Conn) bool { return true })
}

// GetFor is Get for a request that its answers name by key. No connection carries a key twice:
// a second answer to the first request would be taken for that to the second one.
func (p *Pool) GetFor(ctx context.Context, addr, key string) (*Conn, error) {
	hash := xxhash.Sum64String(key) // an equal hash of another key costs a connection
	c, err := p.get(ctx, addr, func(c *Conn) bool { return !slices.Contains(c.carried, hash) })
	if err == nil {
		c.carried = append(c.carried, hash)
	}
	return c, err
}

func (p *Pool) get(ctx context.Context, addr string, fits func(*Conn) bool) (*Conn, error) {
	for {
		c := p.takeIdle(addr, fits)
		if c == nil {
			return p.dial(ctx, addr)
		}
		if c.isUsable() {
			return c, nil
		}
		_ = c.Conn.Close()
	}
}

// takeIdle takes the idle connection that was used last among those that fit; nil: none does.
func (p *Pool) takeIdle(addr string, fits func(*Conn) bool) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	for i, c := range slices.Backward(list) {
		if fits(c) {
			p.idle[addr] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

func (p *Pool) dial(ctx context.Context, addr string) (*Conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, &ConnectError{Err: err}
	}
	wire := httpwire.NewConn(raw)
	head := &headLimit{Conn: wire}
	return &Conn{Conn: wire, pool: p, addr: addr, head: head, reader: bufio.NewReaderSize(head, readBufferSize)}, nil
}

// isUsable reports whether an idle connection may carry another request: it was not
// idle for too long, the server hasn't closed it, and no data has arrived on it.
// A late second response would otherwise be read as that to the next request. A
// timeout that the server announced is used up to four fifths only, so that the
// server doesn't close first.
func (c *Conn) isUsable() bool {
	limit := c.pool.opts.MaxIdle
	if c.keepAliveTimeout > 0 {
		limit = min(limit, c.keepAliveTimeout*4/5)
	}
	if time.Since(c.idleSince) > limit || c.reader.Buffered() > 0 {
		return false
	}
	state := peekState(c.Conn)
	return state == stateOpen || state == stateUnknown
}

// Request is a request as it is sent over the wire.
type Request struct {
	Method string
	Target string // path and query, sent unchanged
	Host   string
	Header http.Header
	Body   []byte
}

// encode returns the encoded request line and header, without the body.
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

// Send writes a request. Until the response body is finished, cancelling ctx
// closes the connection, so that the server stops its work.
func (c *Conn) Send(ctx context.Context, r *Request) error {
	c.stopWatch = context.AfterFunc(ctx, func() { _ = c.Conn.Close() })
	head := r.encode()
	if len(r.Body) <= maxSyncBody {
		_, err := c.Conn.Write(append(head, r.Body...))
		return errors.Wrap(err, "httpconn: write")
	}
	c.writeResult = make(chan error, 1)
	go func() {
		c.writeResult <- c.Conn.WriteBuffers(net.Buffers{head, r.Body})
	}()
	return nil
}

// Receive reads the head of the next response that isn't informational (1xx). The error is
// ErrHeadTooLong if that takes more than maxHeadBytes, and an httpwire.SyntaxError if what
// arrives is no response.
func (c *Conn) Receive(method string) (*http.Response, error) {
	c.head.start()
	defer c.head.stop()
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	for err == nil && resp.StatusCode >= 100 && resp.StatusCode < 200 {
		resp, err = http.ReadResponse(c.reader, &http.Request{Method: method})
	}
	if err != nil {
		return nil, errors.Wrap(err, "httpconn: read")
	}
	c.body = &Body{conn: c, raw: resp.Body, reusable: !resp.Close && (resp.ContentLength >= 0 || isChunked(resp)), keepAliveTimeout: parseKeepAlive(resp.Header)}
	resp.Body = c.body
	return resp, nil
}

func isChunked(resp *http.Response) bool {
	return len(resp.TransferEncoding) > 0 && resp.TransferEncoding[0] == "chunked"
}

// Skip discards the body of the last response received, which belongs to another
// request, so that Receive can read the next one. It fails if the end of the body
// can't be determined.
func (c *Conn) Skip() error {
	if c.body == nil || !c.body.reusable {
		return errors.New("httpconn: can't skip a response that has no length or that closes the connection")
	}
	_, err := io.Copy(io.Discard, io.LimitReader(c.body.raw, maxSkipBytes+1))
	return errors.Wrap(err, "httpconn: skip")
}

// ReadBody reads the body of the last response received without ending it: the connection is
// given back once the response's own body is read to its end.
func (c *Conn) ReadBody(limit int64) ([]byte, error) {
	if c.body == nil {
		return nil, errors.New("httpconn: no response to read")
	}
	raw, err := io.ReadAll(io.LimitReader(c.body.raw, limit+1))
	if err == nil && int64(len(raw)) > limit {
		err = errors.New("httpconn: the body is too long")
	}
	return raw, errors.Wrap(err, "httpconn: read body")
}

// Claim records that an answer on the connection named something for a request; false: another
// request has it, so that the answer is not this one's.
func (c *Conn) Claim(name, request string) bool {
	owner, known := c.claims[name]
	if known {
		return owner == request
	}
	if c.claims == nil {
		c.claims = map[string]string{}
	}
	c.claims[name] = request
	return true
}

// maxSkipBytes bounds how much of an unwanted response is read.
const maxSkipBytes = 1 << 20

// Abort closes the connection.
func (c *Conn) Abort() {
	if c.stopWatch != nil {
		c.stopWatch()
	}
	_ = c.Conn.Close()
}

func (p *Pool) release(c *Conn) {
	c.PriorRequests++
	c.idleSince = time.Now()
	c.body = nil
	p.mu.Lock()
	list := p.idle[c.addr]
	if len(list) < p.opts.MaxIdlePerAddr && len(c.carried)+len(c.claims) < maxConnRequests {
		p.idle[c.addr] = append(list, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	_ = c.Conn.Close()
}

// Prune closes connections that have been idle for too long.
func (p *Pool) Prune() {
	p.mu.Lock()
	var expired []*Conn
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if time.Since(c.idleSince) > p.opts.MaxIdle {
				expired = append(expired, c)
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
	for _, c := range expired {
		_ = c.Conn.Close()
	}
}
