package router

import (
	"context"
	"net/http"
	"time"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/retry"
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
	text   *text.Text
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
	if d.ran || d.verdict().Strong() {
		// News of a suspect's second crash may be a second behind: the caller is
		// better told that its request is quarantined than that nobody takes it.
		patience = time.Now().Add(placePatience)
	}
	for {
		if d.complete() {
			return d.finish(types.FinishLength)
		}
		result, refusal := d.place(ctx, patience)
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

// complete: the engine died after the last token and before it could say so.
func (d *drive) complete() bool { return len(d.tokens) >= d.ask.maxTokens }

// place picks a backend server and runs one attempt on it; it waits a little
// when there is none.
func (d *drive) place(ctx context.Context, patience time.Time) (attemptResult, *types.Refusal) {
	defer d.giveBack()
	for {
		if !d.pace(ctx) {
			return attemptResult{}, d.contextEnded(ctx)
		}
		d.await(ctx, patience)
		if refusal := d.quarantined(); refusal != nil {
			return attemptResult{}, refusal
		}
		if candidate, ok := d.choose(); ok {
			result := d.attempt(ctx, candidate)
			d.leave(candidate, result)
			return result, nil
		}
		if time.Now().After(patience) {
			return attemptResult{}, d.gaveUp(types.CodeNoBackend, "no backend server takes this request")
		}
		select {
		case <-ctx.Done():
			return attemptResult{}, d.contextEnded(ctx)
		case <-time.After(placeRetry):
		}
	}
}

// pace waits a little once every backend server has refused this request in a
// row: while all engines are down, a resume would else ask them without a pause.
func (d *drive) pace(ctx context.Context) bool {
	round := d.refusals - d.fleet.view.Load().Len()
	if round < 0 {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(retry.Backoff(round)):
		return true
	}
}

// choose picks a backend server and enters the request there. One that a
// suspect may not enter, or whose circuit is open, is avoided from then on.
func (d *drive) choose() (*route.Candidate, bool) {
	if !d.mayPlace() {
		return nil, false
	}
	for range maxAvoided {
		candidate, ok := d.pick()
		if !ok {
			break
		}
		circuit := d.fleet.circuit(candidate.ID)
		if circuit.State() == retry.Open || !d.enter(candidate) {
			d.avoidNext(candidate.ID)
			continue
		}
		if circuit.Allow() {
			return candidate, true
		}
		d.withdraw(candidate) // another request became the probe
		d.avoidNext(candidate.ID)
		return nil, false
	}
	d.avoid = d.avoid[:0]
	return nil, false
}

func (d *drive) query() *route.Query {
	return &route.Query{
		Blocks:  d.blocks,
		Zone:    d.r.opts.Zone,
		Avoid:   d.avoid,
		Suspect: d.verdict().Strong(),
		Long:    d.resumes > 0,
	}
}

func (d *drive) pick() (*route.Candidate, bool) {
	return d.fleet.policy.Pick(d.query(), d.fleet.view.Load())
}

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
	if result.ending == moving {
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
	if d.lastToken.IsZero() || result.ending == moving {
		return result.lastSign
	}
	return d.lastToken
}

func (d *drive) finish(reason types.FinishReason) *types.Refusal {
	if err := d.answer.finish(reason, len(d.tokens)); err != nil {
		return errCallerLeft
	}
	if d.r.opts.Suspects != nil {
		d.r.opts.Suspects.Completed(d.ask.fingerprint)
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
	reader := &attemptReader{d: d, candidate: candidate, sent: &sent, attempt: attempt, lineage: lineage, opened: time.Now()}
	result := readStream(stream, d.text.Recovery.Silence(), reader.handle)
	result.accepted = reader.accepted
	result.progressed = reader.progressed
	d.close(candidate, attempt, &result)
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

// close updates what is known of the candidate and frees an attempt that may still run.
func (d *drive) close(candidate *route.Candidate, attempt types.AttemptTag, result *attemptResult) {
	d.refusals++
	if result.ending != notStarted {
		d.refusals = 0
	}
	// Failure it stops: "not run" said of a request that ran. An attempt whose
	// stream broke before its first frame may be with an engine all the same;
	// only a refusal, or a connection that was never made, proves that it isn't.
	d.ran = d.ran || result.accepted || result.ending != notStarted
	circuit := d.fleet.circuit(candidate.ID)
	if result.accepted {
		circuit.Success()
	}
	switch result.ending {
	case ended:
		candidate.Stats.Succeeded()
		return
	case left:
		if !d.ask.explicitKey {
			d.r.cancelAttempt(candidate.Address, d.id, attempt)
		}
		return
	case lost:
		candidate.Stats.Failed(time.Now())
		if result.cause != causeEngineDied {
			circuit.Failure()
		}
		d.r.cancelAttempt(candidate.Address, d.id, attempt)
	case moving:
		d.r.cancelAttempt(candidate.Address, d.id, attempt)
	case notStarted:
		if result.refused == nil {
			candidate.Stats.Failed(time.Now())
			circuit.Failure()
		} else if types.Code(result.refused.GetCode()) == types.CodeLeaving {
			d.r.noteLeaving(d.fleet, candidate)
		}
	}
	d.avoidNext(candidate.ID)
}

func (d *drive) avoidNext(id types.ProcessID) {
	if len(d.avoid) == maxAvoided {
		d.avoid = append(d.avoid[:0], d.avoid[1:]...)
	}
	d.avoid = append(d.avoid, id)
}
