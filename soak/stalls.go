package soak

import (
	"slices"
	"sync"
	"time"

	"github.com/pearyard/pearyard/exchange"
)

const (
	heartbeatInterval = 5 * time.Millisecond
	// minStall is the shortest delay of a heartbeat that counts as a stall.
	minStall = 50 * time.Millisecond
	// soakProcess names the soak's own process among the disturbances.
	soakProcess = "soak process"
)

// stalls has the times in which the process, with its proxies and servers, got no processor
// time.
var stalls stallLog

type stallLog struct {
	once  sync.Once
	mu    sync.Mutex
	spans []Span
}

// watch records stalls from now on.
func (l *stallLog) watch() {
	l.once.Do(func() {
		go func() {
			for last := time.Now(); ; {
				time.Sleep(heartbeatInterval)
				now := time.Now()
				l.beat(last, now)
				last = now
			}
		}()
	})
}

// beat records a stall if a heartbeat comes late after the one before.
func (l *stallLog) beat(last, now time.Time) {
	if now.Sub(last) < minStall {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.spans = append(l.spans, Span{From: last, To: now})
}

func (l *stallLog) all() []Span {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.spans)
}

// faults returns the stalls in which VMs may have taken all servers of the soak for silent.
func (l *stallLog) faults() []Span {
	return slices.DeleteFunc(l.all(), func(s Span) bool { return s.To.Sub(s.From) < exchange.DefaultSilence })
}

// after returns when a duration from a moment on is over, not counting the stalls of the soak
// in it: until it runs again, a server of the soak can't notice that its connection has closed.
func (d disturbances) after(from time.Time, duration time.Duration) time.Time {
	to := from.Add(duration)
	for _, s := range d[soakProcess] {
		if begin := laterOf(s.From, from); begin.Before(to) && s.To.After(begin) {
			to = to.Add(s.To.Sub(begin))
		}
	}
	return to
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
