package directory

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

var tenServers = []string{"a0", "a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8", "a9"}

// chosenBy returns the servers that a process chooses in 50 picks.
func chosenBy(d *Directory, q Query) map[string]bool {
	chosen := map[string]bool{}
	for range 50 {
		chosen[d.Pick(q, time.Now()).ID] = true
	}
	return chosen
}

// Guards against processes that know nothing of each other after a common start and send
// all callers to the same servers.
func TestStartingProcessKeepsToItsPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		prompt := Query{Service: "s", Zone: "a", Prompt: 8000, Resumable: true}
		first := withServers(tenServers...)
		first.SetPartition(0, 5)
		second := withServers(tenServers...)
		second.SetPartition(4, 5)
		ofFirst := chosenBy(first, prompt)
		g.Expect(ofFirst).To(gomega.HaveLen(2))
		for id := range chosenBy(second, prompt) {
			g.Expect(ofFirst).NotTo(gomega.HaveKey(id))
		}
		time.Sleep(startupPeriod)
		g.Expect(len(chosenBy(first, prompt))).To(gomega.BeNumerically(">", 5))
	})
}

// Guards against a prompt that is prefilled again because the server that has it cached
// is in another process's partition.
func TestCachedPromptOverridesPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		d := withServers(tenServers...)
		d.SetPartition(0, 5)
		var elsewhere *Server
		own := d.partitionRange(d.View().Service("s"), time.Now())
		for _, s := range d.View().Service("s") {
			if !own.contains(s) {
				elsewhere = s
			}
		}
		cached := Query{Service: "s", Zone: "a", Prompt: 8000, Resumable: true, AfterDisruption: true, CachedTokens: map[Start]int{elsewhere.Start: 7000}}
		g.Expect(chosenBy(d, cached)).To(gomega.Equal(map[string]bool{elsewhere.ID: true}))
	})
}
