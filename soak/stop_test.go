package soak

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// A VM is being stopped. Its streams have taken 0.4 s so far; now the engines are
// slow, so that one that still runs keeps the process up, and it takes another
// one, 4.4 s into its stop, by the time that streams took before. That one is cut
// in its middle when the grace period ends; refused, it would have gone elsewhere.
// By hand, where luck decides: -run TestCalmOverlapping -soak.seeds 1
// -soak.first 1796267060955430510.
func TestStreamTakenLateInAStopIsWhole(t *testing.T) {
	g := gomega.NewWithT(t)
	size := DefaultSize
	size.VMs, size.Grace = 1, calmGrace
	site, err := NewSite(t.TempDir(), size)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(site.Close)
	vm := site.VMs[0]
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"} {
		g.Expect(sendTo(site, vm, "/stream/"+id, "k0").Whole).To(gomega.BeTrue())
	}
	for _, server := range site.Servers[:size.Models] {
		server.EventGap.Store(int64(slowEvents))
	}
	stopped := make(chan struct{})
	go func() {
		vm.terminate()
		close(stopped)
	}()
	time.Sleep(2400 * time.Millisecond)
	go sendTo(site, vm, "/stream/running", "k0")
	time.Sleep(2000 * time.Millisecond)
	late := sendTo(site, vm, "/stream/late", "k0")
	g.Expect(late.Whole).To(gomega.BeTrue(), "%+v", late)
	<-stopped
}

// slowEvents make a stream last six seconds.
const slowEvents = 150 * time.Millisecond
