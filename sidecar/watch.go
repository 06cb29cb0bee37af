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
	probeInterval      = 150 * time.Millisecond
	probeTimeout       = 400 * time.Millisecond
	probeFailuresToDie = 2
	loadReportMaxAge   = 5 * time.Second
	// stallAfter is how long a generation that has begun to answer may stand
	// still, although its engine answers probes, before that is told; without a
	// reader it is given up here.
	stallAfter = 3 * time.Second
)

// watch knows whether the backend server answers. A frozen engine keeps its
// connections open and says nothing; only a probe with a timeout shows it.
type watch struct {
	process  types.ProcessID
	probe    func(context.Context) error
	readLoad func(context.Context) (types.Load, error)
	onDeath  func(death)
	onBack   func()
	onCheck  func()

	load atomic.Pointer[types.Load]

	mu       sync.Mutex // guards all below
	down     bool
	deaths   int
	failures int
	running  int
}

func (w *watch) run(ctx context.Context) error {
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

func (w *watch) check(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if err := w.probe(ctx); err != nil {
		w.failed()
		return
	}
	w.answered()
	if load, err := w.readLoad(ctx); err == nil {
		load.At = time.Now()
		w.load.Store(&load)
	}
}

func (w *watch) failed() {
	w.mu.Lock()
	w.failures++
	dead := w.failures >= probeFailuresToDie && !w.down
	w.mu.Unlock()
	if dead {
		w.died(0)
	}
}

func (w *watch) answered() {
	w.mu.Lock()
	back := w.down
	w.down = false
	w.failures = 0
	w.mu.Unlock()
	if back && w.onBack != nil {
		w.onBack()
	}
}

// died notes that the engine is gone. All that ran there share one death, so
// that the same loss told by several broken streams isn't counted as several.
// running is how many requests ran there; the first teller's count is kept.
func (w *watch) died(running int) death {
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

func (w *watch) isDown() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.down
}

// lastLoad returns the newest report and how old it is; false if there is none
// that is young enough to be of use.
func (w *watch) lastLoad() (types.Load, time.Duration, bool) {
	load := w.load.Load()
	if load == nil {
		return types.Load{}, 0, false
	}
	age := time.Since(load.At)
	return *load, age, age < loadReportMaxAge
}
