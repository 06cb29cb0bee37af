package soak

import (
	"runtime/debug"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a collection while a program is started: it stops the proxies and servers of
// all runs until the program runs.
func TestNoCollectionWhileAProgramIsStarted(t *testing.T) {
	g := gomega.NewWithT(t)
	collections := func() int64 {
		var stats debug.GCStats
		debug.ReadGCStats(&stats)
		return stats.NumGC
	}
	vm := newSite(t, 1).VMs[0]
	vm.kill()
	starts.Lock()
	started := make(chan error, 1)
	go func() { started <- vm.start() }()
	g.Consistently(started, "200ms").ShouldNot(gomega.Receive())
	starts.Unlock()
	g.Eventually(started, "20s").Should(gomega.Receive(gomega.BeNil()))

	starts.RLock()
	// A collection that has begun ends first, since it holds the lock.
	before := collections()
	for range 16 {
		allocated = make([]byte, minCollectedHeap/8)
		time.Sleep(collectionInterval / 2)
	}
	during := collections()
	starts.RUnlock()
	g.Expect(during).To(gomega.Equal(before))
	g.Eventually(collections, "20s", "10ms").Should(gomega.BeNumerically(">", before))
}

// allocated keeps the compiler from leaving an allocation out.
var allocated []byte
