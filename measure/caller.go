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
	returnPause   = 20 * time.Millisecond
	maxReturns    = 400
	idLine        = "id: "
	dataLine      = "data: "
	doneData      = "[DONE]"
	maxEventBytes = 1 << 20
)

// errGone: the system says that the generation can't go on.
var errGone = errors.New("measure: the generation is gone")

// strategy is what a caller does when its answer breaks.
type strategy int

const (
	comeBack  strategy = iota // with Last-Event-ID, through the next router
	startOver                 // throw away what came and send the request anew
)

// arrival is one token as its caller got it.
type arrival struct {
	at      time.Time
	attempt types.AttemptTag
}

// interruption is one loss of the caller's connection or answer.
type interruption struct {
	at   time.Time // when the caller came back
	have int       // tokens that it had
}

// call is one generation as its caller saw it.
type call struct {
	prompt    string
	maxTokens int
	strategy  strategy
	routers   []string
	first     int // router that is tried first

	began         time.Time
	texts         []string
	arrivals      []arrival
	interruptions []interruption
	thrownAway    int
	restarts      int    // times that the answer began anew
	gone          string // what the system last said of a generation that is gone
	lastID        string
	requestID     string // of the newest connection
	finished      bool
	err           error
}

// run drives the call to its end.
func (c *call) run(ctx context.Context, client *http.Client) {
	c.began = time.Now()
	for try := 0; try < maxReturns; try++ {
		c.err = c.connection(ctx, client, c.routers[(c.first+try)%len(c.routers)])
		if c.finished || ctx.Err() != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(returnPause):
		}
		c.interruptions = append(c.interruptions, interruption{at: time.Now(), have: len(c.texts)})
		if c.strategy == startOver || errors.Is(c.err, errGone) {
			c.thrownAway += len(c.texts)
			c.texts, c.lastID = nil, ""
			c.restarts++
		}
	}
}

func (c *call) connection(ctx context.Context, client *http.Client, routerAddress string) error {
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
		return errors.Errorf("%d %s", resp.StatusCode, message)
	}
	return c.events(resp.Body)
}

func (c *call) events(body io.Reader) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventBytes)
	id := ""
	for scanner.Scan() {
		line := scanner.Text()
		if value, ok := strings.CutPrefix(line, idLine); ok {
			id = value
			continue
		}
		data, ok := strings.CutPrefix(line, dataLine)
		if !ok || data == doneData {
			continue
		}
		if err := c.event(id, data); err != nil {
			return err
		}
		id = ""
	}
	return scanner.Err()
}

func (c *call) event(id, data string) error {
	if id == "" {
		return c.last(data)
	}
	at := time.Now()
	parsed, err := types.ParseEventID(id)
	if err != nil {
		return err
	}
	var e struct{ Choices []struct{ Text string } }
	if err := json.Unmarshal([]byte(data), &e); err != nil || len(e.Choices) == 0 {
		return errors.Errorf("measure: event %q", data)
	}
	c.lastID = id
	c.texts = append(c.texts, e.Choices[0].Text)
	c.arrivals = append(c.arrivals, arrival{at: at, attempt: parsed.Attempt})
	return nil
}

func (c *call) last(data string) error {
	if strings.Contains(data, `"error"`) {
		return errors.New(data)
	}
	c.finished = true
	return nil
}

// whole says what is wrong with the answer, nil if nothing is.
func (c *call) whole() error {
	if !c.finished {
		return errors.Errorf("measure: no end: %v", c.err)
	}
	if len(c.texts) != c.maxTokens {
		return errors.Errorf("measure: %d tokens of %d", len(c.texts), c.maxTokens)
	}
	return standin.CheckAnswer(c.prompt, c.texts)
}

// goneOn is how a call went on after a loss.
type goneOn struct {
	afterLoss   time.Duration // from the loss to the next token
	afterReturn time.Duration // from the caller's return to the next token; 0: it didn't have to
	pause       time.Duration // between the two tokens around the loss
	at          int           // index of the token with which the answer went on
	moved       bool          // another attempt went on
	regained    time.Duration // from the loss until the caller had more than before
}

// after tells how the call went on after a loss at t; false if it wasn't hit.
func (c *call) after(t time.Time) (goneOn, bool) {
	for i := 1; i < len(c.arrivals); i++ {
		a, before := c.arrivals[i], c.arrivals[i-1]
		returned, back := c.returnedBetween(before.at, a.at)
		if a.at.Before(t) || (a.attempt == before.attempt && !back) {
			continue
		}
		g := goneOn{afterLoss: a.at.Sub(t), pause: a.at.Sub(before.at), at: i, moved: a.attempt != before.attempt, regained: a.at.Sub(t)}
		if back {
			g.afterReturn = a.at.Sub(returned.at)
		}
		if c.strategy == startOver && i+i < len(c.arrivals) {
			g.regained = c.arrivals[i+i].at.Sub(t)
		}
		return g, true
	}
	return goneOn{}, false
}

func (c *call) returnedBetween(from, to time.Time) (interruption, bool) {
	found, ok := interruption{}, false
	for _, in := range c.interruptions {
		if in.at.After(from) && in.at.Before(to) {
			found, ok = in, true
		}
	}
	return found, ok
}
