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
	timeout       = 15 * time.Second
	answerTokens  = 360
	engineDiesAt  = 120
	routerDiesAt  = 240
	prompt        = "Draft a lifting plan for forty thousand bare-root pears, depot by depot."
	tokensPerLine = 12
	stepTime      = 6 * time.Millisecond
	stepShare     = 200 * time.Microsecond
	prefillTime   = 50 * time.Microsecond
)

// ErrNotWhole: the caller's answer has a token missing, repeated or mixed in.
var ErrNotWhole = errors.New("demo: the answer is not whole")

// Run plays the demonstration; it fails unless the answer is whole and both
// deaths happened.
func Run(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	fmt.Fprintln(out, "starting two routers, three engines with their sidecars, and stand-ins of the platform")
	site, err := embedded.Start(ctx, embedded.Options{Engine: standin.EngineOptions{
		StepBase: stepTime, StepPerRequest: stepShare, PrefillPerToken: prefillTime,
	}})
	if err != nil {
		return err
	}
	defer site.Stop()
	p := &play{site: site, out: out}
	answer, err := site.Client().Generate(ctx, client.Request{Model: embedded.Model, Prompt: prompt, MaxTokens: answerTokens, IdempotencyKey: "demo-1"}, p.token)
	if err != nil {
		return err
	}
	p.deaths.Wait()
	return p.report(answer)
}

// play is one run of the demonstration.
type play struct {
	site   *embedded.Site
	out    io.Writer
	deaths sync.WaitGroup

	died      int
	diedAt    time.Time // of the death whose gap is being measured
	last      time.Time
	latencies []time.Duration
}

// token prints a token as it comes and plays the deaths.
func (p *play) token(index int, text string) {
	p.measure()
	fmt.Fprint(p.out, text)
	if index%tokensPerLine == tokensPerLine-1 {
		fmt.Fprintln(p.out)
	}
	switch index {
	case engineDiesAt:
		p.killEngine()
	case routerDiesAt:
		p.killRouter()
	}
}

// measure takes the time from a death until the first token that can only have
// come after it. Tokens already under way come without a noticeable pause.
func (p *play) measure() {
	now := time.Now()
	if !p.diedAt.IsZero() && now.Sub(p.last) > 2*stepTime {
		p.latencies = append(p.latencies, now.Sub(p.diedAt))
		p.diedAt = time.Time{}
	}
	p.last = now
}

func (p *play) killEngine() {
	for _, e := range p.site.Engines {
		if e.Counters().Running > 0 {
			fmt.Fprintf(p.out, "\n--- %s dies ---\n", e.Name)
			e.Crash()
			p.died++
			p.diedAt = time.Now()
			return
		}
	}
}

func (p *play) killRouter() {
	r := p.site.Routers[0]
	fmt.Fprintf(p.out, "\n--- router-1 dies; the caller comes back through router-2 with Last-Event-ID ---\n")
	p.died++
	p.diedAt = time.Now()
	p.deaths.Go(r.Kill)
}

func (p *play) report(answer client.Answer) error {
	var generated, prefilled uint64
	for _, e := range p.site.Engines {
		counters := e.Counters()
		generated += counters.Tokens
		prefilled += counters.Prefilled
	}
	undisturbed := uint64(len(prompt)+3) / 4
	fmt.Fprintf(p.out, "\n\ntokens received: %d, returns of the caller: %d, deaths survived: %d\n", len(answer.Texts), answer.Resumes, p.died)
	for _, latency := range p.latencies {
		fmt.Fprintf(p.out, "resume latency: %s\n", latency.Round(100*time.Microsecond))
	}
	fmt.Fprintf(p.out, "extra resource use: %d tokens generated and thrown away, about %d tokens prefilled again\n",
		generated-uint64(len(answer.Texts)), prefilled-min(prefilled, undisturbed))
	if err := standin.CheckAnswer(prompt, answer.Texts); err != nil || len(answer.Texts) != answerTokens || p.died != 2 {
		fmt.Fprintln(p.out, "whole: no")
		return errors.Wrapf(ErrNotWhole, "%d tokens, %d deaths, %v", len(answer.Texts), p.died, err)
	}
	fmt.Fprintln(p.out, "whole: yes")
	return nil
}
