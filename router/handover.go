package router

import (
	"time"

	"github.com/pearyard/pearyard/event"
	streampb "github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/types"
)

const (
	// stallTimeout is how long a generation may bring no token, at an engine that
	// answers probes, before another one is asked to take it over: longer than an
	// engine takes to prefill another caller's long prompt, and shorter than
	// callers are willing to wait.
	stallTimeout = 1500 * time.Millisecond
	// stallHeartbeats is stallTimeout in whole heartbeats without a token between them.
	// Heartbeats are counted instead of time because a router or sidecar that was
	// frozen sees a jump of its clock, but no more heartbeats than were sent.
	stallHeartbeats = int(stallTimeout / streampb.HeartbeatInterval)
	// minOfferBackoff is the delay after an offer that failed: the other servers
	// were full or unavailable a moment ago. It doubles up to maxOfferBackoff,
	// since an open offer holds back the tokens of a generation that moves.
	minOfferBackoff = 500 * time.Millisecond
	maxOfferBackoff = 8 * time.Second
	// maxMoveHold is how long an open offer may hold back the tokens of a
	// generation that moves; after that it continues where it runs, and is
	// offered again later.
	maxMoveHold = time.Second
)

// handover looks for another backend server for a generation while its current
// attempt keeps running: because it has stalled although its engine answers
// probes, or because its backend server is leaving.
//
// The current attempt ends only with the first token of its successor. Ended
// earlier, the generation would be lost if no other server accepts it, and the
// caller would get an error although its engine was working; or the same engine
// would prefill the prompt again. Both happen when a healthy engine preempts a
// generation for lack of memory, or when a backend server stops while all other
// engines are full.
type handover struct {
	heartbeats    int    // heartbeats since the last token
	moving        bool   // the backend server is leaving
	offer         *offer // the open offer; may be nil
	offeredTo     []types.ProcessID
	backoff       time.Duration     // before the next offer
	nextOfferAt   time.Time         // not before this
	heldFrames    []*streampb.Frame // tokens of a moving generation that arrived since the offer
	loggedNoOther bool              // eventNobodyElse has been emitted
}

// backOff postpones the next offer.
func (h *handover) backOff() {
	h.backoff = min(max(2*h.backoff, minOfferBackoff), maxOfferBackoff)
	h.nextOfferAt = time.Now().Add(h.backoff)
}

// stalled reports that the generation has brought no token for stallHeartbeats:
// either one that has brought tokens before, or one that waits for its first
// token at an engine that is known to be stuck.
//
// In the second case requests would otherwise wait for their first token until
// their deadlines while other engines are free. A long wait alone proves nothing,
// it may be the queue of a busy engine; a stalled generation that had started at
// the same engine does.
func (a *attemptReader) stalled() bool {
	if a.handover.heartbeats < stallHeartbeats {
		return false
	}
	return a.progressed || a.candidate != nil && a.candidate.Stats.Stalled()
}

// reportStall makes new requests prefer other candidates while this engine is
// stuck.
func (a *attemptReader) reportStall() {
	if a.candidate == nil || !a.progressed || !a.stalled() {
		return
	}
	a.candidate.Stats.RecordStall(time.Now())
	a.candidate.Stats.RecordFailure(time.Now())
}

// mayMove reports whether the generation should continue elsewhere. All tokens
// that the caller has must have been read first: after a reconnect it may have
// more than the router.
func (a *attemptReader) mayMove() bool {
	if len(a.run.tokens) < a.run.delivered {
		return false
	}
	if a.handover.moving {
		return true
	}
	return a.stalled() && a.run.resumes < a.run.text.Recovery.MaxResumes
}

// handleHandover updates the handover by a frame of the current attempt. It
// reports whether the frame needs no further handling.
func (a *attemptReader) handleHandover(frame *streampb.Frame) (result *attemptResult, handled bool) {
	h := &a.handover
	if h.offer != nil && (h.offer.failed() || a.holdExpired()) {
		if result := a.withdrawOffer(); result != nil {
			return result, true
		}
	}
	switch frame.GetBody().(type) {
	case *streampb.Frame_Heartbeat:
		h.heartbeats++
		a.reportStall()
		a.offerIfDue()
	case *streampb.Frame_Moving:
		h.moving = true
		a.offerIfDue()
		return nil, true
	case *streampb.Frame_Tokens:
		h.heartbeats = 0
		if h.offer != nil && h.moving {
			h.heldFrames = append(h.heldFrames, frame)
			return nil, true
		}
		return a.withdrawOffer(), false
	case *streampb.Frame_End:
		return a.withdrawOffer(), false
	}
	return nil, false
}

func (a *attemptReader) holdExpired() bool {
	return a.handover.moving && time.Since(a.handover.offer.openedAt) > maxMoveHold
}

// offerIfDue opens an offer if the generation should move and none is open.
func (a *attemptReader) offerIfDue() {
	h := &a.handover
	if h.offer != nil || !a.mayMove() || time.Now().Before(h.nextOfferAt) {
		return
	}
	if a.withinRetryBudget() {
		h.offer = a.run.startOffer(a.stream.ctx, a.excludedCandidates(), a.stream.cancel)
	}
	if h.offer == nil {
		h.offeredTo = nil
		h.backOff()
		a.logNoOther()
		return
	}
	h.offeredTo = append(h.offeredTo, h.offer.candidate.ID)
	a.run.router.opts.Recorder.Emit(eventOffered, event.FieldRequest, a.run.req.requestID, "generation", a.run.id,
		"backend_server", h.offer.candidate.ID, "cause", a.handoverCause(), "tokens", len(a.run.tokens))
}

// withinRetryBudget reports whether the retry budget permits an offer. It doesn't
// limit generations that have started.
func (a *attemptReader) withinRetryBudget() bool {
	return a.progressed || a.handover.moving || a.run.service.budget.Allow()
}

// logNoOther reports, once, that no other backend server can take over.
func (a *attemptReader) logNoOther() {
	if a.handover.loggedNoOther {
		return
	}
	a.handover.loggedNoOther = true
	a.run.router.opts.Recorder.Emit(eventNobodyElse, event.FieldRequest, a.run.req.requestID, "generation", a.run.id,
		"cause", a.handoverCause(), "tokens", len(a.run.tokens))
}

func (a *attemptReader) handoverCause() string {
	if a.handover.moving {
		return causeMoved
	}
	return causeStalled
}

// excludedCandidates lists the candidates that an offer avoids: the one at the
// current address and those that were asked in vain.
func (a *attemptReader) excludedCandidates() []types.ProcessID {
	avoid := append([]types.ProcessID(nil), a.handover.offeredTo...)
	for _, c := range a.run.service.view.Load().Candidates() {
		if c.Address == a.address {
			avoid = append(avoid, c.ID)
		}
	}
	return avoid
}

// withdrawOffer withdraws the open offer, if any, and takes the tokens that were
// held back for it. A non-nil result ends the attempt.
func (a *attemptReader) withdrawOffer() *attemptResult {
	h := &a.handover
	if h.offer == nil {
		return nil
	}
	if !h.offer.withdraw() {
		return &attemptResult{end: endSuperseded, cause: a.handoverCause()}
	}
	a.run.closeOffer(h.offer)
	h.offer = nil
	h.backOff()
	return a.takeHeldFrames()
}

// takeHeldFrames takes the tokens that were held back for an offer that failed.
func (a *attemptReader) takeHeldFrames() *attemptResult {
	held := a.handover.heldFrames
	a.handover.heldFrames = nil
	for _, frame := range held {
		if result := a.takeTokens(frame.GetTokens()); result != nil {
			return result
		}
	}
	return nil
}

// resolveHandover decides the open offer once the current attempt has ended. If
// the attempt was lost, the offer becomes the resume, unless the offer stalls as
// well: then the generation is placed anew, avoiding that server.
func (a *attemptReader) resolveHandover(result attemptResult) attemptResult {
	o := a.handover.offer
	if o == nil {
		return result
	}
	if result.end == endCallerLeft || !o.endedWithin(stallTimeout) {
		o.withdraw()
	}
	<-o.done
	a.run.successor = o
	if result.end == endCallerLeft || !o.won() {
		a.run.dropSuccessor()
		a.run.avoidCandidate(o.candidate.ID)
		return a.endWithoutOffer(result)
	}
	if result.end == endSuperseded || result.cause == causeConnection {
		result.end, result.cause = endSuperseded, a.handoverCause()
	}
	return result
}

// endWithoutOffer returns the result of an attempt whose offer failed.
func (a *attemptReader) endWithoutOffer(result attemptResult) attemptResult {
	if result.end == endCallerLeft {
		return result
	}
	if end := a.takeHeldFrames(); end != nil {
		return *end
	}
	return result
}
