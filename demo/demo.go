package demo

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/client"
	"github.com/pearyard/pearyard/embedded"
	"github.com/pearyard/pearyard/standin"
)

const (
	timeout         = 15 * time.Second // for the whole demonstration; it takes a few seconds
	answerTokens    = 360
	engineKillToken = 120 // index of the token at which the engine is killed
	routerKillToken = 240 // index of the token at which the router is killed
	expectedKills   = 2
	prompt          = "Draft a lifting plan for forty thousand bare-root pears, depot by depot."
	tokensPerLine   = 12
	stepTime        = 6 * time.Millisecond   // of an engine's batch: one token per request
	stepPerRequest  = 200 * time.Microsecond // added to a step per request in the batch
	prefillPerToken = 50 * time.Microsecond  // added to a step per prompt token to prefill
)

// ErrIncomplete is returned if the answer is incomplete, or has a token that is missing,
// repeated or from another generation, or if not all kills took place.
var ErrIncomplete = errors.New("demo: the answer is incomplete or wrong, or a kill is missing")

// Run runs the demonstration. It fails unless the answer is complete and both the
// engine and the router were killed.
func Run(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	fmt.Fprintln(out, "starting two routers, three engines with their sidecars, and stand-ins of the platform")
	site, err := embedded.Start(ctx, embedded.Options{Engine: standin.EngineOptions{
		StepBase: stepTime, StepPerRequest: stepPerRequest, PrefillPerToken: prefillPerToken,
	}})
	if err != nil {
		return err
	}
	defer site.Stop()
	d := &demonstration{site: site, out: out}
	answer, err := site.Client().Generate(ctx, client.Request{Model: embedded.Model, Prompt: prompt, MaxTokens: answerTokens, IdempotencyKey: "demo-1"}, d.onToken)
	if err != nil {
		return err
	}
	d.pendingKills.Wait()
	return d.report(answer)
}

// demonstration is the state of one run.
type demonstration struct {
	site         *embedded.Site
	out          io.Writer
	pendingKills sync.WaitGroup // kills that run in the background

	kills     int
	killedAt  time.Time       // time of the kill whose resume latency is being measured
	lastToken time.Time       // when the newest token arrived
	latencies []time.Duration // resume latency of each kill so far
}

// onToken prints a token and kills the engine and the router at their tokens.
func (d *demonstration) onToken(index int, text string) {
	d.measureResume()
	fmt.Fprint(d.out, text)
	if index%tokensPerLine == tokensPerLine-1 {
		fmt.Fprintln(d.out)
	}
	switch index {
	case engineKillToken:
		d.killEngine()
	case routerKillToken:
		d.killRouter()
	}
}

// measureResume measures the time from a kill to the first token sent after it. That
// token follows a pause of more than two steps; tokens already in transit don't.
func (d *demonstration) measureResume() {
	now := time.Now()
	if !d.killedAt.IsZero() && now.Sub(d.lastToken) > 2*stepTime {
		d.latencies = append(d.latencies, now.Sub(d.killedAt))
		d.killedAt = time.Time{}
	}
	d.lastToken = now
}

// killEngine crashes the engine that runs the generation.
func (d *demonstration) killEngine() {
	for _, e := range d.site.Engines {
		if e.Counters().Running > 0 {
			fmt.Fprintf(d.out, "\n--- %s dies ---\n", e.Name)
			e.Crash()
			d.kills++
			d.killedAt = time.Now()
			return
		}
	}
}

// killRouter kills the router that the client uses first. It doesn't wait for the end of
// the router: it runs in the client's callback, which reads from that router.
func (d *demonstration) killRouter() {
	r := d.site.Routers[0]
	fmt.Fprintf(d.out, "\n--- router-1 dies; the caller comes back through router-2 with Last-Event-ID ---\n")
	d.kills++
	d.killedAt = time.Now()
	d.pendingKills.Go(r.Kill)
}

// report prints the outcome. It returns ErrIncomplete unless the answer is complete and
// correct and both kills took place.
func (d *demonstration) report(answer client.Answer) error {
	var generated, prefilled uint64
	for _, e := range d.site.Engines {
		counters := e.Counters()
		generated += counters.Tokens
		prefilled += counters.Prefilled
	}
	promptTokens := uint64(len(prompt)+3) / 4 // approximation of engine.PrefixOf, which splits words into pieces of 4 bytes
	fmt.Fprintf(d.out, "\n\ntokens received: %d, returns of the caller: %d, deaths survived: %d\n", len(answer.Texts), answer.Resumes, d.kills)
	for _, latency := range d.latencies {
		fmt.Fprintf(d.out, "resume latency: %s\n", latency.Round(100*time.Microsecond))
	}
	fmt.Fprintf(d.out, "extra resource use: %d tokens generated and thrown away, about %d tokens prefilled again\n",
		generated-uint64(len(answer.Texts)), prefilled-min(prefilled, promptTokens))
	if err := standin.CheckAnswer(prompt, answer.Texts); err != nil || len(answer.Texts) != answerTokens || d.kills != expectedKills {
		fmt.Fprintln(d.out, "whole: no")
		return errors.Wrapf(ErrIncomplete, "%d of %d tokens, %d of %d kills, check of the answer: %v", len(answer.Texts), answerTokens, d.kills, expectedKills, err)
	}
	fmt.Fprintln(d.out, "whole: yes")
	return nil
}
