package fleet

import (
	"slices"
	"sync"
	"time"
)

// membersSettleTime is how long VMs may differ in which VMs there are, after one was added: the time
// between two reads of the registry, and of the read itself.
const membersSettleTime = registryPollInterval + time.Second

// maxAdditions bounds the times that are kept; the oldest are of no use any more.
const maxAdditions = 64

// additions keeps when VMs were added, as far as this process knows.
type additions struct {
	mu    sync.Mutex
	times []time.Time
}

func (a *additions) add(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, now)
	a.times = a.times[max(0, len(a.times)-maxAdditions):]
}

// around reports whether VMs were added so shortly before or after a moment that VMs may have
// differed in which VMs there are.
func (a *additions) around(at time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.ContainsFunc(a.times, func(t time.Time) bool { return at.Sub(t).Abs() < membersSettleTime })
}

// AddedAround reports whether entry VMs were added at about a time, so that VMs may have differed
// in which VMs there are.
func (f *Fleet) AddedAround(at time.Time) bool { return f.additions.around(at) }

// noteAdditions records that VMs were added if a read of the registry names ones that an earlier
// one did not, or if this VM had to register itself.
func (f *Fleet) noteAdditions(before, after []string, registered bool) {
	isNew := func(a string) bool { return !slices.Contains(before, a) }
	if registered || f.size.Load() > 0 && slices.ContainsFunc(after, isNew) {
		f.additions.add(time.Now())
	}
}
