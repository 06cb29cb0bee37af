package entry

import (
	"sync"
	"time"
)

const (
	// maxSamples is how many of the last requests are kept as samples.
	maxSamples = 32
	// minSamples is how many requests must have ended for an estimate. The longest
	// of eight is among the longest fifth of all requests in five cases of six.
	minSamples = 8
	// durationMargin allows for a request that takes longer than the recent ones: when
	// several processes stop, their streams move to the others, and each prompt that a
	// backend server reads while it generates a stream slows the stream by a twentieth.
	durationMargin = 1.1
)

// durationStats records how long the requests of a route take, to estimate whether one that
// begins now can be finished by a certain time.
//
// Requests that have ended are biased towards short ones, the more so the younger the
// process is. So running requests count with the time that they have taken so far, and
// the estimate is the longest of all.
type durationStats struct {
	fallback time.Duration // lower bound of the estimate while too few have ended

	mu        sync.Mutex
	completed [maxSamples]time.Duration // ring of the last samples
	count     int                       // samples recorded in all
	running   map[*time.Time]struct{}   // arrivals of running requests; pointers, as two times may be equal
}

func newDurationStats(fallback time.Duration) *durationStats {
	return &durationStats{fallback: fallback, running: map[*time.Time]struct{}{}}
}

// begin records a request that has arrived. The function returned records its end and
// whether it was served; the durations of others say nothing about the next one.
func (d *durationStats) begin(arrived time.Time) (end func(served bool)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running[&arrived] = struct{}{}
	return func(served bool) {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.running, &arrived)
		if served {
			d.record(time.Since(arrived))
		}
	}
}

// record adds a sample; once there are maxSamples, it replaces the oldest one.
func (d *durationStats) record(took time.Duration) {
	d.completed[d.count%maxSamples] = took
	d.count++
}

// hasEnough reports whether enough requests have ended for an estimate.
func (d *durationStats) hasEnough() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.count >= minSamples
}

// estimate returns how long the next request may take.
func (d *durationStats) estimate(now time.Time) time.Duration {
	need, count := d.longest(now)
	if count < minSamples {
		return max(need, d.fallback)
	}
	return need
}

// lastArrival returns when the newest running request arrived; zero if none runs.
func (d *durationStats) lastArrival() (newest time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for arrived := range d.running {
		if arrived.After(newest) {
			newest = *arrived
		}
	}
	return newest
}

// longest returns the longest duration among the samples and the running requests, with
// the margin, and how many requests have ended.
func (d *durationStats) longest(now time.Time) (need time.Duration, count int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	longest := time.Duration(0)
	for _, took := range d.completed[:min(d.count, maxSamples)] {
		longest = max(longest, took)
	}
	for arrived := range d.running {
		longest = max(longest, now.Sub(*arrived))
	}
	return time.Duration(durationMargin * float64(longest)), d.count
}
