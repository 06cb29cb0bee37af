package router

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pearyard/pearyard/event"
	streampb "github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/types"
)

// tokensFrame returns a frame with one token of an attempt.
func tokensFrame(attempt types.AttemptTag, first int) *streampb.Frame {
	return &streampb.Frame{Body: &streampb.Frame_Tokens{Tokens: &streampb.Tokens{
		First: uint32(first), Attempt: uint32(attempt), Tokens: []*streampb.Token{{Id: 9}},
	}}}
}

// openOffer returns an attempt that has brought tokens, with an open offer beside it.
func openOffer() (*attemptReader, *offer) {
	g := &generationRun{router: &Router{opts: Options{Recorder: event.Discard()}}, tokens: make([]types.Token, 3), delivered: 3}
	ctx, cancel := context.WithCancel(context.Background())
	o := &offer{openedAt: time.Now(), stream: &frameStream{ctx: ctx, cancel: cancel}, done: make(chan struct{}), reader: &attemptReader{run: g, attempt: 2}}
	current := &attemptReader{run: g, attempt: 1, progressed: true}
	current.handover.offer = o
	return current, o
}

// The offer brings its first token while one of the current attempt is still on its way.
// Taking both would mix two attempts in one answer.
func TestTokenAfterOfferWonIsDropped(t *testing.T) {
	for name, moving := range map[string]bool{"stalled": false, "moving": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			current, o := openOffer()
			current.handover.moving = moving
			g.Expect(o.handleFrame(tokensFrame(2, 3)).end).To(Equal(endOfferWon))
			result := current.handle(tokensFrame(1, 3))
			if moving { // the token is held back, and the read ends next
				g.Expect(result).To(BeNil())
			} else {
				g.Expect(result.end).To(Equal(endSuperseded))
			}
			g.Expect(current.run.tokens).To(HaveLen(3))
			close(o.done)
			after := current.resolveHandover(attemptResult{end: endLost, cause: causeConnection})
			g.Expect(after.end).To(Equal(endSuperseded))
			g.Expect(current.run.successor).To(BeIdenticalTo(o))
			g.Expect(current.run.tokens).To(HaveLen(3))
		})
	}
}

// The stalled attempt brings a token first. Tokens of the withdrawn offer are dropped.
func TestTokenAfterOfferWithdrawnIsDropped(t *testing.T) {
	g := NewWithT(t)
	_, o := openOffer()
	g.Expect(o.withdraw()).To(BeTrue())
	g.Expect(o.handleFrame(tokensFrame(2, 3)).end).NotTo(Equal(endOfferWon))
	g.Expect(o.won()).To(BeFalse())
	g.Expect(o.stream.pushedBack).To(BeNil())
	g.Expect(o.stream.ctx.Err()).To(HaveOccurred())
}
