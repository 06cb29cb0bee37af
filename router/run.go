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
	// resumePlaceTimeout bounds how long a generation that has started waits for
	// a backend server that accepts it: callers wait a few seconds at most.
	resumePlaceTimeout = 4 * time.Second
	// freshPlaceTimeout is the same for a request of which nothing has run. It is
	// short because the caller can safely retry and should be told so at once.
	freshPlaceTimeout  = 500 * time.Millisecond
	placeRetryInterval = 20 * time.Millisecond
	// maxAvoided is how many backend servers a request avoids at once.
	maxAvoided               = 4
	unknownOutcomeRetryAfter = time.Second
)

// generationRun produces one generation from its first token to its last, over
// as many backend servers as that takes.
//
// Invariant: tokens holds the answer so far, complete and from one lineage, and
// the first delivered <= len(tokens) of them have been sent to the caller. A
// resume asks for the continuation of exactly these tokens, so that none is
// missing, repeated or taken from another attempt.
type generationRun struct {
	router  *Router
	req     *generationRequest
	text    *text.Config
	service *serviceFleet
	answer  answerWriter
	// newAnswer returns an unstarted answer for another generation id.
	newAnswer func(types.GenerationID) answerWriter

	id        types.GenerationID
	lineage   types.Lineage
	tokens    []types.Token
	delivered int

	blocks  []uint64
	avoid   []types.ProcessID
	resumes int
	// consecutiveRefusals counts the latest attempts of which nothing ran.
	consecutiveRefusals int
	ran                 bool      // an attempt may have run somewhere
	runCounted          bool      // the suspect ledger counts the current attempt as a run
	hasGrant            bool      // the suspect's coordinator has granted this router a run
	receivedAt          time.Time // when the request arrived
	// lastToken is when the latest token was sent to the caller; zero if none was.
	lastToken time.Time
	gap       *gap // set from a loss until output continues
	// successor is an offer that has won and is read next; may be nil.
	successor *offer
}

// gap is an interruption of the output that the caller may notice.
type gap struct {
	since time.Time
	cause string
}

// callerLeftRefusal ends a run without an answer: the caller is gone.
var callerLeftRefusal = &types.Refusal{Code: types.CodeInternal, Message: "the caller left", Outcome: types.OutcomeUnknown}

// runToEnd runs attempts until the answer is complete or a refusal is final.
func (g *generationRun) runToEnd(ctx context.Context) *types.Refusal {
	g.blocks = route.Blocks(nil, g.req.prompt)
	giveUpAt := time.Now().Add(freshPlaceTimeout)
	if g.ran || g.verdict().StrongEvidence() {
		// The report of a suspect's second crash may arrive a second late. Waiting
		// lets the caller hear "quarantined" instead of "no backend server".
		giveUpAt = time.Now().Add(resumePlaceTimeout)
	}
	for {
		if g.isComplete() {
			return g.finish(types.FinishLength)
		}
		result, refusal := g.nextAttempt(ctx, giveUpAt)
		if refusal != nil {
			return refusal
		}
		if result.accepted {
			giveUpAt = time.Now().Add(resumePlaceTimeout)
		}
		done, refusal := g.afterAttempt(ctx, result)
		if done || refusal != nil {
			return refusal
		}
	}
}

// nextAttempt continues with the offer that has won, or places a new attempt.
func (g *generationRun) nextAttempt(ctx context.Context, giveUpAt time.Time) (attemptResult, *types.Refusal) {
	if o := g.successor; o != nil {
		g.successor = nil
		return g.followOffer(o), nil
	}
	return g.placeAttempt(ctx, giveUpAt)
}

// isComplete reports whether all tokens have been read although the attempt did
// not end: the engine died after the last token and before its end frame.
func (g *generationRun) isComplete() bool { return len(g.tokens) >= g.req.maxTokens }

// afterAttempt decides how to go on after an attempt has ended.
func (g *generationRun) afterAttempt(ctx context.Context, result attemptResult) (done bool, refusal *types.Refusal) {
	switch result.end {
	case endCompleted:
		return true, g.finish(result.finish)
	case endCallerLeft:
		return true, g.contextRefusal(ctx)
	case endNotStarted:
		return false, g.afterNotStarted(result)
	default:
		return false, g.afterLoss(result)
	}
}

func (g *generationRun) afterNotStarted(result attemptResult) *types.Refusal {
	if result.refused != nil && types.Code(result.refused.GetCode()) == types.CodeQuarantined {
		wait := time.Duration(result.refused.GetRetryAfterMs()) * time.Millisecond
		return g.quarantineRefusal(wait)
	}
	// Only requests of which nothing has run are charged to the retry budget; a
	// started generation may always be resumed.
	if !g.ran && !g.service.budget.Allow() {
		return g.finalRefusal(types.CodeOverloaded, "the budget for retries is used up")
	}
	return nil
}

func (g *generationRun) afterLoss(result attemptResult) *types.Refusal {
	if g.gap == nil {
		g.gap = &gap{since: g.interruptedAt(result), cause: result.cause}
	}
	if result.cause == causeMoved {
		g.router.opts.Recorder.Emit(eventMoved, event.FieldRequest, g.req.requestID, "generation", g.id, "tokens", len(g.tokens))
		return nil
	}
	g.resumes++
	g.router.opts.Recorder.Emit(eventAttemptLost, event.FieldRequest, g.req.requestID, "generation", g.id,
		"cause", result.cause, "tokens", len(g.tokens), "resumes", g.resumes)
	if g.resumes > g.text.Recovery.MaxResumes {
		return g.finalRefusal(types.CodeResumeExhausted, "the generation was lost too often")
	}
	return nil
}

// interruptedAt returns the start of an interruption as the caller sees it: the
// time of the last token. A frozen engine stops producing tokens long before its
// sidecar's heartbeats stop.
func (g *generationRun) interruptedAt(result attemptResult) time.Time {
	if g.lastToken.IsZero() || result.cause == causeMoved {
		return result.lastFrameAt
	}
	return g.lastToken
}

func (g *generationRun) finish(reason types.FinishReason) *types.Refusal {
	if err := g.answer.finish(reason, len(g.tokens)); err != nil {
		return callerLeftRefusal
	}
	if g.router.opts.Suspects != nil {
		g.router.opts.Suspects.RecordCompletion(g.req.fingerprint)
	}
	g.router.metrics.requests.WithLabelValues(string(types.OutcomeCompleted), "").Inc()
	g.router.opts.Recorder.Emit(eventDelivered, event.FieldRequest, g.req.requestID, "generation", g.id, "tokens", len(g.tokens), "resumes", g.resumes)
	return nil
}

// finalRefusal returns the refusal that ends the run. Its outcome is "not run"
// only if no attempt can have run.
func (g *generationRun) finalRefusal(code types.Code, message string) *types.Refusal {
	if g.ran {
		refusal := types.Unknown(code, unknownOutcomeRetryAfter, "%s", message)
		refusal.Status = http.StatusServiceUnavailable
		return refusal
	}
	return types.NotRun(code, g.service.retryAfter(), "%s", message)
}

// contextRefusal distinguishes an expired deadline from a caller that left.
func (g *generationRun) contextRefusal(ctx context.Context) *types.Refusal {
	if context.Cause(ctx) == context.DeadlineExceeded {
		refusal := g.finalRefusal(types.CodeDeadline, "the request's deadline has passed")
		refusal.Status = http.StatusGatewayTimeout
		return refusal
	}
	return callerLeftRefusal
}

// runAttempt runs one attempt on candidate. The attempt's tag is new, so that
// late frames of an earlier attempt can't be mistaken for frames of this one.
func (g *generationRun) runAttempt(ctx context.Context, candidate *route.Candidate) attemptResult {
	attempt := types.NewAttemptTag()
	lineage := g.lineage.Extend(attempt, len(g.tokens))
	query := g.query()
	dispatch := candidate.Begin(query)
	defer dispatch.End()
	g.router.opts.Recorder.Emit(eventPlaced, event.FieldRequest, g.req.requestID, "generation", g.id,
		"backend_server", candidate.ID, "emitted", len(g.tokens))
	stream := g.router.openStream(ctx, candidate.Address, streampb.PathGenerate, g.attemptRequest(ctx, lineage, query.Suspect))
	return g.followAttempt(&attemptReader{
		run: g, stream: stream, candidate: candidate, address: candidate.Address, dispatch: &dispatch,
		attempt: attempt, lineage: lineage, openedAt: time.Now(),
	})
}

// followAttempt reads an attempt to its end, or to the first token of the offer
// that replaces it.
func (g *generationRun) followAttempt(a *attemptReader) attemptResult {
	result := a.resolveHandover(readStream(a.stream, g.text.Recovery.Silence(), a.handle))
	result.accepted = a.accepted
	result.progressed = a.progressed
	g.recordAttempt(a.candidate, a.attempt, &result)
	return result
}

func (g *generationRun) attemptRequest(ctx context.Context, lineage types.Lineage, isSuspect bool) *streampb.GenerateRequest {
	req := &streampb.GenerateRequest{
		RequestId:    string(g.req.requestID),
		Generation:   g.id.String(),
		Lineage:      streampb.FromLineage(lineage),
		Organisation: g.req.organisation.Name,
		Service:      g.req.service.Name,
		Model:        g.req.model,
		Prompt:       g.req.prompt,
		Emitted:      streampb.FromTokens(g.tokens),
		MaxTokens:    uint32(g.req.maxTokens),
		Priority:     int32(g.req.organisation.Priority),
		Fingerprint:  uint64(g.req.fingerprint),
		Suspect:      isSuspect,
	}
	if deadline, ok := ctx.Deadline(); ok {
		req.DeadlineUnixMs = deadline.UnixMilli()
	}
	return req
}
