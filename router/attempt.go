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
	overtaken                // an offer beside it has the generation now
	decided                  // an offer has won; its stream is read on later
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

// frames is the stream of one attempt. It is read by the goroutine that writes
// to the caller: a token takes one wake-up on its way, not two.
type frames struct {
	ctx    context.Context // of the caller
	cancel context.CancelFunc
	open   func() (io.ReadCloser, error)
	guard  peer.SentGuard
	body   io.ReadCloser
	reader *streampb.Reader
	put    *streampb.Frame // read already; comes next
	silence
}

// openStream prepares a stream; the first read makes the call.
func (r *Router) openStream(ctx context.Context, address, path string, body proto.Message) *frames {
	stream, cancel := context.WithCancel(ctx)
	f := &frames{ctx: ctx, cancel: cancel}
	f.open = func() (io.ReadCloser, error) { return r.call(f.guard.Watch(stream), address, path, body) }
	return f
}

func (r *Router) call(ctx context.Context, address, path string, body proto.Message) (io.ReadCloser, error) {
	var buf bytes.Buffer
	if err := streampb.Write(&buf, body); err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, &buf)
	if err != nil {
		return nil, err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, io.ErrUnexpectedEOF
	}
	return resp.Body, nil
}

// putBack makes frame the next one that is read.
func (f *frames) putBack(frame *streampb.Frame) { f.put = frame }

func (f *frames) read() (*streampb.Frame, error) {
	if frame := f.put; frame != nil {
		f.put = nil
		return frame, nil
	}
	if f.reader == nil {
		body, err := f.open()
		if err != nil {
			return nil, err
		}
		f.body, f.reader = body, streampb.NewReader(body)
	}
	frame := &streampb.Frame{}
	return frame, f.reader.Read(frame)
}

func (f *frames) close() {
	f.stop()
	f.cancel()
	if f.body != nil {
		_ = f.body.Close()
	}
}

// onFrame handles the frames of one attempt; a nil result means go on.
type onFrame func(*streampb.Frame) *attemptResult

// readStream passes frames to handle until it gives a result, and closes the stream.
func readStream(f *frames, limit time.Duration, handle onFrame) attemptResult {
	defer f.close()
	return readFrames(f, limit, handle)
}

// readFrames passes frames to handle until it gives a result, the stream
// breaks, or it is silent for longer than limit.
//
// Failure it stops: a frozen or cut VM keeps its connections open, so a caller
// would wait without end. Sidecars write a heartbeat on an idle stream, so
// silence over several heartbeats means that the way to the engine is gone.
func readFrames(f *frames, limit time.Duration, handle onFrame) attemptResult {
	f.watch(limit, f.cancel)
	lastSign := time.Now()
	for {
		frame, event := f.wait()
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
// one doesn't count as silence.
func (f *frames) wait() (*streampb.Frame, streamEvent) {
	f.begin()
	frame, err := f.read()
	f.stop()
	switch {
	case err == nil:
		return frame, frameRead
	case f.ctx.Err() != nil:
		return nil, callerGone
	case f.expired():
		return nil, silent
	default:
		return nil, closed
	}
}

// broken tells a connection that was never made (nothing ran) from one that broke.
func broken(f *frames, lastSign time.Time) attemptResult {
	if !f.guard.MayHaveSent() {
		return attemptResult{ending: notStarted, cause: causeConnection, lastSign: lastSign}
	}
	return attemptResult{ending: lost, cause: causeConnection, lastSign: lastSign}
}
