package router

import (
	"time"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/route"
	streampb "github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/types"
)

// attemptReader applies the frames of one attempt to its run.
type attemptReader struct {
	run        *generationRun
	stream     *frameStream
	address    string           // of the sidecar
	candidate  *route.Candidate // nil if attached to a running generation
	dispatch   *route.Dispatch  // nil if attached to a running generation
	attempt    types.AttemptTag
	lineage    types.Lineage
	openedAt   time.Time
	accepted   bool
	progressed bool
	handover   handover
}

func (a *attemptReader) handle(frame *streampb.Frame) *attemptResult {
	a.reportLoad(frame.GetLoad())
	if result, handled := a.handleHandover(frame); handled || result != nil {
		return result
	}
	return a.handleFrame(frame)
}

// handleFrame is handle without the handover.
func (a *attemptReader) handleFrame(frame *streampb.Frame) *attemptResult {
	switch body := frame.GetBody().(type) {
	case *streampb.Frame_Accepted:
		return a.accept(body.Accepted)
	case *streampb.Frame_Tokens:
		return a.takeTokens(body.Tokens)
	case *streampb.Frame_End:
		return a.takeEnd(body.End)
	case *streampb.Frame_Refused:
		return &attemptResult{end: endNotStarted, refused: body.Refused}
	case *streampb.Frame_Lost:
		return &attemptResult{end: endLost, cause: causeEngineDied, deathID: body.Lost.GetDeath(), proven: body.Lost.GetProven()}
	default:
		return nil
	}
}

// accept checks that the stream belongs to this attempt: a stream that was mixed
// up with another one would bring another caller's answer.
func (a *attemptReader) accept(accepted *streampb.Accepted) *attemptResult {
	if streampb.ToLineage(accepted.GetLineage()).Last() != a.attempt {
		return &attemptResult{end: endLost, cause: causeConnection}
	}
	a.accepted = true
	return nil
}

// takeTokens appends the tokens that continue the answer and drops all others.
//
// Tokens with the tag of another attempt come from an attempt that was given up:
// its engine was frozen and resumed, or its stream was mixed up. A gap means that
// the stream can't be trusted; the attempt then counts as lost, and the answer
// resumes from the tokens that are complete.
func (a *attemptReader) takeTokens(t *streampb.Tokens) *attemptResult {
	first, have := int(t.GetFirst()), len(a.run.tokens)
	if types.AttemptTag(t.GetAttempt()) != a.attempt || first+len(t.GetTokens()) <= have {
		a.run.router.metrics.discarded.Add(float64(len(t.GetTokens())))
		a.run.router.opts.Recorder.Emit(eventStaleToken, event.FieldRequest, a.run.req.requestID, "first", first, "have", have)
		return nil
	}
	if first > have {
		return &attemptResult{end: endLost, cause: causeConnection}
	}
	fresh := streampb.ToTokens(t.GetTokens()[have-first:])
	a.recordProgress()
	if a.candidate != nil {
		a.candidate.Stats.RecordToken(time.Now())
	}
	a.run.lineage = a.lineage
	a.run.tokens = append(a.run.tokens, fresh...)
	if err := a.run.deliver(); err != nil {
		return &attemptResult{end: endCallerLeft}
	}
	return nil
}

func (a *attemptReader) recordProgress() {
	if a.progressed {
		return
	}
	a.progressed = true
	if a.candidate != nil {
		a.dispatch.FirstToken(time.Since(a.openedAt))
		route.Learn(a.run.service.policy, a.candidate, a.run.blocks)
	}
}

// takeEnd accepts the end of an answer only if all of its tokens were read.
func (a *attemptReader) takeEnd(e *streampb.End) *attemptResult {
	if types.AttemptTag(e.GetAttempt()) != a.attempt || int(e.GetCount()) != len(a.run.tokens) {
		return &attemptResult{end: endLost, cause: causeConnection}
	}
	return &attemptResult{end: endCompleted, finish: types.FinishReason(e.GetFinish())}
}

func (a *attemptReader) reportLoad(l *streampb.Load) {
	if l == nil || a.candidate == nil {
		return
	}
	a.run.service.learnCapacity(string(a.candidate.ID), int(l.GetCapacity()))
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

// deliver sends the tokens that the caller doesn't have yet.
func (g *generationRun) deliver() error {
	if g.delivered >= len(g.tokens) {
		return nil
	}
	first := g.delivered
	fresh := g.tokens[first:]
	if err := g.answer.writeTokens(first, g.lineage, fresh); err != nil {
		return err
	}
	g.delivered = len(g.tokens)
	g.lastToken = time.Now()
	g.router.metrics.tokens.Add(float64(len(fresh)))
	g.observeOutput(first)
	return nil
}

func (g *generationRun) observeOutput(first int) {
	if first == 0 {
		g.router.metrics.firstToken.Observe(time.Since(g.receivedAt).Seconds())
	}
	if g.gap == nil {
		return
	}
	latency := time.Since(g.gap.since)
	g.router.metrics.resumeLatency.WithLabelValues(g.gap.cause).Observe(latency.Seconds())
	g.router.opts.Recorder.Emit(eventResumed, event.FieldRequest, g.req.requestID, "generation", g.id,
		"cause", g.gap.cause, "at_token", first, "latency_ms", latency.Milliseconds())
	g.gap = nil
}
