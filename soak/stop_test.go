package soak

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against streams cut by the end of a planned stop. A VM's streams have taken 0.4 s
// so far; now the engines are slow, so that a running stream keeps the process up during
// the stop. A stream sent 4.4 s into the stop was accepted, because the VM expected it to
// take as long as those before, and was cut when the grace period ended. Had it been
// refused, the caller could have sent it to another VM.
//
// The same by hand, where it depends on timing: -run TestCalmOverlapping -soak.seeds 1
// -soak.first 1796267060955430510.
func TestStreamTakenLateInAStopIsWhole(t *testing.T) {
	g := gomega.NewWithT(t)
	size := DefaultSize
	size.VMs, size.Grace = 1, faultFreeGrace
	site, err := NewSite(t.TempDir(), size)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(site.Close)
	vm := site.VMs[0]
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"} {
		g.Expect(sendTo(site, vm, "/stream/"+id, "k0").Complete).To(gomega.BeTrue())
	}
	for _, server := range site.Servers[:size.ModelServers] {
		server.EventGap.Store(int64(slowEventGap))
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
	g.Expect(late.Complete).To(gomega.BeTrue(), "%+v", late)
	<-stopped
}

// slowEventGap is the time between two events; a stream of 40 events lasts six seconds.
const slowEventGap = 150 * time.Millisecond
