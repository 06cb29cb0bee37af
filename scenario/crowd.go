package scenario

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/pearyard/pearyard/client"
	"github.com/pearyard/pearyard/embedded"
	"github.com/pearyard/pearyard/standin"
	"github.com/pearyard/pearyard/text"
)

// failurePause is how long a caller of a crowd waits after a refusal or another failure.
// It is far shorter than the Retry-After of a refusal, to simulate callers that ignore it.
const failurePause = 20 * time.Millisecond

// crowd is a set of concurrent callers of one organisation. Each sends its requests one
// after the other.
type crowd struct {
	done chan struct{} // closed when all callers have ended

	mu                sync.Mutex // guards the fields below
	complete          int
	refused           int
	withoutRetryAfter int // refusals without Retry-After
	failed            int
	firstFailure      error
	slowest           time.Duration // slowest complete answer
	slowestRefusal    time.Duration
}

func apiKeyOf(organisation string) string { return organisation + "-key" }

// organisations implements `organisations NAME...`, which adds organisations to the
// configuration. They are in force from the next apply on.
func (h *harness) organisations(_ *testscript.TestScript, args []string) error {
	for _, name := range args {
		key := sha256.Sum256([]byte(apiKeyOf(name)))
		h.site.config.Organisations = append(h.site.config.Organisations, text.Organisation{
			Name: name, Weight: text.DefaultWeight, KeySHA256: []string{hex.EncodeToString(key[:])},
		})
	}
	return nil
}

// crowd implements `crowd NAME ORGANISATION [callers=10] [rounds=5] [tokens=50]`, which
// starts callers spread over all routers. Each sends rounds requests one after the other.
func (h *harness) crowd(_ *testscript.TestScript, args []string) error {
	if len(args) < 2 || h.crowds[args[0]] != nil {
		return errors.New("usage: crowd NAME ORGANISATION [OPTION=VALUE...], with an unused NAME")
	}
	o, err := parseOptions(args[2:], "callers", "rounds", "tokens")
	if err != nil {
		return err
	}
	callers, rounds, tokens := 10, 5, 50
	for name, into := range map[string]*int{"callers": &callers, "rounds": &rounds, "tokens": &tokens} {
		if err := o.setInt(name, into); err != nil {
			return err
		}
	}
	c := &crowd{done: make(chan struct{})}
	h.crowds[args[0]] = c
	var all sync.WaitGroup
	for i := range callers {
		all.Go(func() {
			caller := client.New(client.Options{Routers: h.site.callerAddresses(), Key: apiKeyOf(args[1]),
				HTTP: &http.Client{Transport: transport}, IdleTimeout: callerIdleTimeout})
			for round := range rounds {
				c.send(h, caller, client.Request{Model: embedded.Model, MaxTokens: tokens, First: i % h.site.spec.routers,
					Prompt: fmt.Sprintf("request %d of caller %d of %s", round, i, args[1])})
			}
		})
	}
	go func() {
		defer close(c.done)
		all.Wait()
	}()
	return nil
}

// send sends one request and records its result.
func (c *crowd) send(h *harness, caller *client.Client, request client.Request) {
	start := time.Now()
	answer, err := caller.Generate(h.ctx, request, nil)
	took := time.Since(start)
	if err == nil {
		err = standin.CheckAnswer(request.Prompt, answer.Texts)
	}
	if err == nil && len(answer.Texts) != request.MaxTokens {
		err = errors.Errorf("got %d tokens, want %d", len(answer.Texts), request.MaxTokens)
	}
	c.record(err, took, len(answer.Texts))
	if err != nil {
		select {
		case <-h.ctx.Done():
		case <-time.After(failurePause):
		}
	}
}

// record counts a request as complete, refused before its first token, or failed.
func (c *crowd) record(err error, took time.Duration, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var refused *client.RefusedError
	switch {
	case err == nil:
		c.complete++
		c.slowest = max(c.slowest, took)
	case errors.As(err, &refused) && tokens == 0:
		c.refused++
		c.slowestRefusal = max(c.slowestRefusal, took)
		if refused.RetryAfter == 0 {
			c.withoutRetryAfter++
		}
	default:
		c.failed++
		if c.firstFailure == nil {
			c.firstFailure = err
		}
	}
}

// crowded implements `crowded NAME CONDITION...`, which waits until a crowd has ended.
// Conditions compare whole (complete answers), refused, unhinted (refusals without
// Retry-After), bad (any other failure), slowest and slowest-refusal.
func (h *harness) crowded(_ *testscript.TestScript, args []string) error {
	if len(args) < 2 || h.crowds[args[0]] == nil {
		return errors.New("usage: crowded NAME CONDITION..., with the NAME of a crowd")
	}
	c := h.crowds[args[0]]
	select {
	case <-c.done:
	case <-time.After(conditionTimeout):
		return errors.Errorf("%s did not end within %s", args[0], conditionTimeout)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	values := map[string]float64{
		"whole": float64(c.complete), "refused": float64(c.refused), "unhinted": float64(c.withoutRetryAfter), "bad": float64(c.failed),
		"slowest": c.slowest.Seconds(), "slowest-refusal": c.slowestRefusal.Seconds(),
	}
	for _, condition := range args[1:] {
		err := compare(condition, func(name string) (float64, bool) { n, ok := values[name]; return n, ok })
		if err != nil {
			return errors.Wrapf(err, "%v (first failure: %v)", values, c.firstFailure)
		}
	}
	return nil
}

// logged implements `logged WORD CONDITION`, with a condition such as <=10 on the number
// of lines with WORD in the logs of all routers.
func (h *harness) logged(_ *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return errors.New("usage: logged WORD CONDITION")
	}
	n := 0
	for i := range h.site.spec.routers {
		n += h.site.processes[routerName(i+1)].log.count(args[0])
	}
	return compare("lines"+args[1], func(string) (float64, bool) { return float64(n), true })
}
