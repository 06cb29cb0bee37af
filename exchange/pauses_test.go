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

// paced sends events whose pauses repeat in turn, and then ends the stream whole.
func paced(last int, pauses ...time.Duration) script {
	return func(ctx context.Context, a *Attempt) (*Answer, error) {
		from, _ := strconv.Atoi(a.After)
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

// Engines read prompts at half the usual speed, so events beside a prompt come
// 375 ms apart. Each of these pauses was taken for the loss of the engine: the
// prompt was read again elsewhere, which held up the streams there in turn, and
// nearly no draft was whole before its deadline. All engines were sound.
func TestEnginesThatPauseLongerAreNotTakenForLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newBed(everywhere(paced(60, beat, 120*time.Millisecond, 250*time.Millisecond, 300*time.Millisecond)))
		_, err := runStream(t, b, streamRequest())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		slow := paced(40, beat, 375*time.Millisecond)
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

// A process has just started and knows no pauses. Beside a prompt a sound engine
// is given twice the usual time; without one its silence is a loss as ever.
func TestUnknownPausesBesideAPromptAreBorne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newBed(everywhere(paced(40, beat, 380*time.Millisecond)))
		for _, s := range b.dir.View().Service("s") {
			s.BeginStream(8000)
		}
		sink, err := runStream(t, b, streamRequest())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 40)))
		g.Expect(b.backend.sent()).To(gomega.HaveLen(1), "sent once")
	})
}

// The same, but from the start on every pause beside a prompt is longer than the
// bound of silence: a pause that ends never shows. The attempts that were given
// up while their engines gave signs of life have to tell.
func TestPausesBeyondTheBoundAreLearnedFromAttemptsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newBed(everywhere(paced(40, beat, 700*time.Millisecond)))
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

// Engines pause long, and one is lost in the middle of a draft: its process has
// ended, or its VM lost power and nothing answers there. That engines are slow is
// no reason to wait for it: it gives no sign of life, and the stream goes on
// elsewhere within the pause that is allowed.
func TestLossOfASlowEngineIsNoticedInTime(t *testing.T) {
	ended := &NotRunError{Reason: Unreachable, Err: io.ErrClosedPipe}
	for answer, within := range map[error]time.Duration{ended: 450 * time.Millisecond, errMute: 500 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			b := newBed(firstOf(streams(50, beat, errMute), streams(130, beat, nil)))
			for range pausesNeeded {
				b.paceOf("s").seen(700 * time.Millisecond)
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

// Where engines pause no longer than they do in general, a stream that falls
// silent is given up as soon as ever, though its engine lives.
func TestUsualPausesLeaveTheBoundOfSilence(t *testing.T) {
	p := &pauses{}
	for range 1000 {
		p.seen(200 * time.Millisecond)
	}
	gomega.NewWithT(t).Expect(p.bound(DefaultSilence, true, 1)).To(gomega.Equal(DefaultSilence))
}

// This VM is frozen for seconds, and every stream seems to have paused so long.
// These few pauses don't change what is held usual.
func TestOwnStandstillIsNoPauseOfTheEngines(t *testing.T) {
	p := &pauses{}
	for range pausesKept {
		p.seen(200 * time.Millisecond)
	}
	for range 3 {
		p.seen(5 * time.Second)
	}
	gomega.NewWithT(t).Expect(p.bound(DefaultSilence, true, 1)).To(gomega.Equal(DefaultSilence))
}

// Guards against streams of a slow server that are taken for lost: its pauses beside a
// prompt are as much longer as it reads more slowly.
func TestPausesOfASlowServerAreBorne(t *testing.T) {
	g := gomega.NewWithT(t)
	var p pauses
	for range pausesKept {
		p.seen(300 * time.Millisecond)
	}
	usual := p.bound(DefaultSilence, true, 1)
	g.Expect(p.bound(DefaultSilence, true, 2.2)).To(gomega.BeNumerically("~", 22*usual/10, time.Millisecond))
	g.Expect(p.bound(DefaultSilence, true, 0.6)).To(gomega.BeNumerically(">=", DefaultSilence))
	g.Expect(p.bound(DefaultSilence, true, 100)).To(gomega.Equal(maxSilence))
}
