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

// How an offer stands.
const (
	offerOpen      int32 = iota // its backend server has brought nothing yet
	offerWon                    // it has brought something: the generation goes on there
	offerFailed                 // it was refused, or broke
	offerWithdrawn              // the attempt beside it goes on
)

// offer is an attempt that runs beside another one of its generation, from the
// same token on. The first of the two to bring a token has the generation, the
// other one is given up: state changes by compare-and-swap, so that exactly one
// of them gets it, and none of the other's tokens is taken.
//
// A goroutine of its own reads the stream until that is decided. All else, the
// bookkeeping included, is the drive's goroutine's.
type offer struct {
	candidate *route.Candidate
	reader    *attemptReader
	sent      route.Sent
	entered   bool // the ledger counts it as a run
	begun     time.Time

	stream *frames
	state  atomic.Int32
	ended  chan struct{} // closed when the goroutine is done
	result attemptResult // of an offer that failed; valid once ended is closed
}

// makeOffer asks a backend server that isn't among avoid to go on with the
// generation; nil if there is none. overtake is called when it does.
func (d *drive) makeOffer(ctx context.Context, avoid []types.ProcessID, overtake func()) *offer {
	query := d.query()
	query.Avoid = avoid
	query.Long = true
	o := &offer{begun: time.Now(), ended: make(chan struct{})}
	if !d.chooseBeside(o, query) {
		return nil
	}
	attempt := types.NewAttemptTag()
	lineage := d.lineage.Extend(attempt, len(d.tokens))
	o.sent = o.candidate.Begin(query)
	o.stream = d.r.openStream(ctx, o.candidate.Address, streampb.PathGenerate, d.request(ctx, lineage, query.Suspect))
	o.reader = &attemptReader{
		d: d, stream: o.stream, candidate: o.candidate, address: o.candidate.Address, sent: &o.sent,
		attempt: attempt, lineage: lineage, opened: o.begun,
	}
	go o.read(d.text.Recovery.Silence(), overtake)
	return o
}

// chooseBeside picks a backend server for an offer and enters the request there.
// A request that is suspected of crashing engines runs at one at a time.
func (d *drive) chooseBeside(o *offer, query *route.Query) bool {
	for !query.Suspect {
		candidate, ok := d.fleet.policy.Pick(query, d.fleet.view.Load())
		if !ok {
			break
		}
		query.Avoid = append(query.Avoid, candidate.ID)
		circuit := d.fleet.circuit(candidate.ID)
		if circuit.State() == retry.Open || !d.enterBeside(o, candidate) {
			continue
		}
		if circuit.Allow() {
			return true
		}
		d.leaveBeside(o) // another request became the probe
	}
	return false
}

// enterBeside counts the offer's run at candidate, if the ledger lets it run.
func (d *drive) enterBeside(o *offer, candidate *route.Candidate) bool {
	o.candidate = candidate
	if d.r.opts.Suspects == nil {
		return true
	}
	o.entered = d.r.opts.Suspects.BeginRun(d.ask.fingerprint, string(candidate.ID))
	return o.entered
}

// leaveBeside notes what the end of an offer says about the request.
func (d *drive) leaveBeside(o *offer) {
	if d.r.opts.Suspects == nil {
		return
	}
	if o.result.death != "" {
		d.r.opts.Suspects.RecordWeightedDeath(o.result.death, d.ask.fingerprint, o.result.proven)
	}
	if o.entered {
		o.entered = false
		d.r.opts.Suspects.EndRun(d.ask.fingerprint, string(o.candidate.ID))
	}
}

// read waits for a frame that decides the offer. The stream of an offer that has
// won stays open, with that frame unread, for the drive.
func (o *offer) read(limit time.Duration, overtake func()) {
	defer close(o.ended)
	result := readFrames(o.stream, limit, o.decide)
	if result.ending == decided {
		overtake()
		return
	}
	o.result = result
	o.state.CompareAndSwap(offerOpen, offerFailed)
	o.stream.close()
}

// decide handles the frames of an open offer.
func (o *offer) decide(frame *streampb.Frame) *attemptResult {
	o.reader.reportLoad(frame.GetLoad())
	switch frame.GetBody().(type) {
	case *streampb.Frame_Tokens, *streampb.Frame_End:
		if !o.state.CompareAndSwap(offerOpen, offerWon) {
			return &attemptResult{ending: overtaken}
		}
		o.stream.putBack(frame)
		return &attemptResult{ending: decided}
	case *streampb.Frame_Moving:
		return &attemptResult{ending: overtaken}
	default:
		return o.reader.act(frame)
	}
}

func (o *offer) won() bool { return o.state.Load() == offerWon }

// failed reports that nothing can come of the offer any more.
func (o *offer) failed() bool { return o.state.Load() == offerFailed }

// withdraw gives the offer up; false: it has won.
func (o *offer) withdraw() bool {
	if o.state.CompareAndSwap(offerOpen, offerWithdrawn) {
		o.stream.cancel()
	}
	return !o.won()
}

// endsWithin waits for the offer to be decided, for a while.
func (o *offer) endsWithin(wait time.Duration) bool {
	select {
	case <-o.ended:
		return true
	case <-time.After(wait):
		return false
	}
}

// closeOffer notes the end of an offer that nobody goes on with.
func (d *drive) closeOffer(o *offer) {
	<-o.ended
	if !o.failed() {
		o.result = attemptResult{ending: overtaken}
		o.stream.close()
	}
	o.result.accepted = o.reader.accepted
	o.sent.End()
	d.noteEnd(o.candidate, o.reader.attempt, &o.result)
	d.leaveBeside(o)
}

// followOffer reads on from an offer that has won.
func (d *drive) followOffer(o *offer) attemptResult {
	defer o.sent.End()
	d.r.opts.Recorder.Emit(eventPlaced, event.FieldRequest, d.ask.requestID, "generation", d.id,
		"backend_server", o.candidate.ID, "emitted", len(d.tokens))
	d.entered = o.entered
	result := d.follow(o.reader)
	d.leave(o.candidate, result)
	return result
}

// dropSuccessor gives up an offer that has won when the generation ends first.
func (d *drive) dropSuccessor() {
	if d.successor != nil {
		d.closeOffer(d.successor)
		d.successor = nil
	}
}
