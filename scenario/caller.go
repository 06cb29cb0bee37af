package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/client"
	"github.com/pearyard/pearyard/embedded"
	"github.com/pearyard/pearyard/types"
)

const (
	// callerSilence is how long a caller waits for the next token until it
	// goes to another router.
	callerSilence = 2500 * time.Millisecond
	tokenLength   = len(" w00000000")
)

// caller is one request of a script, running or ended.
type caller struct {
	prompt string
	tokens int // asked for

	mu         sync.Mutex // guards all up to done
	requests   []types.RequestID
	generation string // id, once the first token is there
	last       string // ip:port of the router that it spoke to last
	seen       int    // tokens so far

	done   chan struct{} // closed after the fields below are set
	answer client.Answer
	body   []byte // of a plain service's answer
	took   time.Duration
	err    error
}

// generation is what a script asks of a generation.
type generation struct {
	prompt string
	tokens int
	key    string
	first  int // number of the router that is tried first
	stream bool
	// patience is how long the caller waits for the next token until it comes back.
	patience time.Duration
}

// generate begins a generation through the routers at addresses.
func generate(ctx context.Context, addresses []string, ask generation) *caller {
	c := &caller{prompt: ask.prompt, tokens: ask.tokens, done: make(chan struct{})}
	httpClient := &http.Client{Transport: c}
	go func() {
		defer close(c.done)
		if !ask.stream {
			c.answer, c.err = whole(ctx, httpClient, addresses[ask.first-1], ask)
			return
		}
		opts := client.Options{Routers: addresses, Key: embedded.APIKey, HTTP: httpClient, IdleTimeout: ask.patience}
		req := client.Request{Model: embedded.Model, Prompt: ask.prompt, MaxTokens: ask.tokens, IdempotencyKey: ask.key, First: ask.first - 1}
		c.answer, c.err = client.New(opts).Generate(ctx, req, func(index int, _ string) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.seen = index + 1
		})
	}()
	return c
}

// transport is shared by all callers; each call gets a connection of its own,
// so that none depends on what another one broke.
var transport = &http.Transport{DisableKeepAlives: true}

// RoundTrip implements http.RoundTripper and notes who serves the caller.
func (c *caller) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = req.URL.Host
	c.requests = append(c.requests, types.RequestID(resp.Header.Get("Pearyard-Request-Id")))
	resp.Body = &eventBody{ReadCloser: resp.Body, caller: c}
	return resp, nil
}

func (c *caller) now() (router string, seen int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last, c.seen
}

func (c *caller) ended() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// post sends one request and returns the body of a good answer.
func post(ctx context.Context, httpClient *http.Client, url, key string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+embedded.APIKey)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	return read(httpClient.Do(req))
}

// read returns the body of a good answer, or its refusal.
func read(resp *http.Response, err error) ([]byte, error) {
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, client.Refusal(resp)
	}
	return io.ReadAll(resp.Body)
}

// whole asks for an answer in one piece and takes it apart into its tokens.
func whole(ctx context.Context, httpClient *http.Client, router string, ask generation) (client.Answer, error) {
	body, err := json.Marshal(client.Request{Model: embedded.Model, Prompt: ask.prompt, MaxTokens: ask.tokens})
	if err != nil {
		return client.Answer{}, err
	}
	raw, err := post(ctx, httpClient, "http://"+router+"/v1/completions", ask.key, body)
	if err != nil {
		return client.Answer{}, err
	}
	var completion struct {
		Choices []struct {
			Text         string
			FinishReason string `json:"finish_reason"`
		}
	}
	if err := json.Unmarshal(raw, &completion); err != nil || len(completion.Choices) != 1 {
		return client.Answer{}, errors.Errorf("not a completion: %s", raw)
	}
	answer := client.Answer{Finish: completion.Choices[0].FinishReason}
	for rest := completion.Choices[0].Text; rest != ""; {
		n := min(tokenLength, len(rest))
		answer.Texts = append(answer.Texts, rest[:n])
		rest = rest[n:]
	}
	return answer, nil
}

// call begins one call of a plain service.
func call(ctx context.Context, router, service, path, key string) *caller {
	c := &caller{done: make(chan struct{})}
	httpClient := &http.Client{Transport: c}
	go func() {
		defer close(c.done)
		url := "http://" + router + "/services/" + service + "/" + strings.TrimPrefix(path, "/")
		c.body, c.err = post(ctx, httpClient, url, key, []byte(key))
	}()
	return c
}
