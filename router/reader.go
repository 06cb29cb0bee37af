package router

import (
	"time"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/route"
	streampb "github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/types"
)

// attemptReader takes the frames of one attempt into its drive.
type attemptReader struct {
	d          *drive
	stream     *frames
	address    string           // of the sidecar
	candidate  *route.Candidate // nil when attached
	sent       *route.Sent      // nil when attached
	attempt    types.AttemptTag
	lineage    types.Lineage
	opened     time.Time
	accepted   bool
	progressed bool
	handover   handover
}

func (a *attemptReader) handle(frame *streampb.Frame) *attemptResult {
	a.reportLoad(frame.GetLoad())
	if result, dealt := a.beside(frame); dealt || result != nil {
		return result
	}
	return a.act(frame)
}

// act is handle without a look at what else could go on with the generation.
func (a *attemptReader) act(frame *streampb.Frame) *attemptResult {
	switch body := frame.GetBody().(type) {
	case *streampb.Frame_Accepted:
		return a.accept(body.Accepted)
	case *streampb.Frame_Tokens:
		return a.take(body.Tokens)
	case *streampb.Frame_End:
		return a.end(body.End)
	case *streampb.Frame_Refused:
		return &attemptResult{ending: notStarted, refused: body.Refused}
	case *streampb.Frame_Lost:
		return &attemptResult{ending: lost, cause: causeEngineDied, death: body.Lost.GetDeath(), proven: body.Lost.GetProven()}
	default:
		return nil
	}
}

// accept checks that the stream is this attempt's own: a stream that was
// crossed with another would bring somebody else's answer.
func (a *attemptReader) accept(accepted *streampb.Accepted) *attemptResult {
	if streampb.ToLineage(accepted.GetLineage()).Last() != a.attempt {
		return &attemptResult{ending: lost, cause: causeConnection}
	}
	a.accepted = true
	return nil
}

// take accepts the tokens that continue the answer and drops the rest.
//
// Failure it stops: tokens of an attempt that was given up (its engine was
// frozen and thawed, its stream crossed) that get into the answer. They carry
// another attempt's tag. A gap means that the stream can't be trusted: the
// attempt counts as lost, and the answer resumes from what is whole.
func (a *attemptReader) take(t *streampb.Tokens) *attemptResult {
	first, have := int(t.GetFirst()), len(a.d.tokens)
	if types.AttemptTag(t.GetAttempt()) != a.attempt || first+len(t.GetTokens()) <= have {
		a.d.r.metrics.discarded.Add(float64(len(t.GetTokens())))
		a.d.r.opts.Recorder.Emit(eventStaleToken, event.FieldRequest, a.d.ask.requestID, "first", first, "have", have)
		return nil
	}
	if first > have {
		return &attemptResult{ending: lost, cause: causeConnection}
	}
	fresh := streampb.ToTokens(t.GetTokens()[have-first:])
	a.noteProgress()
	if a.candidate != nil {
		a.candidate.Stats.Progressed(time.Now())
	}
	a.d.lineage = a.lineage
	a.d.tokens = append(a.d.tokens, fresh...)
	if err := a.d.send(); err != nil {
		return &attemptResult{ending: left}
	}
	return nil
}

func (a *attemptReader) noteProgress() {
	if a.progressed {
		return
	}
	a.progressed = true
	if a.candidate != nil {
		a.sent.FirstToken(time.Since(a.opened))
		route.Learn(a.d.fleet.policy, a.candidate, a.d.blocks)
	}
}

// end accepts the end of an answer only if all of its tokens were read.
func (a *attemptReader) end(e *streampb.End) *attemptResult {
	if types.AttemptTag(e.GetAttempt()) != a.attempt || int(e.GetCount()) != len(a.d.tokens) {
		return &attemptResult{ending: lost, cause: causeConnection}
	}
	return &attemptResult{ending: ended, finish: types.FinishReason(e.GetFinish())}
}

func (a *attemptReader) reportLoad(l *streampb.Load) {
	if l == nil || a.candidate == nil {
		return
	}
	a.d.fleet.learnCapacity(string(a.candidate.ID), int(l.GetCapacity()))
	a.candidate.Stats.Report(types.Load{
		Running:      int(l.GetRunning()),
		Queued:       int(l.GetQueued()),
		Capacity:     int(l.GetCapacity()),
		CachedTokens: int(l.GetCachedTokens()),
		StepMicros:   int(l.GetStepMicros()),
		At:           time.Now().Add(-time.Duration(l.GetAgeMs()) * time.Millisecond),
	})
	a.candidate.Stats.ObserveStep(time.Duration(l.GetStepMicros()) * time.Microsecond)
}

// send passes the tokens that the caller lacks on to it.
func (d *drive) send() error {
	if d.sent >= len(d.tokens) {
		return nil
	}
	first := d.sent
	fresh := d.tokens[first:]
	if err := d.answer.tokens(first, d.lineage, fresh); err != nil {
		return err
	}
	d.sent = len(d.tokens)
	d.lastToken = time.Now()
	d.r.metrics.tokens.Add(float64(len(fresh)))
	d.outputGoesOn(first)
	return nil
}

func (d *drive) outputGoesOn(first int) {
	if first == 0 {
		d.r.metrics.firstToken.Observe(time.Since(d.begun).Seconds())
	}
	if d.gap == nil {
		return
	}
	latency := time.Since(d.gap.since)
	d.r.metrics.resumeLatency.WithLabelValues(d.gap.cause).Observe(latency.Seconds())
	d.r.opts.Recorder.Emit(eventResumed, event.FieldRequest, d.ask.requestID, "generation", d.id,
		"cause", d.gap.cause, "at_token", first, "latency_ms", latency.Milliseconds())
	d.gap = nil
}
