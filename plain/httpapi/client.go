package httpapi

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/httpwire"
	"github.com/pearyard/pearyard/plain"
)

const (
	defaultDialTimeout      = 500 * time.Millisecond
	defaultMaxResponseBytes = 8 << 20
	healthTimeout           = time.Second
	healthPath              = "/healthz"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// Options configures a Client. Zero values take their defaults.
type Options struct {
	Address          string        // IP:port of the service
	DialTimeout      time.Duration // default 500 ms
	MaxResponseBytes int64         // maximum size of a response body; default 8 MiB
}

// Client is a plain.Service over HTTP.
type Client struct {
	address          string
	maxResponseBytes int64
	transport        *http.Transport
}

var _ plain.Service = (*Client)(nil)

// New returns a client of the service at opts.Address.
func New(opts Options) *Client {
	if opts.DialTimeout == 0 {
		opts.DialTimeout = defaultDialTimeout
	}
	if opts.MaxResponseBytes == 0 {
		opts.MaxResponseBytes = defaultMaxResponseBytes
	}
	dialer := &net.Dialer{Timeout: opts.DialTimeout}
	return &Client{
		address:          opts.Address,
		maxResponseBytes: opts.MaxResponseBytes,
		// Prevents a call from running twice. When a reused connection breaks,
		// http.Transport retries a request by itself if its method is idempotent
		// or if it has an Idempotency-Key, and the service could run the call a
		// second time unnoticed. It retries on reused connections only; without
		// keep-alives there are none.
		transport: &http.Transport{
			DialContext:        httpwire.Dial(dialer.DialContext),
			DisableKeepAlives:  true,
			DisableCompression: true,
		},
	}
}

// Do implements plain.Service. It uses the transport directly, because an
// http.Client would follow a redirect and thereby send the call a second time.
func (c *Client) Do(ctx context.Context, call plain.Call) (plain.Answer, error) {
	// GotConn runs before the first byte is written; if it didn't run, nothing was sent.
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	req, err := c.request(httptrace.WithClientTrace(ctx, trace), call)
	if err != nil {
		return plain.Answer{}, errors.WithMessage(plain.ErrNotSent, err.Error())
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil && !connected {
		return plain.Answer{}, errors.WithMessage(plain.ErrNotSent, err.Error())
	}
	if err != nil {
		return plain.Answer{}, errors.WithMessage(plain.ErrResponseLost, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	return c.answer(resp)
}

// Healthy implements plain.Service. Any 2xx status means healthy.
func (c *Client) Healthy(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	answer, err := c.Do(ctx, plain.Call{Method: http.MethodGet, Path: healthPath})
	if err != nil {
		return err
	}
	if answer.Status/100 != 2 {
		return errors.Errorf("plain: health check returned status %d", answer.Status)
	}
	return nil
}

// request builds the HTTP request of a call. It refuses a path that would change the
// host, for example one that doesn't begin with "/".
func (c *Client) request(ctx context.Context, call plain.Call) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+c.address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	if req.URL.Host != c.address {
		return nil, errors.Errorf("path %q changes the host to %q", call.Path, req.URL.Host)
	}
	if call.Header != nil {
		req.Header = call.Header.Clone()
	}
	for _, name := range hopByHopHeaders {
		req.Header.Del(name)
	}
	return req, nil
}

// answer reads a response. The call may have run, so every failure is ErrResponseLost.
func (c *Client) answer(resp *http.Response) (plain.Answer, error) {
	if resp.StatusCode < http.StatusOK {
		// A faulty service may send a status such as 099. net/http panics when asked
		// to write it, which closed the caller's connection without a response.
		return plain.Answer{}, errors.WithMessagef(plain.ErrResponseLost, "%03d is not a final HTTP status", resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.maxResponseBytes+1))
	if err != nil {
		return plain.Answer{}, errors.WithMessage(plain.ErrResponseLost, err.Error())
	}
	if int64(len(body)) > c.maxResponseBytes {
		return plain.Answer{}, errors.WithMessagef(plain.ErrResponseLost, "response body is larger than %d bytes", c.maxResponseBytes)
	}
	header := resp.Header.Clone()
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
	return plain.Answer{Status: resp.StatusCode, Header: header, Body: body}, nil
}
