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

	"github.com/pearyard/pearyard/plain"
)

const (
	defaultDialTimeout   = 500 * time.Millisecond
	defaultMaxAnswer     = 8 << 20
	defaultHealthTimeout = time.Second
	healthPath           = "/healthz"
)

// hopByHop are the headers that speak of one connection only.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// Options of a Client. Zero values take their defaults.
type Options struct {
	Address     string        // IP:port of the service
	DialTimeout time.Duration // default 500 ms
	MaxAnswer   int64         // bytes of the largest answer; default 8 MiB
}

// Client is a plain.Service over HTTP.
type Client struct {
	address   string
	maxAnswer int64
	transport *http.Transport
}

var _ plain.Service = (*Client)(nil)

// New returns a client of the service at opts.Address.
func New(opts Options) *Client {
	if opts.DialTimeout == 0 {
		opts.DialTimeout = defaultDialTimeout
	}
	if opts.MaxAnswer == 0 {
		opts.MaxAnswer = defaultMaxAnswer
	}
	dialer := &net.Dialer{Timeout: opts.DialTimeout}
	return &Client{
		address:   opts.Address,
		maxAnswer: opts.MaxAnswer,
		// Guards against a call run twice. On a kept connection that breaks,
		// http.Transport sends a request again by itself if its method is
		// idempotent or if it carries an Idempotency-Key; the service would run
		// the call a second time behind our back. It does so only on connections
		// used before, and without keep-alives there is none.
		transport: &http.Transport{
			DialContext:        dialer.DialContext,
			DisableKeepAlives:  true,
			DisableCompression: true,
		},
	}
}

// Do implements plain.Service. It uses the transport alone: an http.Client
// would follow a redirect, and by that send the call a second time.
func (c *Client) Do(ctx context.Context, call plain.Call) (plain.Answer, error) {
	// GotConn runs before the first byte is written; a call without it never left.
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
		return plain.Answer{}, errors.WithMessage(plain.ErrLost, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	return c.answer(resp)
}

// Healthy implements plain.Service.
func (c *Client) Healthy(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, defaultHealthTimeout)
	defer cancel()
	answer, err := c.Do(ctx, plain.Call{Method: http.MethodGet, Path: healthPath})
	if err != nil {
		return err
	}
	if answer.Status/100 != 2 {
		return errors.Errorf("plain: health check answered %d", answer.Status)
	}
	return nil
}

func (c *Client) request(ctx context.Context, call plain.Call) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+c.address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	if req.URL.Host != c.address {
		return nil, errors.Errorf("path %q leads to another host", call.Path)
	}
	if call.Header != nil {
		req.Header = call.Header.Clone()
	}
	for _, name := range hopByHop {
		req.Header.Del(name)
	}
	return req, nil
}

func (c *Client) answer(resp *http.Response) (plain.Answer, error) {
	if resp.StatusCode < http.StatusOK {
		// Failure it stops: a faulty service sends 099. net/http panics when asked to
		// write that, and the caller's connection was closed without an answer.
		return plain.Answer{}, errors.WithMessagef(plain.ErrLost, "%03d is no final status", resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.maxAnswer+1))
	if err != nil {
		return plain.Answer{}, errors.WithMessage(plain.ErrLost, err.Error())
	}
	if int64(len(body)) > c.maxAnswer {
		return plain.Answer{}, errors.WithMessagef(plain.ErrLost, "answer is larger than %d bytes", c.maxAnswer)
	}
	header := resp.Header.Clone()
	for _, name := range hopByHop {
		header.Del(name)
	}
	return plain.Answer{Status: resp.StatusCode, Header: header, Body: body}, nil
}
