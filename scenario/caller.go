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
	// callerIdleTimeout is how long a caller waits for the next token before it
	// resumes through another router. It is longer than the pause of an answer that
	// the router itself resumes, so that the caller only resumes if the router fails.
	callerIdleTimeout = 2500 * time.Millisecond
	// tokenLength is the length in bytes of the text of each token of a stand-in engine.
	tokenLength = len(" w00000000")
)

// caller is one request that a script sent, in progress or ended.
type caller struct {
	prompt string
	tokens int // requested

	mu         sync.Mutex // guards the fields up to done
	requests   []types.RequestID
	generation string // generation ID, known from the first token on
	lastRouter string // ip:port of the router that received the last request
	tokensSeen int    // number of tokens received so far

	done    chan struct{} // closed after the fields below are set
	answer  client.Answer
	body    []byte // response body of a plain service
	elapsed time.Duration
	err     error
}

// generationParams holds the arguments of the command generate.
type generationParams struct {
	prompt      string
	tokens      int
	key         string // idempotency key
	firstRouter int    // number of the first router, from 1
	stream      bool
	// idleTimeout is how long the caller waits for the next token before it resumes.
	idleTimeout time.Duration
}

// generate starts a generation through the routers at addresses.
func generate(ctx context.Context, addresses []string, params generationParams) *caller {
	c := &caller{prompt: params.prompt, tokens: params.tokens, done: make(chan struct{})}
	httpClient := &http.Client{Transport: c}
	go func() {
		defer close(c.done)
		if !params.stream {
			c.answer, c.err = generateUnary(ctx, httpClient, addresses[params.firstRouter-1], params)
			return
		}
		opts := client.Options{Routers: addresses, Key: embedded.APIKey, HTTP: httpClient, IdleTimeout: params.idleTimeout}
		req := client.Request{Model: embedded.Model, Prompt: params.prompt, MaxTokens: params.tokens, IdempotencyKey: params.key, First: params.firstRouter - 1}
		c.answer, c.err = client.New(opts).Generate(ctx, req, func(index int, _ string) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.tokensSeen = index + 1
		})
	}()
	return c
}

// transport is shared by all callers. Each request uses a new connection, so that a
// connection broken by one request doesn't affect another.
var transport = &http.Transport{DisableKeepAlives: true}

// RoundTrip implements http.RoundTripper and records which router and request serve
// the caller.
func (c *caller) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastRouter = req.URL.Host
	c.requests = append(c.requests, types.RequestID(resp.Header.Get("Pearyard-Request-Id")))
	resp.Body = &generationIDReader{ReadCloser: resp.Body, caller: c}
	return resp, nil
}

// progress returns the address of the router that received the last request and the
// number of tokens received so far.
func (c *caller) progress() (router string, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastRouter, c.tokensSeen
}

func (c *caller) ended() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// post sends one POST request and returns the body of a successful response.
func post(ctx context.Context, httpClient *http.Client, url, key string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+embedded.APIKey)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	return readBody(httpClient.Do(req))
}

// readBody returns the body of a successful response, or the refusal as an error.
func readBody(resp *http.Response, err error) ([]byte, error) {
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, client.Refusal(resp)
	}
	return io.ReadAll(resp.Body)
}

// generateUnary sends a non-streaming completion request and splits the text into
// tokens.
func generateUnary(ctx context.Context, httpClient *http.Client, router string, params generationParams) (client.Answer, error) {
	body, err := json.Marshal(client.Request{Model: embedded.Model, Prompt: params.prompt, MaxTokens: params.tokens})
	if err != nil {
		return client.Answer{}, err
	}
	raw, err := post(ctx, httpClient, "http://"+router+"/v1/completions", params.key, body)
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
		return client.Answer{}, errors.Errorf("invalid completion response: %s", raw)
	}
	answer := client.Answer{Finish: completion.Choices[0].FinishReason}
	for rest := completion.Choices[0].Text; rest != ""; {
		n := min(tokenLength, len(rest))
		answer.Texts = append(answer.Texts, rest[:n])
		rest = rest[n:]
	}
	return answer, nil
}

// call starts one call of a plain service, with the key as its body.
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
