package lab

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Client sends requests as the users' clients do.
type Client struct {
	HTTP *http.Client
	next atomic.Int64
}

// NewClient returns a client that keeps connections.
func NewClient() *Client {
	return &Client{HTTP: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: 4 * time.Second}}}
}

// NextID returns a new Attempt-Id.
func (c *Client) NextID(prefix string) string { return prefix + strconv.FormatInt(c.next.Add(1), 10) }

// Outcome is what a client got.
type Outcome struct {
	Status   int
	Body     string
	Complete bool
	Events   int
	Last     string // id of the last event
	Err      error
	Header   http.Header
}

// Send sends one request to an entry process and reads the answer.
func (c *Client) Send(ctx context.Context, entry, id, path, body string, deadline time.Duration, more http.Header) Outcome {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+path, strings.NewReader(body))
	if err != nil {
		return Outcome{Err: err}
	}
	req.Host = Host
	for name, values := range more {
		req.Header[name] = values
	}
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	req.Header.Set("Authorization", "Token "+Key)
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return Outcome{Err: err}
	}
	defer resp.Body.Close()
	o := Outcome{Status: resp.StatusCode, Header: resp.Header}
	var text strings.Builder
	in := bufio.NewReader(resp.Body)
	for {
		line, err := in.ReadString('\n')
		text.WriteString(line)
		if value, ok := strings.CutPrefix(line, "id: "); ok {
			o.Events++
			o.Last = strings.TrimSpace(value)
		}
		if errors.Is(err, io.EOF) {
			o.Complete = true
			break
		}
		if err != nil {
			o.Err = err
			break
		}
	}
	o.Body = text.String()
	return o
}
