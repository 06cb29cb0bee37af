package exchange

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// pausing sends 50 events, nothing for a while, and then the rest of 130.
func pausing(pause time.Duration) script {
	pauses := make([]time.Duration, 131)
	for i := range pauses {
		pauses[i] = beat
	}
	pauses[51] = pause
	return paced(130, pauses...)
}

// setAside is how long a sound server sends nothing for a draft: it reads its
// prompt again, behind another, after it had run out of memory.
const setAside = 1200 * time.Millisecond

// A draft is under way when its server, which is sound, reads other prompts and
// sets the draft aside for a second. Its silence was taken for a loss: the attempt
// was ended first and a place for it looked for then. There was none, and the
// caller's answer was cut in its middle while the server could have gone on.
// Proof: on a day without any failure 25 attempts were ended so; nothing else spoke
// against any of their servers, whose own records say that the streams ran.
func TestAnswerOfAPausingServerIsNotGivenUpForNothing(t *testing.T) {
	all := []string{"a1", "a2", "b1", "b2"}
	for name, c := range map[string]struct {
		servers []string
		change  func(*bed, *Request)
	}{
		"others refuse":   {servers: all},
		"no other server": {servers: all[:1]},
		"the retry budget is spent": {servers: all, change: func(b *bed, _ *Request) {
			b.opts.Lender = &stingy{until: time.Now().Add(time.Hour)}
		}},
		"the route allows one server": {servers: all, change: func(_ *bed, r *Request) { r.Route.MaxAttempts = 1 }},
		"it can't be resumed":         {servers: all, change: func(_ *bed, r *Request) { r.Route.Resumable = false }},
		"no sign of life gets through": {servers: all, change: func(b *bed, _ *Request) {
			for _, id := range all {
				b.backend.probes[id] = errMute
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				b := newBed(firstOf(pausing(setAside), refuses(Busy)), c.servers...)
				req := streamRequest()
				if c.change != nil {
					c.change(b, req)
				}
				sink, err := runStream(t, b, req)
				time.Sleep(DefaultProbeTimeout) // a question may be open
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
			})
		})
	}
}

// The same where all other servers are known to be too slow for the rest of the
// draft to be whole in time: they are not asked, and the answer stays where it is.
func TestAnswerOfAPausingServerIsNotGivenUpForALateOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b, engines := engineBed(1000)
		arrive(t, b, 4, 20*time.Second)
		before := reads(engines)
		b.backend.scripts = firstOf(pausing(2*setAside), refuses(Busy))
		req := streamRequest()
		req.Until = req.Arrived.Add(8 * time.Second)
		sink, err := runStream(t, b, req)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
		g.Expect(reads(engines)).To(gomega.Equal(before))
	})
}

// A server pauses, another one refuses to take the draft over, and then the first
// one breaks it off: the draft goes on elsewhere, as after any break.
func TestPausingServerThatBreaksIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newBed(firstOf(pausesAndBreaks, refuses(Busy), streams(130, beat, nil)))
		sink, err := runStream(t, b, streamRequest())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
	})
}

// pausesAndBreaks sends 50 events and breaks off after half a second more.
func pausesAndBreaks(ctx context.Context, a *Attempt) (*Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, 50*beat+500*time.Millisecond)
	context.AfterFunc(ctx, cancel)
	return streams(50, beat, errMute)(ctx, a)
}
