package entry

import (
	"sync"
	"time"
)

const (
	// durationSamples is how many requests the longest is taken from.
	durationSamples = 32
	// enoughSamples is how many requests have to have ended before they stand for
	// the next one: of eight the longest is in the longest fifth five times in six.
	enoughSamples = 8
	// durationMargin is for a request that takes longer than all of the last ones:
	// a stop of several processes puts their streams on the others, and each
	// prompt that is read beside a stream holds it up by a twentieth.
	durationMargin = 1.1
)

// durations knows how long requests of a sort take, to tell whether one that
// begins now can be finished by a certain time.
//
// What has ended is a sample of the short ones, the more so the younger the process is.
// So requests that still run count with the time that they have taken, and the longest
// stands for the next.
type durations struct {
	unknown time.Duration // what one may take while too few have ended

	mu      sync.Mutex
	ended   [durationSamples]time.Duration
	count   int
	running map[*time.Time]struct{}
}

func newDurations(unknown time.Duration) *durations {
	return &durations{unknown: unknown, running: map[*time.Time]struct{}{}}
}

// begin notes a request that has arrived; the function returned notes its end,
// and whether it came to a good one: others don't show how long one takes.
func (d *durations) begin(arrived time.Time) (end func(served bool)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running[&arrived] = struct{}{}
	return func(served bool) {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.running, &arrived)
		if served {
			d.took(time.Since(arrived))
		}
	}
}

func (d *durations) took(length time.Duration) {
	d.ended[d.count%durationSamples] = length
	d.count++
}

// enough tells whether as many requests have ended as stand for the next one.
func (d *durations) enough() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.count >= enoughSamples
}

// need returns the time that the next request may take.
func (d *durations) need(now time.Time) time.Duration {
	need, count := d.known(now)
	if count < enoughSamples {
		return max(need, d.unknown)
	}
	return need
}

// lastArrival returns when the newest request came that still runs; zero if none does.
func (d *durations) lastArrival() (newest time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for arrived := range d.running {
		if arrived.After(newest) {
			newest = *arrived
		}
	}
	return newest
}

// known returns the longest that is known, with its margin, and of how many
// requests that have ended.
func (d *durations) known(now time.Time) (need time.Duration, count int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	longest := time.Duration(0)
	for _, length := range d.ended[:min(d.count, durationSamples)] {
		longest = max(longest, length)
	}
	for arrived := range d.running {
		longest = max(longest, now.Sub(*arrived))
	}
	return time.Duration(durationMargin * float64(longest)), d.count
}
