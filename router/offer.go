package router

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/retry"
	"github.com/pearyard/pearyard/route"
	streampb "github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/types"
)

// States of an offer.
const (
	offerOpen      int32 = iota // it has brought no token yet
	offerWon                    // it brought a token or the end first and has the generation
	offerFailed                 // it was refused, lost, or its backend server is leaving too
	offerWithdrawn              // the current attempt continues the generation
)

// offer is an attempt that runs concurrently with the current attempt of its
// generation, from the same token on. The first of the two that brings a token
// gets the generation and the other one is cancelled. The state changes by
// compare-and-swap, so that exactly one of them wins and no token of the other is
// taken. If the generation moves because its backend server is leaving, the tokens of
// its current attempt are held back until the offer is decided, see maxMoveHold.
//
// A separate goroutine reads the stream until the state is decided. Everything
// else, including the bookkeeping, belongs to the goroutine of the run.
type offer struct {
	candidate  *route.Candidate
	reader     *attemptReader
	dispatch   route.Dispatch
	runCounted bool // the suspect ledger counts the offer as a run
	openedAt   time.Time

	stream *frameStream
	state  atomic.Int32
	done   chan struct{} // closed when the reading goroutine has ended
	result attemptResult // of an offer that failed; valid once done is closed
}

// startOffer asks a backend server outside avoid to take the generation over. It
// returns nil if there is none. The offer calls onWin when it wins.
func (g *generationRun) startOffer(ctx context.Context, avoid []types.ProcessID, onWin func()) *offer {
	query := g.query()
	query.Avoid = avoid
	query.Long = true
	o := &offer{openedAt: time.Now(), done: make(chan struct{})}
	if !g.chooseForOffer(o, query) {
		return nil
	}
	attempt := types.NewAttemptTag()
	lineage := g.lineage.Extend(attempt, len(g.tokens))
	o.dispatch = o.candidate.Begin(query)
	o.stream = g.router.openStream(ctx, o.candidate.Address, streampb.PathGenerate, g.attemptRequest(ctx, lineage, query.Suspect))
	o.reader = &attemptReader{
		run: g, stream: o.stream, candidate: o.candidate, address: o.candidate.Address, dispatch: &o.dispatch,
		attempt: attempt, lineage: lineage, openedAt: o.openedAt,
	}
	go o.read(g.text.Recovery.Silence(), onWin)
	return o
}

// chooseForOffer picks a backend server for an offer and counts the run there. A
// request that is suspected of crashing engines isn't offered, since it may run
// on one engine at a time only.
func (g *generationRun) chooseForOffer(o *offer, query *route.Query) bool {
	for !query.Suspect {
		candidate, ok := g.service.policy.Pick(query, g.service.view.Load())
		if !ok {
			break
		}
		query.Avoid = append(query.Avoid, candidate.ID)
		circuit := g.service.circuit(candidate.ID)
		if circuit.State() == retry.Open || !g.beginOfferRun(o, candidate) {
			continue
		}
		if circuit.Allow() {
			return true
		}
		g.endOfferRun(o) // another request took the circuit's probe
	}
	return false
}

// beginOfferRun counts the offer as a run on candidate, if the ledger permits it.
func (g *generationRun) beginOfferRun(o *offer, candidate *route.Candidate) bool {
	o.candidate = candidate
	if g.router.opts.Suspects == nil {
		return true
	}
	o.runCounted = g.router.opts.Suspects.BeginRun(g.req.fingerprint, string(candidate.ID))
	return o.runCounted
}

// endOfferRun records what the end of an offer says about the request.
func (g *generationRun) endOfferRun(o *offer) {
	if g.router.opts.Suspects == nil {
		return
	}
	if o.result.deathID != "" {
		g.router.opts.Suspects.RecordWeightedDeath(o.result.deathID, g.req.fingerprint, o.result.proven)
	}
	if o.runCounted {
		o.runCounted = false
		g.router.opts.Suspects.EndRun(g.req.fingerprint, string(o.candidate.ID))
	}
}

// read reads frames until the offer is decided. If it has won, its stream stays
// open with the deciding frame pushed back, for the run to read on.
func (o *offer) read(limit time.Duration, onWin func()) {
	defer close(o.done)
	result := readFrames(o.stream, limit, o.handleFrame)
	if result.end == endOfferWon {
		onWin()
		return
	}
	o.result = result
	o.state.CompareAndSwap(offerOpen, offerFailed)
	o.stream.close()
}

// handleFrame handles the frames of an open offer.
func (o *offer) handleFrame(frame *streampb.Frame) *attemptResult {
	o.reader.reportLoad(frame.GetLoad())
	switch frame.GetBody().(type) {
	case *streampb.Frame_Tokens, *streampb.Frame_End:
		if !o.state.CompareAndSwap(offerOpen, offerWon) {
			return &attemptResult{end: endSuperseded}
		}
		o.stream.pushBack(frame)
		return &attemptResult{end: endOfferWon}
	case *streampb.Frame_Moving:
		return &attemptResult{end: endSuperseded}
	default:
		return o.reader.handleFrame(frame)
	}
}

func (o *offer) won() bool { return o.state.Load() == offerWon }

// failed reports that the offer has ended and can't win any more.
func (o *offer) failed() bool { return o.state.Load() == offerFailed }

// withdraw withdraws the offer. It returns false if the offer has already won.
func (o *offer) withdraw() bool {
	if o.state.CompareAndSwap(offerOpen, offerWithdrawn) {
		o.stream.cancel()
	}
	return !o.won()
}

// endedWithin waits up to wait for the offer to be decided.
func (o *offer) endedWithin(wait time.Duration) bool {
	select {
	case <-o.done:
		return true
	case <-time.After(wait):
		return false
	}
}

// closeOffer waits for the end of an offer that the run doesn't continue with and
// records it.
func (g *generationRun) closeOffer(o *offer) {
	<-o.done
	if !o.failed() {
		o.result = attemptResult{end: endSuperseded}
		o.stream.close()
	}
	o.result.accepted = o.reader.accepted
	o.dispatch.End()
	g.recordEnd(o.candidate, o.reader.attempt, &o.result)
	g.endOfferRun(o)
}

// followOffer reads on from an offer that has won.
func (g *generationRun) followOffer(o *offer) attemptResult {
	defer o.dispatch.End()
	g.router.opts.Recorder.Emit(eventPlaced, event.FieldRequest, g.req.requestID, "generation", g.id,
		"backend_server", o.candidate.ID, "emitted", len(g.tokens))
	g.runCounted = o.runCounted
	result := g.followAttempt(o.reader)
	g.endRun(o.candidate, result)
	return result
}

// dropSuccessor gives up an offer that has won if the run ends before reading it.
func (g *generationRun) dropSuccessor() {
	if g.successor != nil {
		g.closeOffer(g.successor)
		g.successor = nil
	}
}
