package nursery

import (
	"sync"
	"time"
)

// Run is one execution of a request on a server. In Ledger.Arrivals it is a request that
// reached a server, whether it ran or not.
type Run struct {
	Request, Server, Target, Organisation string    // Attempt-Id, id of the incarnation, request URI, Tenant
	StartMillis                           int64     // start of that incarnation, Unix milliseconds
	At                                    time.Time // when the request arrived
	ResumedAfter                          int       // event after which it resumed; 0 for a fresh run
	RateLimit                             *float64  // that the server's answer names, requests a second; nil: none
	Leaving                               bool      // the server's answer says that it leaves
}

// Ledger records what the servers ran, for the checks of the tests.
type Ledger struct {
	mu       sync.Mutex
	runs     []Run
	works    []*Work
	arrivals []Run // including refused requests
	ends     map[string][]RunEnd
	crashes  []Crash // under poisoned requests
	rests    []Rest

	preemptions int
}

// Rest is a request that a server turned away with a wish for rest.
type Rest struct {
	Request, Server string
	StartMillis     int64
	At              time.Time
	For             time.Duration
}

func (l *Ledger) recordRest(r Rest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rests = append(l.rests, r)
}

// Rests returns the requests that servers turned away with a wish for rest.
func (l *Ledger) Rests() []Rest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Rest(nil), l.rests...)
}

func (l *Ledger) recordPreemption() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.preemptions++
}

// Preemptions returns how often an engine preempted a request for want of memory.
func (l *Ledger) Preemptions() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.preemptions
}

// RunEnd tells how a run ended, as its server saw it.
type RunEnd string

// Ends of runs.
const (
	Completed   RunEnd = "whole"     // the response was written completely
	Interrupted RunEnd = "broke off" // the server closed the connection or crashed
	Abandoned   RunEnd = "abandoned" // the caller closed the connection
)

// Ends returns how the runs of a request ended, as their servers saw it.
func (l *Ledger) Ends(request string) []RunEnd {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]RunEnd(nil), l.ends[request]...)
}

func (l *Ledger) recordEnd(request string, end RunEnd) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ends[request] = append(l.ends[request], end)
}

// Runs returns all runs so far.
func (l *Ledger) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs...)
}

// Arrivals returns all requests that reached a server so far.
func (l *Ledger) Arrivals() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.arrivals...)
}

func (l *Ledger) record(list *[]Run, run Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*list = append(*list, run)
}
