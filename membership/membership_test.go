package membership

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/backing"
	"github.com/pearyard/pearyard/types"
)

// inVirtualTime runs scenario in virtual time and stops all members after it.
func inVirtualTime(t *testing.T, scenario func(g *gomega.WithT, n *network)) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		defer n.stop()
		scenario(gomega.NewWithT(t), n)
	})
}

// Guards against requests to a VM that has died. No process is left there to
// announce the death, so the other members must learn of it within seconds from
// failed probes alone.
func TestDeathIsKnownToAll(t *testing.T) {
	inVirtualTime(t, func(g *gomega.WithT, n *network) {
		nodes := n.startAll(20)
		nodes[7].kill()
		excluded := n.within(5*time.Second, "gets no new work", func() bool {
			for i, nd := range nodes {
				if m, _ := nd.Snapshot().ByID("m8"); i != 7 && m.State == StateAlive {
					return false
				}
			}
			return true
		})
		took := n.within(8*time.Second, "death known", func() bool { return allSee(nodes, nodes[7], StateDead) })
		t.Logf("no new work after %s, known to all after %s", excluded, excluded+took)
		g.Expect(nodes[0].countEvents(eventDead)).To(gomega.Equal(1))
	})
}

// Guards against a rack loss being mistaken for a local fault: when 8 of 24 VMs
// die at once, a third of all probes fail, and requests would keep going to dead
// backend servers. No live member may stay suspected either.
func TestRackLoss(t *testing.T) {
	inVirtualTime(t, func(g *gomega.WithT, n *network) {
		nodes := n.startAll(24)
		for _, nd := range nodes[:8] {
			nd.kill()
		}
		alive := func() bool {
			for _, nd := range nodes[8:] {
				if len(nd.Snapshot().Alive(types.RoleSidecar)) != 16 {
					return false
				}
			}
			return true
		}
		took := n.within(20*time.Second, "no new work to the rack", alive)
		t.Logf("no new work to the rack after %s", took)
		time.Sleep(time.Minute)
		g.Expect(alive()).To(gomega.BeTrue())
		for _, nd := range nodes[:8] {
			g.Expect(allSee(nodes[8:], nd, StateDead)).To(gomega.BeTrue())
		}
	})
}

// Guards against a leaving sidecar that returns to service. It is frozen and
// suspected while it shuts down, and its refutation ("alive") must not revert
// leaving, or it would get new work.
func TestLeavingIsSticky(t *testing.T) {
	inVirtualTime(t, func(g *gomega.WithT, n *network) {
		nodes := n.startAll(12)
		leaver := nodes[5]
		g.Expect(leaver.Leave(n.t.Context())).To(gomega.Succeed())
		took := n.within(2*time.Second, "leaving known", func() bool { return allSee(nodes, leaver, StateLeaving) })
		t.Logf("known to all after %s", took)
		leaver.freeze()
		n.within(10*time.Second, "death known", func() bool { return allSee(nodes, leaver, StateDead) })
		leaver.thaw()
		n.within(10*time.Second, "still leaving", func() bool { return allSee(nodes, leaver, StateLeaving) })
		g.Expect(leaver.Snapshot().Self().State).To(gomega.Equal(StateLeaving))
		time.Sleep(time.Minute)
		g.Expect(allSee(nodes, leaver, StateLeaving)).To(gomega.BeTrue())
	})
}

// Guards against a late "alive" record, sent before the sidecar began to leave and
// with a higher counter, that reverts leaving: a router would send new work to a
// backend server that is shutting down. Only a later incarnation may count as
// alive.
func TestLateAliveAfterLeaving(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	tab := newTable(record{ID: "self", Address: "s:1", Incarnation: 1}, time.Second, now)
	run := record{ID: "m", Role: types.RoleSidecar, Address: "m:1", Incarnation: 5}
	leaving, late, later := run, run, run
	leaving.Leaving = true
	late.Counter = 3
	later.Incarnation = 6
	for _, r := range []record{run, leaving, late} {
		tab.apply(now, r)
	}
	g.Expect(tab.entries["m"].state()).To(gomega.Equal(StateLeaving))
	tab.apply(now, later)
	tab.apply(now, leaving)
	g.Expect(tab.entries["m"].state()).To(gomega.Equal(StateAlive))
}

// Guards against a thawed VM that suspects everyone: its timers fire at once and
// all its pending probes look failed, which would take all backend servers out of
// use for seconds. It must return by one refutation, without suspecting others and
// without a surge of messages.
func TestFreezeAndThaw(t *testing.T) {
	inVirtualTime(t, func(g *gomega.WithT, n *network) {
		nodes := n.startAll(16)
		frozen := nodes[3]
		frozen.freeze()
		n.within(8*time.Second, "death known", func() bool { return allSee(nodes, frozen, StateDead) })
		time.Sleep(30 * time.Second)
		before := n.callCount()
		frozen.thaw()
		took := n.within(4*time.Second, "back", func() bool { return allSee(nodes, frozen, StateAlive) })
		time.Sleep(10*time.Second - took)
		perSecond := float64(n.callCount()-before) / 10 / 16
		t.Logf("back after %s, %.1f messages a second and member in 10 s", took, perSecond)
		g.Expect(perSecond).To(gomega.BeNumerically("<", 6), "each call counts twice; the idle rate is 2")
		for _, nd := range nodes {
			g.Expect(nd.countEvents(eventSelfAccused) == 0 || nd == frozen).To(gomega.BeTrue(), "%s was suspected", nd.addr)
		}
		g.Expect(frozen.countEvents(eventFrozen)).To(gomega.Equal(1))
	})
}

// Guards against a partition whose smaller side (4 of 16 VMs) declares the larger
// side dead: after it heals, the whole site would be out of use until each member
// had refuted that. The smaller side may only suspect.
func TestPartitionHeals(t *testing.T) {
	inVirtualTime(t, func(g *gomega.WithT, n *network) {
		nodes := n.startAll(16)
		small, large := nodes[:4], nodes[4:]
		n.partition(small, large, true)
		n.within(30*time.Second, "larger side knows", func() bool {
			for _, nd := range small {
				if !allSee(large, nd, StateDead) {
					return false
				}
			}
			return true
		})
		time.Sleep(2 * time.Minute)
		dead := 0
		for _, m := range small[0].Snapshot().Members {
			if m.State == StateDead {
				dead++
			}
		}
		t.Logf("the smaller side considers %d members dead", dead)
		g.Expect(dead).To(gomega.BeNumerically("<=", 4), "of 12: those declared dead before the partition was detected")
		n.partition(small, large, false)
		took := n.within(15*time.Second, "partition healed", func() bool {
			for _, nd := range nodes {
				if !allSee(nodes, nd, StateAlive) {
					return false
				}
			}
			return true
		})
		t.Logf("healed after %s", took)
	})
}

// Guards against a replaced VM that seems alive forever because its replacement,
// with another process ID, answers probes at the same address; work for the old
// member would reach the new one. The later incarnation must take over the
// address.
func TestReplacedUnderSameAddress(t *testing.T) {
	inVirtualTime(t, func(g *gomega.WithT, n *network) {
		nodes := n.startAll(8)
		old := nodes[6]
		old.kill()
		replacement := n.start(7, 100, func(o *Options) { o.Self.ID = "m7-replacement" })
		others := append(append([]*node{}, nodes[:6]...), nodes[7])
		n.within(4*time.Second, "replacement known", func() bool {
			return allSee(others, old, StateDead) && allSee(others, replacement, StateAlive)
		})
		m, _ := nodes[0].Snapshot().ByAddress(old.addr)
		g.Expect(m.ID).To(gomega.Equal(types.ProcessID("m7-replacement")))
		// A restart at the same address: same ID, later incarnation.
		replacement.kill()
		again := n.start(7, 200, func(o *Options) { o.Self.ID = "m7-replacement" })
		n.within(4*time.Second, "restart known", func() bool {
			for _, nd := range others {
				if m, _ := nd.Snapshot().ByID("m7-replacement"); m.Incarnation != 200 || m.State != StateAlive {
					return false
				}
			}
			return true
		})
		g.Expect(again.Snapshot().Self().Incarnation).To(gomega.Equal(types.Incarnation(200)))
	})
}

// Guards against two faults of the VM list. It is unavailable for an hour: no
// member may vanish. Then it lags and shows a replaced VM as leaving at the
// address of its replacement: the new member must not be marked as leaving.
func TestVMListDownAndLagging(t *testing.T) {
	inVirtualTime(t, func(g *gomega.WithT, n *network) {
		list := &vmList{}
		vm := func(id string, i int, leaving bool) backing.VM {
			return backing.VM{ID: id, Address: address(i), Leaving: leaving}
		}
		list.set(false, vm("v1", 1, false), vm("v2", 2, false), vm("v3", 3, false))
		// There are no seeds: all candidates come from the VM list.
		nodes := n.startAll(4, func(o *Options) { o.VMList = list; o.Seeds = nil; o.Period = 2 * time.Second })
		time.Sleep(time.Minute)
		list.set(true)
		time.Sleep(time.Hour)
		for _, nd := range nodes {
			g.Expect(nd.Snapshot().Alive(types.RoleSidecar)).To(gomega.HaveLen(4))
		}
		g.Expect(nodes[0].countEvents(eventVMListDown)).To(gomega.Equal(1))

		nodes[2].kill()
		replacement := n.start(3, 500, func(o *Options) { o.VMList = list; o.Seeds = nil })
		list.set(false, vm("v1", 1, false), vm("v2", 2, true), vm("v3", 3, true))
		n.within(20*time.Second, "v2 leaving", func() bool { return allSee(nodes[:2], nodes[1], StateLeaving) })
		list.set(false, vm("v1", 1, false), vm("v2", 2, true), vm("v3-new", 3, false))
		time.Sleep(time.Minute)
		g.Expect(allSee(nodes[:2], replacement, StateAlive)).To(gomega.BeTrue())
	})
}

// Guards against repeated suspicion of a healthy backend server that one VM cannot
// reach while all others can; each suspicion takes it out of use for a moment.
// Indirect probes must prevent it.
func TestAsymmetricCut(t *testing.T) {
	inVirtualTime(t, func(g *gomega.WithT, n *network) {
		nodes := n.startAll(8)
		n.cut(nodes[1], nodes[4], true)
		time.Sleep(2 * time.Minute)
		g.Expect(nodes[4].countEvents(eventSelfAccused)).To(gomega.BeZero())
		g.Expect(allSee(nodes, nodes[4], StateAlive)).To(gomega.BeTrue())
	})
}

// Guards against a router that treats a sidecar as suspect because of failed
// probes while responses of that sidecar still arrive on other connections.
func TestLiveAnswerClearsSuspicion(t *testing.T) {
	inVirtualTime(t, func(g *gomega.WithT, n *network) {
		nodes := n.startAll(3)
		for _, other := range []int{0, 2} {
			n.cut(nodes[other], nodes[1], true)
			n.cut(nodes[1], nodes[other], true)
		}
		n.within(10*time.Second, "suspect", func() bool {
			return allSee(nodes[:1], nodes[1], StateSuspect) || allSee(nodes[:1], nodes[1], StateAlive) && nodes[0].countEvents(eventSuspect) > 0
		})
		nodes[0].Observe(Member{ID: "m2", Role: types.RoleSidecar, Address: address(2), Incarnation: 2, State: StateAlive})
		n.within(100*time.Millisecond, "cleared", func() bool { return allSee(nodes[:1], nodes[1], StateAlive) })
	})
}

// A configuration accepted by one router must be announced to every process within
// seconds, with the address to fetch it from.
func TestRevisionSpreads(t *testing.T) {
	inVirtualTime(t, func(g *gomega.WithT, n *network) {
		const size = 24
		var revisions [size]atomic.Uint64
		i := 0
		nodes := n.startAll(size, func(o *Options) {
			own := &revisions[i]
			i++
			o.Revision = func() types.Revision { return types.Revision(own.Load()) }
			o.OnRevision = func(_ string, rev types.Revision) { own.Store(uint64(rev)) }
		})
		revisions[9].Store(5)
		nodes[9].AnnounceRevision()
		took := n.within(3*time.Second, "revision everywhere", func() bool {
			for i := range revisions {
				if revisions[i].Load() != 5 {
					return false
				}
			}
			return true
		})
		t.Logf("everywhere after %s", took)
		g.Expect(nodes[9].Snapshot().Self().Revision).To(gomega.Equal(types.Revision(5)))
	})
}

// Guards against an unnoticed restart with the clock set back: the new incarnation
// is lower than the known one, so the others keep addressing the old run. The
// operator has to be told, since only the clock can be corrected.
func TestIncarnationBehind(t *testing.T) {
	inVirtualTime(t, func(g *gomega.WithT, n *network) {
		nodes := n.startAll(4)
		nodes[3].kill()
		restarted := n.start(4, 2)
		n.within(5*time.Second, "event reported", func() bool { return restarted.countEvents(eventIncarnationBehind) == 1 })
	})
}

func TestBadOptions(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := New(Options{Self: Member{ID: "a", Incarnation: 1, Address: "1.2.3.4"}, HTTPClient: http.DefaultClient})
	g.Expect(err).To(gomega.MatchError(ErrBadOptions))
}

// A process without other members must shut down without waiting.
func TestLeaveAlone(t *testing.T) {
	inVirtualTime(t, func(g *gomega.WithT, n *network) {
		nd := n.start(1, 1)
		ctx, cancel := context.WithTimeout(n.t.Context(), time.Second)
		defer cancel()
		g.Expect(nd.Leave(ctx)).To(gomega.Succeed())
	})
}
