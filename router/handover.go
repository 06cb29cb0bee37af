package router

import (
	"time"

	"github.com/pearyard/pearyard/event"
	streampb "github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/types"
)

const (
	// stillAfter is how long a generation that has begun to answer may stand
	// still, at an engine that answers probes, before another one is asked to go
	// on with it: longer than an engine takes to read another caller's long prompt,
	// and before callers lose patience.
	stillAfter = 1500 * time.Millisecond
	// stillBeats is the same in heartbeats without a token between them. A router
	// or a sidecar that was frozen reads its clock after the pause, but finds no
	// more heartbeats than were sent.
	stillBeats = int(stillAfter / streampb.HeartbeatInterval)
	// offerPause is the time from an offer that came to nothing to the next one:
	// the others were full, or not there, a moment ago. It doubles, as an offer
	// holds up a generation that moves.
	offerPause    = 500 * time.Millisecond
	maxOfferPause = 8 * time.Second
	// heldTime is how long a generation that moves may stand still for an offer;
	// then it goes on where it runs, and is offered again later.
	heldTime = time.Second
)

// handover looks for another place for a generation while its attempt goes on
// here: it stands still although its engine answers probes, or its backend
// server is leaving.
//
// Failure it stops: an attempt ended before its successor is certain. A sound
// engine sets a generation aside for want of memory; a stop comes while all other
// engines are full. Ended first, the answer is lost if nobody else takes it, and
// its caller gets an error although its engine was at work; or the same engine
// reads the prompt again. Here the attempt ends with the successor's first
// token, and goes on if that doesn't come.
type handover struct {
	beats    int    // heartbeats since the last token
	moving   bool   // the backend server is leaving
	offer    *offer // nil: none is open
	tried    []types.ProcessID
	pause    time.Duration     // before the next offer
	offerAt  time.Time         // not before this
	held     []*streampb.Frame // what came from here since the offer of a generation that moves
	toldBusy bool              // nobody to offer it to: told once
}

// wait puts the next offer off.
func (h *handover) wait() {
	h.pause = min(max(2*h.pause, offerPause), maxOfferPause)
	h.offerAt = time.Now().Add(h.pause)
}

// standsStill reports that a generation has brought nothing for long: one that
// has begun to answer, or one that waits to begin at an engine that is stuck.
//
// Failure it stops: requests wait for their first token, until their deadlines,
// at an engine that makes no step any more, while others are free. Without the
// word of a request that had begun there, a long wait says nothing: it is the
// queue of a busy engine.
func (a *attemptReader) standsStill() bool {
	if a.handover.beats < stillBeats {
		return false
	}
	return a.progressed || a.candidate != nil && a.candidate.Stats.Stuck()
}

// tellStill lets new requests prefer other candidates while the engine here is stuck.
func (a *attemptReader) tellStill() {
	if a.candidate == nil || !a.progressed || !a.standsStill() {
		return
	}
	a.candidate.Stats.StoodStill(time.Now())
	a.candidate.Stats.Failed(time.Now())
}

// mayLeave reports that the generation had better go on elsewhere. All that its
// caller has seen must have been read: a caller that came back is ahead at first.
func (a *attemptReader) mayLeave() bool {
	if len(a.d.tokens) < a.d.sent {
		return false
	}
	if a.handover.moving {
		return true
	}
	return a.standsStill() && a.d.resumes < a.d.text.Recovery.MaxResumes
}

// beside acts on a frame of an attempt for the sake of a handover. It reports
// whether the frame is dealt with.
func (a *attemptReader) beside(frame *streampb.Frame) (result *attemptResult, dealt bool) {
	h := &a.handover
	if h.offer != nil && (h.offer.failed() || a.heldTooLong()) {
		if result := a.goOnHere(); result != nil {
			return result, true
		}
	}
	switch frame.GetBody().(type) {
	case *streampb.Frame_Heartbeat:
		h.beats++
		a.tellStill()
		a.offerIfDue()
	case *streampb.Frame_Moving:
		h.moving = true
		a.offerIfDue()
		return nil, true
	case *streampb.Frame_Tokens:
		h.beats = 0
		if h.offer != nil && h.moving {
			h.held = append(h.held, frame)
			return nil, true
		}
		return a.goOnHere(), false
	case *streampb.Frame_End:
		return a.goOnHere(), false
	}
	return nil, false
}

func (a *attemptReader) heldTooLong() bool {
	return a.handover.moving && time.Since(a.handover.offer.begun) > heldTime
}

// offerIfDue offers the generation elsewhere if there is a reason to.
func (a *attemptReader) offerIfDue() {
	h := &a.handover
	if h.offer != nil || !a.mayLeave() || time.Now().Before(h.offerAt) {
		return
	}
	if a.inBudget() {
		h.offer = a.d.makeOffer(a.stream.ctx, a.notHere(), a.stream.cancel)
	}
	if h.offer == nil {
		h.tried = nil
		h.wait()
		a.tellBusy()
		return
	}
	h.tried = append(h.tried, h.offer.candidate.ID)
	a.d.r.opts.Recorder.Emit(eventOffered, event.FieldRequest, a.d.ask.requestID, "generation", a.d.id,
		"backend_server", h.offer.candidate.ID, "cause", a.cause(), "tokens", len(a.d.tokens))
}

// inBudget reports whether the retry budget lets the generation be offered: one
// that has begun has the right to go on.
func (a *attemptReader) inBudget() bool {
	return a.progressed || a.handover.moving || a.d.fleet.budget.Allow()
}

// tellBusy tells that nobody is there to go on with the generation.
func (a *attemptReader) tellBusy() {
	if a.handover.toldBusy {
		return
	}
	a.handover.toldBusy = true
	a.d.r.opts.Recorder.Emit(eventNobodyElse, event.FieldRequest, a.d.ask.requestID, "generation", a.d.id,
		"cause", a.cause(), "tokens", len(a.d.tokens))
}

func (a *attemptReader) cause() string {
	if a.handover.moving {
		return causeMoved
	}
	return causeStill
}

// notHere lists the candidates that an offer avoids: where the generation runs,
// and those that have been asked in vain.
func (a *attemptReader) notHere() []types.ProcessID {
	avoid := append([]types.ProcessID(nil), a.handover.tried...)
	for _, c := range a.d.fleet.view.Load().Candidates() {
		if c.Address == a.address {
			avoid = append(avoid, c.ID)
		}
	}
	return avoid
}

// goOnHere withdraws an offer and takes what has come from here since; a result
// ends the attempt.
func (a *attemptReader) goOnHere() *attemptResult {
	h := &a.handover
	if h.offer == nil {
		return nil
	}
	if !h.offer.withdraw() {
		return &attemptResult{ending: overtaken, cause: a.cause()}
	}
	a.d.closeOffer(h.offer)
	h.offer = nil
	h.wait()
	return a.takeHeld()
}

// takeHeld takes the tokens that were held back for an offer that came to nothing.
func (a *attemptReader) takeHeld() *attemptResult {
	held := a.handover.held
	a.handover.held = nil
	for _, frame := range held {
		if result := a.take(frame.GetTokens()); result != nil {
			return result
		}
	}
	return nil
}

// handOver decides what becomes of an offer when the attempt beside it has
// ended. For one that is lost the offer is the resume, unless it stands still
// itself: then the generation is placed anew, and not there.
func (a *attemptReader) handOver(result attemptResult) attemptResult {
	o := a.handover.offer
	if o == nil {
		return result
	}
	if result.ending == left || !o.endsWithin(stillAfter) {
		o.withdraw()
	}
	<-o.ended
	a.d.successor = o
	if result.ending == left || !o.won() {
		a.d.dropSuccessor()
		a.d.avoidNext(o.candidate.ID)
		return a.endAlone(result)
	}
	if result.ending == overtaken || result.cause == causeConnection {
		result.ending, result.cause = overtaken, a.cause()
	}
	return result
}

// endAlone is the end of an attempt whose offer came to nothing.
func (a *attemptReader) endAlone(result attemptResult) attemptResult {
	if result.ending == left {
		return result
	}
	if end := a.takeHeld(); end != nil {
		return *end
	}
	return result
}
