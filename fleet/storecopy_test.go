package fleet

import (
	"context"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/site"
	"github.com/pearyard/pearyard/types"
)

// storeCopy is a copy of what the model of the store holds.
type storeCopy struct {
	position types.Position
	config   *site.Versioned
	servers  map[string]directory.Listing
	rows     map[string][]byte
}

func (s *storeModel) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{s.position, s.config, maps.Clone(s.servers), maps.Clone(s.rows)}
}

// comeBack replaces the store's state by a copy, in a new era.
func (s *storeModel) comeBack(from storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := s.position.Era() + 1
	s.position = types.NewPosition(era, from.position.Revision())
	s.config = &site.Versioned{Config: from.config.Config, Raw: from.config.Raw, Position: types.NewPosition(era, from.config.Position.Revision())}
	s.servers, s.rows, s.changes = maps.Clone(from.servers), maps.Clone(from.rows), nil
	s.notifyWaiters()
}

// leaver is a server that leaves.
func leaver(id string) directory.Listing {
	return directory.Listing{ID: id, Service: "s", Address: "10.1.0.1:80", Zone: "a", Slots: 8, Draining: true}
}

// loseWrites plays a store that goes away for a while and comes back from a copy that lacks
// the newest configuration and that server s1 leaves; all VMs know both.
func (c *cluster) loseWrites(g *gomega.WithT, size int, away time.Duration) {
	from := c.store.copy()
	c.store.setConfig()
	c.store.setServer(leaver("s1"))
	time.Sleep(3 * time.Second)
	var all []string
	for i := range size {
		all = append(all, vmAddress(i))
	}
	c.setCut(true, all...)
	time.Sleep(away)
	c.store.comeBack(from)
	c.setCut(false, all...)
	g.Expect(c.timeUntilAll(func(vm *clusterVM) bool { return vm.dir.View().Position.Era() == 1 })).To(gomega.BeNumerically("<", 1500*time.Millisecond))
}

// hasVersion returns a function that reports whether a VM has a version in force, or a later one.
func hasVersion(version uint64) func(*clusterVM) bool {
	return func(vm *clusterVM) bool {
		config := vm.holder.Config()
		return config != nil && config.Version >= version
	}
}

// leavesFor returns a function that reports whether a VM gives a server no work.
func leavesFor(id string) func(*clusterVM) bool {
	return func(vm *clusterVM) bool {
		return vm.dir.Pick(directory.Query{Service: "s", Exclude: othersThan(vm.dir, id)}, time.Now()) == nil
	}
}

// Guards against changes that reach a VM late after the store came back from a copy, and
// against a return that makes each VM read the store by itself.
func TestChangeReachesAllVMsAfterReturnFromCopy(t *testing.T) {
	forEachSize(t, func(g *gomega.WithT, c *cluster, size int) {
		c.loseWrites(g, size, 3*time.Second)
		before := c.store.counts()
		time.Sleep(1500 * time.Millisecond)
		c.store.setConfig()
		c.store.setServer(leaver("s2"))
		g.Expect(c.timeUntilAll(hasVersion(c.store.version))).To(gomega.BeNumerically("<", time.Second))
		g.Expect(c.timeUntilAll(leavesFor("s2"))).To(gomega.BeNumerically("<", time.Second), "both changes are known within two seconds")
		time.Sleep(10 * time.Second)
		calls, sum := c.store.countsSince(before)
		// Each VM reads one of both subjects itself, as after any outage.
		g.Expect(sum).To(gomega.BeNumerically("<=", 2*size+maxWatcherCalls(12*time.Second)), "%v", calls)
	})
}

// Guards against an era that rises without the store being away for anyone.
func TestChangeReachesAllVMsAfterReturnWithoutOutage(t *testing.T) {
	forEachSize(t, func(g *gomega.WithT, c *cluster, size int) {
		c.loseWrites(g, size, 0)
		c.store.setConfig()
		c.store.setServer(leaver("s2"))
		g.Expect(c.timeUntilAll(hasVersion(c.store.version))).To(gomega.BeNumerically("<", time.Second))
		g.Expect(c.timeUntilAll(leavesFor("s2"))).To(gomega.BeNumerically("<", time.Second))
	})
}

// Guards against VMs that take over the copy's state though others know better, while nobody
// has written it again: VMs that run, that start after the return, and that were cut off from
// before the lost changes until after the return. The readers of the store may be among them.
func TestCopyBringsNothingBackOnAnyVM(t *testing.T) {
	forEachSize(t, func(g *gomega.WithT, c *cluster, size int) {
		var started, cutOff []string
		for i := range size / 3 {
			started, cutOff = append(started, vmAddress(3*i)), append(cutOff, vmAddress(3*i+1))
		}
		from := c.store.copy()
		c.setApart(true, cutOff...)
		c.store.setConfig()
		c.store.setServer(leaver("s1"))
		time.Sleep(4 * time.Second)
		c.store.comeBack(from)
		c.kill(func(vm *clusterVM) bool { return slices.Contains(started, vm.opts.Address) })
		for i := range size / 3 {
			c.start(3 * i)
		}
		c.setApart(false, cutOff...)
		knows := func(vm *clusterVM) bool { return hasVersion(c.store.version)(vm) && leavesFor("s1")(vm) }
		g.Expect(c.timeUntilAll(knows)).To(gomega.BeNumerically("<", 2*time.Second))
		for range 20 {
			time.Sleep(200 * time.Millisecond)
			g.Expect(c.timeUntilAll(knows)).To(gomega.BeZero(), "nothing comes back later")
		}
	})
}

// Guards against an entry VM that is unknown to the others, which then count too few VMs and
// tell it nothing, since the copy lacks its row.
func TestEntryVMsMissingFromACopyStayKnown(t *testing.T) {
	forEachSize(t, func(g *gomega.WithT, c *cluster, size int) {
		from := c.store.copy()
		c.start(size)
		added := vmAddress(size)
		knowsAdded := func(vm *clusterVM) bool { return vm.opts.Address == added || slices.Contains(vm.Peers(), added) }
		g.Expect(c.timeUntilAll(knowsAdded)).To(gomega.BeNumerically("<", settleTime))
		c.store.comeBack(from)
		for range 100 {
			g.Expect(c.timeUntilAll(knowsAdded)).To(gomega.BeZero())
			time.Sleep(150 * time.Millisecond)
		}
		g.Expect(c.store.copy().rows).To(gomega.HaveKey(added), "it has written its row again")
	})
}

// Guards against streams whose version nobody knows after a loss of all VMs: the store came
// back from a copy without their rows, and VMs on which no stream began since did not write
// theirs again.
func TestVersionsOfStreamsAreWrittenAgainAfterReturnFromCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ctx, stop := context.WithCancel(t.Context())
		defer func() {
			stop()
			time.Sleep(time.Second)
		}()
		m := newVersionSite(versionDesign{peers: true, store: true})
		m.addServers("v1", 2)
		m.addServers("v2", 2)
		m.startVMs(ctx, 5)
		for i, vm := range m.running() {
			vm.versions.Record("s", uint64(i), "v1", time.Now().Add(time.Minute))
		}
		time.Sleep(2 * saveInterval)
		g.Expect(m.store.rowNames()).To(gomega.HaveLen(5))
		m.store.clear()
		for _, vm := range m.running() {
			vm.versions.StoreReturned()
		}
		time.Sleep(2 * saveInterval)
		g.Expect(m.store.rowNames()).To(gomega.HaveLen(5))
	})
}

func (s *versionStoreModel) rowNames() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.rows))
}

func (s *versionStoreModel) clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.rows)
}
