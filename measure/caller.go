package measure

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/router"
	"github.com/pearyard/pearyard/standin"
	"github.com/pearyard/pearyard/types"
)

const (
	reconnectDelay = 20 * time.Millisecond // between two connections of a call
	maxConnections = 400                   // of one call, so that one that never succeeds ends
	maxEventBytes  = 1 << 20               // longest line of a stream, and longest error body that is read
)

// Parts of the lines of a stream of server-sent events.
const (
	idPrefix   = "id: "
	dataPrefix = "data: "
	doneData   = "[DONE]"
)

// errGone is returned when a router answers that the generation can't be resumed.
var errGone = errors.New("measure: the generation can't be resumed (410 Gone)")

// strategy determines what a caller does when its answer breaks off.
type strategy int

const (
	reconnect strategy = iota // resume with Last-Event-ID through the next router
	startOver                 // discard the tokens received and send the request again
)

// arrival records when a caller received a token, and from which attempt.
type arrival struct {
	at      time.Time
	attempt types.AttemptTag
}

// interruption is one loss of the connection or the answer of a caller.
type interruption struct {
	at       time.Time // when the caller reconnected
	received int       // number of tokens received before
}

// call is one generation as observed by its caller.
type call struct {
	prompt    string
	maxTokens int
	strategy  strategy
	routers   []string
	first     int // index of the router that is tried first

	start         time.Time
	texts         []string  // tokens of the answer so far, without discarded ones
	arrivals      []arrival // of all tokens, with discarded ones
	interruptions []interruption
	discarded     int    // tokens received and discarded by restarts
	restarts      int    // times that the answer started again from its first token
	gone          string // body of the last 410 response
	lastID        string // event ID of the newest token
	requestID     string // of the newest connection
	finished      bool   // the end of the answer was received
	err           error  // of the newest connection; nil if it ended without one
}

// run sends the request and reconnects until the answer is complete, ctx ends, or
// maxConnections is reached.
func (c *call) run(ctx context.Context, client *http.Client) {
	c.start = time.Now()
	for try := 0; try < maxConnections; try++ {
		c.err = c.connect(ctx, client, c.routers[(c.first+try)%len(c.routers)])
		if c.finished || ctx.Err() != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(reconnectDelay):
		}
		c.interruptions = append(c.interruptions, interruption{at: time.Now(), received: len(c.texts)})
		if c.strategy == startOver || errors.Is(c.err, errGone) {
			c.discarded += len(c.texts)
			c.texts, c.lastID = nil, ""
			c.restarts++
		}
	}
}

// connect sends the request to a router, or resumes the answer after lastID if there is
// one, and reads until the stream ends.
func (c *call) connect(ctx context.Context, client *http.Client, routerAddress string) error {
	body, err := json.Marshal(map[string]any{"model": model, "prompt": c.prompt, "max_tokens": c.maxTokens, "stream": true})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+routerAddress+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+apiKey)
	if c.lastID != "" {
		req.Header.Set(router.HeaderLastEventID, c.lastID)
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	c.requestID = resp.Header.Get(router.HeaderRequestID)
	if resp.StatusCode != http.StatusOK {
		message, _ := io.ReadAll(io.LimitReader(resp.Body, maxEventBytes))
		if resp.StatusCode == http.StatusGone {
			c.gone = string(message)
			return errGone
		}
		return errors.Errorf("router %s answered %d: %s", routerAddress, resp.StatusCode, message)
	}
	return c.readEvents(resp.Body)
}

// readEvents reads the events of a stream until it ends or one of them is an error.
func (c *call) readEvents(body io.Reader) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventBytes)
	id := ""
	for scanner.Scan() {
		line := scanner.Text()
		if value, ok := strings.CutPrefix(line, idPrefix); ok {
			id = value
			continue
		}
		data, ok := strings.CutPrefix(line, dataPrefix)
		if !ok || data == doneData {
			continue
		}
		if err := c.handleToken(id, data); err != nil {
			return err
		}
		id = ""
	}
	return scanner.Err()
}

// handleToken adds the token of an event. An event without an ID has no token: it is the
// end of the answer or an error.
func (c *call) handleToken(id, data string) error {
	if id == "" {
		return c.handleEnd(data)
	}
	at := time.Now()
	parsed, err := types.ParseEventID(id)
	if err != nil {
		return err
	}
	var e struct{ Choices []struct{ Text string } }
	if err := json.Unmarshal([]byte(data), &e); err != nil || len(e.Choices) == 0 {
		return errors.Errorf("invalid event %q", data)
	}
	c.lastID = id
	c.texts = append(c.texts, e.Choices[0].Text)
	c.arrivals = append(c.arrivals, arrival{at: at, attempt: parsed.Attempt})
	return nil
}

func (c *call) handleEnd(data string) error {
	if strings.Contains(data, `"error"`) {
		return errors.Errorf("the stream ended with the error event %s", data)
	}
	c.finished = true
	return nil
}

// verify returns an error unless the answer is complete and correct.
func (c *call) verify() error {
	if !c.finished {
		return errors.Errorf("measure: incomplete answer: %v", c.err)
	}
	if len(c.texts) != c.maxTokens {
		return errors.Errorf("measure: answer has %d tokens, expected %d", len(c.texts), c.maxTokens)
	}
	return standin.CheckAnswer(c.prompt, c.texts)
}

// resumption describes how a call continued after a loss.
type resumption struct {
	afterLoss      time.Duration // from the loss to the next token
	afterReconnect time.Duration // from the caller's reconnection to the next token; 0 if it kept its connection
	pause          time.Duration // between the last token before the loss and the first after it
	index          int           // index of the first token after the loss
	newAttempt     bool          // another attempt continued the answer
	regained       time.Duration // from the loss until the caller had more tokens than before it
}

// resumptionAfter returns how the call continued after a loss at t. It returns false if the
// loss did not affect the call, or if no token followed.
func (c *call) resumptionAfter(t time.Time) (resumption, bool) {
	for i := 1; i < len(c.arrivals); i++ {
		a, before := c.arrivals[i], c.arrivals[i-1]
		reconnection, reconnected := c.lastReconnect(before.at, a.at)
		if a.at.Before(t) || (a.attempt == before.attempt && !reconnected) {
			continue
		}
		r := resumption{afterLoss: a.at.Sub(t), pause: a.at.Sub(before.at), index: i, newAttempt: a.attempt != before.attempt, regained: a.at.Sub(t)}
		if reconnected {
			r.afterReconnect = a.at.Sub(reconnection.at)
		}
		// A caller that starts over receives the i tokens that it had once more, so that
		// the first one that it didn't have is arrival 2i.
		if c.strategy == startOver && i+i < len(c.arrivals) {
			r.regained = c.arrivals[i+i].at.Sub(t)
		}
		return r, true
	}
	return resumption{}, false
}

// lastReconnect returns the last interruption between two points in time, and whether
// there is one.
func (c *call) lastReconnect(from, to time.Time) (interruption, bool) {
	found, ok := interruption{}, false
	for _, in := range c.interruptions {
		if in.at.After(from) && in.at.Before(to) {
			found, ok = in, true
		}
	}
	return found, ok
}
