package fleet

import (
	"sync"
	"time"
)

const (
	// maxSendRate bounds the full configurations and lists sent to peers, in bytes per
	// second: half of the slowest link of an entry VM, 10 Mbit/s. The other half is for
	// its callers.
	maxSendRate = 625_000
	// serverEntryBytes is the approximate encoded size, in bytes, of a server in a list.
	serverEntryBytes = 100
)

// rateLimiter limits the rate of large answers to peers to maxSendRate.
//
// After an outage or a mass restart all VMs send queries at once. Links full of lists that
// arrive too late would leave no bandwidth for callers. A VM that gets no answer asks
// another peer.
type rateLimiter struct {
	mu   sync.Mutex
	next time.Time // when the next answer may start
}

// allow reports whether an answer of that size may start now, and reserves its time if so.
func (l *rateLimiter) allow(bytes int, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.next) {
		return false
	}
	l.next = now.Add(time.Duration(bytes) * time.Second / maxSendRate)
	return true
}
