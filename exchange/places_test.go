package exchange

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/site"
)

// playPlaces plays a load on VMs that share the places of servers.
func playPlaces(t *testing.T, vms, servers int, play func(g *gomega.WithT, m *placeSite)) {
	synctest.Test(t, func(t *testing.T) {
		m := newPlaceSite(t, true, vms, servers)
		defer m.close()
		play(gomega.NewWithT(t), m)
	})
}

// thirtyVMs returns how many calls go in all if each of thirty VMs decides for its own.
func thirtyVMs(d placeDemand) int {
	going := 0
	for range fewVMs {
		going += d.going(rand.Float64)
	}
	return going
}

func TestGoing(t *testing.T) {
	g := gomega.NewWithT(t)
	all, none := func() float64 { return 0 }, func() float64 { return 1 }
	g.Expect(placeDemand{free: 6, waiting: 2}.going(none)).To(gomega.Equal(2), "nobody else waits")
	g.Expect(placeDemand{free: 1, waiting: 3, peersWaiting: 87}.going(all)).To(gomega.Equal(1), "no more than there are places")
	g.Expect(placeDemand{free: 1, waiting: 3, peersWaiting: 87}.going(none)).To(gomega.BeZero())
	g.Expect(placeDemand{free: 2, released: 1, waiting: 3, peersWaiting: 87}.going(none)).To(gomega.Equal(1), "its own call has left a place")
	g.Expect(placeDemand{free: 0, released: 2, waiting: 3}.going(all)).To(gomega.BeZero(), "others have taken it")
	g.Expect(placeDemand{free: 6}.going(all)).To(gomega.BeZero())
}

// Thirty VMs with three waiting calls each see that one server has become free: on average as
// many calls go there as it takes.
func TestThirtyVMsAndOneFreeServer(t *testing.T) {
	g := gomega.NewWithT(t)
	const rounds = 200
	sum := 0
	for range rounds {
		n := thirtyVMs(placeDemand{free: fewPlaces + 2, waiting: 3, peersWaiting: 87})
		g.Expect(n).To(gomega.BeNumerically("<=", fewPlaces+fewQueue), "the server would shed calls")
		sum += n
	}
	g.Expect(float64(sum) / rounds).To(gomega.BeNumerically("~", fewPlaces+2, 1))
}

// The same with calls: two servers stay full and the third becomes free, with ninety calls
// waiting. It gets what it has places and spare places for, and a few more in the time in which
// the VMs don't know of each other's calls.
func TestServerThatBecomesFreeIsNotFlooded(t *testing.T) {
	playPlaces(t, fewVMs, 3, func(g *gomega.WithT, m *placeSite) {
		for _, s := range m.servers {
			s.set(20, false)
		}
		for i := range 24 {
			m.call(m.vms[i], fmt.Sprint("c", i), site.AtMostOnce, 0)
			time.Sleep(3 * time.Millisecond)
		}
		time.Sleep(65 * time.Millisecond) // until all VMs know
		for i := range 2 * fewVMs {
			m.call(m.vms[i%fewVMs], fmt.Sprint("d", i), site.AtMostOnce, 0)
			time.Sleep(500 * time.Microsecond)
		}
		g.Expect(m.vms[0].dir.Places(directory.Query{Service: "s"}, time.Now()).PeersWaiting).To(gomega.BeNumerically(">=", fewPlaces))
		s := m.servers["s0"]
		s.mu.Lock()
		s.slowness = 1
		s.mu.Unlock()
		s.free()
		time.Sleep(25 * time.Millisecond)
		s.mu.Lock()
		queued := len(s.queue)
		s.mu.Unlock()
		g.Expect(queued).To(gomega.BeNumerically("<=", fewQueue/2))
		r := m.result(time.Time{})
		g.Expect(r.shed).To(gomega.BeZero())
	})
}

func TestLateCalls(t *testing.T) {
	usual := 30 * time.Millisecond
	full := func(ahead int) directory.Places {
		return directory.Places{Servers: 3, Total: 18, Ahead: ahead, AheadPlaces: 6, UsualTime: usual}
	}
	waiting := func(peers int) directory.Places {
		p := full(8)
		p.PeersWaiting = peers
		return p
	}
	for name, c := range map[string]struct {
		is   lateCall
		want bool
	}{
		"the server's queue serves it":                    {lateCall{places: full(12), left: time.Second}, true},
		"it would delay a call that may still be in time": {lateCall{places: full(8), inTime: 1, left: time.Second}, false},
		"few wait at peers":                               {lateCall{places: waiting(20), left: time.Second}, true},
		"those that wait at peers would be late":          {lateCall{places: waiting(50), left: time.Second}, false},
		"the queue is too long":                           {lateCall{places: full(25), left: time.Second}, false},
		"it would end after its deadline":                 {lateCall{places: full(12), left: 50 * time.Millisecond}, false},
		"there is no server":                              {lateCall{left: time.Second}, false},
	} {
		t.Run(name, func(t *testing.T) {
			c.is.objective = fewObjective
			gomega.NewWithT(t).Expect(c.is.maySend()).To(gomega.Equal(c.want))
		})
	}
}

// A burst of three times the usual load for a second: as many calls as there are places are
// answered in time, the others are refused at once, and servers shed next to none. Guards
// against queues at servers in which all calls wait until they are late.
func TestBurstOfThreeTimes(t *testing.T) {
	playPlaces(t, fewVMs, 3, func(g *gomega.WithT, m *placeSite) {
		m.load("c", fewLoad, time.Second)
		begun := time.Now()
		m.load("b", 3*fewLoad, time.Second)
		r := m.result(begun)
		g.Expect(r.inTime).To(gomega.BeNumerically(">=", 0.55), "%+v", r) // the places suffice for 0.7
		g.Expect(r.late).To(gomega.BeNumerically("<=", 0.1), "%+v", r)
		g.Expect(r.failed).To(gomega.BeZero(), "%+v", r)
		g.Expect(r.shed).To(gomega.BeNumerically("<=", 20), "%+v", r)
		for _, o := range m.outcomes {
			if o.err != nil {
				g.Expect(o.took).To(gomega.BeNumerically("<=", fewObjective), "refused at once: %+v", o)
				g.Expect(o.retryIn).To(gomega.And(gomega.BeNumerically(">=", minPlaceRetry), gomega.BeNumerically("<=", 2*maxPlaceRetry)))
			}
		}
	})
}

// All places are taken for 200 ms, as when a machine is stopped for a moment. Most calls of
// that time wait at their VMs and are answered.
func TestAllPlacesTakenFor200ms(t *testing.T) {
	playPlaces(t, fewVMs, 3, func(g *gomega.WithT, m *placeSite) {
		m.load("c", fewLoad, time.Second)
		for _, s := range m.servers {
			s.set(10, false)
		}
		begun := time.Now()
		m.load("d", fewLoad, 200*time.Millisecond)
		for _, s := range m.servers {
			s.set(1, false)
			s.free()
		}
		m.load("e", fewLoad, time.Second)
		r := m.result(begun)
		g.Expect(r.refused).To(gomega.BeNumerically("<=", 0.15), "%+v", r)
		g.Expect(r.failed).To(gomega.BeZero())
		g.Expect(r.shed).To(gomega.BeNumerically("<=", 10))
		late := 0
		for _, o := range m.outcomes {
			if o.at.After(begun.Add(500*time.Millisecond)) && (o.err != nil || o.took > fewObjective) {
				late++
			}
		}
		g.Expect(late).To(gomega.BeNumerically("<=", 10), "after the servers have caught up")
	})
}

// One of three servers accepts calls and answers none. All VMs find it after the first few
// calls; from then on it gets single trials, by calls that may be repeated. Guards against a
// VM that finds it alone and forgets it after seconds.
func TestHangingServerOfThree(t *testing.T) {
	playPlaces(t, fewVMs, 3, func(g *gomega.WithT, m *placeSite) {
		m.load("c", fewLoad, time.Second)
		s := m.servers["s0"]
		s.set(1, true)
		begun := time.Now()
		m.load("d", fewLoad, 800*time.Millisecond)
		first := s.count()
		for _, vm := range m.vms {
			vm.dir.Places(directory.Query{Service: "s"}, time.Now()) // as before a choice
			g.Expect(vm.dir.HangingServers()).To(gomega.Equal(1))
		}
		m.load("e", fewLoad, 5*time.Second)
		g.Expect(s.count()-first).To(gomega.BeNumerically("<=", 15), "three trials a second")
		r := m.result(begun.Add(800 * time.Millisecond))
		g.Expect(r.inTime).To(gomega.BeNumerically(">=", 0.97), "%+v", r)
		g.Expect(r.failed).To(gomega.BeNumerically("<=", 0.005), "%+v", r)
		// It answers again.
		s.set(1, false)
		m.load("f", fewLoad, 4*time.Second)
		for _, vm := range m.vms {
			vm.dir.Places(directory.Query{Service: "s"}, time.Now())
			g.Expect(vm.dir.HangingServers()).To(gomega.BeZero())
		}
		m.callers.Wait()
		g.Expect(m.runTwice()).To(gomega.BeEmpty())
	})
}

// A server whose machine is disturbed takes four times as long for two seconds: it is not shut
// out. Its calls would fall on the others.
func TestSlowServerIsNotTakenForOneThatHangs(t *testing.T) {
	for _, slowness := range []float64{2.5, 4} {
		playPlaces(t, fewVMs, 3, func(g *gomega.WithT, m *placeSite) {
			var hung atomic.Int64
			for _, vm := range m.vms {
				vm.dir.OnHanging(func(*directory.Server, bool, int, time.Duration) { hung.Add(1) })
			}
			m.load("c", fewLoad, time.Second)
			m.servers["s0"].set(slowness, false)
			m.load("d", fewLoad, 2*time.Second)
			m.callers.Wait()
			g.Expect(hung.Load()).To(gomega.BeZero(), "%g times as slow", slowness)
		})
	}
}

// All servers hang: calls go to them as before, and no call waits for a place.
func TestAllServersHang(t *testing.T) {
	playPlaces(t, 4, 2, func(g *gomega.WithT, m *placeSite) {
		for _, s := range m.servers {
			s.set(1, true)
		}
		m.load("c", 100, time.Second)
		before := m.servers["s0"].count() + m.servers["s1"].count()
		for _, s := range m.servers {
			s.set(1, false)
		}
		time.Sleep(2 * fewDeadline)
		begun := time.Now()
		m.load("d", 100, 500*time.Millisecond)
		r := m.result(begun)
		g.Expect(before).To(gomega.BeNumerically(">=", 2*fewPlaces))
		g.Expect(r.inTime).To(gomega.BeNumerically(">=", 0.99), "%+v", r)
	})
}

// A VM ends with calls in progress and others that wait: what it has reported counts no longer
// than a second.
func TestVMThatDiesWithAQueue(t *testing.T) {
	playPlaces(t, fewVMs, 3, func(g *gomega.WithT, m *placeSite) {
		dead := m.vms[0]
		lie := directory.PlaceReports{Waiting: map[uint32]int{directory.Hash("s"): 500}}
		for _, s := range dead.dir.View().Service("s") {
			lie.Servers = append(lie.Servers, directory.PlaceReport{Server: s.Start.Hash(), Calls: fewPlaces + 2})
		}
		dead.gone.Store(true)
		for _, vm := range m.vms[1:] {
			vm.dir.SetPeerPlaces("vm0", lie, time.Now())
		}
		m.dead = 1
		time.Sleep(time.Second)
		begun := time.Now()
		m.load("c", fewLoad, time.Second)
		r := m.result(begun)
		g.Expect(r.inTime).To(gomega.BeNumerically(">=", 0.99), "%+v", r)
	})
}

// Three of ten datagrams are lost: choices are worse, but a burst is still served.
func TestLostPlaceReports(t *testing.T) {
	playPlaces(t, fewVMs, 3, func(g *gomega.WithT, m *placeSite) {
		m.loss.Store(30)
		m.load("c", 1.5*fewLoad, 2*time.Second)
		r := m.result(time.Time{})
		g.Expect(r.inTime).To(gomega.BeNumerically(">=", 0.95), "%+v", r)
		g.Expect(r.failed).To(gomega.BeZero())
	})
}

// One of three servers answers six of ten calls and leaves the others without an answer. Its
// places fill up with those. Guards against one good answer that makes it count as healthy.
func TestServerThatHangsForPartOfItsCalls(t *testing.T) {
	playPlaces(t, fewVMs, 3, func(g *gomega.WithT, m *placeSite) {
		m.load("c", fewLoad, time.Second)
		s := m.servers["s0"]
		s.mu.Lock()
		s.hangPart = 0.4
		s.mu.Unlock()
		begun := time.Now()
		m.load("d", fewLoad, 6*time.Second)
		r := m.result(begun)
		g.Expect(r.failed).To(gomega.BeNumerically("<=", 0.02), "%+v", r)
		g.Expect(r.inTime).To(gomega.BeNumerically(">=", 0.96), "%+v", r)
		g.Expect(m.runTwice()).To(gomega.BeEmpty())
	})
}
