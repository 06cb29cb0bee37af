package exchange

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/directory"
)

// fakeEngine reads prompts one after the other; its events come slowly meanwhile.
type fakeEngine struct {
	mu    sync.Mutex
	speed float64   // prompt tokens per second
	free  time.Time // when all prompts are read
	reads int       // prompts received
}

// promptEventInterval is the time between two events while a prompt is read.
const promptEventInterval = 200 * time.Millisecond

// take queues a prompt and returns when it will have been read.
func (e *fakeEngine) take(tokens int) (readAt time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reads++
	now := time.Now()
	if e.free.Before(now) {
		e.free = now
	}
	e.free = e.free.Add(time.Duration(float64(tokens) / e.speed * float64(time.Second)))
	return e.free
}

// pace returns the time until a stream's next event.
func (e *fakeEngine) pace() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.free) {
		return promptEventInterval
	}
	return eventInterval
}

func (e *fakeEngine) set(speed float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.speed = speed
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// play serves one stream of 60 events.
func (e *fakeEngine) play(ctx context.Context, a *Attempt) (*Answer, error) {
	readAt := e.take(a.Request.PromptTokens)
	from := 0
	_, _ = fmt.Sscan(a.ResumeAfter, &from)
	r, w := io.Pipe()
	go func() {
		err := sleep(ctx, time.Until(readAt))
		for i := from + 1; i <= 60 && err == nil; i++ {
			if err = sleep(ctx, e.pace()); err == nil {
				_, err = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
			}
		}
		_ = w.CloseWithError(err)
	}()
	return &Answer{Status: http.StatusOK, Header: http.Header{}, Body: r}, nil
}

// newEngineTestbed returns a testbed with four engines of the given speed.
func newEngineTestbed(speed float64) (*testbed, map[string]*fakeEngine) {
	engines, scripts := map[string]*fakeEngine{}, map[string][]script{}
	for _, id := range []string{"a1", "a2", "b1", "b2"} {
		engines[id] = &fakeEngine{speed: speed}
		scripts[id] = []script{engines[id].play}
	}
	return newTestbed(scripts), engines
}

// reads returns how many prompts the engines have been sent.
func reads(engines map[string]*fakeEngine) (sum int) {
	for _, e := range engines {
		e.mu.Lock()
		sum += e.reads
		e.mu.Unlock()
	}
	return sum
}

// ending is how a stream ended.
type ending struct {
	startedAt, took time.Duration
	failure         *Failure
}

// arrive sends streams at an interval and returns how each ended, in order of arrival.
func arrive(t *testing.T, b *testbed, count int, every time.Duration) []ending {
	t.Helper()
	start, out := time.Now(), make([]ending, count)
	var wg sync.WaitGroup
	for i := range out {
		wg.Go(func() {
			req := streamRequest()
			out[i].startedAt = req.Arrived.Sub(start)
			_, err := b.Stream(t.Context(), req, &recordingSink{start: time.Now()})
			out[i].took = time.Since(req.Arrived)
			_ = errors.As(err, &out[i].failure)
		})
		time.Sleep(every)
	}
	wg.Wait()
	return out
}

func count(all []ending, is func(ending) bool) (n int) {
	for _, o := range all {
		if is(o) {
			n++
		}
	}
	return n
}

func served(o ending) bool  { return o.failure == nil }
func refused(o ending) bool { return o.failure != nil && !o.failure.Ran && !o.failure.TimedOut }
func late(o ending) bool    { return o.failure != nil && o.failure.TimedOut }

// Engines read a prompt in four seconds, and fifty streams are requested at once where
// about twenty can be complete in time. Guards against queueing the others until their
// deadlines pass, which delays those that could be served. They are told at once that
// they have not run, and when to come back.
func TestStreamsThatNoServerCanFinishAreRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b, engines := newEngineTestbed(2000)
		arrive(t, b, 8, 10*time.Second) // the engines' speed is known from then on
		before := reads(engines)
		burst := arrive(t, b, 50, time.Millisecond)
		g.Expect(count(burst, served)).To(gomega.BeNumerically(">=", 16))
		g.Expect(count(burst, refused)).To(gomega.BeNumerically(">=", 25))
		g.Expect(count(burst, late)).To(gomega.BeNumerically("<=", 9))
		g.Expect(reads(engines) - before).To(gomega.Equal(50 - count(burst, refused)))
		for _, o := range burst {
			if refused(o) {
				g.Expect(o.took).To(gomega.BeNumerically("<", 10*time.Millisecond))
				g.Expect(o.failure.RetryAfter).To(gomega.BeNumerically(">=", retryAfter))
			}
		}
	})
}

// An engine breaks off a stream four seconds before its deadline. Reading the prompt
// again takes eight, and would cost another engine the time of a stream that can be
// served. The caller must be told at once.
func TestPromptThatWouldBeLateIsNotSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b, engines := newEngineTestbed(1000)
		arrive(t, b, 4, 20*time.Second)
		before := reads(engines)
		broken := func(ctx context.Context, a *Attempt) (*Answer, error) {
			engines[a.Server.ID].take(a.Request.PromptTokens)
			return paced(3, 7*time.Second)(ctx, a)
		}
		for id := range b.backend.scripts {
			b.backend.scripts[id] = []script{func(ctx context.Context, a *Attempt) (*Answer, error) {
				_ = sleep(ctx, 21*time.Second)
				_, _ = broken(ctx, a)
				return nil, &BrokenError{Err: io.ErrUnexpectedEOF}
			}}
		}
		all := arrive(t, b, 1, 0)
		g.Expect(reads(engines)-before).To(gomega.Equal(1), "sent once")
		g.Expect(all[0].failure.Ran).To(gomega.BeTrue())
		g.Expect(all[0].took).To(gomega.BeNumerically("<", 22*time.Second))
	})
}

// A process has just started, and engines are too slow for any stream to be complete,
// so that no length is ever measured. The progress of the unfinished ones must count at
// least.
func TestLengthIsEstimatedFromUnfinishedStreams(t *testing.T) {
	g := gomega.NewWithT(t)
	p := &pace{}
	for i := range 50 {
		p.observeProgress(uint64(i+1), 600)
	}
	g.Expect(p.expectedEvents(600)).To(gomega.BeNumerically("~", 50, 0.1))
	p.observeLength(130, 600)
	g.Expect(p.expectedEvents(600)).To(gomega.BeNumerically("~", 130*shortLengthShare, 0.1))
}

// A process that has just started and has measured nothing refuses nothing.
func TestWithoutMeasurementsNothingIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b, _ := newEngineTestbed(2000)
		all := arrive(t, b, 50, time.Millisecond)
		g.Expect(count(all, refused)).To(gomega.BeZero())
	})
}

// Engines become so slow that no stream can be complete in time, and recover a minute
// later. If every request were refused meanwhile, nobody would notice. One every two
// seconds is sent as a trial, and streams are served again seconds after the recovery.
func TestRecoveryIsNoticedWithinSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b, engines := newEngineTestbed(8000)
		arrive(t, b, 8, 10*time.Second)
		for _, e := range engines {
			e.set(200)
		}
		slow := arrive(t, b, 120, 500*time.Millisecond)
		g.Expect(count(slow[60:], refused)).To(gomega.BeNumerically(">=", 40))
		for _, e := range engines {
			e.set(8000)
			e.free = time.Now()
		}
		again := arrive(t, b, 60, 500*time.Millisecond)
		g.Expect(count(again[20:], served)).To(gomega.BeNumerically(">=", 38), "ten seconds later all is served")
	})
}

// As above, but one engine has been measured to be fast again and the others are idle.
// Guards against sending every stream to that one and refusing the rest, because the
// others keep the speed of their slow phase for good.
func TestIdleServersAreMeasuredAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b, engines := newEngineTestbed(8000)
		arrive(t, b, 8, 10*time.Second)
		for _, s := range b.dir.View().Service("s") {
			if s.ID != "a1" {
				for range 20 {
					load := s.BeginStream(8000)
					time.Sleep(40 * time.Second)
					load.PromptPrefilled()
					load.End()
				}
			}
		}
		time.Sleep(20 * time.Second)
		before := engines["a1"].reads
		all := arrive(t, b, 60, 500*time.Millisecond)
		g.Expect(count(all, refused)).To(gomega.BeZero())
		g.Expect(engines["a1"].reads - before).To(gomega.BeNumerically("<", 40))
	})
}

// Requests arrive at one and a half times the rate that the engines can serve, for
// three minutes. As many must be served in each half minute: admission must not
// oscillate between all and nothing.
func TestAdmissionIsSteady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b, _ := newEngineTestbed(2000)
		arrive(t, b, 8, 10*time.Second)
		all := arrive(t, b, 270, 666*time.Millisecond)
		perSpan := make([]int, 6)
		for _, o := range all {
			if served(o) {
				perSpan[min(5, int(o.startedAt/(30*time.Second)))]++
			}
		}
		g.Expect(count(all, late)).To(gomega.BeNumerically("<=", 60), "%v", perSpan)
		for _, n := range perSpan[1:] {
			g.Expect(n).To(gomega.BeNumerically(">=", 15), "%v", perSpan)
		}
	})
}

// Guards against estimating a slow server by the pace of faster ones: streams would be
// sent to it none of which can end in time.
func TestEstimateUsesTheServersOwnPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(everywhere(paced(130, eventInterval)))
		servers := b.dir.View().Service("s")
		for i, seconds := range []time.Duration{1, 1, 1, 3} {
			prompt := servers[i].BeginStream(8000)
			time.Sleep(seconds * time.Second)
			prompt.PromptPrefilled()
			prompt.End()
		}
		p := b.paceFor("s")
		for range 1000 {
			p.observePause(eventInterval)
		}
		p.observeLength(130, 600)
		b.dir.Pick(directory.Query{Service: "s", Prompt: 8000}, time.Now())
		s := &stream{e: b.Exchange, req: streamRequest()}
		fast, _ := s.estimate(servers[0], time.Now())
		slow, _ := s.estimate(servers[3], time.Now())
		g.Expect(slow.first).To(gomega.BeNumerically("~", 3*fast.first, fast.first/20))
		g.Expect(slow.end).To(gomega.BeNumerically("~", 3*fast.end, fast.end/3), "the utilization of the slow one is higher, too")
	})
}

// Guards against a stream's estimate that is too short behind little work on a disturbed
// machine, and against one that takes a moment's disturbance for all of a long prompt's time.
func TestEstimateOfFirstEventOnADisturbedMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(nil, "a1")
		server := b.dir.View().Service("s")[0]
		prompt := server.BeginStream(8000)
		time.Sleep(time.Second)
		prompt.PromptPrefilled()
		prompt.End()
		first := func(tokens int) float64 {
			s := &stream{e: b.Exchange, req: &Request{Service: "s", PromptTokens: tokens}}
			est, measured := s.estimate(server, time.Now())
			g.Expect(measured).To(gomega.BeTrue())
			return est.first.Seconds()
		}
		for range 20 {
			server.RecordDisturbance(directory.UsualDisturbance, time.Now())
			time.Sleep(time.Second)
		}
		short, long := first(80), first(80_000)
		server.RecordDisturbance(300, time.Now())
		g.Expect(first(80) / short).To(gomega.BeNumerically(">", 2.5))
		g.Expect(first(80_000) / long).To(gomega.BeNumerically("<", 1.1))
		time.Sleep(5 * time.Second)
		g.Expect(first(80) / short).To(gomega.BeNumerically("~", 1, 0.05))
	})
}
