package fleet

import "time"

// AnnounceStop records that a planned stop of this VM has begun, and announces it.
func (e *Election) AnnounceStop() {
	e.stopping.Store(true)
	e.announce(announcement{})
}

// AllStop reports whether all other VMs have announced that they stop. A silent VM counts
// as serving: a VM beyond the candidates announces nothing while it serves, and datagrams
// may be lost. Each stopping VM announces it at least once.
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

// FirstStop returns when the first of the other stopping VMs announced its stop; zero if
// none has. That VM will be the first to be back.
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
