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

// attemptEnd says how an attempt ended for the router.
type attemptEnd int

const (
	endCompleted  attemptEnd = iota // the answer is complete
	endNotStarted                   // it is certain that nothing of the attempt ran
	endLost                         // the stream broke; resume after the tokens read so far
	endSuperseded                   // an offer has taken the generation over
	endOfferWon                     // this attempt is an offer and has won; its stream is read on later
	endCallerLeft                   // the caller is gone, or writing to it failed
)

// attemptResult is how one attempt ended and what is known of the cause.
type attemptResult struct {
	end         attemptEnd
	finish      types.FinishReason
	refused     *streampb.Refused // set if a sidecar refused the attempt
	deathID     string            // identifies the engine's death, as reported by its sidecar
	proven      bool              // the sidecar reports that the request had run well on that engine
	cause       string            // why the output was interrupted, one of the cause constants
	accepted    bool              // the sidecar accepted the attempt
	progressed  bool              // at least one new token arrived
	lastFrameAt time.Time         // when the last frame arrived
}

// frameStream is the stream of one attempt. It is read by the goroutine that
// writes to the caller, so that a token costs one wake-up instead of two.
type frameStream struct {
	ctx        context.Context // the caller's
	cancel     context.CancelFunc
	open       func() (io.ReadCloser, error)
	guard      peer.SentGuard
	body       io.ReadCloser
	reader     *streampb.Reader
	pushedBack *streampb.Frame // returned by the next read
	silenceTimer
}

// openStream prepares a stream; the first read sends the request.
func (r *Router) openStream(ctx context.Context, address, path string, body proto.Message) *frameStream {
	stream, cancel := context.WithCancel(ctx)
	f := &frameStream{ctx: ctx, cancel: cancel}
	f.open = func() (io.ReadCloser, error) { return r.postStream(f.guard.Watch(stream), address, path, body) }
	return f
}

func (r *Router) postStream(ctx context.Context, address, path string, body proto.Message) (io.ReadCloser, error) {
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
		return nil, io.ErrUnexpectedEOF // treated like a stream that broke
	}
	return resp.Body, nil
}

// pushBack makes the next read return frame.
func (f *frameStream) pushBack(frame *streampb.Frame) { f.pushedBack = frame }

func (f *frameStream) read() (*streampb.Frame, error) {
	if frame := f.pushedBack; frame != nil {
		f.pushedBack = nil
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

func (f *frameStream) close() {
	f.endRead()
	f.cancel()
	if f.body != nil {
		_ = f.body.Close()
	}
}

// frameHandler handles a frame of an attempt. A non-nil result ends the reading.
type frameHandler func(*streampb.Frame) *attemptResult

// readStream calls readFrames and closes the stream.
func readStream(f *frameStream, limit time.Duration, handle frameHandler) attemptResult {
	defer f.close()
	return readFrames(f, limit, handle)
}

// readFrames passes frames to handle until it returns a result, the stream
// breaks, or nothing arrives for longer than limit.
//
// The limit is needed because a frozen or disconnected VM leaves its connections
// open, and the caller would wait forever. Sidecars send heartbeats on an idle
// stream, so several missing heartbeats mean that the path to the engine is gone.
func readFrames(f *frameStream, limit time.Duration, handle frameHandler) attemptResult {
	f.setTimeout(limit, f.cancel)
	lastFrameAt := time.Now()
	for {
		frame, event := f.wait()
		switch event {
		case streamCallerLeft:
			return attemptResult{end: endCallerLeft, lastFrameAt: lastFrameAt}
		case streamSilent:
			return attemptResult{end: endLost, cause: causeSilence, lastFrameAt: lastFrameAt}
		case streamBroken:
			return brokenResult(f, lastFrameAt)
		}
		lastFrameAt = time.Now()
		if result := handle(frame); result != nil {
			result.lastFrameAt = lastFrameAt
			return *result
		}
	}
}

// streamEvent is the result of waiting for the next frame.
type streamEvent int

const (
	frameRead streamEvent = iota
	streamCallerLeft
	streamSilent
	streamBroken
)

// wait returns the next frame. The timeout covers this read only: the time that
// the caller took to accept the previous frame isn't counted.
func (f *frameStream) wait() (*streampb.Frame, streamEvent) {
	f.beginRead()
	frame, err := f.read()
	f.endRead()
	switch {
	case err == nil:
		return frame, frameRead
	case f.ctx.Err() != nil:
		return nil, streamCallerLeft
	case f.expired():
		return nil, streamSilent
	default:
		return nil, streamBroken
	}
}

// brokenResult distinguishes a connection that was never made, where nothing can
// have run, from one that broke.
func brokenResult(f *frameStream, lastFrameAt time.Time) attemptResult {
	if !f.guard.MayHaveSent() {
		return attemptResult{end: endNotStarted, cause: causeConnection, lastFrameAt: lastFrameAt}
	}
	return attemptResult{end: endLost, cause: causeConnection, lastFrameAt: lastFrameAt}
}
