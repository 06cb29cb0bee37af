package fleet

import (
	"slices"
	"time"
)

// deciderCount is how many entry VMs judge roll-outs. The second one has received the same
// reports and takes over without a gap.
const deciderCount = 2

// candidate is a VM that may be a decider.
type candidate struct {
	address string
	healthy bool // the store answers it
	rank    uint64
}

func (a candidate) before(b candidate) int {
	switch {
	case a.healthy != b.healthy && a.healthy, a.healthy == b.healthy && a.rank < b.rank:
		return -1
	default:
		return 1
	}
}

// deciders returns the entry VMs that judge roll-outs, the first one first. Unlike
// watchers they need not be answered by the store: while it answers nobody, a bad version
// must nevertheless stop getting requests.
func (e *Election) deciders() []string {
	var all []candidate
	if e.elected.Load() && !e.stopping.Load() {
		all = append(all, candidate{e.opts.Address, e.isHealthy(), e.rank})
	}
	e.mu.Lock()
	now := time.Now()
	for address, vm := range e.members {
		if !vm.stopping && now.Sub(vm.at) < memberTimeout {
			all = append(all, candidate{address, vm.healthy, vm.rank})
		}
	}
	e.mu.Unlock()
	slices.SortFunc(all, candidate.before)
	var addresses []string
	for _, c := range all[:min(len(all), deciderCount)] {
		addresses = append(addresses, c.address)
	}
	return addresses
}

// DeciderRank returns this process's place among the deciders, negative if it is none.
//
// A process that hears less than half of the VMs that announce themselves is none: it knows
// too little of what the others have observed to judge.
func (e *Election) DeciderRank() int {
	if e.countLive(func(*member) bool { return true }) < (min(e.opts.Size(), candidateCount)-1)/2 {
		return -1
	}
	return slices.Index(e.deciders(), e.opts.Address)
}

// Deciders returns the addresses of the other deciders.
func (e *Election) Deciders() []string {
	return slices.DeleteFunc(e.deciders(), func(address string) bool { return address == e.opts.Address })
}
