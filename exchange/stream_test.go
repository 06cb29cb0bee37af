package exchange

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/retry"
)

const beat = 30 * time.Millisecond

func consecutive(from, to uint64) []uint64 {
	var ids []uint64
	for i := from; i <= to; i++ {
		ids = append(ids, i)
	}
	return ids
}

func runStream(t *testing.T, b *bed, req *Request) (*recordingSink, error) {
	sink := &recordingSink{start: time.Now()}
	_, err := b.Stream(t.Context(), req, sink)
	return sink, err
}

// firstOf returns scripts that are played one attempt after the other, whichever
// servers are tried; the last one is played again.
func firstOf(plays ...script) map[string][]script {
	var mu sync.Mutex
	next := func() script {
		mu.Lock()
		defer mu.Unlock()
		play := plays[0]
		if len(plays) > 1 {
			plays = plays[1:]
		}
		return play
	}
	return everywhere(func(ctx context.Context, a *Attempt) (*Answer, error) { return next()(ctx, a) })
}

// An engine crashes in the middle of a draft. The caller's stream goes on at
// the server that holds a copy of the draft's memory, in another zone, within
// the pause that is allowed, and no event is missing or doubled.
func TestStreamGoesOnFromItsCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newBed(firstOf(streams(50, beat, io.ErrUnexpectedEOF), streams(130, beat, nil)))
		sink, err := runStream(t, b, streamRequest())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
		g.Expect(sink.begun).To(gomega.Equal(1))
		sent := b.backend.sent()
		g.Expect(sent).To(gomega.HaveLen(2))
		g.Expect(sent[0].CopyTo.Zone).NotTo(gomega.Equal(sent[0].Server.Zone))
		g.Expect(sent[1].Server).To(gomega.Equal(sent[0].CopyTo))
		g.Expect(sent[1].From.At).To(gomega.Equal(sent[0].CopyTo))
		g.Expect(sent[1].After).To(gomega.Equal("50"))
		g.Expect(sink.header.Get("Server-Id")).To(gomega.Equal(sent[0].Server.ID), "the head of the first run stays")
		g.Expect(sink.longest).To(gomega.BeNumerically("<", 100*time.Millisecond))
	})
}

// An engine's VM loses power in the middle of a draft: no reset comes, only
// silence. It is noticed well within the pause that is allowed.
func TestSilentLossIsNoticedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newBed(firstOf(streams(50, beat, errMute), streams(130, beat, nil)))
		sink, err := runStream(t, b, streamRequest())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
		g.Expect(sink.longest).To(gomega.BeNumerically("<", 500*time.Millisecond))
	})
}

// An engine falls silent while it reads the prompt, which takes a second in any
// case. A question for a sign of life tells the loss; one that is answered
// leaves the stream where it is.
func TestLossBeforeTheFirstEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newBed(firstOf(streams(0, beat, errMute), streams(20, beat, nil)))
		for _, id := range []string{"a1", "a2"} {
			b.backend.probes[id] = &NotRunError{Reason: Unreachable, Err: io.ErrClosedPipe}
		}
		sink, err := runStream(t, b, streamRequest())
		time.Sleep(crashAlone) // for which other losses of the zone are waited for
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 20)))
		g.Expect(sink.first).To(gomega.BeNumerically("<", time.Second))
	})
}

// A prompt takes three seconds to be read by a busy but sound engine. Nobody
// takes it for lost: the stream stays there.
func TestSlowPromptIsNoLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		slow := func(ctx context.Context, a *Attempt) (*Answer, error) {
			time.Sleep(3 * time.Second)
			return streams(20, beat, nil)(ctx, a)
		}
		b := newBed(everywhere(slow))
		sink, err := runStream(t, b, streamRequest())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.HaveLen(20))
		g.Expect(b.backend.sent()).To(gomega.HaveLen(1))
	})
}

// A server was lost some seconds ago and is tried again because no other is
// there. What was known against it must not end the new attempt at its start:
// streams were once answered "may have run" within a millisecond so.
func TestServerThatWasLostIsWatchedAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newBed(map[string][]script{"a1": {streams(20, beat, nil)}}, "a1")
		b.dir.View().Service("s")[0].MarkLost(time.Now())
		sink, err := runStream(t, b, streamRequest())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.HaveLen(20))
	})
}

// The copy lies on a server that was lost with the one that ran the draft, or
// never had room for it. The prompt is read again elsewhere; nothing is lost.
func TestWithoutACopyThePromptIsReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		tries := 0
		b := newBed(everywhere(func(ctx context.Context, a *Attempt) (*Answer, error) {
			tries++
			if tries == 1 {
				return streams(50, beat, io.ErrUnexpectedEOF)(ctx, a)
			}
			if a.From != nil {
				return nil, &NotRunError{Reason: Busy, Err: io.ErrClosedPipe}
			}
			return streams(130, beat, nil)(ctx, a)
		}))
		sink, err := runStream(t, b, streamRequest())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
		g.Expect(b.backend.sent()).To(gomega.HaveLen(3))
	})
}

// An attempt that never ran has left no copy: asking for it would cost an
// arrival that is refused.
func TestNoCopyOfWhatNeverRan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newBed(firstOf(refuses(Refused), streams(20, beat, nil)))
		_, err := runStream(t, b, streamRequest())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		for _, a := range b.backend.sent() {
			g.Expect(a.From).To(gomega.BeNil())
		}
	})
}

// A faulty server goes on at the wrong event after a resume. Its events are
// dropped, and another server goes on at the right one.
func TestEventsOutOfOrderNeverReachTheCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		tries := 0
		b := newBed(everywhere(func(ctx context.Context, a *Attempt) (*Answer, error) {
			tries++
			switch tries {
			case 1:
				return streams(50, beat, io.ErrUnexpectedEOF)(ctx, a)
			case 2:
				wrong := *a
				wrong.After = "20"
				return streams(130, beat, nil)(ctx, &wrong)
			default:
				return streams(130, beat, nil)(ctx, a)
			}
		}))
		sink, err := runStream(t, b, streamRequest())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
	})
}

// A caller comes back after its own connection broke, with the id of the last
// event that it has, and gets the next one first.
func TestCallerComesBackWithAnEventID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newBed(everywhere(streams(130, beat, nil)))
		req := streamRequest()
		req.LastEvent = "77"
		sink, err := runStream(t, b, req)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(78, 130)))
	})
}

// A stream that can't be resumed breaks in its middle. Nothing else is tried,
// and the caller's answer is cut off rather than ended.
func TestStreamThatCanNotBeResumedIsCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newBed(everywhere(streams(50, beat, io.ErrUnexpectedEOF)))
		req := streamRequest()
		req.Route.Resumable = false
		sink := &recordingSink{start: time.Now()}
		begun, err := b.Stream(t.Context(), req, sink)
		g.Expect(begun).To(gomega.BeTrue())
		var failure *Failure
		g.Expect(errors.As(err, &failure)).To(gomega.BeTrue())
		g.Expect(failure.Ran).To(gomega.BeTrue())
		g.Expect(b.backend.sent()).To(gomega.HaveLen(1))
	})
}

// One request crashes each server that runs it. After three of them it gets no
// further one, by whatever id it comes.
func TestRequestThatCrashesServersIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newBed(everywhere(breaks()), "a1", "b1", "c1", "d1", "e1", "f1")
		for _, id := range []string{"a1", "b1", "c1", "d1", "e1", "f1"} {
			b.backend.scripts[id] = []script{breaks()}
			b.backend.probes[id] = &NotRunError{Reason: Refused, Err: io.ErrClosedPipe}
		}
		for i := range 4 {
			req := streamRequest()
			req.ID = string(rune('a' + i))
			req.Route.MaxAttempts = 1
			_, _ = runStream(t, b, req)
			time.Sleep(crashAlone + crashBeside)
		}
		before := len(b.backend.sent())
		req := streamRequest()
		_, err := runStream(t, b, req)
		var failure *Failure
		g.Expect(errors.As(err, &failure)).To(gomega.BeTrue())
		g.Expect(failure.Ran).To(gomega.BeFalse())
		g.Expect(errors.Is(failure, ErrQuarantined)).To(gomega.BeTrue())
		g.Expect(b.backend.sent()).To(gomega.HaveLen(before))
		g.Expect(before).To(gomega.Equal(3))
	})
}

// A zone loses its servers with all that runs there. The requests that ran
// there had no part in it and are not held to have crashed anything.
func TestLossOfAZoneIsNoRequestsFault(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newBed(nil, "a1", "a2", "a3")
		for _, id := range []string{"a1", "a2", "a3"} {
			b.backend.scripts = everywhere(breaks())
			b.backend.scripts["a3"] = []script{breaks()}
			b.backend.probes[id] = &NotRunError{Reason: Refused, Err: io.ErrClosedPipe}
		}
		req := streamRequest()
		_, _ = runStream(t, b, req)
		time.Sleep(crashAlone + crashBeside)
		g.Expect(b.suspects.Verdict(req.Fingerprint()).Deaths).To(gomega.BeZero())
	})
}

// The server that holds a stream's copy begins to leave, and seconds later the
// stream's own server is lost. The leaving server gets nothing new, not even
// the stream that it holds a copy of.
func TestCopyOnALeavingServerIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newBed(firstOf(streams(50, beat, io.ErrUnexpectedEOF), streams(130, beat, nil)))
		time.AfterFunc(20*beat, func() {
			copyAt := b.backend.sent()[0].CopyTo.ID
			var list []directory.Listing
			for _, id := range []string{"a1", "a2", "b1", "b2"} {
				list = append(list, directory.Listing{ID: id, Service: "s", Zone: id[:1], Address: id, Draining: id == copyAt})
			}
			b.dir.Apply(2, list, false, time.Now())
		})
		sink, err := runStream(t, b, streamRequest())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
		sent := b.backend.sent()
		g.Expect(sent).To(gomega.HaveLen(2))
		g.Expect(sent[1].Server).NotTo(gomega.Equal(sent[0].CopyTo))
	})
}

// A zone is lost with the copies of streams that run in another one. Seconds
// later that zone is lost too. The streams go on from new copies, within the
// pause that is allowed.
func TestCopyIsReplacedWhenItsServerIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newBed(firstOf(streams(100, beat, io.ErrUnexpectedEOF), streams(130, beat, nil)), "a1", "b1", "c1")
		b.backend.scripts["c1"] = b.backend.scripts["a1"]
		time.AfterFunc(20*beat, func() { b.backend.sent()[0].CopyTo.MarkLost(time.Now()) })
		sink, err := runStream(t, b, streamRequest())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
		g.Expect(b.backend.copyPlaces()).To(gomega.HaveLen(1))
		sent := b.backend.sent()
		g.Expect(sent).To(gomega.HaveLen(2))
		g.Expect(sent[1].Server).To(gomega.Equal(b.backend.copies[0]))
		g.Expect(sent[1].From.Handle).To(gomega.Equal("h"))
		g.Expect(sent[1].From.Source).To(gomega.Equal(sent[0].Server))
		g.Expect(sink.longest).To(gomega.BeNumerically("<", 100*time.Millisecond))
	})
}

// The same, but the first place that is asked for the new copy has no room. The
// stream had none from then on, and read its prompt again at the next loss.
func TestCopyThatIsRefusedIsAskedForElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newBed(firstOf(streams(100, beat, io.ErrUnexpectedEOF), streams(130, beat, nil)), "a1", "b1", "c1", "c2")
		for _, id := range []string{"c1", "c2"} {
			b.backend.scripts[id] = b.backend.scripts["a1"]
		}
		b.backend.refusals = 1
		time.AfterFunc(20*beat, func() { b.backend.sent()[0].CopyTo.MarkLost(time.Now()) })
		sink, err := runStream(t, b, streamRequest())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
		sent := b.backend.sent()
		g.Expect(sent).To(gomega.HaveLen(2))
		g.Expect(sent[1].From).NotTo(gomega.BeNil(), "it goes on from a copy")
		g.Expect(b.backend.copyPlaces()).To(gomega.HaveLen(2))
		g.Expect(sent[1].Server).NotTo(gomega.Equal(b.backend.copies[0]), "the one that refused")
		g.Expect(sink.longest).To(gomega.BeNumerically("<", 100*time.Millisecond))
	})
}

// A stream ends well after its copy had to be replaced. The new copy was asked
// for, so nobody but the asker knows that it is no longer needed: it is given up.
func TestCopyThatIsNotUsedIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newBed(everywhere(streams(130, beat, nil)))
		time.AfterFunc(20*beat, func() { b.backend.sent()[0].CopyTo.MarkLost(time.Now()) })
		_, err := runStream(t, b, streamRequest())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		synctest.Wait()
		g.Expect(b.backend.copyPlaces()).To(gomega.HaveLen(1))
		g.Expect(len(b.backend.copies)).To(gomega.BeNumerically("<=", 1+int(130*beat/copyLook)), "asked for, and brought up to date")
		g.Expect(b.backend.freed).To(gomega.Equal([]string{"h"}))
	})
}

// stingy is a Lender that has nothing for a while.
type stingy struct{ until time.Time }

func (l *stingy) Allow(string, *retry.Window) bool { return time.Now().After(l.until) }
func (l *stingy) First(string, *retry.Window)      {}

// Many streams of one entry VM are lost at once, more than it may send again
// before the others know. The last ones wait for a moment and go on; they used
// to end there. With no budget for longer, a stream ends.
func TestStreamWaitsForTheRetryBudget(t *testing.T) {
	for name, c := range map[string]struct {
		spent  time.Duration
		served bool
	}{"for a moment": {250 * time.Millisecond, true}, "for long": {time.Minute, false}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				b := newBed(firstOf(streams(50, beat, io.ErrUnexpectedEOF), streams(130, beat, nil)))
				b.opts.Lender = &stingy{until: time.Now().Add(50*beat + c.spent)}
				sink, err := runStream(t, b, streamRequest())
				if !c.served {
					g.Expect(errors.Is(err, ErrBudget)).To(gomega.BeTrue())
					return
				}
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
				g.Expect(sink.longest).To(gomega.BeNumerically("<", 500*time.Millisecond))
			})
		})
	}
}

// counting is a Lender that allows all and counts.
type counting struct{ taken int }

func (l *counting) Allow(string, *retry.Window) bool { l.taken++; return true }
func (l *counting) First(string, *retry.Window)      {}

// A zone dies. A stream that ran there is sent to servers that died with it and
// take no connection, before it finds one that lives. The backend servers get
// one retry, so one is taken out of the budget; each try used to be, and 93
// streams ended for want of budget in a loss of several zones one by one.
func TestRetryThatReachesNobodyCostsNoBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newBed(firstOf(streams(50, beat, io.ErrUnexpectedEOF), refuses(Refused), refuses(Unreachable), streams(130, beat, nil)))
		lender := &counting{}
		b.opts.Lender = lender
		sink, err := runStream(t, b, streamRequest())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
		g.Expect(b.backend.sent()).To(gomega.HaveLen(4))
		g.Expect(lender.taken).To(gomega.Equal(1))
	})
}

// A server is lost while it reads a stream's prompt: nothing of its memory has
// been copied yet. The server that was to hold the copy refused to go on from
// it, which took a retry of the budget; it is no longer asked to.
func TestNoCopyIsAskedForBeforeTheFirstEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newBed(firstOf(breaks(), streams(130, beat, nil)))
		lender := &counting{}
		b.opts.Lender = lender
		sink, err := runStream(t, b, streamRequest())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
		sent := b.backend.sent()
		g.Expect(sent).To(gomega.HaveLen(2))
		g.Expect(sent[0].CopyTo).NotTo(gomega.BeNil())
		g.Expect(sent[1].From).To(gomega.BeNil())
		g.Expect(lender.taken).To(gomega.Equal(1))
	})
}

// The only server of a service breaks a stream off and has no room when the
// stream comes back for it; a moment later it has. The answer had begun: without
// the wait for a server it would be cut.
func TestStreamWaitsForItsOnlyServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newBed(map[string][]script{"a1": {streams(50, beat, io.ErrUnexpectedEOF), refuses(Busy), streams(130, beat, nil)}}, "a1")
		sink, err := runStream(t, b, streamRequest())
		time.Sleep(crashAlone) // for which other losses of the zone are waited for
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
	})
}
