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

// tokensFrame is a frame of one token of an attempt.
func tokensFrame(attempt types.AttemptTag, first int) *streampb.Frame {
	return &streampb.Frame{Body: &streampb.Frame_Tokens{Tokens: &streampb.Tokens{
		First: uint32(first), Attempt: uint32(attempt), Tokens: []*streampb.Token{{Id: 9}},
	}}}
}

// openOffer returns an attempt that has begun, with an offer open beside it.
func openOffer() (*attemptReader, *offer) {
	d := &drive{r: &Router{opts: Options{Recorder: event.Discard()}}, tokens: make([]types.Token, 3), sent: 3}
	ctx, cancel := context.WithCancel(context.Background())
	o := &offer{begun: time.Now(), stream: &frames{ctx: ctx, cancel: cancel}, ended: make(chan struct{}), reader: &attemptReader{d: d, attempt: 2}}
	home := &attemptReader{d: d, attempt: 1, progressed: true}
	home.handover.offer = o
	return home, o
}

// Another backend server brings its first token while one of the attempt that
// stood still is on its way. Were both taken, the answer would be of both.
func TestTokenAfterTheOfferHasWonIsDropped(t *testing.T) {
	for name, moving := range map[string]bool{"stands still": false, "moves": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			home, o := openOffer()
			home.handover.moving = moving
			g.Expect(o.decide(tokensFrame(2, 3)).ending).To(Equal(decided))
			result := home.handle(tokensFrame(1, 3))
			if moving { // held back; the read ends next
				g.Expect(result).To(BeNil())
			} else {
				g.Expect(result.ending).To(Equal(overtaken))
			}
			g.Expect(home.d.tokens).To(HaveLen(3))
			close(o.ended)
			after := home.handOver(attemptResult{ending: lost, cause: causeConnection})
			g.Expect(after.ending).To(Equal(overtaken))
			g.Expect(home.d.successor).To(BeIdenticalTo(o))
			g.Expect(home.d.tokens).To(HaveLen(3))
		})
	}
}

// The attempt that stood still brings a token first. What comes from the offer
// afterwards finds that it has been withdrawn.
func TestTokenAfterTheOfferIsWithdrawnIsDropped(t *testing.T) {
	g := NewWithT(t)
	_, o := openOffer()
	g.Expect(o.withdraw()).To(BeTrue())
	g.Expect(o.decide(tokensFrame(2, 3)).ending).NotTo(Equal(decided))
	g.Expect(o.won()).To(BeFalse())
	g.Expect(o.stream.put).To(BeNil())
	g.Expect(o.stream.ctx.Err()).To(HaveOccurred())
}
