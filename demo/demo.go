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
	timeout         = 15 * time.Second
	answerTokens    = 360
	engineKillToken = 120
	routerKillToken = 240
	prompt          = "Draft a lifting plan for forty thousand bare-root pears, depot by depot."
	tokensPerLine   = 12
	stepTime        = 6 * time.Millisecond
	stepPerRequest  = 200 * time.Microsecond
	prefillPerToken = 50 * time.Microsecond
)

// ErrIncomplete: the answer is incomplete, or has a token that is missing, repeated
// or from another generation, or not all kills took place.
var ErrIncomplete = errors.New("demo: the answer is not whole")

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
	p := &demonstration{site: site, out: out}
	answer, err := site.Client().Generate(ctx, client.Request{Model: embedded.Model, Prompt: prompt, MaxTokens: answerTokens, IdempotencyKey: "demo-1"}, p.onToken)
	if err != nil {
		return err
	}
	p.pendingKills.Wait()
	return p.report(answer)
}

// demonstration is the state of one run.
type demonstration struct {
	site         *embedded.Site
	out          io.Writer
	pendingKills sync.WaitGroup

	kills     int
	killedAt  time.Time // time of the kill whose resume latency is being measured
	lastToken time.Time
	latencies []time.Duration
}

// onToken prints a token and kills the engine and the router at their tokens.
func (p *demonstration) onToken(index int, text string) {
	p.measureResume()
	fmt.Fprint(p.out, text)
	if index%tokensPerLine == tokensPerLine-1 {
		fmt.Fprintln(p.out)
	}
	switch index {
	case engineKillToken:
		p.killEngine()
	case routerKillToken:
		p.killRouter()
	}
}

// measureResume measures the time from a kill to the first token sent after it.
// That token follows a noticeable pause; tokens already in transit don't.
func (p *demonstration) measureResume() {
	now := time.Now()
	if !p.killedAt.IsZero() && now.Sub(p.lastToken) > 2*stepTime {
		p.latencies = append(p.latencies, now.Sub(p.killedAt))
		p.killedAt = time.Time{}
	}
	p.lastToken = now
}

func (p *demonstration) killEngine() {
	for _, e := range p.site.Engines {
		if e.Counters().Running > 0 {
			fmt.Fprintf(p.out, "\n--- %s dies ---\n", e.Name)
			e.Crash()
			p.kills++
			p.killedAt = time.Now()
			return
		}
	}
}

func (p *demonstration) killRouter() {
	r := p.site.Routers[0]
	fmt.Fprintf(p.out, "\n--- router-1 dies; the caller comes back through router-2 with Last-Event-ID ---\n")
	p.kills++
	p.killedAt = time.Now()
	p.pendingKills.Go(r.Kill)
}

func (p *demonstration) report(answer client.Answer) error {
	var generated, prefilled uint64
	for _, e := range p.site.Engines {
		counters := e.Counters()
		generated += counters.Tokens
		prefilled += counters.Prefilled
	}
	undisturbed := uint64(len(prompt)+3) / 4
	fmt.Fprintf(p.out, "\n\ntokens received: %d, returns of the caller: %d, deaths survived: %d\n", len(answer.Texts), answer.Resumes, p.kills)
	for _, latency := range p.latencies {
		fmt.Fprintf(p.out, "resume latency: %s\n", latency.Round(100*time.Microsecond))
	}
	fmt.Fprintf(p.out, "extra resource use: %d tokens generated and thrown away, about %d tokens prefilled again\n",
		generated-uint64(len(answer.Texts)), prefilled-min(prefilled, undisturbed))
	if err := standin.CheckAnswer(prompt, answer.Texts); err != nil || len(answer.Texts) != answerTokens || p.kills != 2 {
		fmt.Fprintln(p.out, "whole: no")
		return errors.Wrapf(ErrIncomplete, "%d tokens, %d deaths, %v", len(answer.Texts), p.kills, err)
	}
	fmt.Fprintln(p.out, "whole: yes")
	return nil
}
