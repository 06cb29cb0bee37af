package exchange

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// paced sends events after the given pauses in turn, and then completes the stream.
func paced(last int, pauses ...time.Duration) script {
	return func(ctx context.Context, a *Attempt) (*Answer, error) {
		from, _ := strconv.Atoi(a.ResumeAfter)
		r, w := io.Pipe()
		go func() {
			for i := from + 1; i <= last; i++ {
				select {
				case <-time.After(pauses[i%len(pauses)]):
				case <-ctx.Done():
					_ = w.CloseWithError(ctx.Err())
					return
				}
				_, _ = io.WriteString(w, "id: "+strconv.Itoa(i)+"\ndata: x\n\n")
			}
			_ = w.Close()
		}()
		return &Answer{Status: http.StatusOK, Header: http.Header{}, Body: r}, nil
	}
}

// Engines read prompts at half the usual speed, so that events come 375 ms apart during
// a prompt. Guards against taking each of these pauses for the loss of a healthy
// engine: the prompt was read again elsewhere, which delayed the streams there in turn,
// and hardly any stream was complete before its deadline.
func TestEnginesThatPauseLongerAreNotTakenForLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(everywhere(paced(60, eventInterval, 120*time.Millisecond, 250*time.Millisecond, 300*time.Millisecond)))
		_, err := runStream(t, b, streamRequest())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		slow := paced(40, eventInterval, 375*time.Millisecond)
		for id := range b.backend.scripts {
			b.backend.scripts[id] = []script{slow}
		}
		before := len(b.backend.sent())
		sink, err := runStream(t, b, streamRequest())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 40)))
		g.Expect(b.backend.sent()).To(gomega.HaveLen(before+1), "sent once")
	})
}

// A process that has just started has measured no pauses. Guards against taking a pause
// during a prompt for a loss then: a server that reads a prompt gets unmeasuredFactor
// times the default bound.
func TestUnmeasuredPausesDuringAPromptAreTolerated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(everywhere(paced(40, eventInterval, 380*time.Millisecond)))
		for _, s := range b.dir.View().Service("s") {
			s.BeginStream(8000)
		}
		sink, err := runStream(t, b, streamRequest())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 40)))
		g.Expect(b.backend.sent()).To(gomega.HaveLen(1), "sent once")
	})
}

// As above, but from the start every pause during a prompt is longer than the bound of
// silence, so that none is seen to end. They must be learned from the attempts that
// were given up while their engines answered probes.
func TestPausesBeyondTheBoundAreLearnedFromAttemptsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(everywhere(paced(40, eventInterval, 700*time.Millisecond)))
		for range 12 {
			_, _ = runStream(t, b, streamRequest())
			time.Sleep(20 * time.Second)
		}
		before := len(b.backend.sent())
		sink, err := runStream(t, b, streamRequest())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 40)))
		g.Expect(b.backend.sent()).To(gomega.HaveLen(before+1), "sent once")
	})
}

// Engines pause for long, and one is lost in the middle of a stream: its process has
// ended, or its VM lost power and nothing answers there. The engine answers no probe,
// so the stream must resume elsewhere within the allowed pause although engines are
// slow.
func TestLossOfASlowEngineIsNoticedInTime(t *testing.T) {
	ended := &NotRunError{Reason: Unreachable, Err: io.ErrClosedPipe}
	for answer, within := range map[error]time.Duration{ended: 450 * time.Millisecond, errHang: 500 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			b := newTestbed(inOrder(streams(50, eventInterval, errHang), streams(130, eventInterval, nil)))
			for range minPauseSamples {
				b.paceFor("s").observePause(700 * time.Millisecond)
			}
			for id := range b.backend.scripts {
				b.backend.probes[id] = answer
			}
			sink, err := runStream(t, b, streamRequest())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
			g.Expect(sink.longest).To(gomega.BeNumerically("<", within), "%v", answer)
		})
	}
}

// Where engines pause for 200 ms at most, a silent stream must be taken over after the
// default bound, although its engine is alive.
func TestUsualPausesKeepTheDefaultBoundOfSilence(t *testing.T) {
	p := &pauses{}
	for range 1000 {
		p.observe(200 * time.Millisecond)
	}
	gomega.NewWithT(t).Expect(p.bound(DefaultSilence, true, 1)).To(gomega.Equal(DefaultSilence))
}

// This VM freezes for seconds, and every stream seems to have paused for so long. These
// few pauses must not change the usual one.
func TestFreezeOfThisVMIsNotCountedAsPauses(t *testing.T) {
	p := &pauses{}
	for range pauseSamples {
		p.observe(200 * time.Millisecond)
	}
	for range 3 {
		p.observe(5 * time.Second)
	}
	gomega.NewWithT(t).Expect(p.bound(DefaultSilence, true, 1)).To(gomega.Equal(DefaultSilence))
}

// Guards against taking streams of a slow server for lost: its pauses during a prompt
// are longer by the factor by which it reads more slowly.
func TestPausesOfASlowServerAreTolerated(t *testing.T) {
	g := gomega.NewWithT(t)
	var p pauses
	for range pauseSamples {
		p.observe(300 * time.Millisecond)
	}
	usual := p.bound(DefaultSilence, true, 1)
	g.Expect(p.bound(DefaultSilence, true, 2.2)).To(gomega.BeNumerically("~", 22*usual/10, time.Millisecond))
	g.Expect(p.bound(DefaultSilence, true, 0.6)).To(gomega.BeNumerically(">=", DefaultSilence))
	g.Expect(p.bound(DefaultSilence, true, 100)).To(gomega.Equal(maxSilence))
}
