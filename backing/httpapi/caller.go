package httpapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/backing"
	"github.com/pearyard/pearyard/httpwire"
)

const (
	defaultDialTimeout = 500 * time.Millisecond
	defaultTimeout     = 2 * time.Second
	maxResponseBytes   = 64 << 20
	maxErrorBytes      = 1 << 20 // large enough for the keys of a conflict
	maxIdleConnections = 16
)

// Options configures a client. Zero durations take their defaults.
type Options struct {
	Address     string        // IP:port of the platform
	DialTimeout time.Duration // default 500 ms
	Timeout     time.Duration // of a whole call; default 2 s
}

// caller makes calls and maps their failures to the errors of package backing.
type caller struct {
	base      string // URL of the platform, without a path
	timeout   time.Duration
	transport *http.Transport
}

func newCaller(opts Options) *caller {
	if opts.DialTimeout == 0 {
		opts.DialTimeout = defaultDialTimeout
	}
	if opts.Timeout == 0 {
		opts.Timeout = defaultTimeout
	}
	dialer := &net.Dialer{Timeout: opts.DialTimeout}
	return &caller{
		base:    "http://" + opts.Address,
		timeout: opts.Timeout,
		transport: &http.Transport{
			DialContext:         httpwire.Dial(dialer.DialContext),
			MaxIdleConnsPerHost: maxIdleConnections,
			IdleConnTimeout:     time.Minute,
		},
	}
}

// get makes a read call. Every failure without a more specific error is
// ErrUnavailable, since a read has no effect.
func (c *caller) get(ctx context.Context, path string, query url.Values) ([]byte, error) {
	return c.do(ctx, http.MethodGet, path+"?"+query.Encode(), nil, backing.ErrUnavailable)
}

// write makes a write call. Once a connection exists, a lost response is
// ErrAmbiguous: the write may or may not have taken effect. Reporting it as
// unavailable would let the caller repeat or undo a write that took effect.
func (c *caller) write(ctx context.Context, method, path string, body []byte) error {
	_, err := c.do(ctx, method, path, body, backing.ErrAmbiguous)
	return err
}

// do makes one call; lost is the error for a response lost after the connection
// was made. Of the methods used here, net/http retries only GET by itself, which
// has no effect; it sends POST and PUT again only if no byte was written.
func (c *caller) do(ctx context.Context, method, path string, body []byte, lost error) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.WithMessage(backing.ErrUnavailable, err.Error())
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil && !connected {
		return nil, errors.WithMessage(backing.ErrUnavailable, err.Error())
	}
	if err != nil {
		return nil, errors.WithMessage(lost, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, statusError(resp, lost)
	}
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, errors.WithMessage(lost, err.Error())
	}
	return answer, nil
}

// statusError converts a response whose status isn't 200. lost is the error for a
// status that doesn't exclude an effect, such as 500.
func statusError(resp *http.Response, lost error) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	switch resp.StatusCode {
	case http.StatusNotFound:
		return backing.ErrNotFound
	case http.StatusTooManyRequests:
		return backing.ErrThrottled
	case http.StatusServiceUnavailable:
		return backing.ErrUnavailable
	case http.StatusConflict:
		var conflict Conflict
		_ = json.Unmarshal(text, &conflict)
		return &backing.ConflictError{Keys: conflict.Keys}
	}
	if resp.StatusCode/100 == 4 {
		lost = backing.ErrUnavailable
	}
	return errors.WithMessagef(lost, "%s: %s", resp.Status, bytes.TrimSpace(text))
}

// decode decodes a JSON response; malformed JSON is ErrUnavailable.
func decode(raw []byte, into any) error {
	if err := json.Unmarshal(raw, into); err != nil {
		return errors.WithMessage(backing.ErrUnavailable, err.Error())
	}
	return nil
}
