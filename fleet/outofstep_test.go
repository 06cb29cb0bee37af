package fleet

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

var outOfStepPlays = flag.Int("outofstep.plays", 1, "plays of each way in which a VM is out of step")

// outOfStep is a way in which a VM is out of step for a while.
type outOfStep struct {
	begin, end func(l *versionLink)
}

var outOfStepWays = map[string]outOfStep{
	"stands still":             {func(l *versionLink) { l.standing = true }, func(l *versionLink) { l.standing = false }},
	"reaches no other VM":      {func(l *versionLink) { l.cutPeers = true }, func(l *versionLink) { l.cutPeers = false }},
	"reads answers 3 s behind": {func(l *versionLink) { l.behind = 3 * time.Second }, func(l *versionLink) { l.behind = 0 }},
	"does not reach the store": {func(l *versionLink) { l.cutStore = true }, func(l *versionLink) { l.cutStore = false }},
	"is cut off":               {func(l *versionLink) { l.cutPeers, l.cutStore = true, true }, func(l *versionLink) { l.cutPeers, l.cutStore = false, false }},
}

var readPoints = map[string]readPoint{"at any moment": 0, "before the request": beforeRequest, "before the answer": beforeAnswer, "before it reads the answer": afterAnswer, "after the list is applied": afterApply}

// streamEnds is what ends the streams of other VMs while one is out of step.
var streamEnds = map[string]func(m *versionSite, except *versionVM){
	"connections are reset": func(m *versionSite, except *versionVM) {
		for _, vm := range m.running() {
			if vm != except {
				vm.link.reset()
			}
		}
	},
	"one is killed": func(m *versionSite, _ *versionVM) { m.kill(m.running()[1]) },
	"all are killed": func(m *versionSite, except *versionVM) {
		for _, vm := range m.running() {
			if vm != except {
				m.kill(vm)
			}
		}
	},
}

// outOfStepScenario has a VM out of step as a second version appears, and callers of other
// VMs come back to it.
func outOfStepScenario(way outOfStep, at readPoint, disturb func(*versionSite, *versionVM)) versionScenario {
	return versionScenario{vms: 5, perSecond: 20, prepare: oneVersion, play: func(_ context.Context, m *versionSite) {
		vm := m.running()[0]
		link := vm.link
		begun := make(chan struct{})
		link.set(func() {
			link.trapPoint, link.trap = max(at, beforeRequest), func() {
				if at == 0 {
					time.Sleep(rand.N(time.Second))
				}
				link.set(func() { way.begin(link) })
				close(begun)
			}
		})
		<-begun
		time.Sleep(rand.N(500 * time.Millisecond))
		m.addServers("v2", 24)
		time.Sleep(time.Duration(500+rand.IntN(2500)) * time.Millisecond)
		m.mu.Lock()
		m.returnTo = vm
		m.mu.Unlock()
		time.AfterFunc(rand.N(500*time.Millisecond), func() { link.set(func() { way.end(link) }) })
		time.Sleep(rand.N(500 * time.Millisecond))
		disturb(m, vm)
	}}
}

// A VM that does not hear which version began a stream takes its caller as one of the only
// version that it knows.
func TestVMOutOfStepDoesNotJoinVersions(t *testing.T) {
	for name, way := range outOfStepWays {
		for where, at := range readPoints {
			if raceDetector && at != 0 {
				continue // .ci/run plays all points without the detector
			}
			for what, disturb := range streamEnds {
				t.Run(fmt.Sprintf("%s/%s/%s", name, where, what), func(t *testing.T) {
					t.Parallel()
					sum := versionResults{}
					for range *outOfStepPlays {
						sum = sum.plus(playVersions(t, outOfStepScenario(way, at, disturb), versionDesign{peers: true, store: true}))
					}
					t.Logf("%v", sum)
					gomega.NewWithT(t).Expect(sum.mixed).To(gomega.BeZero(), "%v", sum)
				})
			}
		}
	}
}
