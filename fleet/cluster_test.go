package fleet

import (
	"context"
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/directory"
)

// settleTime is how long after their start all VMs know each other: one read of the
// registry by the watchers, and the time in which the other VMs follow.
const settleTime = registryPollInterval + 2*time.Second

// maxWatcherCalls returns how many calls the watchers may make during d while nothing
// changes: long polls for two subjects and reads of the registry, with two more of each for
// those that begin before d or end after it.
func maxWatcherCalls(d time.Duration) int {
	return watcherCount * (2*(int(d/pollTimeout)+2) + int(d/registryPollInterval) + 2)
}

// clusterSizes are the numbers of entry VMs of a small site, a large one, and the largest
// one supported.
var clusterSizes = []int{18, 103, 400}

// forEachSize runs a test on a cluster of each size whose VMs know each other.
func forEachSize(t *testing.T, run func(g *gomega.WithT, c *cluster, size int)) {
	for _, size := range clusterSizes {
		if raceDetector && size > clusterSizes[1] {
			continue // .ci/run runs it without the race detector
		}
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer func() {
					cancel()
					time.Sleep(time.Second) // until running queries have their answers
				}()
				c := newCluster(ctx, 20)
				c.startAll(size)
				time.Sleep(settleTime)
				run(gomega.NewWithT(t), c, size)
			})
		})
	}
}

// Guards against calls to the store that grow with the number of entry VMs while
// nothing changes.
func TestStoreCallsDoNotGrowWithTheVMs(t *testing.T) {
	const steady = 20 * time.Second
	forEachSize(t, func(g *gomega.WithT, c *cluster, size int) {
		before := c.store.counts()
		time.Sleep(steady)
		calls, sum := c.store.countsSince(before)
		g.Expect(sum).To(gomega.BeNumerically("<=", maxWatcherCalls(steady)), "%v", calls)
	})
}

// Guards against VMs that keep sending requests to the store for seconds after a restart
// of all VMs.
func TestStoreCallsOfAMassStart(t *testing.T) {
	forEachSize(t, func(g *gomega.WithT, c *cluster, size int) {
		const span = 12 * time.Second // longer than relistInterval of package directory
		c.kill(func(*clusterVM) bool { return true })
		time.Sleep(time.Second)
		before := c.store.counts()
		c.startAll(size)
		time.Sleep(span)
		calls, sum := c.store.countsSince(before)
		// Each VM writes its row and reads three subjects; one more request confirms that
		// its list is as new as that of the watchers.
		g.Expect(sum).To(gomega.BeNumerically("<=", 5*size+maxWatcherCalls(span)), "%v", calls)
	})
}

// Guards against changes that reach a VM late because another VM reads the store.
func TestChangeReachesAllVMs(t *testing.T) {
	forEachSize(t, func(g *gomega.WithT, c *cluster, size int) {
		before := c.store.counts()
		c.store.setConfig()
		g.Expect(c.timeUntilAll(func(vm *clusterVM) bool { return vm.holder.Position() == c.store.config.Position })).To(gomega.BeNumerically("<", 200*time.Millisecond))
		c.store.setServer(directory.Listing{ID: "s1", Service: "s", Address: "10.1.0.1:80", Zone: "a", Slots: 8, Draining: true})
		drains := func(vm *clusterVM) bool {
			return vm.dir.Pick(directory.Query{Service: "s", Exclude: othersThan(vm.dir, "s1")}, time.Now()) == nil
		}
		g.Expect(c.timeUntilAll(drains)).To(gomega.BeNumerically("<", 600*time.Millisecond))
		time.Sleep(time.Second)
		calls, sum := c.store.countsSince(before)
		// Each VM reads the configuration itself; changes of the list come from the
		// watchers.
		g.Expect(sum).To(gomega.BeNumerically("<=", size+size/4+40), "%v", calls)
	})
}

func othersThan(d *directory.Directory, id string) map[directory.Start]bool {
	others := map[directory.Start]bool{}
	for _, l := range d.View().Listings {
		if l.ID != id {
			others[l.Start()] = true
		}
	}
	return others
}

// Guards against changes that no VM reads because all watchers were lost just before.
func TestChangeReachesAllVMsWhenWatchersAreLost(t *testing.T) {
	forEachSize(t, func(g *gomega.WithT, c *cluster, size int) {
		g.Expect(c.kill(func(vm *clusterVM) bool { return vm.election.IsWatcher() })).To(gomega.Equal(watcherCount))
		c.store.setConfig()
		c.store.setServer(directory.Listing{ID: "s1", Service: "s", Address: "10.1.0.1:80", Zone: "a", Slots: 8, Draining: true})
		g.Expect(c.timeUntilAll(func(vm *clusterVM) bool { return vm.holder.Position() == c.store.config.Position })).To(gomega.BeNumerically("<", 2*time.Second))
		drains := func(vm *clusterVM) bool {
			return vm.dir.Pick(directory.Query{Service: "s", Exclude: othersThan(vm.dir, "s1")}, time.Now()) == nil
		}
		g.Expect(c.timeUntilAll(drains)).To(gomega.BeNumerically("<", 500*time.Millisecond), "both changes are known within two seconds")
	})
}

// Guards against VMs that the store does not answer but that keep requesting each subject
// from it, although other VMs send them what is new.
func TestVMsWithoutStoreMakeFewCalls(t *testing.T) {
	const outage = 9 * time.Second
	forEachSize(t, func(g *gomega.WithT, c *cluster, size int) {
		var cut []string
		for i := range size / 3 {
			cut = append(cut, vmAddress(i*3))
		}
		c.setCut(true, cut...)
		before := c.store.counts()
		time.Sleep(outage / 2)
		c.store.setConfig()
		g.Expect(c.timeUntilAll(func(vm *clusterVM) bool { return vm.holder.Position() == c.store.config.Position })).To(gomega.BeNumerically("<", 2*time.Second))
		time.Sleep(outage / 2)
		calls, _ := c.store.countsSince(before)
		c.setCut(false, cut...)
		// Each VM sends one request for each of both subjects, and one per second during
		// the two seconds in which other VMs replace the watchers that are cut off.
		g.Expect(calls[unanswered]).To(gomega.BeNumerically("<=", 4*len(cut)+watcherCount*4), "%v", calls)
		c.store.setConfig()
		g.Expect(c.timeUntilAll(func(vm *clusterVM) bool { return vm.holder.Position() == c.store.config.Position })).To(gomega.BeNumerically("<", 2*time.Second))
	})
}

// Guards against an unavailable store that gets requests from all VMs all the time, and
// against VMs that notice its return late because they leave the requests to others.
func TestUnavailableStoreGetsFewCalls(t *testing.T) {
	const outage = 9 * time.Second
	forEachSize(t, func(g *gomega.WithT, c *cluster, size int) {
		var all []string
		for i := range size {
			all = append(all, vmAddress(i))
		}
		c.setCut(true, all...)
		before := c.store.counts()
		time.Sleep(outage)
		calls, sum := c.store.countsSince(before)
		c.setCut(false, all...)
		// At each VM one loop sends a request at once and then one per outagePause plus
		// the half second of its timeout, the other loop sends two; the first VMs send one
		// per second for each subject.
		perVM := 1 + int(math.Ceil(float64(outage)/float64(outagePause+500*time.Millisecond))) + 2
		g.Expect(sum).To(gomega.BeNumerically("<=", perVM*size+watcherCount*2*9), "%v", calls)
		c.store.setConfig()
		c.store.setServer(directory.Listing{ID: "s1", Service: "s", Address: "10.1.0.1:80", Zone: "a", Slots: 8, Draining: true})
		g.Expect(c.timeUntilAll(func(vm *clusterVM) bool { return vm.holder.Position() == c.store.config.Position })).To(gomega.BeNumerically("<", 1200*time.Millisecond))
		drains := func(vm *clusterVM) bool {
			return vm.dir.Pick(directory.Query{Service: "s", Exclude: othersThan(vm.dir, "s1")}, time.Now()) == nil
		}
		g.Expect(c.timeUntilAll(drains)).To(gomega.BeNumerically("<", 800*time.Millisecond))
	})
}
