package exchange

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/site"
)

// A server pauses, and another one would take the draft. It must not be asked
// where the route allows one server, or the retry budget is spent: a mass of
// pausing servers would be answered by as many prompts more.
func TestNothingIsBegunBesideWithoutRight(t *testing.T) {
	for name, change := range map[string]func(*bed, *Request){
		"the route allows one server": func(_ *bed, r *Request) { r.Route.MaxAttempts = 1 },
		"it can't be resumed":         func(_ *bed, r *Request) { r.Route.Resumable = false },
		"the retry budget is spent":   func(b *bed, _ *Request) { b.opts.Lender = &stingy{until: time.Now().Add(time.Hour)} },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				b := newBed(firstOf(pausing(setAside), streams(130, beat, nil)))
				req := streamRequest()
				change(b, req)
				sink, err := runStream(t, b, req)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
				g.Expect(b.backend.sent()).To(gomega.HaveLen(1))
			})
		})
	}
}

// A draft whose server pauses is taken over by another one: that is one retry of
// the service's budget, whichever of the two goes on in the end.
func TestTakeoverCostsOneRetry(t *testing.T) {
	for name, next := range map[string]script{"taken over": streams(130, beat, nil), "not needed": paced(130, 5*time.Second)} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				b := newBed(firstOf(pausing(setAside), next))
				lender := &counting{}
				b.opts.Lender = lender
				_, err := runStream(t, b, streamRequest())
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(lender.taken).To(gomega.Equal(1))
			})
		})
	}
}

// A zone goes dark, and the streams that ran there fall silent together, more than
// this VM may send again before the others know. One that finds the budget spent
// asks again a moment later and goes on within the pause that callers allow; it
// used to ask 0.4 s later.
func TestSilentStreamWaitsForTheRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newBed(firstOf(streams(50, beat, errMute), streams(130, beat, nil)))
		b.opts.Lender = &stingy{until: time.Now().Add(50*beat + DefaultSilence + 150*time.Millisecond)}
		for id := range b.backend.scripts {
			b.backend.probes[id] = errMute
		}
		sink, err := runStream(t, b, streamRequest())
		time.Sleep(time.Second) // questions may be open
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
		g.Expect(sink.longest).To(gomega.BeNumerically("<", 650*time.Millisecond))
	})
}

// Servers read a prompt in a second, callers allow pauses of 0.7 s, and there is no
// copy. A sound server that pauses keeps its draft: read again elsewhere it would
// be late too, and hold up the drafts there.
func TestPromptIsNotReadAgainToBeLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newBed(firstOf(pausing(setAside), streams(130, beat, nil)))
		b.opts.Services = func(string) (site.Service, bool) { return site.Service{Name: "s"}, true }
		for _, s := range b.dir.View().Service("s") {
			load := s.BeginStream(8000)
			time.Sleep(time.Second)
			load.PromptRead()
			load.End()
		}
		sink, err := runStream(t, b, streamRequest())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
		g.Expect(b.backend.sent()).To(gomega.HaveLen(1))
	})
}
