package fleet

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// At a site where a few VMs hold a record, VMs that were out of step answer for others that are gone.
func TestVMsOutOfStepDoNotAnswerForOthers(t *testing.T) {
	for name, way := range outOfStepWays {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := versionScenario{vms: 12, perSecond: 30, prepare: oneVersion, play: func(_ context.Context, m *versionSite) {
				all := m.running()
				out, gone := all[:4], all[8:]
				for _, vm := range out {
					vm.link.set(func() { way.begin(vm.link) })
				}
				time.Sleep(rand.N(500 * time.Millisecond))
				m.addServers("v2", 24)
				time.Sleep(time.Duration(1500+rand.IntN(1500)) * time.Millisecond)
				for _, vm := range out {
					vm.link.set(func() { way.end(vm.link) })
				}
				time.Sleep(rand.N(500 * time.Millisecond))
				for _, vm := range gone {
					m.kill(vm)
				}
			}}
			sum := versionResults{}
			for range max(3, *outOfStepPlays) {
				sum = sum.plus(playVersions(t, s, versionDesign{peers: true, store: true}))
			}
			t.Logf("%v", sum)
			gomega.NewWithT(t).Expect(sum.mixed).To(gomega.BeZero(), "%v", sum)
		})
	}
}
