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

// herdSettles is how long after their start all VMs know each other: one look of the
// watchers at the registry, and the moment in which the others follow.
const herdSettles = lookEvery + 2*time.Second

// watched returns how many calls the watchers may make in a time in which nothing changes.
func watched(d time.Duration) int {
	return watchers * (2*(int(d/pollTimeout)+2) + int(d/lookEvery) + 2)
}

// herdSizes are those of sites: a small one, a large one, and the target's.
var herdSizes = []int{18, 103, 400}

func forHerds(t *testing.T, play func(g *gomega.WithT, h *herd, size int)) {
	for _, size := range herdSizes {
		if raceDetector && size > herdSizes[1] {
			continue // .ci/run plays it without the detector
		}
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer func() {
					cancel()
					time.Sleep(time.Second) // whoever asks a peer has its answer
				}()
				h := newHerd(ctx, 20)
				h.startAll(size)
				time.Sleep(herdSettles)
				play(gomega.NewWithT(t), h, size)
			})
		})
	}
}

// Guards against calls to the store that grow with the number of entry VMs while
// nothing changes.
func TestStoreCallsDoNotGrowWithTheVMs(t *testing.T) {
	const steady = 20 * time.Second
	forHerds(t, func(g *gomega.WithT, h *herd, size int) {
		before := h.store.counts()
		time.Sleep(steady)
		by, sum := h.store.since(before)
		g.Expect(sum).To(gomega.BeNumerically("<=", watched(steady)), "%v", by)
	})
}

// Guards against a herd that asks for seconds after all VMs were lost at once.
func TestStoreCallsOfAHerdThatStarts(t *testing.T) {
	forHerds(t, func(g *gomega.WithT, h *herd, size int) {
		const span = 12 * time.Second // longer than relistEvery of package directory
		h.kill(func(*herdVM) bool { return true })
		time.Sleep(time.Second)
		before := h.store.counts()
		h.startAll(size)
		time.Sleep(span)
		by, sum := h.store.since(before)
		// Each VM writes its row and reads three subjects; one more question shows that
		// its list is as new as the watchers'.
		g.Expect(sum).To(gomega.BeNumerically("<=", 5*size+watched(span)), "%v", by)
	})
}

// Guards against changes that are late because somebody else reads the store.
func TestChangeIsInForceEverywhere(t *testing.T) {
	forHerds(t, func(g *gomega.WithT, h *herd, size int) {
		before := h.store.counts()
		h.store.setConfig()
		g.Expect(h.inForceWithin(func(vm *herdVM) bool { return vm.holder.Position() == h.store.config.Position })).To(gomega.BeNumerically("<", 200*time.Millisecond))
		h.store.setServer(directory.Listing{ID: "s1", Service: "s", Address: "10.1.0.1:80", Zone: "a", Slots: 8, Draining: true})
		drains := func(vm *herdVM) bool {
			return vm.dir.Pick(directory.Query{Service: "s", Exclude: othersThan(vm.dir, "s1")}, time.Now()) == nil
		}
		g.Expect(h.inForceWithin(drains)).To(gomega.BeNumerically("<", 600*time.Millisecond))
		time.Sleep(time.Second)
		by, sum := h.store.since(before)
		// A configuration is read by each VM itself; changes of the list are handed on.
		g.Expect(sum).To(gomega.BeNumerically("<=", size+size/4+40), "%v", by)
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

// Guards against changes that nobody reads when all watchers are lost just before.
func TestChangeIsInForceWhenTheWatchersAreLost(t *testing.T) {
	forHerds(t, func(g *gomega.WithT, h *herd, size int) {
		g.Expect(h.kill(func(vm *herdVM) bool { return vm.election.Watches() })).To(gomega.Equal(watchers))
		h.store.setConfig()
		h.store.setServer(directory.Listing{ID: "s1", Service: "s", Address: "10.1.0.1:80", Zone: "a", Slots: 8, Draining: true})
		g.Expect(h.inForceWithin(func(vm *herdVM) bool { return vm.holder.Position() == h.store.config.Position })).To(gomega.BeNumerically("<", 2*time.Second))
		drains := func(vm *herdVM) bool {
			return vm.dir.Pick(directory.Query{Service: "s", Exclude: othersThan(vm.dir, "s1")}, time.Now()) == nil
		}
		g.Expect(h.inForceWithin(drains)).To(gomega.BeNumerically("<", 500*time.Millisecond), "both are known within two seconds")
	})
}

// Guards against VMs that the store turns away and that ask it all the while for each
// of the things that they read there, though others tell them what is new.
func TestVMsThatTheStoreTurnsAway(t *testing.T) {
	const away = 9 * time.Second
	forHerds(t, func(g *gomega.WithT, h *herd, size int) {
		var cut []string
		for i := range size / 3 {
			cut = append(cut, herdAddress(i*3))
		}
		h.setCut(true, cut...)
		before := h.store.counts()
		time.Sleep(away / 2)
		h.store.setConfig()
		g.Expect(h.inForceWithin(func(vm *herdVM) bool { return vm.holder.Position() == h.store.config.Position })).To(gomega.BeNumerically("<", 2*time.Second))
		time.Sleep(away / 2)
		by, _ := h.store.since(before)
		h.setCut(false, cut...)
		// Each asks once for both subjects, and once a second in the two seconds in which
		// others take over from watchers that are cut off.
		g.Expect(by[unanswered]).To(gomega.BeNumerically("<=", 4*len(cut)+watchers*4), "%v", by)
		h.store.setConfig()
		g.Expect(h.inForceWithin(func(vm *herdVM) bool { return vm.holder.Position() == h.store.config.Position })).To(gomega.BeNumerically("<", 2*time.Second))
	})
}

// Guards against a store that is away and gets the questions of all VMs all the while,
// and against VMs that are late after its return because they left the asking to others.
func TestStoreThatIsAwayIsAskedByFew(t *testing.T) {
	const away = 9 * time.Second
	forHerds(t, func(g *gomega.WithT, h *herd, size int) {
		var all []string
		for i := range size {
			all = append(all, herdAddress(i))
		}
		h.setCut(true, all...)
		before := h.store.counts()
		time.Sleep(away)
		by, sum := h.store.since(before)
		h.setCut(false, all...)
		// At each VM one loop asks at once and in each idlePause with the half second in
		// which no answer came, the other one twice; the first VMs ask once a second for each.
		perVM := 1 + int(math.Ceil(float64(away)/float64(idlePause+500*time.Millisecond))) + 2
		g.Expect(sum).To(gomega.BeNumerically("<=", perVM*size+watchers*2*9), "%v", by)
		h.store.setConfig()
		h.store.setServer(directory.Listing{ID: "s1", Service: "s", Address: "10.1.0.1:80", Zone: "a", Slots: 8, Draining: true})
		g.Expect(h.inForceWithin(func(vm *herdVM) bool { return vm.holder.Position() == h.store.config.Position })).To(gomega.BeNumerically("<", 1200*time.Millisecond))
		drains := func(vm *herdVM) bool {
			return vm.dir.Pick(directory.Query{Service: "s", Exclude: othersThan(vm.dir, "s1")}, time.Now()) == nil
		}
		g.Expect(h.inForceWithin(drains)).To(gomega.BeNumerically("<", 800*time.Millisecond))
	})
}
