package httpapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/engine"
	"github.com/pearyard/pearyard/httpwire"
	"github.com/pearyard/pearyard/types"
)

const (
	defaultDialTimeout    = 500 * time.Millisecond
	defaultControlTimeout = 2 * time.Second
	maxControlBytes       = 8 << 20 // size of the response to a control call
	maxErrorBytes         = 512     // part of an error response that is quoted in the error
)

// Options configures a Client. Zero durations take their defaults.
type Options struct {
	Address        string        // IP:port of the engine
	DialTimeout    time.Duration // of every connection; default 500 ms
	ControlTimeout time.Duration // of every call but Generate; default 2 s
}

// Client is an engine.Engine over HTTP. A control call is any call but Generate.
type Client struct {
	base    string          // URL of the engine, without a path
	timeout time.Duration   // of a control call
	streams *http.Transport // for Generate
	control *http.Transport // for control calls
}

var _ engine.Engine = (*Client)(nil)

// New returns a client of the engine at opts.Address.
func New(opts Options) *Client {
	if opts.DialTimeout == 0 {
		opts.DialTimeout = defaultDialTimeout
	}
	if opts.ControlTimeout == 0 {
		opts.ControlTimeout = defaultControlTimeout
	}
	dial := httpwire.Dial((&net.Dialer{Timeout: opts.DialTimeout}).DialContext)
	return &Client{
		base:    "http://" + opts.Address,
		timeout: opts.ControlTimeout,
		// Every generation gets a new connection. If an engine restarts while a
		// kept connection is idle, the next request on that connection fails as if
		// it had crashed the engine, and would be suspected of doing so.
		streams: &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true},
		control: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute},
	}
}

// Generate implements engine.Engine. It returns ErrRefused if no connection could
// be made or the status is 4xx or 503, since the request did not start then, and
// ErrConnectionLost if the stream ends before its finish line for any other reason.
func (c *Client) Generate(ctx context.Context, req engine.Request, emit func(types.Token) error) (engine.Result, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return engine.Result{}, errors.WithMessage(engine.ErrRefused, err.Error())
	}
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	httpReq, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, c.base+PathGenerate, bytes.NewReader(body))
	if err != nil {
		return engine.Result{}, errors.WithMessage(engine.ErrRefused, err.Error())
	}
	httpReq.Header.Set("Content-Type", "application/json")
	resp, err := c.streams.RoundTrip(httpReq)
	if err != nil {
		return engine.Result{}, transportError(ctx, err, connected)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return engine.Result{}, statusError(resp)
	}
	result, err := readGeneration(resp.Body, emit)
	if errors.Is(err, engine.ErrConnectionLost) && ctx.Err() != nil {
		return result, ctx.Err()
	}
	return result, err
}

// Load implements engine.Engine.
func (c *Client) Load(ctx context.Context) (types.Load, error) {
	var report LoadReport
	err := c.call(ctx, http.MethodGet, PathLoad, nil, &report)
	return report.Load(time.Now()), err
}

// CacheEvents implements engine.Engine.
func (c *Client) CacheEvents(ctx context.Context, since uint64) ([]engine.CacheEvent, error) {
	var events []engine.CacheEvent
	err := c.call(ctx, http.MethodGet, PathCacheEvents+"?"+QuerySince+"="+strconv.FormatUint(since, 10), nil, &events)
	return events, err
}

// Order implements engine.Engine.
func (c *Client) Order(ctx context.Context, order engine.Order) error {
	return c.call(ctx, http.MethodPost, PathOrders, order, nil)
}

// Loaded implements engine.Engine.
func (c *Client) Loaded(ctx context.Context) ([]engine.Loaded, error) {
	var loaded []engine.Loaded
	err := c.call(ctx, http.MethodGet, PathLoaded, nil, &loaded)
	return loaded, err
}

// Healthy implements engine.Engine.
func (c *Client) Healthy(ctx context.Context) error {
	return c.call(ctx, http.MethodGet, PathHealth, nil, nil)
}

// call makes one control call. in is sent and out is decoded as JSON; both may be nil.
// Without a well-formed response it returns ErrConnectionLost, even if no connection
// could be made.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	body := io.Reader(http.NoBody)
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return errors.WithStack(err)
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return errors.WithStack(err)
	}
	resp, err := c.control.RoundTrip(req)
	if err != nil {
		return errors.WithMessage(engine.ErrConnectionLost, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return statusError(resp)
	}
	if out == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxControlBytes))
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxControlBytes)).Decode(out); err != nil {
		return errors.WithMessage(engine.ErrConnectionLost, err.Error())
	}
	return nil
}

// transportError converts an error of Generate's round trip: to the context's error if
// the context has ended, and to ErrRefused if no connection could be made.
func transportError(ctx context.Context, err error, connected bool) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if !connected {
		return errors.WithMessage(engine.ErrRefused, err.Error())
	}
	return errors.WithMessage(engine.ErrConnectionLost, err.Error())
}

// statusError converts a response whose status isn't 200.
func statusError(resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	kind := engine.ErrConnectionLost
	switch {
	case resp.StatusCode == http.StatusConflict:
		kind = engine.ErrStaleFence
	case resp.StatusCode == http.StatusServiceUnavailable, resp.StatusCode/100 == 4:
		kind = engine.ErrRefused
	}
	return errors.WithMessagef(kind, "%s: %s", resp.Status, bytes.TrimSpace(text))
}
