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
	probeInterval = 150 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
	// maxProbeFailures is the number of consecutive failed probes after which the backend
	// server counts as dead.
	maxProbeFailures = 2
	// loadReportMaxAge is the age from which on a load report isn't passed on.
	loadReportMaxAge = 5 * time.Second
	// stallTimeout is how long a generation that has begun to answer may produce no token,
	// although its engine responds to probes, before that is reported. A generation
	// without a reader is then given up.
	stallTimeout = 3 * time.Second
)

// healthMonitor tracks whether the backend server is alive. A frozen engine keeps its
// connections open and sends nothing, so only a probe with a timeout detects it.
type healthMonitor struct {
	process    types.ProcessID // sidecar and incarnation, part of the ID of a death
	probe      func(context.Context) error
	readLoad   func(context.Context) (types.Load, error)
	onDeath    func(death)
	onRecovery func()
	onCheck    func() // called after each probe

	load atomic.Pointer[types.Load] // the newest report; nil: none yet

	mu       sync.Mutex // guards all fields below
	down     bool
	deaths   int // number of deaths so far
	failures int // consecutive failed probes
	running  int // number of requests that ran at the last death; 0 if a probe found it
}

func (m *healthMonitor) run(ctx context.Context) error {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		m.check(ctx)
		if m.onCheck != nil {
			m.onCheck()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (m *healthMonitor) check(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if err := m.probe(ctx); err != nil {
		m.recordFailure()
		return
	}
	m.recordSuccess()
	if load, err := m.readLoad(ctx); err == nil {
		load.At = time.Now()
		m.load.Store(&load)
	}
}

func (m *healthMonitor) recordFailure() {
	m.mu.Lock()
	m.failures++
	dead := m.failures >= maxProbeFailures && !m.down
	m.mu.Unlock()
	if dead {
		m.markDied(0)
	}
}

func (m *healthMonitor) recordSuccess() {
	m.mu.Lock()
	back := m.down
	m.down = false
	m.failures = 0
	m.mu.Unlock()
	if back && m.onRecovery != nil {
		m.onRecovery()
	}
}

// markDied records that the engine is gone. All runs that it ended share one death, so
// that the same loss reported by several broken streams isn't counted several times.
// running is the number of requests that ran there, 0 if the caller doesn't know it; the
// first reporter's count is kept.
func (m *healthMonitor) markDied(running int) death {
	m.mu.Lock()
	first := !m.down
	if first {
		m.down = true
		m.deaths++
		m.running = running
	}
	d := death{id: fmt.Sprintf("%s/%d", m.process, m.deaths), running: m.running}
	m.mu.Unlock()
	if first && m.onDeath != nil {
		m.onDeath(d)
	}
	return d
}

func (m *healthMonitor) isDown() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.down
}

// lastLoad returns the newest load report and its age. It returns false if there is none
// that is recent enough to be useful.
func (m *healthMonitor) lastLoad() (types.Load, time.Duration, bool) {
	load := m.load.Load()
	if load == nil {
		return types.Load{}, 0, false
	}
	age := time.Since(load.At)
	return *load, age, age < loadReportMaxAge
}
