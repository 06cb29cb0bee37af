package exchange

import (
	"bytes"
	"io"
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/site"
)

func newMemoryTestbed(scripts map[string][]script, ids ...string) *testbed {
	b := newTestbed(scripts, ids...)
	b.opts.Services = func(string) (site.Service, bool) {
		return site.Service{Name: "s", Copies: true, CopiesOnDemand: true, Memory: memorySiteTokens, EventTokens: modelEvent}, true
	}
	return b
}

// uses makes another stream use memory at servers, until the returned function is called.
func (b *testbed) uses(tokens int, ids ...string) (end func()) {
	var holds []*directory.MemoryHold
	for _, s := range b.dir.View().Service("s") {
		for _, id := range ids {
			if s.ID == id {
				holds = append(holds, s.HoldMemory(tokens))
			}
		}
	}
	return func() {
		for _, h := range holds {
			h.End()
		}
	}
}

func (b *testbed) committed() int64 { return b.dir.MemoryByService()["s"] }

// The estimate of an answer follows what was seen. Guards against hints that are off by a
// factor: too low, and servers are sent more than they hold; too high, and they stay empty.
func TestExpectedAnswerLength(t *testing.T) {
	g := gomega.NewWithT(t)
	l := &answerLengths{}
	g.Expect(l.expect(0, 600)).To(gomega.Equal(600), "nothing is known")
	g.Expect(l.expect(200, 600)).To(gomega.Equal(200))
	g.Expect(l.expect(1<<62, 600)).To(gomega.Equal(600), "no answer is longer than it may be")
	for range 100 {
		l.observe(100, 1000, 300)
	}
	g.Expect(l.expect(100, 1000)).To(gomega.BeNumerically("~", 300, 5))
	g.Expect(l.expect(800, 1000)).To(gomega.Equal(1000))
	g.Expect(l.expect(0, 1000)).To(gomega.BeNumerically("~", 300, 5))
	l.observe(1, 1000, 1000)
	g.Expect(l.expect(100, 1000)).To(gomega.BeNumerically("<", 500), "one hint that is far off moves the estimate little")
	for range 200 {
		l.observe(1<<62, 0, 300)
	}
	g.Expect(l.expect(100, 1000)).To(gomega.BeNumerically(">=", 0))
}

// Memory counts only where the configuration states it and which requests go first.
func TestMemoryCountsOnlyWhereItIsStated(t *testing.T) {
	g := gomega.NewWithT(t)
	req, l := memoryRequest("r", 0), &answerLengths{}
	g.Expect(newMemoryNeed(req, site.Service{Memory: 1000}, l)).NotTo(gomega.BeNil())
	g.Expect(newMemoryNeed(req, site.Service{}, l)).To(gomega.BeNil())
	req.Competition = nil
	without := newMemoryNeed(req, site.Service{Memory: 1000}, l)
	g.Expect(without).To(gomega.BeNil())
	g.Expect(without.tokens(5)).To(gomega.BeZero())
	g.Expect(without.tooLarge()).To(gomega.BeFalse())
}

// Guards against streams that are held back by a service without a competition.
func TestWithoutCompetitionFullServersAreUsed(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newMemoryTestbed(everywhere(streams(5, time.Millisecond, nil)))
	b.uses(memorySiteTokens, "a1", "a2", "b1", "b2")
	req := memoryRequest("r1", 0)
	req.Competition = nil
	_, err := b.Stream(t.Context(), req, &recordingSink{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(b.committed()).To(gomega.BeEquivalentTo(4*memorySiteTokens), "the stream and its copy are not counted")
}

// A stream waits for memory and is sent once there is some.
func TestStreamWaitsForMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newMemoryTestbed(everywhere(streams(5, time.Millisecond, nil)))
		end := b.uses(memorySiteTokens-memorySitePrompt, "a1", "a2", "b1", "b2")
		go func() {
			time.Sleep(200 * time.Millisecond)
			end()
		}()
		began := time.Now()
		_, err := b.Stream(t.Context(), memoryRequest("r1", 0), &recordingSink{})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(time.Since(began)).To(gomega.BeNumerically(">=", 200*time.Millisecond))
		g.Expect(b.committed()).To(gomega.BeZero())
	})
}

// No server has room in time: the stream is refused, and its caller may come again.
func TestStreamWithoutMemoryIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newMemoryTestbed(everywhere(streams(5, time.Millisecond, nil)))
		b.uses(memorySiteTokens-memorySitePrompt, "a1", "a2", "b1", "b2")
		_, err := b.Stream(t.Context(), memoryRequest("r1", 0), &recordingSink{})
		g.Expect(err).To(gomega.MatchError(ErrNoMemory))
		failure := err.(*Failure)
		g.Expect(failure.Ran).To(gomega.BeFalse())
		g.Expect(failure.By).To(gomega.Equal(EndedByNoServer))
		g.Expect(failure.RetryAfter).To(gomega.BeNumerically(">=", noMemoryRetryAfter))
		g.Expect(failure.RetryAfter).To(gomega.BeNumerically("<=", time.Until(memoryRequest("r1", 0).Deadline)/3), "callers wait no longer")
		g.Expect(b.backend.sent()).To(gomega.BeEmpty())
	})
}

// Guards against a stream that waits for memory that no server ever has, and against one that
// is refused for an expected answer that merely makes it large.
func TestStreamLargerThanAServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newMemoryTestbed(everywhere(streams(5, time.Millisecond, nil)))
		req := memoryRequest("r1", 0)
		req.PromptTokens = memorySiteTokens
		began := time.Now()
		_, err := b.Stream(t.Context(), req, &recordingSink{})
		g.Expect(err).To(gomega.MatchError(ErrNoMemory))
		g.Expect(time.Since(began)).To(gomega.BeZero())
		g.Expect(b.backend.sent()).To(gomega.BeEmpty())
		req = memoryRequest("r2", 0)
		req.LengthHint, req.MaxTokens = 3*memorySiteTokens, 3*memorySiteTokens
		_, err = b.Stream(t.Context(), req, &recordingSink{})
		g.Expect(err).NotTo(gomega.HaveOccurred(), "it gets an empty server")
	})
}

// copyTo returns the server that a stream of a class names for its copy.
func copyTo(t *testing.T, b *testbed, name string, priority int) *directory.Server {
	req := memoryRequest(name, priority)
	req.PromptTokens = memorySiteTokens / 8
	_, err := b.Stream(t.Context(), req, &recordingSink{})
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	sent := b.backend.sent()
	return sent[len(sent)-1].CopyTo
}

// Guards against copies that take the place of streams while memory is short, and against
// streams without a copy while there is plenty.
func TestCopiesOfTheLeastUrgentYieldFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newMemoryTestbed(map[string][]script{"a1": {streams(5, time.Millisecond, nil)}}, "a1", "b1")
		g.Expect(copyTo(t, b, "r1", 0)).NotTo(gomega.BeNil())
		g.Expect(copyTo(t, b, "r2", 1)).NotTo(gomega.BeNil())
		end := b.uses(memorySiteTokens*5/8, "b1")
		g.Expect(copyTo(t, b, "r3", 0)).NotTo(gomega.BeNil())
		g.Expect(copyTo(t, b, "r4", 1)).To(gomega.BeNil())
		b.uses(memorySiteTokens/8, "b1")
		g.Expect(copyTo(t, b, "r5", 0)).To(gomega.BeNil())
		end()
		g.Expect(copyTo(t, b, "r6", 0)).NotTo(gomega.BeNil())
	})
}

// The least urgent class leaves the most memory free, whatever the number of classes.
func TestCopyLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(copyLimit(100_000, 9_000, 0, 1)).To(gomega.Equal(77_000))
	for ranks := 2; ranks < 12; ranks++ {
		for rank := 1; rank < ranks; rank++ {
			g.Expect(copyLimit(100_000, 9_000, rank, ranks)).To(gomega.BeNumerically("<", copyLimit(100_000, 9_000, rank-1, ranks)))
		}
		g.Expect(copyLimit(100_000, 9_000, ranks-1, ranks)).To(gomega.Equal(77_000))
	}
	g.Expect(copyLimit(20_000, 9_000, 1, 2)).To(gomega.Equal(1_000), "a server that holds two streams takes no such copy")
}

// A stream's server fails while the memory of all others is full. Guards against a stream that
// waits for memory which its own copy holds already.
func TestStreamGoesOnFromItsCopyInFullServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newMemoryTestbed(map[string][]script{"a1": {streams(3, 10*time.Millisecond, io.ErrUnexpectedEOF)}, "b1": {streams(6, 10*time.Millisecond, nil)}}, "a1", "b1")
		ends := make(chan func(), 1)
		go func() {
			time.Sleep(15 * time.Millisecond)
			ends <- b.uses(memorySiteTokens, "a1", "b1")
		}()
		sink := &recordingSink{}
		_, err := b.Stream(t.Context(), memoryRequest("r1", 0), sink)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.HaveLen(6))
		sent := b.backend.sent()
		g.Expect(sent).To(gomega.HaveLen(2))
		g.Expect(sent[1].ResumeFrom).NotTo(gomega.BeNil())
		(<-ends)()
		g.Expect(b.committed()).To(gomega.BeZero(), "neither the stream nor its copy is counted any more")
	})
}

// A server keeps the copy of a run that did not end well for some seconds. Guards against
// streams that are sent there meanwhile, and against memory that stays counted after it or for
// copies that were never sent.
func TestCopyOfABrokenRunIsCountedUntilItsServerDropsIt(t *testing.T) {
	for name, c := range map[string]struct {
		at1  script
		left int64 // tokens counted after the end
	}{
		"broken":           {streams(3, time.Millisecond, io.ErrUnexpectedEOF), memorySitePrompt + memorySiteEvents*modelEvent},
		"whole":            {streams(3, time.Millisecond, nil), 0},
		"without an event": {breaks(), 0},
		"not run":          {refuses(Busy), 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				b := newMemoryTestbed(map[string][]script{"a1": {c.at1}, "b1": {refuses(Busy)}}, "a1", "b1")
				b.opts.Services = func(string) (site.Service, bool) {
					return site.Service{Name: "s", Copies: true, Memory: memorySiteTokens, EventTokens: modelEvent, CopyTTL: 4 * time.Second}, true
				}
				req := memoryRequest("r1", 0)
				req.Route.MaxAttempts = 1
				_, _ = b.Stream(t.Context(), req, &recordingSink{})
				g.Expect(b.committed()).To(gomega.Equal(c.left))
				time.Sleep(5 * time.Second)
				g.Expect(b.committed()).To(gomega.BeZero())
			})
		})
	}
}

// The server that holds a copy is lost while no other has room. Guards against a stream that
// stays without a copy for good though memory becomes free, and against a copy that takes it
// before.
func TestLostCopyIsReplacedOnceThereIsMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newMemoryTestbed(map[string][]script{"a1": {streams(500, 10*time.Millisecond, nil)}}, "a1", "b1", "b2")
		end := b.uses(memorySiteTokens, "b2")
		done := make(chan error)
		go func() {
			_, err := b.Stream(t.Context(), memoryRequest("r1", 0), &recordingSink{})
			done <- err
		}()
		time.Sleep(100 * time.Millisecond)
		g.Expect(b.backend.sent()[0].CopyTo.ID).To(gomega.Equal("b1"))
		b.backend.sent()[0].CopyTo.MarkLost(time.Now())
		time.Sleep(2 * time.Second)
		g.Expect(b.backend.copyPlaces()).To(gomega.BeEmpty())
		end()
		time.Sleep(time.Second)
		g.Expect(b.backend.copyPlaces()).To(gomega.HaveLen(1))
		g.Expect(<-done).NotTo(gomega.HaveOccurred())
		g.Expect(b.committed()).To(gomega.BeZero())
	})
}

// Operators see how much memory is taken, what it holds back, and when a shortage begins and
// ends.
func TestShortageOfMemoryIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		var logged bytes.Buffer
		registry := prometheus.NewRegistry()
		b := newMemoryTestbed(everywhere(streams(5, time.Millisecond, nil)))
		b.opts.Recorder = event.NewRecorder(log.NewLogfmtLogger(&logged), 16)
		b.Exchange.metrics = newMetrics(registry, b.dir)
		end := b.uses(memorySiteTokens-memorySitePrompt, "a1", "a2", "b1", "b2")
		for range 2 {
			_, err := b.Stream(t.Context(), memoryRequest("r1", 0), &recordingSink{})
			g.Expect(err).To(gomega.MatchError(ErrNoMemory))
		}
		g.Expect(testutil.ToFloat64(b.metrics.memory.held)).To(gomega.BeEquivalentTo(2))
		g.Expect(testutil.GatherAndCompare(registry, strings.NewReader(`
# HELP pearyard_exchange_memory_committed_tokens Memory of backend servers that streams and copies of this process hold or will hold, by service.
# TYPE pearyard_exchange_memory_committed_tokens gauge
pearyard_exchange_memory_committed_tokens{service="s"} 48000
`), "pearyard_exchange_memory_committed_tokens")).To(gomega.Succeed())
		end()
		time.Sleep(memoryCalm)
		for range 2 {
			_, err := b.Stream(t.Context(), memoryRequest("r1", 0), &recordingSink{})
			g.Expect(err).NotTo(gomega.HaveOccurred())
		}
		g.Expect(strings.Count(logged.String(), EventMemoryShort.ID())).To(gomega.Equal(1))
		g.Expect(strings.Count(logged.String(), EventMemoryFound.ID())).To(gomega.Equal(1))
		b.uses(memorySiteTokens/2, "a1", "a2", "b1", "b2")
		_, err := b.Stream(t.Context(), memoryRequest("r2", 1), &recordingSink{})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(testutil.ToFloat64(b.metrics.memory.copiesNotPlaced)).To(gomega.BeEquivalentTo(1))
	})
}

// Guards against answers longer than expected that are counted as short until their end.
func TestLongAnswerIsCountedAsItGrows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newMemoryTestbed(map[string][]script{"a1": {streams(200, 10*time.Millisecond, nil)}}, "a1", "b1")
		req := memoryRequest("r1", 0)
		req.LengthHint = 5
		done := make(chan struct{})
		go func() {
			_, _ = b.Stream(t.Context(), req, &recordingSink{})
			close(done)
		}()
		time.Sleep(5 * time.Millisecond)
		g.Expect(b.committed()).To(gomega.BeEquivalentTo(2 * (memorySitePrompt + 5)))
		time.Sleep(1500 * time.Millisecond)
		g.Expect(b.committed()).To(gomega.BeNumerically(">=", 2*(memorySitePrompt+148*modelEvent)))
		<-done
		g.Expect(b.committed()).To(gomega.BeZero())
	})
}

// A shortage is logged once when it begins and once when it is over.
func TestMemoryWatch(t *testing.T) {
	g := gomega.NewWithT(t)
	w, at := &memoryWatch{}, time.Now()
	g.Expect(w.record(true, false, at)).To(gomega.Equal(memoryUnchanged))
	g.Expect(w.record(false, true, at)).To(gomega.Equal(memoryShort))
	for range 100 {
		at = at.Add(memoryCalm / 2)
		g.Expect(w.record(true, false, at)).To(gomega.Equal(memoryUnchanged))
		g.Expect(w.record(false, true, at)).To(gomega.Equal(memoryUnchanged))
	}
	g.Expect(w.record(false, false, at.Add(2*memoryCalm))).To(gomega.Equal(memoryUnchanged), "no server for another reason")
	g.Expect(w.record(true, false, at.Add(memoryCalm))).To(gomega.Equal(memoryFound))
	g.Expect(w.lasted()).To(gomega.Equal(50 * memoryCalm))
	g.Expect(w.record(true, false, at.Add(memoryCalm))).To(gomega.Equal(memoryUnchanged))
}

// Guards against a caller's numbers that overflow the sum of a prompt and its answer.
func TestMemoryOfAbsurdNumbers(t *testing.T) {
	g := gomega.NewWithT(t)
	req := memoryRequest("r", 0)
	req.LengthHint, req.MaxTokens = 0, math.MaxInt
	n := newMemoryNeed(req, site.Service{Memory: memorySiteTokens}, &answerLengths{})
	g.Expect(n.tokens(0)).To(gomega.Equal(memorySiteTokens))
	g.Expect(n.copyLimit).To(gomega.BeNumerically("<", memorySiteTokens))
	req.PromptTokens = math.MaxInt
	g.Expect(newMemoryNeed(req, site.Service{Memory: memorySiteTokens}, &answerLengths{}).tokens(0)).To(gomega.Equal(memorySiteTokens))
}
