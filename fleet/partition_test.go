package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/directory"
)

// 103 VMs place the streams of a lost server at the same moment, among 360 idle servers.
// Guards against partitions of other servers than those that the VMs of the cell choose
// from: many VMs then sent their streams to the same server.
func TestVMsThatPlaceAgainChooseDifferentServers(t *testing.T) {
	const vms = 103
	g := gomega.NewWithT(t)
	var list []directory.Listing
	for i := range 360 {
		id := fmt.Sprintf("i-%04d", i)
		list = append(list, directory.Listing{ID: id, Service: "s", Address: id, Zone: string(rune('a' + i%6)), Slots: 48})
	}
	var addresses []string
	for i := range vms {
		addresses = append(addresses, fmt.Sprintf("10.0.%d.%d:7200", i/20, i%20))
	}
	chosen := map[string]int{}
	for i, own := range addresses {
		d := directory.New()
		d.Apply(1, list, false, time.Now().Add(-time.Hour))
		f := New(Options{Name: own, Address: own, Directory: d})
		f.setPeers(addresses)
		server := d.Pick(directory.Query{Service: "s", Zone: string(rune('a' + i%6)), Prompt: 8000, Resumable: true, AfterDisruption: true}, time.Now())
		chosen[server.ID]++
	}
	busiest := 0
	for _, n := range chosen {
		busiest = max(busiest, n)
	}
	t.Logf("%d servers chosen by %d VMs, the busiest by %d", len(chosen), vms, busiest)
	g.Expect(busiest).To(gomega.Equal(1))
}
