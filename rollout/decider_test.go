package rollout

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/site"
	"github.com/pearyard/pearyard/types"
)

// fakeStore keeps one record. It loses answers and carries out writes late, as the
// platform's store may.
type fakeStore struct {
	mu       sync.Mutex // guards the fields below
	saved    Saved
	away     bool
	lose     float64 // share of the writes that are carried out without an answer
	late     float64 // share of the writes that are carried out a second later, without an answer
	rng      *rand.Rand
	outcomes []Phase
	calls    int
}

var errAway = errors.New("no answer")

func newFakeStore(seed uint64) *fakeStore { return &fakeStore{rng: rand.New(rand.NewPCG(seed, 0))} }

func (s *fakeStore) clock() time.Duration { return time.Duration(time.Now().UnixNano()) }

func (s *fakeStore) Load(_ context.Context, service string) (Saved, error) {
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.away {
		return Saved{}, errAway
	}
	saved := s.saved
	saved.Service, saved.Now = service, s.clock()
	return saved, nil
}

func (s *fakeStore) Save(_ context.Context, r Record, old Saved) (Saved, error) {
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	switch {
	case s.away:
		return Saved{}, errAway
	case s.rng.Float64() < s.late:
		time.AfterFunc(time.Second, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			_, _ = s.writeLocked(r, old.Revision)
		})
		return Saved{}, errAway
	}
	saved, err := s.writeLocked(r, old.Revision)
	if err == nil && s.rng.Float64() < s.lose {
		return Saved{}, errAway
	}
	return saved, err
}

func (s *fakeStore) writeLocked(r Record, revision types.Position) (Saved, error) {
	if s.saved.Revision != revision {
		return Saved{}, ErrConflict
	}
	s.saved = Saved{Record: r, Revision: revision + 1, Now: s.clock()}
	if r.Phase.Final() {
		s.outcomes = append(s.outcomes, r.Phase)
	}
	return s.saved, nil
}

func (s *fakeStore) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

// written returns the outcomes in the order in which they were written.
func (s *fakeStore) written() []Phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.outcomes)
}

const testDuration = 20 * time.Second

// testConfig returns a configuration with one order.
func testConfig(position types.Position) *site.Versioned {
	config := site.New(1, nil, nil, nil, site.ClientLimits{})
	config.Rollouts = map[string]site.RolloutOrder{"s": {Service: "s", Version: "v2", Duration: testDuration, Position: position}}
	return &site.Versioned{Config: config, Position: position}
}

// testProcess is a process that may be a decider.
type testProcess struct {
	*Controller
	decider *Decider
	rank    atomic.Int64
}

// newTestProcess returns a process that has been running since before the order, with one
// server of each version.
func newTestProcess(store Store, rank int) *testProcess {
	d := directory.New()
	list := []directory.Listing{{ID: "old", Service: "s", Address: "10.0.0.1:1", Version: "v1"}}
	d.Apply(1, list, false, time.Now())
	recorder := event.NewRecorder(log.NewNopLogger(), 1)
	p := &testProcess{Controller: New(Options{Share: 0.1, Tolerance: 50, Size: func() int { return 1 }, Directory: d, Recorder: recorder})}
	p.rank.Store(int64(rank))
	p.ApplyConfig(&site.Versioned{Config: site.New(1, nil, nil, nil, site.ClientLimits{}), Position: 1})
	p.Assign("s", "first", true)
	p.ApplyConfig(testConfig(5))
	d.Apply(2, append(list, directory.Listing{ID: "new", Service: "s", Address: "10.0.0.2:1", Version: "v2"}), false, time.Now())
	p.decider = NewDecider(DeciderOptions{Controller: p.Controller, Store: store, Rank: func() int { return int(p.rank.Load()) }, Recorder: recorder})
	return p
}

func (p *testProcess) server(id string) *directory.Server {
	for _, s := range p.opts.Directory.View().Service("s") {
		if s.ID == id {
			return s
		}
	}
	return nil
}

// observe records answers of one version.
func (p *testProcess) observe(id string, answers, failed int) {
	a := p.Assign("s", "observed", true)
	for i := range answers {
		a.Observe("r", p.server(id), Observation{Ended: true, Failed: i < failed, First: 20 * time.Millisecond})
	}
}

// run runs processes until the end of the roll-out and a while longer.
func run(t *testing.T, processes ...*testProcess) {
	ctx, cancel := context.WithCancel(t.Context())
	for _, p := range processes {
		go func() { _ = p.decider.Run(ctx) }()
	}
	time.Sleep(testDuration + 5*time.Second)
	cancel()
	synctest.Wait()
}

// Two processes that both take themselves for deciders, and judge differently, must never
// write two outcomes, whatever answers are lost and writes are late; and both must end with
// the outcome that is in the store.
func TestDecidersWriteOneOutcome(t *testing.T) {
	for seed := range uint64(50) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				store := newFakeStore(seed)
				store.lose, store.late = 0.3, 0.2
				good, bad := newTestProcess(store, 0), newTestProcess(store, int(seed%2))
				good.observe("old", 200, 2)
				good.observe("new", 20, 0)
				bad.observe("old", 200, 2)
				bad.observe("new", 20, 9)
				run(t, good, bad)
				g.Expect(store.written()).To(gomega.HaveLen(1))
				for _, p := range []*testProcess{good, bad} {
					g.Expect(p.Orders()[0].Phase).To(gomega.Equal(store.written()[0]))
				}
			})
		})
	}
}

// The calls to the store must not grow with the length of a roll-out.
func TestRolloutNeedsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		store := newFakeStore(1)
		first, standby := newTestProcess(store, 0), newTestProcess(store, 1)
		for _, p := range []*testProcess{first, standby} {
			p.observe("old", 200, 2)
			p.observe("new", 20, 0)
		}
		run(t, first, standby)
		g.Expect(store.written()).To(gomega.Equal([]Phase{Completed}))
		store.mu.Lock()
		defer store.mu.Unlock()
		g.Expect(store.calls).To(gomega.BeNumerically("<=", 6))
	})
}

// The store is away when a version turns out bad: requests must stop at once, and the
// outcome must be written when the store is back.
func TestBadVersionStopsWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		store := newFakeStore(1)
		p := newTestProcess(store, 0)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = p.decider.Run(ctx) }()
		time.Sleep(time.Second)
		g.Expect(p.Orders()[0].Phase).To(gomega.Equal(Trial))
		store.setAway(true)
		p.observe("old", 200, 2)
		p.observe("new", 20, 9)
		time.Sleep(2 * decideInterval)
		g.Expect(p.Orders()[0].Phase).To(gomega.Equal(Stopped))
		for range 1000 {
			g.Expect(p.Assign("s", "later", true).AdmitsTrial()).To(gomega.BeNil())
		}
		store.setAway(false)
		time.Sleep(storeTimeout + storeRetryInterval)
		g.Expect(store.written()).To(gomega.Equal([]Phase{Reverted}))
		cancel()
		synctest.Wait()
	})
}

// A process that takes over as decider in the middle must keep the deadline of the order,
// not begin a new one.
func TestNewDeciderKeepsTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		store := newFakeStore(1)
		first, second := newTestProcess(store, 0), newTestProcess(store, -1)
		second.observe("old", 200, 2)
		second.observe("new", 20, 0)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = first.decider.Run(ctx) }()
		go func() { _ = second.decider.Run(ctx) }()
		time.Sleep(testDuration / 2)
		first.rank.Store(-1)
		second.rank.Store(0)
		time.Sleep(testDuration / 2)
		g.Expect(store.written()).To(gomega.Equal([]Phase{Completed}))
		cancel()
		synctest.Wait()
	})
}

// A process that no decider tells that the trial goes on must send nothing to the new
// version: it may have been found bad.
func TestUnconfirmedTrialGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		p := newTestProcess(newFakeStore(1), -1)
		chosen := func() int {
			n := 0
			for range 300 {
				if p.Assign("s", "r", true).AdmitsTrial() != nil {
					n++
				}
			}
			return n
		}
		g.Expect(chosen()).To(gomega.BeZero())
		p.SetPhase("s", 5, Trial, "decider", time.Now())
		g.Expect(chosen()).To(gomega.BeNumerically("~", 300*0.05*2, 5), "the tolerance comes with time")
		time.Sleep(testDuration / 2)
		p.SetPhase("s", 5, Trial, "decider", time.Now())
		g.Expect(chosen()).To(gomega.BeNumerically("~", 300*0.05+12, 5))
		time.Sleep(confirmationTTL)
		g.Expect(chosen()).To(gomega.BeZero())
	})
}

func TestVersionsThatMayRun(t *testing.T) {
	v1, v2, v3 := "v1", "v2", "v3"
	for name, c := range map[string]struct {
		Versions
		allowed, allowedOnTrial []string
	}{
		"before an order":                     {Versions{Established: []string{v1}, Listed: []string{v1}}, []string{v1}, nil},
		"a version that nobody ordered":       {Versions{Established: []string{v1}, Listed: []string{v1, v2}}, []string{v1}, nil},
		"after a start beside two versions":   {Versions{Established: []string{v1, v2}, Listed: []string{v1, v2}}, []string{v1, v2}, nil},
		"before a decider is heard":           {Versions{Established: []string{v1}, Listed: []string{v1, v2}, Ordered: v2}, []string{v1}, []string{v2}},
		"during a trial":                      {Versions{Established: []string{v1}, Listed: []string{v1, v2}, Ordered: v2, Phase: Trial}, []string{v1}, []string{v2}},
		"during a trial, started meanwhile":   {Versions{Established: []string{v1, v2}, Listed: []string{v1, v2}, Ordered: v2, Phase: Trial}, []string{v1}, []string{v2}},
		"during a trial, started beside v2":   {Versions{Established: []string{v2}, Listed: []string{v1, v2}, Ordered: v2, Phase: Trial}, []string{v1}, []string{v2}},
		"no other version left":               {Versions{Established: []string{v1}, Listed: []string{v2}, Ordered: v2, Phase: Trial}, []string{v2}, []string{v2}},
		"during a handover":                   {Versions{Established: []string{v1}, Listed: []string{v1, v2}, Ordered: v2, Phase: Handover}, []string{v1}, []string{v2}},
		"after a bad verdict":                 {Versions{Established: []string{v1}, Listed: []string{v1, v2}, Ordered: v2, Phase: Stopped}, []string{v1}, nil},
		"after a reversal":                    {Versions{Established: []string{v1}, Listed: []string{v1, v2}, Ordered: v2, Phase: Reverted}, []string{v1}, nil},
		"after a completion":                  {Versions{Established: []string{v2}, Listed: []string{v1, v2}, Ordered: v2, Phase: Completed}, []string{v2}, []string{v2}},
		"a second order overtakes the first":  {Versions{Established: []string{v1}, Listed: []string{v1, v2, v3}, Ordered: v3, Phase: Trial}, []string{v1}, []string{v3}},
		"a second order after a completion":   {Versions{Established: []string{v2}, Listed: []string{v1, v2, v3}, Ordered: v3, Phase: Trial}, []string{v2}, []string{v3}},
		"a bad version, and no other is left": {Versions{Established: []string{v1}, Listed: []string{v2}, Ordered: v2, Phase: Stopped}, nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var allowed, onTrial []string
			for _, version := range []string{v1, v2, v3} {
				if c.Allows(version, false) {
					allowed = append(allowed, version)
				}
				if c.Allows(version, true) {
					onTrial = append(onTrial, version)
				}
			}
			listed := func(versions []string) []string {
				var list []string
				for _, v := range versions {
					if c.listed(v) {
						list = append(list, v)
					}
				}
				return list
			}
			g.Expect(listed(allowed)).To(gomega.Equal(c.allowed))
			g.Expect(listed(onTrial)).To(gomega.Equal(c.allowedOnTrial))
		})
	}
}
