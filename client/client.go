package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/httpwire"
	"github.com/pearyard/pearyard/types"
)

const (
	pathCompletions = "/v1/completions"
	// maxEventBytes is the maximum length of a line of a stream, and of the body of a
	// refusal.
	maxEventBytes = 1 << 20
	// resumePause is the pause between two attempts to resume.
	resumePause = 20 * time.Millisecond
	// DefaultResumeTimeout is how long the client tries to resume a broken stream.
	DefaultResumeTimeout = 10 * time.Second
)

// ErrBroken: the stream broke and could not be resumed in time.
var ErrBroken = errors.New("client: stream broke and could not be resumed")

// RefusedError is a router's refusal of a generation, as a response or as an event of
// a stream.
type RefusedError struct {
	Status     int // of the response; 200 for an event of a stream
	Code       types.Code
	Outcome    types.Outcome
	Message    string
	RetryAfter time.Duration // 0: none given
	RequestID  types.RequestID
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused: %d %s (%s): %s", e.Status, e.Code, e.Outcome, e.Message)
}

// Options configure a Client.
type Options struct {
	Routers       []string      // ip:port, called in turn
	Key           string        // API key
	HTTP          *http.Client  // nil: a client of its own
	ResumeTimeout time.Duration // 0: DefaultResumeTimeout
	// IdleTimeout is how long a stream may send nothing before the client resumes it
	// through the next router; 0: no limit.
	IdleTimeout time.Duration
}

// Client generates answers through any of several routers.
type Client struct{ opts Options }

// New returns a client.
func New(opts Options) *Client {
	if opts.HTTP == nil {
		// With the default of 2, most connections of concurrent generations would be
		// closed after one request.
		opts.HTTP = &http.Client{Transport: &http.Transport{DialContext: httpwire.Dial((&net.Dialer{}).DialContext), MaxIdleConnsPerHost: 256}}
	}
	if opts.ResumeTimeout == 0 {
		opts.ResumeTimeout = DefaultResumeTimeout
	}
	return &Client{opts: opts}
}

// Request describes one generation.
type Request struct {
	Model          string `json:"model"`
	Prompt         string `json:"prompt"`
	MaxTokens      int    `json:"max_tokens"`
	Stream         bool   `json:"stream"`
	IdempotencyKey string `json:"-"`
	First          int    `json:"-"` // index of the router that is called first
}

// Gap is a pause in the output as seen by the client.
type Gap struct {
	AtToken int // index of the token that ended the pause
	Length  time.Duration
	Resumed bool // the stream was resumed on another connection
}

// Answer is the result of a generation.
type Answer struct {
	Texts      []string          // one per token
	Finish     string            // finish reason
	FirstToken time.Duration     // time until the first token
	Longest    Gap               // longest pause between two tokens
	Resumes    int               // number of times that the stream was resumed
	RequestIDs []types.RequestID // one per response
}

// stream is the state of one generation across its connections.
type stream struct {
	client    *Client
	req       Request
	body      []byte
	answer    Answer
	lastID    string // event ID of the last token; empty: none received
	started   time.Time
	lastToken time.Time // when the last token was received
	resumed   bool      // the next token is the first after resuming
	onToken   func(index int, text string)
}

// Generate streams a generation to its end, over as many connections as necessary.
// onToken may be nil.
func (c *Client) Generate(ctx context.Context, req Request, onToken func(index int, text string)) (Answer, error) {
	req.Stream = true
	body, err := json.Marshal(req)
	if err != nil {
		return Answer{}, errors.Wrap(err, "client: encode request")
	}
	s := &stream{client: c, req: req, body: body, started: time.Now(), onToken: onToken}
	return s.run(ctx)
}

func (s *stream) run(ctx context.Context) (Answer, error) {
	brokenSince := time.Time{} // when the stream broke after its newest token; zero: it has not broken
	for attempt := s.req.First; ; attempt++ {
		received := len(s.answer.Texts)
		done, err := s.readConnection(ctx, s.client.opts.Routers[attempt%len(s.client.opts.Routers)])
		var refused *RefusedError
		switch {
		case done:
			return s.answer, nil
		case ctx.Err() != nil:
			return s.answer, ctx.Err()
		case errors.As(err, &refused) && !s.canResume(refused):
			return s.answer, err
		}
		if len(s.answer.Texts) > received || brokenSince.IsZero() {
			brokenSince = time.Now()
		}
		if time.Since(brokenSince) > s.client.opts.ResumeTimeout {
			return s.answer, errors.Wrapf(ErrBroken, "last attempt: %v", err)
		}
		s.answer.Resumes++
		s.resumed = true
		sleep(ctx, resumePause)
	}
}

// canResume reports whether another attempt follows a refusal. After a refusal of the
// first call, one follows only if the router is stopping. Later, one follows every 503,
// because a router may be stopping or unable to reach the processes that hold the
// generation, unless the request is quarantined.
func (s *stream) canResume(refused *RefusedError) bool {
	if s.lastID == "" && s.answer.Resumes == 0 {
		return refused.Code == types.CodeLeaving
	}
	return refused.Status == http.StatusServiceUnavailable && refused.Code != types.CodeQuarantined
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// readConnection reads one connection until the answer is complete or the connection
// breaks.
func (s *stream) readConnection(ctx context.Context, router string) (done bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router+pathCompletions, bytes.NewReader(s.body))
	if err != nil {
		return false, err
	}
	extend, stop := s.watchIdle(cancel)
	defer stop()
	req.Header.Set("Authorization", "Bearer "+s.client.opts.Key)
	req.Header.Set("Content-Type", "application/json")
	if s.req.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", s.req.IdempotencyKey)
	}
	if s.lastID != "" {
		req.Header.Set("Last-Event-ID", s.lastID)
	}
	resp, err := s.client.opts.HTTP.Do(req)
	if err != nil {
		return false, err
	}
	defer func() { _ = resp.Body.Close() }()
	s.answer.RequestIDs = append(s.answer.RequestIDs, types.RequestID(resp.Header.Get("Pearyard-Request-Id")))
	if resp.StatusCode != http.StatusOK {
		return false, Refusal(resp)
	}
	return s.readEvents(resp.Body, extend)
}

// watchIdle cancels a connection that has been idle for too long. A frozen router keeps
// connections open, so that only a timeout detects it.
func (s *stream) watchIdle(cancel func()) (extend, stop func()) {
	timeout := s.client.opts.IdleTimeout
	if timeout == 0 {
		return func() {}, func() {}
	}
	timer := time.AfterFunc(timeout, cancel)
	return func() { timer.Reset(timeout) }, func() { timer.Stop() }
}

// event is the part of an event's data that the client needs.
type event struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Error *errorDetail `json:"error"`
}

type errorDetail struct {
	Message   string          `json:"message"`
	Code      types.Code      `json:"code"`
	Outcome   types.Outcome   `json:"outcome"`
	RequestID types.RequestID `json:"request_id"`

	RetryAfter int `json:"retry_after"` // seconds; 0: none
}

func (s *stream) readEvents(body io.Reader, extend func()) (done bool, err error) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventBytes)
	id := ""
	for scanner.Scan() {
		extend()
		line := scanner.Text()
		if value, ok := strings.CutPrefix(line, "id: "); ok {
			id = value
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return s.answer.Finish != "", nil
		}
		if err := s.handleEvent(id, data); err != nil {
			return false, err
		}
		id = ""
	}
	return false, errors.New("client: connection ended before the answer was complete")
}

func (s *stream) handleEvent(id, data string) error {
	var e event
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		return errors.Wrap(err, "client: decode event")
	}
	if e.Error != nil {
		return &RefusedError{Status: http.StatusOK, Code: e.Error.Code, Outcome: e.Error.Outcome, Message: e.Error.Message, RequestID: e.Error.RequestID,
			RetryAfter: time.Duration(e.Error.RetryAfter) * time.Second}
	}
	if len(e.Choices) == 0 {
		return nil
	}
	if reason := e.Choices[0].FinishReason; reason != nil {
		s.answer.Finish = *reason
		return nil
	}
	s.recordTokenTime()
	s.lastID = id
	s.answer.Texts = append(s.answer.Texts, e.Choices[0].Text)
	if s.onToken != nil {
		s.onToken(len(s.answer.Texts)-1, e.Choices[0].Text)
	}
	return nil
}

func (s *stream) recordTokenTime() {
	now := time.Now()
	if s.lastToken.IsZero() {
		s.answer.FirstToken = now.Sub(s.started)
	} else if gap := now.Sub(s.lastToken); gap > s.answer.Longest.Length {
		s.answer.Longest = Gap{AtToken: len(s.answer.Texts), Length: gap, Resumed: s.resumed}
	}
	s.lastToken = now
	s.resumed = false
}

// Refusal reads a refusal from a response whose status isn't OK.
func Refusal(resp *http.Response) *RefusedError {
	var body struct {
		Error errorDetail `json:"error"`
	}
	_ = json.NewDecoder(io.LimitReader(resp.Body, maxEventBytes)).Decode(&body)
	refused := &RefusedError{
		Status:    resp.StatusCode,
		Code:      body.Error.Code,
		Outcome:   types.Outcome(resp.Header.Get("Pearyard-Outcome")),
		Message:   body.Error.Message,
		RequestID: types.RequestID(resp.Header.Get("Pearyard-Request-Id")),
	}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		refused.RetryAfter = time.Duration(seconds) * time.Second
	}
	return refused
}
