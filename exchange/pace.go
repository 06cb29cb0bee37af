package exchange

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// aloneShare of all pauses are shorter than the pace of a stream that runs
	// beside no prompt. It is small, since at busy servers most events are held up.
	aloneShare = 0.1
	// aloneStep is how far one pause moves that pace, as a share of it: a few
	// hundred events, which a VM sees in a second or two, make a measure.
	aloneStep = 0.02
	// lengthShare is the weight of a new measure of how many events a stream has.
	lengthShare = 0.1
	// shortLength is which share of the mean length is reckoned with: streams are
	// of 0.63 to 1.45 times the mean, a tenth of them shorter than 0.79.
	shortLength = 0.7
)

// pace is what has been learned of the streams of one service, on its median server. It
// takes no lock.
type pace struct {
	pauses pauses
	alone  atomic.Int64  // nanoseconds an event beside no prompt; 0: not measured
	length atomic.Uint64 // bits of a float64: events for each token that may be made
	least  atomic.Uint64 // the same, of the longest stream so far that has not ended
	sentAt atomic.Int64  // Unix nanoseconds of the newest prompt sent
	speed  atomic.Uint64 // bits of a float64: prompt tokens a second, the most that a server was held to read
}

// seen notes a pause after which a stream went on.
func (p *pace) seen(pause time.Duration) {
	p.pauses.seen(pause)
	alone := p.alone.Load()
	switch {
	case alone == 0:
		p.alone.Store(int64(pause))
	case int64(pause) < alone:
		p.alone.Store(alone - int64(aloneStep*(1-aloneShare)*float64(alone)))
	default:
		p.alone.Store(alone + int64(aloneStep*aloneShare*float64(alone)))
	}
}

// ended notes how many events a whole stream had.
func (p *pace) ended(events uint64, maxTokens int) {
	if events == 0 || maxTokens <= 0 {
		return
	}
	share := float64(events) / float64(maxTokens)
	before := math.Float64frombits(p.length.Load())
	if before != 0 {
		share = before + lengthShare*(share-before)
	}
	p.length.Store(math.Float64bits(share))
}

// reached notes how far a stream has come. Until the first one is whole, which
// takes longest where servers are too slow, that is what is known of their length.
func (p *pace) reached(events uint64, maxTokens int) {
	if p.length.Load() != 0 || maxTokens <= 0 {
		return
	}
	if share := float64(events) / float64(maxTokens); share > math.Float64frombits(p.least.Load()) {
		p.least.Store(math.Float64bits(share))
	}
}

// reads notes how many prompt tokens a second a server is held to read.
func (p *pace) reads(speed float64) {
	for {
		known := p.speed.Load()
		if speed <= math.Float64frombits(known) || p.speed.CompareAndSwap(known, math.Float64bits(speed)) {
			return
		}
	}
}

// fastest returns the most prompt tokens a second that a server was held to read.
func (p *pace) fastest() float64 { return math.Float64frombits(p.speed.Load()) }

// events returns how many events a stream has, unless it is among the shortest.
func (p *pace) events(maxTokens int) float64 {
	length := math.Float64frombits(p.length.Load())
	if length == 0 {
		return math.Float64frombits(p.least.Load()) * float64(maxTokens)
	}
	return shortLength * length * float64(maxTokens)
}

// event returns how long an event takes at a median server that spends this share of its
// time with reading prompts.
func (p *pace) event(duty float64) time.Duration {
	alone := float64(p.alone.Load())
	beside := max(alone, float64(p.pauses.usual.Load()))
	if alone == 0 {
		return 0
	}
	return time.Duration(1 / ((1-duty)/alone + duty/beside))
}

// mayTry takes the right to send one prompt on trial.
func (p *pace) mayTry(now time.Time) bool {
	last := p.sentAt.Load()
	return now.UnixNano()-last > int64(trialEvery) && p.sentAt.CompareAndSwap(last, now.UnixNano())
}

// sent notes that a prompt is sent.
func (p *pace) sent(now time.Time) { p.sentAt.Store(now.UnixNano()) }

// trialEvery is how long a process sends no prompt of a service before it sends
// one that is expected to be late: measures come from answers alone, and without
// any a service that has recovered would be refused for good. It finds out
// within this time and that of one prompt.
const trialEvery = 2 * time.Second
