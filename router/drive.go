package router

import (
	"context"
	"net/http"
	"time"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/route"
	streampb "github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/text"
	"github.com/pearyard/pearyard/types"
)

const (
	// placePatience is how long a generation that has begun waits for a backend
	// server that takes it; callers wait a few seconds at most.
	placePatience = 4 * time.Second
	// freshPatience is the same for a request of which nothing has run: its
	// caller can come back, and is told so at once.
	freshPatience = 500 * time.Millisecond
	placeRetry    = 20 * time.Millisecond
	// maxAvoided is how many backend servers a request stays away from at once.
	maxAvoided     = 4
	overloadedWait = time.Second
)

// drive takes one generation from its first token to its last, over as many
// backend servers as it needs.
//
// Invariant: tokens holds the answer so far, whole and from one lineage;
// sent <= len(tokens) of them are with the caller. A resume asks for the
// continuation of exactly tokens, so nothing is missing, repeated or mixed.
type drive struct {
	r      *Router
	ask    *ask
	text   *text.Config
	fleet  *serviceFleet
	answer answer
	// newAnswer returns an answer that has not begun, for another generation.
	newAnswer func(types.GenerationID) answer

	id      types.GenerationID
	lineage types.Lineage
	tokens  []types.Token
	sent    int

	blocks  []uint64
	avoid   []types.ProcessID
	resumes int
	// refusals counts attempts in a row of which nothing ran.
	refusals int
	ran      bool      // an attempt may have run somewhere
	entered  bool      // the ledger counts the attempt as a run
	granted  bool      // the suspect's home has granted it a run
	begun    time.Time // when the request came
	// lastToken is when the newest token was passed on; zero if none was.
	lastToken time.Time
	gap       *gap // set from a loss until output goes on
	// successor is an offer that has won and is to be read on; nil: none.
	successor *offer
}

// gap is an interruption that the caller may notice.
type gap struct {
	since time.Time
	cause string
}

// errCallerLeft ends a drive without an answer: nobody is there to read it.
var errCallerLeft = &types.Refusal{Code: types.CodeInternal, Message: "the caller left", Outcome: types.OutcomeUnknown}

// run places attempts until the answer is whole or a refusal is final.
func (d *drive) run(ctx context.Context) *types.Refusal {
	d.blocks = route.Blocks(nil, d.ask.prompt)
	patience := time.Now().Add(freshPatience)
	if d.ran || d.verdict().StrongEvidence() {
		// News of a suspect's second crash may be a second behind: the caller is
		// better told that its request is quarantined than that nobody takes it.
		patience = time.Now().Add(placePatience)
	}
	for {
		if d.complete() {
			return d.finish(types.FinishLength)
		}
		result, refusal := d.next(ctx, patience)
		if refusal != nil {
			return refusal
		}
		if result.accepted {
			patience = time.Now().Add(placePatience)
		}
		done, refusal := d.settle(ctx, result)
		if done || refusal != nil {
			return refusal
		}
	}
}

// next runs the attempt that has the generation already, or places a new one.
func (d *drive) next(ctx context.Context, patience time.Time) (attemptResult, *types.Refusal) {
	if o := d.successor; o != nil {
		d.successor = nil
		return d.followOffer(o), nil
	}
	return d.place(ctx, patience)
}

// complete: the engine died after the last token and before it could say so.
func (d *drive) complete() bool { return len(d.tokens) >= d.ask.maxTokens }

// settle decides what follows an attempt that has ended.
func (d *drive) settle(ctx context.Context, result attemptResult) (done bool, refusal *types.Refusal) {
	switch result.ending {
	case ended:
		return true, d.finish(result.finish)
	case left:
		return true, d.contextEnded(ctx)
	case notStarted:
		return false, d.afterNotStarted(result)
	default:
		return false, d.afterLoss(result)
	}
}

func (d *drive) afterNotStarted(result attemptResult) *types.Refusal {
	if result.refused != nil && types.Code(result.refused.GetCode()) == types.CodeQuarantined {
		wait := time.Duration(result.refused.GetRetryAfterMs()) * time.Millisecond
		return d.crashes(wait)
	}
	// A resume has the right to go on; a fresh request may only use the budget.
	if !d.ran && !d.fleet.budget.Allow() {
		return d.gaveUp(types.CodeOverloaded, "the budget for retries is used up")
	}
	return nil
}

func (d *drive) afterLoss(result attemptResult) *types.Refusal {
	if d.gap == nil {
		d.gap = &gap{since: d.interrupted(result), cause: result.cause}
	}
	if result.cause == causeMoved {
		d.r.opts.Recorder.Emit(eventMoved, event.FieldRequest, d.ask.requestID, "generation", d.id, "tokens", len(d.tokens))
		return nil
	}
	d.resumes++
	d.r.opts.Recorder.Emit(eventLost, event.FieldRequest, d.ask.requestID, "generation", d.id,
		"cause", result.cause, "tokens", len(d.tokens), "resumes", d.resumes)
	if d.resumes > d.text.Recovery.MaxResumes {
		return d.gaveUp(types.CodeResumeExhausted, "the generation was lost too often")
	}
	return nil
}

// interrupted dates a loss as the caller sees it: by the last token, since an
// engine that is frozen falls silent long before its sidecar does.
func (d *drive) interrupted(result attemptResult) time.Time {
	if d.lastToken.IsZero() || result.cause == causeMoved {
		return result.lastSign
	}
	return d.lastToken
}

func (d *drive) finish(reason types.FinishReason) *types.Refusal {
	if err := d.answer.finish(reason, len(d.tokens)); err != nil {
		return errCallerLeft
	}
	if d.r.opts.Suspects != nil {
		d.r.opts.Suspects.RecordCompletion(d.ask.fingerprint)
	}
	d.r.metrics.requests.WithLabelValues(string(types.OutcomeCompleted), "").Inc()
	d.r.opts.Recorder.Emit(eventDelivered, event.FieldRequest, d.ask.requestID, "generation", d.id, "tokens", len(d.tokens), "resumes", d.resumes)
	return nil
}

// gaveUp builds the final refusal; "not run" is only said if nothing ran.
func (d *drive) gaveUp(code types.Code, message string) *types.Refusal {
	if d.ran {
		refusal := types.Unknown(code, overloadedWait, "%s", message)
		refusal.Status = http.StatusServiceUnavailable
		return refusal
	}
	return types.NotRun(code, d.fleet.retryAfter(), "%s", message)
}

// contextEnded tells a caller that left from a deadline that passed.
func (d *drive) contextEnded(ctx context.Context) *types.Refusal {
	if context.Cause(ctx) == context.DeadlineExceeded {
		refusal := d.gaveUp(types.CodeDeadline, "the request's deadline has passed")
		refusal.Status = http.StatusGatewayTimeout
		return refusal
	}
	return errCallerLeft
}

// attempt runs one attempt on candidate. The attempt's tag is new, so late
// frames of any earlier attempt can't be taken for this one's.
func (d *drive) attempt(ctx context.Context, candidate *route.Candidate) attemptResult {
	attempt := types.NewAttemptTag()
	lineage := d.lineage.Extend(attempt, len(d.tokens))
	query := d.query()
	sent := candidate.Begin(query)
	defer sent.End()
	d.r.opts.Recorder.Emit(eventPlaced, event.FieldRequest, d.ask.requestID, "generation", d.id,
		"backend_server", candidate.ID, "emitted", len(d.tokens))
	stream := d.r.openStream(ctx, candidate.Address, streampb.PathGenerate, d.request(ctx, lineage, query.Suspect))
	return d.follow(&attemptReader{
		d: d, stream: stream, candidate: candidate, address: candidate.Address, sent: &sent,
		attempt: attempt, lineage: lineage, opened: time.Now(),
	})
}

// follow reads an attempt to its end, or to its successor's first token.
func (d *drive) follow(a *attemptReader) attemptResult {
	result := a.handOver(readStream(a.stream, d.text.Recovery.Silence(), a.handle))
	result.accepted = a.accepted
	result.progressed = a.progressed
	d.close(a.candidate, a.attempt, &result)
	return result
}

func (d *drive) request(ctx context.Context, lineage types.Lineage, isSuspect bool) *streampb.GenerateRequest {
	req := &streampb.GenerateRequest{
		RequestId:    string(d.ask.requestID),
		Generation:   d.id.String(),
		Lineage:      streampb.FromLineage(lineage),
		Organisation: d.ask.organisation.Name,
		Service:      d.ask.service.Name,
		Model:        d.ask.model,
		Prompt:       d.ask.prompt,
		Emitted:      streampb.FromTokens(d.tokens),
		MaxTokens:    uint32(d.ask.maxTokens),
		Priority:     int32(d.ask.organisation.Priority),
		Fingerprint:  uint64(d.ask.fingerprint),
		Suspect:      isSuspect,
	}
	if deadline, ok := ctx.Deadline(); ok {
		req.DeadlineUnixMs = deadline.UnixMilli()
	}
	return req
}
