package entry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/standin/nursery"
)

// lostCopy is how the store comes back from a copy.
type lostCopy struct {
	lost      int // versions that it had given out after the copy
	caughtUp  int // versions that it gives out again right after its return
	perSecond int // versions that others' writes take each second from then on
	away      time.Duration
}

func (c lostCopy) String() string {
	return fmt.Sprintf("%d lost, %d at once, %d/s, away %v", c.lost, c.caughtUp, c.perSecond, c.away)
}

// lostCopies are cases in which the store's versions stay behind those known before, catch up
// later, or have caught up before anybody asks again.
var lostCopies = []lostCopy{
	{lost: 60, caughtUp: 2, away: 400 * time.Millisecond},
	{lost: 6, away: 300 * time.Millisecond},
	{lost: 30, caughtUp: 2, perSecond: 50, away: 100 * time.Millisecond},
	{lost: 60, caughtUp: 2, away: 4 * time.Second},
	{lost: 20, caughtUp: 60, away: 300 * time.Millisecond},
	{lost: 20, caughtUp: 20},
}

// writeOthers lets others write n times.
func (env *testEnv) writeOthers(n int) {
	for i := range n {
		env.store.Put("other", fmt.Sprint(i), nil)
	}
}

// comeBack plays a loss of the store. The newest configuration and a server's entry are lost
// and written again at once.
func (env *testEnv) comeBack(c lostCopy) {
	from := env.store.Copy()
	env.writeOthers(c.lost)
	env.configure(2, `"k0","k1"`, testRoutes...)
	env.addServer("s")
	again := env.store.LostSince(from)
	// The VMs see the highest version.
	time.Sleep(500 * time.Millisecond)
	if c.away > 0 {
		env.store.SetFault(nursery.StoreBusy)
		time.Sleep(c.away)
	}
	env.store.ComeBack(from)
	env.writeOthers(c.caughtUp)
	env.store.WriteAgain(again)
	env.store.SetFault(nursery.StoreHealthy)
	if c.perSecond > 0 {
		go func() {
			for range 4 * c.perSecond {
				time.Sleep(time.Second / time.Duration(c.perSecond))
				env.writeOthers(1)
			}
		}()
	}
}

// startAfterReturn starts two VMs in front of a store that came back from a copy 1.5 s ago.
func startAfterReturn(t *testing.T, c lostCopy) (env, peer *testEnv) {
	t.Helper()
	env = startServing(t, 2, nil)
	peer = env.startPeer("edge-2")
	env.comeBack(c)
	time.Sleep(1500 * time.Millisecond)
	return env, peer
}

// changeLimit is how long a change may take until it is in force.
const changeLimit = 2 * time.Second

// Guards against a configuration that is not in force because the store, back from a copy,
// names it by a position before the one of the configuration in force.
func TestChangeAfterStoreCameBackFromCopyIsInForce(t *testing.T) {
	for _, c := range lostCopies {
		t.Run(c.String(), func(t *testing.T) {
			g := gomega.NewWithT(t)
			env, peer := startAfterReturn(t, c)
			env.configure(3, `"k0"`, append(testRoutes, testRoute("/added/", "non_idempotent", `"maxAttempts":1,"timeoutMs":8000`))...)
			time.Sleep(changeLimit)
			for _, vm := range []*testEnv{env, peer} {
				g.Expect(vm.send(testRequest{id: "added" + vm.callerAddr, path: "/added/1"}).readHead().Status).To(gomega.Equal(200), "a route was added")
				g.Expect(vm.send(testRequest{id: "revoked" + vm.callerAddr, path: "/once/1", key: "k1"}).readHead().Status).To(gomega.Equal(401), "a key was revoked")
			}
		})
	}
}

// Guards against new work for a server that leaves after the store, back from a copy, names
// its list by a position before the one of the list in force.
func TestServerThatLeavesAfterStoreCameBackFromCopyGetsNoNewWork(t *testing.T) {
	for _, c := range lostCopies {
		t.Run(c.String(), func(t *testing.T) {
			g := gomega.NewWithT(t)
			env, peer := startAfterReturn(t, c)
			env.servers[0].Drain()
			time.Sleep(changeLimit)
			since := time.Now()
			g.Expect(sendFor(time.Second, "/once/then/", env, peer)).To(gomega.BeZero())
			g.Expect(env.arrivalsSince(env.servers[0], since)).To(gomega.BeZero())
		})
	}
}

// knownBetter is how long the store has what VMs know better before its writers write it again.
const knownBetter = 3 * time.Second

// Guards against what the copy brings back though it is known better: a revoked key, a server
// that leaves, and one that has left the list and still runs. At VMs that run, and at one that
// starts before all this is written again and asks the others.
func TestCopyBringsNothingBack(t *testing.T) {
	for _, away := range []time.Duration{0, 400 * time.Millisecond, 2500 * time.Millisecond} {
		t.Run(away.String(), func(t *testing.T) {
			g := gomega.NewWithT(t)
			env := startServing(t, 4, nil)
			peer := env.startPeer("edge-2")
			leaves, left := env.servers[0], env.servers[1]
			var again nursery.LostRows
			from := env.store.Copy()
			env.configure(2, `"k0"`, testRoutes...)
			leaves.Drain()
			env.store.Remove("servers", left.ID())
			again = env.store.LostSince(from)
			time.Sleep(2500 * time.Millisecond) // the list without the server is settled
			if away > 0 {
				env.store.SetFault(nursery.StoreBusy)
				time.Sleep(away)
			}
			env.store.ComeBack(from)
			env.store.SetFault(nursery.StoreHealthy)
			returned := time.Now()
			started := env.startPeer("edge-3")
			time.Sleep(100 * time.Millisecond) // its question to the others
			since := time.Now()
			served := 0
			for n := 0; time.Since(returned) < knownBetter; n++ {
				for _, vm := range []*testEnv{env, peer, started} {
					id := fmt.Sprint(vm.callerAddr, "-", n)
					g.Expect(vm.send(testRequest{id: "kept" + id, path: "/once/" + id}).readHead().Status).To(gomega.Equal(200))
					if vm.send(testRequest{id: "revoked" + id, path: "/once/" + id, key: "k1"}).readHead().Status == 200 {
						served++
					}
				}
			}
			g.Expect(served).To(gomega.BeZero(), "requests with the revoked key were served")
			g.Expect(env.arrivalsSince(leaves, since)).To(gomega.BeZero(), "a server that leaves got requests")
			g.Expect(env.arrivalsSince(left, since)).To(gomega.BeZero(), "a server that has left the list got requests")
			env.store.WriteAgain(again)
			time.Sleep(changeLimit)
			since = time.Now()
			g.Expect(sendFor(500*time.Millisecond, "/once/then/", env, peer, started)).To(gomega.BeZero())
			g.Expect(env.arrivalsSince(leaves, since) + env.arrivalsSince(left, since)).To(gomega.BeZero())
		})
	}
}
