package soak

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/standin/nursery"
)

// Requests that crash servers come several at once, beside lost zones and restarts of VMs.
func TestPoisonedRequests(t *testing.T) {
	runSeeds(t, func(seed uint64) Plan { return PoisonPlan(sizeFromFlags(), seed, *length) })
}

// Guards against a quarantine that is forgotten when all VMs are killed: the request crashed
// three more servers.
func TestQuarantineOutlivesAllVMs(t *testing.T) {
	g := gomega.NewWithT(t)
	site := newSite(t, 3)
	callers := NewCallers(site)
	const path = nursery.PoisonPath + "1"
	status := func(vm int) int { return callers.sendPoisoned(path, site.VMs[vm], time.Now().Add(callTimeout)) }
	g.Eventually(func() int { return status(0) }, "20s", "100ms").Should(gomega.Equal(503))
	time.Sleep(time.Second)
	crashes := len(site.Cloud.Ledger.Crashes())
	for _, vm := range site.VMs {
		vm.kill()
	}
	for _, vm := range site.VMs {
		g.Expect(vm.start()).To(gomega.Succeed())
	}
	for i, vm := range site.VMs {
		g.Expect(vm.awaitReady()).To(gomega.Succeed())
		g.Expect(status(i)).To(gomega.Equal(503))
	}
	g.Expect(site.Cloud.Ledger.Crashes()).To(gomega.HaveLen(crashes))
}
