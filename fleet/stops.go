package fleet

import "time"

// Stopping notes that a planned stop of this VM has begun, and announces it.
func (e *Election) Stopping() {
	e.stopping.Store(true)
	e.announce(announcement{})
}

// AllStop tells whether all other VMs have announced that they stop. Those that are
// silent serve: beyond the candidates VMs announce nothing while they do, and
// datagrams may be lost. A VM that stops announces it once at least.
func (e *Election) AllStop() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	stopping := 0
	for _, vm := range e.members {
		if vm.stopping && now.Sub(vm.at) < stopTimeout {
			stopping++
		}
	}
	return stopping > 0 && stopping+1 >= e.opts.Size()
}

// FirstStop returns when the first of the other VMs that stop announced it; zero if
// none does. It is the one that is back first.
func (e *Election) FirstStop() (first time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for _, vm := range e.members {
		if !vm.stopping || now.Sub(vm.at) >= stopTimeout {
			continue
		}
		if first.IsZero() || vm.stopAt.Before(first) {
			first = vm.stopAt
		}
	}
	return first
}
