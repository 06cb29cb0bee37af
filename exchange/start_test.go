package exchange

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/site"
	"github.com/pearyard/pearyard/suspect"
	"github.com/pearyard/pearyard/types"
)

// list applies a list of servers, all with the same start time but those given in born.
func (b *testbed) list(position types.Position, born map[string]int64, ids ...string) {
	var list []directory.Listing
	for _, id := range ids {
		at := int64(100)
		if later, ok := born[id]; ok {
			at = later
		}
		list = append(list, directory.Listing{ID: id, Born: at, Service: "s", Zone: id[:1], Address: id, Slots: 8})
	}
	b.dir.Apply(position, list, false, time.Now())
}

// hangs accepts a request and sends nothing.
func hangs(ctx context.Context, _ *Attempt) (*Answer, error) {
	<-ctx.Done()
	return nil, &BrokenError{Err: ctx.Err()}
}

// A server loses power before a stream's first event and is restarted under its id. The
// new process answers probes, but knows nothing of the stream. Guards against letting
// the caller wait until its deadline.
func TestProbeAnsweredByALaterStartDoesNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(map[string][]script{"a1": {hangs}, "b1": {streams(10, 30*time.Millisecond, nil)}}, "a1")
		b.list(2, nil, "a1")
		b.backend.born["a1"] = 100
		sink := &recordingSink{start: time.Now()}
		done := make(chan error, 1)
		go func() {
			_, err := b.Stream(t.Context(), streamRequest(), sink)
			done <- err
		}()
		time.Sleep(600 * time.Millisecond)
		b.list(3, nil, "a1", "b1")
		b.backend.mu.Lock()
		b.backend.born["a1"] = 200
		b.backend.mu.Unlock()
		time.Sleep(2 * time.Second)
		synctest.Wait()
		g.Expect(sink.ids).To(gomega.HaveLen(10))
		g.Expect(<-done).NotTo(gomega.HaveOccurred())
	})
}

// A server that is cut off from the store crashes, restarts under its id, and is listed
// with its former start for seconds. A stream that waits there detects the new start,
// which has the same id, and resumes on it. A process with another id may be another
// service's and must not be used.
func TestLaterStartThatAnswersIsUsed(t *testing.T) {
	for id, used := range map[string]bool{"a1": true, "x9": false} {
		t.Run(id, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				b := newTestbed(map[string][]script{"a1": {hangs, streams(10, 30*time.Millisecond, nil)}}, "a1")
				b.list(2, nil, "a1")
				b.backend.born["a1"] = 200
				b.opts.Restarts = &RestartDetector{
					Identify: func(context.Context, *directory.Server) (directory.Start, error) {
						return directory.Start{ID: id, Born: 200}, nil
					},
					Found: func(old *directory.Server, start directory.Start) { b.dir.RecordRestart(old, start, time.Now()) },
				}
				sink := &recordingSink{start: time.Now()}
				_, err := b.Stream(t.Context(), streamRequest(), sink)
				time.Sleep(crashConfirmDelay)
				if used {
					g.Expect(err).NotTo(gomega.HaveOccurred())
					g.Expect(sink.ids).To(gomega.HaveLen(10))
				} else {
					g.Expect(err).To(gomega.HaveOccurred())
					g.Expect(b.backend.sent()).To(gomega.HaveLen(1))
				}
			})
		})
	}
}

// The list reports that a server has been restarted under its id while a stream waits
// for its first event there. The stream must resume elsewhere at once.
func TestStreamLeavesAReplacedStartAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(map[string][]script{"a1": {hangs}, "b1": {streams(10, 30*time.Millisecond, nil)}}, "a1")
		b.list(2, nil, "a1")
		sink := &recordingSink{start: time.Now()}
		done := make(chan error, 1)
		go func() {
			_, err := b.Stream(t.Context(), streamRequest(), sink)
			done <- err
		}()
		time.Sleep(100 * time.Millisecond)
		b.list(3, map[string]int64{"a1": 200}, "a1", "b1")
		time.Sleep(200 * time.Millisecond)
		g.Expect(b.backend.sent()).To(gomega.HaveLen(2))
		g.Expect(<-done).NotTo(gomega.HaveOccurred())
		time.Sleep(crashConfirmDelay) // a crash is recorded after the stream's end
	})
}

// The server that holds a stream's copy crashes and is back under its id within
// moments, so that no connection is seen to fail. The copy is gone and must be
// replaced. Guards against sending the stream there when its own server is lost: it was
// refused, and the caller waited while the prompt was read again. Also guards against a
// race: the loss of the old start was reported before the new one was in the view, so
// the stream found only the lost start and requested no copy.
func TestCopyOnAReplacedStartIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(map[string][]script{
			"a1": {streams(60, 30*time.Millisecond, io.ErrUnexpectedEOF)},
			"b1": {streams(100, 30*time.Millisecond, nil)},
		}, "a1", "b1")
		b.list(2, nil, "a1", "b1")
		b.opts.Directory.View().Service("s")[0].MarkHeard(time.Now())
		busy := serverOf(b, "b1").BeginStream(8000) // the stream starts on a1
		sink := &recordingSink{start: time.Now()}
		done := make(chan error, 1)
		go func() {
			_, err := b.Stream(t.Context(), streamRequest(), sink)
			done <- err
		}()
		time.Sleep(200 * time.Millisecond)
		busy.End()
		b.list(3, map[string]int64{"b1": 200}, "a1", "b1")
		time.Sleep(50 * time.Millisecond)
		b.backend.mu.Lock()
		g.Expect(b.backend.copies).To(gomega.HaveLen(1))
		g.Expect(b.backend.copies[0].Start).To(gomega.Equal(directory.Start{ID: "b1", Born: 200}))
		b.backend.mu.Unlock()
		g.Expect(<-done).NotTo(gomega.HaveOccurred())
		sent := b.backend.sent()
		g.Expect(sent).To(gomega.HaveLen(2))
		g.Expect(sent[1].ResumeFrom.Server.Start).To(gomega.Equal(directory.Start{ID: "b1", Born: 200}))
		time.Sleep(crashConfirmDelay)
	})
}

func serverOf(b *testbed, id string) *directory.Server {
	for _, s := range b.dir.View().Service("s") {
		if s.ID == id {
			return s
		}
	}
	return nil
}

// A request crashes the server that runs it. The server is back under its id before it
// is probed, and crashes again, and again. Three starts have died of the request, so it
// is refused. Guards against counting one death per id.
func TestCrashesOfThreeStartsAreThreeDeaths(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(map[string][]script{"a1": {breaks()}}, "a1")
		for n := range int64(3) {
			b.list(types.Position(2+n), map[string]int64{"a1": 100 + n}, "a1")
			b.backend.mu.Lock()
			b.backend.born["a1"] = 100 + n + 1
			b.backend.mu.Unlock()
			req := request(site.AtMostOnce)
			_, _ = b.Call(t.Context(), req)
			time.Sleep(3 * time.Second)
		}
		g.Expect(b.suspects.Verdict(request(site.AtMostOnce).Fingerprint()).State).To(gomega.Equal(suspect.Quarantined))
	})
}

// A stream runs when the list reports that its server, the only one, has been restarted
// under its id. The connection to the old process shows nothing yet. The stream must
// resume on the new start at once: that one has not been tried.
func TestStreamResumesOnTheNewStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(map[string][]script{
			"a1": {streams(3, 30*time.Millisecond, errHang), streams(10, 30*time.Millisecond, nil)},
		}, "a1")
		b.list(2, nil, "a1")
		sink := &recordingSink{start: time.Now()}
		done := make(chan error, 1)
		go func() {
			_, err := b.Stream(t.Context(), streamRequest(), sink)
			done <- err
		}()
		time.Sleep(100 * time.Millisecond)
		b.list(3, map[string]int64{"a1": 200}, "a1")
		time.Sleep(10 * time.Millisecond)
		sent := b.backend.sent()
		g.Expect(sent).To(gomega.HaveLen(2))
		g.Expect(sent[1].Server.Start).To(gomega.Equal(directory.Start{ID: "a1", Born: 200}))
		g.Expect(<-done).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.HaveLen(10))
		time.Sleep(crashConfirmDelay)
	})
}

// While the store is unavailable a server crashes and is back at its address under its
// id. It must be detected. Answers of the former process, of a process that doesn't
// report its start time, and of an earlier start must not count.
func TestRestartUnderTheSameIDIsDetectedWhileTheStoreIsUnavailable(t *testing.T) {
	for name, c := range map[string]struct {
		listed, answers int64
		found           bool
	}{
		"a later start":                     {100, 200, true},
		"the same start":                    {100, 100, false},
		"an earlier start":                  {200, 100, false},
		"no start time reported":            {100, 0, false},
		"a list entry without a start time": {0, 100, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				b := newTestbed(nil, "a1")
				b.list(2, map[string]int64{"a1": c.listed}, "a1")
				var found []directory.Start
				b.opts.Restarts = &RestartDetector{
					Reuse:            2 * time.Second,
					StoreUnavailable: func() bool { return true },
					Identify: func(context.Context, *directory.Server) (directory.Start, error) {
						return directory.Start{ID: "a1", Born: c.answers}, nil
					},
					Found: func(_ *directory.Server, start directory.Start) { found = append(found, start) },
				}
				s := serverOf(b, "a1")
				s.MarkHeard(time.Now())
				b.recordFailure(s, &NotRunError{Reason: Refused, Err: io.ErrClosedPipe})
				time.Sleep(3 * time.Second)
				synctest.Wait()
				if c.found {
					g.Expect(found).To(gomega.Equal([]directory.Start{{ID: "a1", Born: c.answers}}))
				} else {
					g.Expect(found).To(gomega.BeEmpty())
				}
			})
		})
	}
}
