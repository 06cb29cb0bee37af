package router

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pearyard/pearyard/peer"
	streampb "github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/types"
)

// ending says how an attempt ended for the router.
type ending int

const (
	ended      ending = iota // the answer is whole
	notStarted               // provably nothing of the attempt ran
	lost                     // it broke; resume from what was read
	moving                   // the backend server is leaving; resume elsewhere
	left                     // the caller is gone, or its answer can't be written
)

// attemptResult is how one attempt ended and what is known of the cause.
type attemptResult struct {
	ending     ending
	finish     types.FinishReason
	refused    *streampb.Refused // set when a sidecar refused
	death      string            // the engine's death, as its sidecar names it
	proven     bool              // the request had run well on that engine
	cause      string            // label of the loss
	accepted   bool              // the sidecar took the attempt
	progressed bool              // it brought at least one new token
	lastSign   time.Time         // last sign of life before the end
}

// frames reads a stream in a goroutine of its own, so that the reader can give
// it up when it falls silent.
type frames struct {
	next   chan *streampb.Frame
	err    error // set before next is closed
	cancel context.CancelFunc
	guard  peer.SentGuard
}

func (r *Router) openStream(ctx context.Context, address, path string, body proto.Message) *frames {
	ctx, cancel := context.WithCancel(ctx)
	f := &frames{next: make(chan *streampb.Frame, 16), cancel: cancel}
	go func() {
		defer close(f.next)
		f.err = r.pump(f.guard.Watch(ctx), address, path, body, f.next)
	}()
	return f
}

func (r *Router) pump(ctx context.Context, address, path string, body proto.Message, out chan<- *streampb.Frame) error {
	var buf bytes.Buffer
	if err := streampb.Write(&buf, body); err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, &buf)
	if err != nil {
		return err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return io.ErrUnexpectedEOF
	}
	reader := streampb.NewReader(resp.Body)
	for {
		frame := &streampb.Frame{}
		if err := reader.Read(frame); err != nil {
			return err
		}
		select {
		case out <- frame:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// onFrame handles the frames of one attempt; a nil result means go on.
type onFrame func(*streampb.Frame) *attemptResult

// readStream passes frames to handle until it gives a result, the stream
// breaks, or it is silent for longer than silence.
//
// Failure it stops: a frozen or cut VM keeps its connections open, so a caller
// would wait without end. Sidecars write a heartbeat on an idle stream, so
// silence over several heartbeats means that the way to the engine is gone.
func readStream(ctx context.Context, f *frames, silence time.Duration, handle onFrame) attemptResult {
	defer f.cancel()
	lastSign := time.Now()
	for {
		frame, event := f.wait(ctx, silence)
		switch event {
		case callerGone:
			return attemptResult{ending: left, lastSign: lastSign}
		case silent:
			return attemptResult{ending: lost, cause: causeSilence, lastSign: lastSign}
		case closed:
			return broken(f, lastSign)
		}
		lastSign = time.Now()
		if result := handle(frame); result != nil {
			result.lastSign = lastSign
			return *result
		}
	}
}

// streamEvent is what a wait for the next frame ended with.
type streamEvent int

const (
	frameRead streamEvent = iota
	callerGone
	silent
	closed
)

// wait returns the next frame. The time that the caller took to read the last
// one doesn't count as silence, and a frame that is there wins over a timer
// that ran out: a router that was frozen finds both, and its engine is well.
func (f *frames) wait(ctx context.Context, silence time.Duration) (*streampb.Frame, streamEvent) {
	timer := time.NewTimer(silence)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return nil, callerGone
	case frame, ok := <-f.next:
		return read(frame, ok)
	case <-timer.C:
	}
	select {
	case frame, ok := <-f.next:
		return read(frame, ok)
	default:
		return nil, silent
	}
}

func read(frame *streampb.Frame, ok bool) (*streampb.Frame, streamEvent) {
	if !ok {
		return nil, closed
	}
	return frame, frameRead
}

// broken tells a connection that was never made (nothing ran) from one that broke.
func broken(f *frames, lastSign time.Time) attemptResult {
	if !f.guard.MayHaveLeft() {
		return attemptResult{ending: notStarted, cause: causeConnection, lastSign: lastSign}
	}
	return attemptResult{ending: lost, cause: causeConnection, lastSign: lastSign}
}
