package fleet

import (
	"sync"
	"time"
)

const (
	// handOnRate bounds what is handed on whole, in bytes a second: half of the
	// slowest link of an entry VM, 10 Mbit/s. The other half is its callers'.
	handOnRate = 625_000
	// serverBytes is the size of a server's entry on the wire.
	serverBytes = 100
)

// pace spreads large answers to peers.
//
// Failure it stops: the store fails for many entry VMs at once, or all were
// restarted, and each asks its peers for everything. At 300 VMs and 3,000
// backend servers the peers' links were full of lists that came too late to be
// taken, and nobody took callers for seconds. Who gets nothing asks another
// peer a moment later.
type pace struct {
	mu   sync.Mutex
	next time.Time // when the next answer may be begun
}

// allow tells whether an answer of that size may be begun now.
func (p *pace) allow(bytes int, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.next) {
		return false
	}
	p.next = now.Add(time.Duration(bytes) * time.Second / handOnRate)
	return true
}
