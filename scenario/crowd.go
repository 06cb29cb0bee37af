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

// refusedPause is how long a caller of a crowd waits after a refusal: far less
// than it is told, as impatient callers do.
const refusedPause = 20 * time.Millisecond

// crowd is many callers of one organisation, each with one request after the other.
type crowd struct {
	done chan struct{} // closed when all callers have ended

	mu            sync.Mutex // guards the fields below
	whole         int
	refused       int
	unhinted      int // refusals without a time to come back after
	bad           int
	firstBad      error
	slowest       time.Duration // answer
	slowestRefuse time.Duration
}

func keyOf(organisation string) string { return organisation + "-key" }

// organisations: organisations NAME...; adds organisations to the text, in force
// with the next apply
func (b *bench) organisations(_ *testscript.TestScript, args []string) error {
	for _, name := range args {
		key := sha256.Sum256([]byte(keyOf(name)))
		b.site.text.Organisations = append(b.site.text.Organisations, text.Organisation{
			Name: name, Weight: text.DefaultWeight, KeySHA256: []string{hex.EncodeToString(key[:])},
		})
	}
	return nil
}

// crowd: crowd NAME ORGANISATION [callers=10] [rounds=5] [tokens=50]; begins
// callers over all routers, each with its requests one after the other
func (b *bench) crowd(_ *testscript.TestScript, args []string) error {
	if len(args) < 2 || b.crowds[args[0]] != nil {
		return errors.New("crowd NAME ORGANISATION, with a new NAME")
	}
	o, err := parseOptions(args[2:], "callers", "rounds", "tokens")
	if err != nil {
		return err
	}
	callers, rounds, tokens := 10, 5, 50
	for name, into := range map[string]*int{"callers": &callers, "rounds": &rounds, "tokens": &tokens} {
		if err := o.number(name, into); err != nil {
			return err
		}
	}
	c := &crowd{done: make(chan struct{})}
	b.crowds[args[0]] = c
	var all sync.WaitGroup
	for i := range callers {
		all.Go(func() {
			one := client.New(client.Options{Routers: b.site.callerAddresses(), Key: keyOf(args[1]),
				HTTP: &http.Client{Transport: transport}, IdleTimeout: callerSilence})
			for round := range rounds {
				c.ask(b, one, client.Request{Model: embedded.Model, MaxTokens: tokens, First: i % b.site.size.routers,
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

// ask sends one request and notes what came of it.
func (c *crowd) ask(b *bench, caller *client.Client, request client.Request) {
	begun := time.Now()
	answer, err := caller.Generate(b.ctx, request, nil)
	took := time.Since(begun)
	if err == nil {
		err = standin.CheckAnswer(request.Prompt, answer.Texts)
	}
	if err == nil && len(answer.Texts) != request.MaxTokens {
		err = errors.Errorf("%d tokens of %d", len(answer.Texts), request.MaxTokens)
	}
	c.note(err, took, len(answer.Texts))
	if err != nil {
		select {
		case <-b.ctx.Done():
		case <-time.After(refusedPause):
		}
	}
}

func (c *crowd) note(err error, took time.Duration, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var refused *client.RefusedError
	switch {
	case err == nil:
		c.whole++
		c.slowest = max(c.slowest, took)
	case errors.As(err, &refused) && tokens == 0:
		c.refused++
		c.slowestRefuse = max(c.slowestRefuse, took)
		if refused.RetryAfter == 0 {
			c.unhinted++
		}
	default:
		c.bad++
		if c.firstBad == nil {
			c.firstBad = err
		}
	}
}

// crowded: crowded NAME CONDITION...; waits for the end of a crowd. Conditions
// are on whole, refused, unhinted, bad, slowest and slowest-refusal
func (b *bench) crowded(_ *testscript.TestScript, args []string) error {
	if len(args) < 2 || b.crowds[args[0]] == nil {
		return errors.New("crowded NAME CONDITION")
	}
	c := b.crowds[args[0]]
	select {
	case <-c.done:
	case <-time.After(conditionTimeout):
		return errors.Errorf("%s hasn't ended within %s", args[0], conditionTimeout)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	values := map[string]float64{
		"whole": float64(c.whole), "refused": float64(c.refused), "unhinted": float64(c.unhinted), "bad": float64(c.bad),
		"slowest": c.slowest.Seconds(), "slowest-refusal": c.slowestRefuse.Seconds(),
	}
	for _, condition := range args[1:] {
		err := compare(condition, func(name string) (float64, bool) { n, ok := values[name]; return n, ok })
		if err != nil {
			return errors.Wrapf(err, "%v (first bad: %v)", values, c.firstBad)
		}
	}
	return nil
}

// logged: logged WORD CONDITION, such as <=10; counts the lines of all routers' logs
func (b *bench) logged(_ *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return errors.New("logged WORD CONDITION")
	}
	n := 0
	for i := range b.site.size.routers {
		n += b.site.processes[routerName(i+1)].log.count(args[0])
	}
	return compare("lines"+args[1], func(string) (float64, bool) { return float64(n), true })
}
