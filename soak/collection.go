package soak

import (
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"sync"
	"time"
)

// starts is locked for reading while a program is started and for writing while garbage is
// collected. A thread that starts a program can't be preempted until the program runs, which
// takes over a second on a busy machine. A collection that begins meanwhile stops all
// goroutines for as long, those of proxies and servers as well.
var starts sync.RWMutex

const (
	collectionInterval = 50 * time.Millisecond // between looks at the heap
	// minCollectedHeap is the size, in bytes, below which the heap is not collected. Each
	// collection waits for threads that get no processor time, too: up to 0.8 s at load 90.
	minCollectedHeap = 256 << 20
	// memoryLimit is the memory, in bytes, above which the runtime collects at any time.
	memoryLimit = 2 << 30
)

// collectBetweenStarts makes the process collect garbage only while it starts no program.
var collectBetweenStarts = sync.OnceFunc(func() {
	debug.SetMemoryLimit(memoryLimit)
	debug.SetGCPercent(-1)
	go func() {
		for live := heapSize(); ; time.Sleep(collectionInterval) {
			if heapSize() < max(minCollectedHeap, 2*live) {
				continue
			}
			starts.Lock()
			runtime.GC()
			starts.Unlock()
			live = heapSize()
		}
	}()
})

// heapSize returns the size of all objects that are not collected yet, in bytes.
func heapSize() uint64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}
