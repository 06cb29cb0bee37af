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
// After an outage or a mass restart all ask at once; links full of lists that come too
// late would leave no room for callers. Who gets nothing asks another peer.
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
