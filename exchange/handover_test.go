package exchange

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/site"
	"github.com/pearyard/pearyard/suspect"
	"github.com/pearyard/pearyard/types"
)

// connectsNever fails to connect for the second attempt after the connect timeout of the pool, as
// a machine without power does.
func connectsNever(n int) error {
	if n != 2 {
		return nil
	}
	time.Sleep(250 * time.Millisecond)
	return &NotRunError{Reason: Unreachable, Err: context.DeadlineExceeded}
}

// refusesAfter refuses after a while.
func refusesAfter(after time.Duration) script {
	return func(ctx context.Context, a *Attempt) (*Answer, error) {
		if err := sleep(ctx, after); err != nil {
			return nil, &BrokenError{Err: err}
		}
		return refuses(Busy)(ctx, a)
	}
}

// endsWithoutEvent sends a response head at once and ends the response after a while, without an
// event: an answer without a length looks like this if its server's process ends.
func endsWithoutEvent(after time.Duration) script {
	return func(ctx context.Context, _ *Attempt) (*Answer, error) {
		r, w := io.Pipe()
		go func() {
			_ = sleep(ctx, after)
			_ = w.Close()
		}()
		return &Answer{Status: http.StatusOK, Header: http.Header{}, Body: r}, nil
	}
}

// Guards against a stream that ends as complete before its last event: its successor, which counts
// as accepted, ends its response without an event.
func TestStreamIsNotCompleteIfItsSuccessorEndsWithoutAnEvent(t *testing.T) {
	for _, after := range []time.Duration{acceptanceTime / 2, 2 * acceptanceTime} {
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				b := newTestbed(inOrder(pausing(preemption), endsWithoutEvent(after), streams(130, eventInterval, nil)))
				sink, err := runStream(t, b, streamRequest())
				time.Sleep(time.Second)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(sink.ids).To(gomega.HaveLen(130))
			})
		})
	}
}

// Guards against a stream that leaves a live server for one that can't be reached: the connection is
// given up after 250 ms, later than acceptanceTime, and nothing was sent.
func TestStreamStaysAtItsServerIfTheSuccessorCannotBeReached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(inOrder(pausing(600*time.Millisecond), streams(130, eventInterval, nil)))
		b.backend.connect = connectsNever
		sink, err := runStream(t, b, streamRequest())
		time.Sleep(time.Second)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
		g.Expect(sink.longest).To(gomega.BeNumerically("<=", streamRequest().Route.MaxGap))
	})
}

// As above, and the retry budget has one retry left: the stream of a server that only paused is cut off.
func TestLateRefusalOfTheSuccessorDoesNotCutTheStreamOff(t *testing.T) {
	for name, c := range map[string]struct {
		plays   []script
		connect func(int) error
	}{
		"unreachable":  {plays: []script{pausing(600 * time.Millisecond), streams(130, eventInterval, nil)}, connect: connectsNever},
		"late refusal": {plays: []script{pausing(600 * time.Millisecond), refusesAfter(150 * time.Millisecond), streams(130, eventInterval, nil)}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				b := newTestbed(inOrder(c.plays...))
				b.backend.connect = c.connect
				b.opts.RetryRatio, b.opts.RetryExtra = 0, func() float64 { return 1 }
				sink, err := runStream(t, b, streamRequest())
				time.Sleep(time.Second)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
			})
		})
	}
}

// wrongOrder begins at once and sends the events from the first on, whatever was asked for.
func wrongOrder(ctx context.Context, a *Attempt) (*Answer, error) {
	r, w := io.Pipe()
	go func() {
		for i := 1; sleep(ctx, eventInterval) == nil; i++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: x\n\n", i); err != nil {
				return
			}
		}
		_ = w.CloseWithError(ctx.Err())
	}()
	return &Answer{Status: http.StatusOK, Header: http.Header{}, Body: r}, nil
}

// breaksAfter begins at once and breaks off before its first event.
func breaksAfter(after time.Duration) script {
	return func(ctx context.Context, _ *Attempt) (*Answer, error) {
		r, w := io.Pipe()
		go func() {
			_ = sleep(ctx, after)
			_ = w.CloseWithError(io.ErrUnexpectedEOF)
		}()
		return &Answer{Status: http.StatusOK, Header: http.Header{}, Body: r}, nil
	}
}

// Guards against a former server that works on after its successor has begun: what the successor does
// then is no refusal.
func TestFormerServerEndsAlsoIfItsSuccessorBeginsAndFails(t *testing.T) {
	for name, next := range map[string]script{"starts over": wrongOrder, "breaks off": breaksAfter(30 * time.Millisecond), "ends without an event": endsWithoutEvent(30 * time.Millisecond), "answers 500": answers(500, "x", 30*time.Millisecond)} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				w := &workLog{}
				b := newTestbed(inOrder(w.recorded(pausing(600*time.Millisecond)), w.recorded(next), w.recorded(streams(130, eventInterval, nil))))
				req := streamRequest()
				req.Route.MaxAttempts = 3
				sink, err := runStream(t, b, req)
				time.Sleep(time.Second)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
				g.Expect(w.together()).To(gomega.BeNumerically("<=", maxTogether))
			})
		})
	}
}

// Guards against a stream whose successor is dropped, after it has begun, because the request was
// quarantined: the former server works on.
func TestQuarantineDuringAHandoverLeavesOneServerAtWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		w := &workLog{}
		b := newTestbed(inOrder(w.recorded(pausing(600*time.Millisecond)), w.recorded(pausing(500*time.Millisecond))))
		req := streamRequest()
		time.AfterFunc(50*eventInterval+480*time.Millisecond, func() {
			for i := range 12 {
				b.suspects.RecordDeath(fmt.Sprint("x", i), []types.Fingerprint{req.Fingerprint()})
			}
			b.EndQuarantined(req.Fingerprint())
		})
		_, _ = runStream(t, b, req)
		time.Sleep(time.Second)
		g.Expect(b.suspects.Verdict(req.Fingerprint()).State).To(gomega.Equal(suspect.Quarantined))
		g.Expect(w.together()).To(gomega.BeNumerically("<=", maxTogether))
	})
}

// Guards against a live server that loses its stream, whose prompt is read again elsewhere, for a pause
// that its caller allows.
func TestStreamWithoutALimitOfPausesStaysAtALiveServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		reads := func(ctx context.Context, a *Attempt) (*Answer, error) {
			if err := sleep(ctx, 1500*time.Millisecond); err != nil {
				return nil, &BrokenError{Err: err}
			}
			return streams(130, eventInterval, nil)(ctx, a)
		}
		b := newTestbed(inOrder(pausing(600*time.Millisecond), reads))
		b.opts.Services = func(string) (site.Service, bool) { return site.Service{Name: "s"}, true }
		req := streamRequest()
		req.Route.MaxGap = 0
		sink, err := runStream(t, b, req)
		time.Sleep(time.Second)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.longest).To(gomega.BeNumerically("<=", 610*time.Millisecond), "the server resumes by then")
	})
}

// Guards against a requested copy that is taken for a successor, not used there because it refuses late,
// and never freed: it takes memory and a slot there.
func TestCopyOfASuccessorThatRefusesLateIsFreed(t *testing.T) {
	for _, after := range []time.Duration{acceptanceTime / 2, 2 * acceptanceTime} {
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				b := newTestbed(inOrder(pausing(preemption), refusesAfter(after), streams(130, eventInterval, nil)))
				time.AfterFunc(10*eventInterval, func() { b.backend.sent()[0].CopyTo.ReportLeaving(time.Now()) })
				sink, err := runStream(t, b, streamRequest())
				time.Sleep(2 * time.Second)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(sink.ids).To(gomega.HaveLen(130))
				sent := b.backend.sent()
				g.Expect(sent[1].ResumeFrom).NotTo(gomega.BeNil())
				g.Expect(sent[1].ResumeFrom.Handle).To(gomega.Equal("h"))
				g.Expect(sent[2].ResumeFrom).To(gomega.BeNil())
				g.Expect(b.backend.freed).To(gomega.ContainElement("h"))
			})
		})
	}
}

// Guards against a stream that waits five seconds at a lost server to which it was handed over with a copy
// of its KV cache: no prompt is read there that would explain the silence.
func TestStreamLeavesALostServerThatWasToResumeFromACopy(t *testing.T) {
	for name, first := range map[string]script{"the former server paused": pausing(600 * time.Millisecond), "the former server broke off": streams(50, eventInterval, io.ErrUnexpectedEOF)} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				b := newTestbed(inOrder(first, hangs, streams(130, eventInterval, nil)))
				time.AfterFunc(10*eventInterval, func() {
					b.backend.mu.Lock()
					defer b.backend.mu.Unlock()
					b.backend.probes[b.backend.attempts[0].CopyTo.ID] = errHang
				})
				sink, err := runStream(t, b, streamRequest())
				time.Sleep(time.Second)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
				g.Expect(sink.longest).To(gomega.BeNumerically("<", 2*time.Second))
			})
		})
	}
}

// Guards against a successor that becomes the current attempt while its former server has not been
// told to stop.
func TestSuccessorIsForwardedOnceTheFormerConnectionIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		const closing = 150 * time.Millisecond
		b := newTestbed(inOrder(closesLate(pausing(preemption), closing), streams(130, eventInterval, nil)))
		sink, err := runStream(t, b, streamRequest())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
		g.Expect(sink.longest).To(gomega.Equal(450*time.Millisecond + eventInterval + closing))
	})
}

// Guards against a stream that leaves its server for a prompt read again elsewhere because one probe
// got lost.
func TestOneUnansweredProbeIsNoLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(inOrder(pausing(900 * time.Millisecond)))
		b.opts.Services = func(string) (site.Service, bool) { return site.Service{Name: "s"}, true }
		b.measurePrompts(time.Second)
		for id := range b.backend.scripts {
			b.backend.probes[id] = errHang
		}
		time.AfterFunc(50*eventInterval+DefaultSilence+quickProbeTimeout, func() {
			b.backend.mu.Lock()
			defer b.backend.mu.Unlock()
			clear(b.backend.probes)
		})
		sink, err := runStream(t, b, streamRequest())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
		g.Expect(b.backend.sent()).To(gomega.HaveLen(1))
	})
}

// Guards against a stream that stays for good at a server that answers probes and sends nothing.
func TestHungServerThatAnswersProbesIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(inOrder(streams(50, eventInterval, errHang), streams(130, eventInterval, nil)))
		b.opts.Services = func(string) (site.Service, bool) { return site.Service{Name: "s"}, true }
		sink, err := runStream(t, b, streamRequest())
		time.Sleep(time.Second)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
		g.Expect(sink.longest).To(gomega.BeNumerically("<", silenceTimeout+time.Second))
	})
}
