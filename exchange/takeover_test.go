package exchange

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// workLog records when servers work on a stream: from the head of a response until the
// attempt is ended.
type workLog struct {
	mu   sync.Mutex
	runs []*workSpan
}

// workSpan is the work of one server on a stream.
type workSpan struct {
	server string
	begun  time.Time // the server began to work on it
	first  time.Time // its first event; zero: none
	broke  time.Time // the server broke it off; zero: it didn't
	ended  time.Time // the attempt was ended; zero: still running
}

// recorded plays a script and records its work.
func (w *workLog) recorded(play script) script {
	return func(ctx context.Context, a *Attempt) (*Answer, error) {
		answer, err := play(ctx, a)
		if err != nil {
			return nil, err
		}
		run := &workSpan{server: a.Server.ID, begun: time.Now()}
		w.mu.Lock()
		w.runs = append(w.runs, run)
		w.mu.Unlock()
		context.AfterFunc(ctx, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			run.ended = time.Now()
		})
		answer.Body = &recordingBody{Body: answer.Body, read: func(err error) {
			w.mu.Lock()
			defer w.mu.Unlock()
			if run.first.IsZero() && err == nil {
				run.first = time.Now()
			}
			if err != nil && run.ended.IsZero() {
				run.broke = time.Now()
			}
		}}
		return answer, nil
	}
}

// recordingBody passes the error of each read to a function.
type recordingBody struct {
	Body
	read func(error)
}

// Read implements Body.
func (b *recordingBody) Read(p []byte) (int, error) {
	n, err := b.Body.Read(p)
	b.read(err)
	return n, err
}

// serversWhere returns the servers of the runs for which is holds.
func (w *workLog) serversWhere(is func(*workSpan) bool) (servers []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, run := range w.runs {
		if is(run) {
			servers = append(servers, run.server)
		}
	}
	return servers
}

// overlap returns the longest time for which a server kept working after the first
// event of the one that was sent to next.
func (w *workLog) overlap() (longest time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, run := range w.runs[1:] {
		if former := w.runs[i]; !run.first.IsZero() {
			longest = max(longest, former.ended.Sub(run.first))
		}
	}
	return longest
}

// together returns the longest time for which two servers worked on the stream.
func (w *workLog) together() (longest time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, run := range w.runs {
		for _, former := range w.runs[:i] {
			until := former.ended
			if !former.broke.IsZero() {
				until = former.broke
			}
			longest = max(longest, until.Sub(run.begun))
		}
	}
	return longest
}

// A server pauses for over a second in the middle of a stream, and another one holds a
// copy of its KV cache. The stream resumes there within the pause that callers allow,
// and the first server's work ends with the first event of the other: two servers on
// one stream would waste the second one's time.
func TestTakeoverEndsTheAttemptAtThePausingServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		w := &workLog{}
		b := newTestbed(inOrder(w.recorded(pausing(preemption)), w.recorded(streams(130, eventInterval, nil))))
		sink, err := runStream(t, b, streamRequest())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
		g.Expect(sink.longest).To(gomega.BeNumerically("<", 500*time.Millisecond))
		synctest.Wait()
		g.Expect(w.runs).To(gomega.HaveLen(2))
		g.Expect(w.overlap()).To(gomega.BeZero())
	})
}

// A server pauses, another one is asked to continue the stream, and the first one resumes by
// itself before the other has sent anything. Guards against both running on, and against
// events of both that reach the caller.
func TestServerThatResumesAfterItsSuccessorWasAskedIsEnded(t *testing.T) {
	asked := 450 * time.Millisecond
	for _, resumesAfter := range []time.Duration{time.Millisecond, 20 * time.Millisecond, acceptanceTime - time.Millisecond, acceptanceTime + time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			first := 2 * acceptanceTime // of the successor
			w := &workLog{}
			b := newTestbed(inOrder(w.recorded(pausing(asked+resumesAfter)), w.recorded(pausing(first))))
			sink, err := runStream(t, b, streamRequest())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
			g.Expect(sink.longest).To(gomega.Equal(asked + first))
			synctest.Wait()
			g.Expect(w.runs).To(gomega.HaveLen(2))
			g.Expect(w.runs[0].ended.Sub(sink.start)).To(gomega.Equal(50*eventInterval + asked + acceptanceTime))
		})
	}
}

// Guards against a stream that leaves a server for one that refuses it: the former one has
// resumed meanwhile.
func TestServerThatResumesKeepsItsStreamIfTheOtherRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		refusesLate := func(ctx context.Context, a *Attempt) (*Answer, error) {
			time.Sleep(acceptanceTime - time.Millisecond)
			return refuses(Busy)(ctx, a)
		}
		b := newTestbed(inOrder(pausing(500*time.Millisecond), refusesLate))
		sink, err := runStream(t, b, streamRequest())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
		g.Expect(sink.longest).To(gomega.BeNumerically("<", 450*time.Millisecond+acceptanceTime))
		g.Expect(b.backend.sent()).To(gomega.HaveLen(2))
	})
}

// A server is lost silently, and no other has room. The caller is cut off after
// silenceTimeout, not held until its deadline: it may come back for the rest.
func TestLostServerIsNotAwaitedUntilTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(inOrder(streams(50, eventInterval, errHang), refuses(Busy)))
		for id := range b.backend.scripts {
			b.backend.probes[id] = errHang
		}
		req := streamRequest()
		_, err := runStream(t, b, req)
		took := time.Since(req.Arrived)
		time.Sleep(time.Second) // probes may be in flight
		var failure *Failure
		g.Expect(errors.As(err, &failure)).To(gomega.BeTrue())
		g.Expect(failure.Ran).To(gomega.BeTrue())
		g.Expect(took).To(gomega.BeNumerically(">", 50*eventInterval+silenceTimeout))
		g.Expect(took).To(gomega.BeNumerically("<", 50*eventInterval+silenceTimeout+2*time.Second))
	})
}

// A started stream resumes on another server, which reads the prompt again for a second
// and a half; its probe answers are lost because the link of this VM is saturated.
// Guards against giving it up as lost, and the next three as well: the response was cut
// off though each of them was working on it.
func TestServerReadingThePromptAgainIsNotGivenUpForLostProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		reads := func(ctx context.Context, a *Attempt) (*Answer, error) {
			if err := sleep(ctx, 1500*time.Millisecond); err != nil {
				return nil, &BrokenError{Err: err}
			}
			return streams(130, eventInterval, nil)(ctx, a)
		}
		first := streams(50, eventInterval, io.ErrUnexpectedEOF)
		b := newTestbed(inOrder(first, refuses(Busy), reads, refuses(Busy)))
		for id := range b.backend.scripts {
			b.backend.probes[id] = errHang
		}
		sink, err := runStream(t, b, streamRequest())
		time.Sleep(time.Second) // probes may be in flight
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
	})
}

// randomScript plays each attempt at random: pauses of all lengths, breaks, refusals, late
// response heads.
type randomScript struct {
	mu   sync.Mutex
	rng  *rand.Rand
	last int // last event of a complete stream
}

func (c *randomScript) intN(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.IntN(n)
}

func (c *randomScript) play(ctx context.Context, a *Attempt) (*Answer, error) {
	if err := sleep(ctx, time.Duration(c.intN(900))*time.Millisecond); err != nil {
		return nil, &BrokenError{Err: err}
	}
	switch c.intN(6) {
	case 0:
		return nil, &NotRunError{Reason: Busy, Err: io.ErrClosedPipe}
	case 1:
		return nil, &BrokenError{Err: io.ErrUnexpectedEOF}
	}
	from := 0
	_, _ = fmt.Sscan(a.ResumeAfter, &from)
	breakAt := c.intN(3 * c.last)
	r, w := io.Pipe()
	go func() {
		for i := from + 1; i <= c.last; i++ {
			pause := eventInterval
			if c.intN(12) == 0 {
				pause = time.Duration(c.intN(3000)) * time.Millisecond
			}
			if err := sleep(ctx, pause); err != nil {
				_ = w.CloseWithError(err)
				return
			}
			if i == breakAt {
				_ = w.CloseWithError(io.ErrUnexpectedEOF)
				return
			}
			if _, err := fmt.Fprintf(w, "id: %d\ndata: x\n\n", i); err != nil {
				return
			}
		}
		_ = w.Close()
	}()
	return &Answer{Status: http.StatusOK, Header: http.Header{}, Body: r}, nil
}

// Servers pause, break off and refuse in any order, and attempts run beside each other.
// In every case the caller gets each event once and in order, a stream that ends
// without an error is complete, none is cut off while a server is working on it, and no
// two servers work on one stream for longer than maxTogether.
func TestAnyOrderOfPausesBreaksAndRefusals(t *testing.T) {
	complete := 0
	for seed := range uint64(400) {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			c := &randomScript{rng: rand.New(rand.NewPCG(seed, 1)), last: 40}
			w := &workLog{}
			b := newTestbed(everywhere(w.recorded(c.play)))
			for id := range b.backend.scripts {
				if c.intN(4) == 0 {
					b.backend.probes[id] = errHang
				}
			}
			sink, err := runStream(t, b, streamRequest())
			over := time.Now()
			time.Sleep(time.Minute) // everything that was started has ended
			g.Expect(sink.ids).To(gomega.Equal(consecutive(1, uint64(len(sink.ids)))), "seed %d", seed)
			g.Expect(sink.heads).To(gomega.BeNumerically("<=", 1))
			if err == nil {
				complete++
				g.Expect(sink.ids).To(gomega.HaveLen(c.last), "seed %d", seed)
			}
			var failure *Failure
			if errors.As(err, &failure) && !failure.TimedOut {
				g.Expect(w.serversWhere(func(r *workSpan) bool { return r.broke.IsZero() && !r.ended.Before(over) })).To(gomega.BeEmpty(), "seed %d: cut off while running", seed)
			}
			g.Expect(w.serversWhere(func(r *workSpan) bool { return r.ended.IsZero() })).To(gomega.BeEmpty(), "seed %d: still running", seed)
			g.Expect(w.together()).To(gomega.BeNumerically("<=", maxTogether), "seed %d", seed)
		})
	}
	gomega.NewWithT(t).Expect(complete).To(gomega.BeNumerically(">", 200), "seeds in which the stream was complete")
}
