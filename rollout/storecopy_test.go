package rollout

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/site"
	"github.com/pearyard/pearyard/types"
)

// copy returns what the store holds.
func (s *fakeStore) copy() Saved {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.saved
}

// comeBack replaces what the store holds by a copy, in a new era.
func (s *fakeStore) comeBack(from Saved, processes ...*testProcess) {
	s.mu.Lock()
	s.saved = from
	if from.Revision != 0 {
		s.saved.Revision = types.NewPosition(1, from.Revision.Revision())
	}
	s.mu.Unlock()
	for _, p := range processes {
		p.decider.StoreReturned()
	}
}

// later is a position of the second era.
func later(revision uint64) types.Position { return types.NewPosition(1, revision) }

// play runs deciders for a while.
func play(t *testing.T, during func(), processes ...*testProcess) {
	ctx, cancel := context.WithCancel(t.Context())
	for _, p := range processes {
		go func() { _ = p.decider.Run(ctx) }()
	}
	during()
	cancel()
	synctest.Wait()
}

// Guards against a verdict that is undone since the store, back from a copy, lacks the order
// and its record: the operator writes the order again at another position, and the bad version
// would be tried again. The deciders write the record again, for processes that start later.
func TestVerdictOutlivesReturnFromCopy(t *testing.T) {
	for _, copied := range []string{"nothing", "the order", "the trial"} {
		t.Run(copied, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				store := newFakeStore(1)
				first, standby := newTestProcess(store, 0), newTestProcess(store, 1)
				from := store.copy()
				play(t, func() {
					time.Sleep(time.Second)
					if copied == "the trial" {
						from = store.copy()
					}
					first.observe("old", 200, 2)
					first.observe("new", 20, 9)
					time.Sleep(5 * time.Second)
					g.Expect(store.written()).To(gomega.Equal([]Phase{Reverted}))
					standby.SetPhase("s", 5, Reverted, "first", time.Now())
					store.comeBack(from, first, standby)
					for _, p := range []*testProcess{first, standby} {
						if copied == "nothing" {
							p.ApplyConfig(&site.Versioned{Config: site.New(1, nil, nil, nil, site.ClientLimits{}), Position: later(3)})
							g.Expect(p.Orders()).To(gomega.HaveLen(1))
							p.ApplyConfig(testConfig(later(9)))
						} else {
							p.ApplyConfig(testConfig(later(5)))
						}
					}
					for range 100 {
						time.Sleep(50 * time.Millisecond)
						for _, p := range []*testProcess{first, standby} {
							p.SetPhase("s", p.Orders()[0].Position, Trial, "decider that knows less", time.Now())
							g.Expect(p.Orders()[0].Phase).To(gomega.Or(gomega.Equal(Reverted), gomega.Equal(Stopped)))
						}
					}
				}, first, standby)
				g.Expect(store.copy().Phase).To(gomega.Equal(Reverted), "the record was written again")
				g.Expect(store.copy().Position).To(gomega.Equal(first.Orders()[0].Position))
			})
		})
	}
}

// Guards against a roll-out that begins anew, with another deadline, since the copy lacks its
// record.
func TestTrialGoesOnAfterReturnFromCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		store := newFakeStore(1)
		p := newTestProcess(store, 0)
		from := store.copy()
		p.observe("old", 200, 2)
		p.observe("new", 20, 0)
		play(t, func() {
			time.Sleep(testDuration / 2)
			store.comeBack(from, p)
			p.ApplyConfig(testConfig(later(9)))
			time.Sleep(testDuration/2 + time.Second)
		}, p)
		g.Expect(store.written()).To(gomega.Equal([]Phase{Completed}))
	})
}

// Guards against an order that is taken for the newest since the copy has it, and against one
// that asks for the same as an earlier one and is not carried out.
func TestOrdersAfterReturnFromCopy(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newTestProcess(newFakeStore(1), 0)
	p.SetPhase("s", 5, Reverted, "decider", time.Now())
	p.ApplyConfig(withOrder("v3", 8))
	p.ApplyConfig(withOrder("v2", later(5)))
	g.Expect(p.Orders()[0].Version).To(gomega.Equal("v3"), "v2 is the order before")
	p.ApplyConfig(withOrder("v3", later(9)))
	g.Expect(p.Orders()[0].Position).To(gomega.Equal(later(9)), "written again")
	p.ApplyConfig(withOrder("v2", later(11)))
	g.Expect(p.Orders()[0].Version).To(gomega.Equal("v2"), "a new order")
	g.Expect(p.Orders()[0].Phase).To(gomega.Equal(Unknown))
}

func withOrder(version string, position types.Position) *site.Versioned {
	v := testConfig(position)
	order := v.Config.Rollouts["s"]
	order.Version = version
	v.Config.Rollouts["s"] = order
	return v
}
