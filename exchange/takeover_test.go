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

// works notes when servers work on a stream: from the head of an answer until
// the attempt is ended.
type works struct {
	mu   sync.Mutex
	runs []*workOn
}

type workOn struct {
	server string
	first  time.Time // its first event; zero: none
	broke  time.Time // the server ended it by itself; zero: it didn't
	ended  time.Time // the attempt was ended; zero: it is at work
}

// noted plays a script and notes its work.
func (w *works) noted(play script) script {
	return func(ctx context.Context, a *Attempt) (*Answer, error) {
		answer, err := play(ctx, a)
		if err != nil {
			return nil, err
		}
		run := &workOn{server: a.Server.ID}
		w.mu.Lock()
		w.runs = append(w.runs, run)
		w.mu.Unlock()
		context.AfterFunc(ctx, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			run.ended = time.Now()
		})
		answer.Body = &notingBody{Body: answer.Body, read: func(err error) {
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

type notingBody struct {
	Body
	read func(error)
}

// Read implements Body.
func (b *notingBody) Read(p []byte) (int, error) {
	n, err := b.Body.Read(p)
	b.read(err)
	return n, err
}

// which returns the servers of the runs that a test asks for.
func (w *works) which(is func(*workOn) bool) (servers []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, run := range w.runs {
		if is(run) {
			servers = append(servers, run.server)
		}
	}
	return servers
}

// overlap returns the longest time for which a server still worked after the
// first event of the one that was sent to next.
func (w *works) overlap() (longest time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, run := range w.runs[1:] {
		if former := w.runs[i]; !run.first.IsZero() {
			longest = max(longest, former.ended.Sub(run.first))
		}
	}
	return longest
}

// A server pauses for over a second in the middle of a draft, and another one
// holds a copy of its memory. The draft goes on there within the pause that
// callers allow, and the first server's work ends with the first event of the
// other: two that work on one draft would cost the second one's time for nothing.
func TestPausingServerIsLeftWhenAnotherHasTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		w := &works{}
		b := newBed(firstOf(w.noted(pausing(setAside)), w.noted(streams(130, beat, nil))))
		sink, err := runStream(t, b, streamRequest())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
		g.Expect(sink.longest).To(gomega.BeNumerically("<", 500*time.Millisecond))
		synctest.Wait()
		g.Expect(w.runs).To(gomega.HaveLen(2))
		g.Expect(w.overlap()).To(gomega.BeZero())
	})
}

// A server pauses, another one is asked to go on and takes a while, and the first
// one goes on by itself. The caller gets its events from there, none twice, and
// the other server's work ends at once.
func TestServerThatGoesOnKeepsItsStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		slow := func(ctx context.Context, a *Attempt) (*Answer, error) { return paced(130, 5*time.Second)(ctx, a) }
		w := &works{}
		b := newBed(firstOf(w.noted(pausing(setAside)), w.noted(slow)))
		sink, err := runStream(t, b, streamRequest())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
		synctest.Wait()
		g.Expect(w.runs).To(gomega.HaveLen(2))
		g.Expect(w.runs[1].ended.Sub(sink.start)).To(gomega.BeNumerically("~", 50*beat+setAside, 2*beat))
	})
}

// A server is gone without a word, and no other has room. The caller is cut off
// after silenceTimeout, not held until its time is up: it may come back for the rest.
func TestLostServerIsNotWaitedForToTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newBed(firstOf(streams(50, beat, errMute), refuses(Busy)))
		for id := range b.backend.scripts {
			b.backend.probes[id] = errMute
		}
		req := streamRequest()
		_, err := runStream(t, b, req)
		took := time.Since(req.Arrived)
		time.Sleep(time.Second) // questions may be open
		var failure *Failure
		g.Expect(errors.As(err, &failure)).To(gomega.BeTrue())
		g.Expect(failure.Ran).To(gomega.BeTrue())
		g.Expect(took).To(gomega.BeNumerically(">", 50*beat+silenceTimeout))
		g.Expect(took).To(gomega.BeNumerically("<", 50*beat+silenceTimeout+2*time.Second))
	})
}

// A stream that has begun goes on at another server, which reads the prompt again
// for a second and a half; its signs of life are lost, as the link of this VM is
// full. It was given up as lost, and so were the next three: the caller's answer
// was cut though each of them was at work.
func TestServerThatReadsThePromptAgainIsNotGivenUpForAMuteLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		reads := func(ctx context.Context, a *Attempt) (*Answer, error) {
			if err := sleep(ctx, 1500*time.Millisecond); err != nil {
				return nil, &BrokenError{Err: err}
			}
			return streams(130, beat, nil)(ctx, a)
		}
		first := streams(50, beat, io.ErrUnexpectedEOF)
		b := newBed(firstOf(first, refuses(Busy), reads, refuses(Busy)))
		for id := range b.backend.scripts {
			b.backend.probes[id] = errMute
		}
		sink, err := runStream(t, b, streamRequest())
		time.Sleep(time.Second) // questions may be open
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
	})
}

// chaotic plays one attempt by chance: pauses of all lengths, breaks, refusals,
// heads that come late.
type chaotic struct {
	mu   sync.Mutex
	rng  *rand.Rand
	last int // event of a whole stream
}

func (c *chaotic) chance(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.IntN(n)
}

func (c *chaotic) play(ctx context.Context, a *Attempt) (*Answer, error) {
	if err := sleep(ctx, time.Duration(c.chance(900))*time.Millisecond); err != nil {
		return nil, &BrokenError{Err: err}
	}
	switch c.chance(6) {
	case 0:
		return nil, &NotRunError{Reason: Busy, Err: io.ErrClosedPipe}
	case 1:
		return nil, &BrokenError{Err: io.ErrUnexpectedEOF}
	}
	from := 0
	_, _ = fmt.Sscan(a.After, &from)
	breakAt := c.chance(3 * c.last)
	r, w := io.Pipe()
	go func() {
		for i := from + 1; i <= c.last; i++ {
			pause := beat
			if c.chance(12) == 0 {
				pause = time.Duration(c.chance(3000)) * time.Millisecond
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

// Servers pause, break off and refuse in any order, and attempts run beside each
// other. Whatever happens, the caller gets each event once and in order, a stream
// that ends well is whole, none is cut while a server is at work on it, and no two
// servers go on working on one stream.
func TestAnyOrderOfPausesBreaksAndRefusals(t *testing.T) {
	whole := 0
	for seed := range uint64(400) {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			c := &chaotic{rng: rand.New(rand.NewPCG(seed, 1)), last: 40}
			w := &works{}
			b := newBed(everywhere(w.noted(c.play)))
			for id := range b.backend.scripts {
				if c.chance(4) == 0 {
					b.backend.probes[id] = errMute
				}
			}
			sink, err := runStream(t, b, streamRequest())
			over := time.Now()
			time.Sleep(time.Minute) // all that was begun has ended
			g.Expect(sink.ids).To(gomega.Equal(consecutive(1, uint64(len(sink.ids)))), "seed %d", seed)
			g.Expect(sink.begun).To(gomega.BeNumerically("<=", 1))
			if err == nil {
				whole++
				g.Expect(sink.ids).To(gomega.HaveLen(c.last), "seed %d", seed)
			}
			var failure *Failure
			if errors.As(err, &failure) && !failure.TimedOut {
				g.Expect(w.which(func(r *workOn) bool { return r.broke.IsZero() && !r.ended.Before(over) })).To(gomega.BeEmpty(), "seed %d: cut at work", seed)
			}
			g.Expect(w.which(func(r *workOn) bool { return r.ended.IsZero() })).To(gomega.BeEmpty(), "seed %d: still at work", seed)
		})
	}
	gomega.NewWithT(t).Expect(whole).To(gomega.BeNumerically(">", 200), "seeds in which the stream was whole")
}
