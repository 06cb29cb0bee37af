package sidecar

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pearyard/pearyard/types"
)

const (
	probeInterval    = 150 * time.Millisecond
	probeTimeout     = 400 * time.Millisecond
	maxProbeFailures = 2
	loadReportMaxAge = 5 * time.Second
	// stallTimeout is how long a generation that has begun to answer may produce no token,
	// although its engine responds to probes, before that is reported. A generation
	// without a reader is then given up.
	stallTimeout = 3 * time.Second
)

// healthMonitor tracks whether the backend server responds. A frozen engine keeps its
// connections open and sends nothing, so only a probe with a timeout detects it.
type healthMonitor struct {
	process    types.ProcessID
	probe      func(context.Context) error
	readLoad   func(context.Context) (types.Load, error)
	onDeath    func(death)
	onRecovery func()
	onCheck    func()

	load atomic.Pointer[types.Load]

	mu       sync.Mutex // guards all fields below
	down     bool
	deaths   int
	failures int
	running  int
}

func (w *healthMonitor) run(ctx context.Context) error {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		w.check(ctx)
		if w.onCheck != nil {
			w.onCheck()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (w *healthMonitor) check(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if err := w.probe(ctx); err != nil {
		w.recordFailure()
		return
	}
	w.recordSuccess()
	if load, err := w.readLoad(ctx); err == nil {
		load.At = time.Now()
		w.load.Store(&load)
	}
}

func (w *healthMonitor) recordFailure() {
	w.mu.Lock()
	w.failures++
	dead := w.failures >= maxProbeFailures && !w.down
	w.mu.Unlock()
	if dead {
		w.markDied(0)
	}
}

func (w *healthMonitor) recordSuccess() {
	w.mu.Lock()
	back := w.down
	w.down = false
	w.failures = 0
	w.mu.Unlock()
	if back && w.onRecovery != nil {
		w.onRecovery()
	}
}

// markDied records that the engine is gone. All runs that it ended share one death, so
// that the same loss reported by several broken streams isn't counted several times.
// running is the number of requests that ran there; the first reporter's count is kept.
func (w *healthMonitor) markDied(running int) death {
	w.mu.Lock()
	first := !w.down
	if first {
		w.down = true
		w.deaths++
		w.running = running
	}
	d := death{id: fmt.Sprintf("%s/%d", w.process, w.deaths), running: w.running}
	w.mu.Unlock()
	if first && w.onDeath != nil {
		w.onDeath(d)
	}
	return d
}

func (w *healthMonitor) isDown() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.down
}

// lastLoad returns the newest load report and its age. It returns false if there is none
// that is recent enough to be useful.
func (w *healthMonitor) lastLoad() (types.Load, time.Duration, bool) {
	load := w.load.Load()
	if load == nil {
		return types.Load{}, 0, false
	}
	age := time.Since(load.At)
	return *load, age, age < loadReportMaxAge
}
