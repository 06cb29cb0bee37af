package exchange

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// unloadedQuantile of all pauses are shorter than the pace of a stream whose server
	// reads no prompt. It is small, since on busy servers most events are delayed.
	unloadedQuantile = 0.1
	// unloadedStep is how far one pause moves that pace, as a share of it: a longer one
	// raises it by unloadedQuantile of the step, a shorter one lowers it by the rest of
	// the step. A few hundred events, which a VM sees in a second or two, make a
	// measurement.
	unloadedStep = 0.02
	// lengthWeight is the weight of a new measurement of how many events a stream has.
	lengthWeight = 0.1
	// ratioWeight is the weight of a new measurement of how much longer a first event took
	// than estimated, maxRatio the largest one that counts.
	ratioWeight = 0.3
	maxRatio    = 4
	// shortLengthShare of the mean length is what estimates assume, so that few streams
	// are expected to be longer than they are: streams are 0.63 to 1.45 times as long as
	// the mean, a tenth of them shorter than 0.79.
	shortLengthShare = 0.7
)

// pace holds what has been measured of the streams of one service, normalized to its
// median server. Only lengths and memory take a lock.
type pace struct {
	pauses           pauses
	unloaded         atomic.Int64  // nanoseconds per event while the server reads no prompt; 0: not measured
	lengthRatio      atomic.Uint64 // bits of a float64: events per token that may be generated
	leastLengthRatio atomic.Uint64 // the same, of the longest stream so far; used until a stream is complete
	lastSent         atomic.Int64  // Unix nanoseconds of the newest prompt sent
	lengths          answerLengths
	memory           memoryWatch
	topSpeed         atomic.Uint64 // bits of a float64: highest estimate of a server's prompt tokens per second
	firstRatio       atomic.Uint64 // bits of a float64: how much longer first events took lately than estimated; 0: not measured
}

// observePause records a pause after which a stream continued.
func (p *pace) observePause(pause time.Duration) {
	p.pauses.observe(pause)
	unloaded := p.unloaded.Load()
	switch {
	case unloaded == 0:
		p.unloaded.Store(int64(pause))
	case int64(pause) < unloaded:
		p.unloaded.Store(unloaded - int64(unloadedStep*(1-unloadedQuantile)*float64(unloaded)))
	default:
		p.unloaded.Store(unloaded + int64(unloadedStep*unloadedQuantile*float64(unloaded)))
	}
}

// observeLength records how many events a complete stream had.
func (p *pace) observeLength(events uint64, maxTokens int) {
	if events == 0 || maxTokens <= 0 {
		return
	}
	share := float64(events) / float64(maxTokens)
	before := math.Float64frombits(p.lengthRatio.Load())
	if before != 0 {
		share = before + lengthWeight*(share-before)
	}
	p.lengthRatio.Store(math.Float64bits(share))
}

// observeProgress records how far a stream has come. Until the first one is complete,
// which takes longest where servers are too slow, that is what is known of their
// length.
func (p *pace) observeProgress(events uint64, maxTokens int) {
	if p.lengthRatio.Load() != 0 || maxTokens <= 0 {
		return
	}
	if share := float64(events) / float64(maxTokens); share > math.Float64frombits(p.leastLengthRatio.Load()) {
		p.leastLengthRatio.Store(math.Float64bits(share))
	}
}

// observeSpeed records an estimate of a server's prompt tokens per second.
func (p *pace) observeSpeed(speed float64) {
	for {
		known := p.topSpeed.Load()
		if speed <= math.Float64frombits(known) || p.topSpeed.CompareAndSwap(known, math.Float64bits(speed)) {
			return
		}
	}
}

// minExpectedFirst is the shortest expected time that is compared with how long a first event
// took: of less, connections take as much as prompts.
const minExpectedFirst = 100 * time.Millisecond

// observeFirst records how long a first event took that was expected after some time. An
// estimate knows neither what other processes send at the same moment nor what waits for
// memory at a server.
func (p *pace) observeFirst(expected, took time.Duration) {
	if expected < minExpectedFirst {
		return
	}
	ratio := min(maxRatio, float64(took)/float64(expected))
	if before := math.Float64frombits(p.firstRatio.Load()); before != 0 {
		ratio = before + ratioWeight*(ratio-before)
	}
	p.firstRatio.Store(math.Float64bits(ratio))
}

// likelyFirst returns how long a first event will take that is estimated to take some time:
// longer by as much as the recent ones.
func (p *pace) likelyFirst(estimated time.Duration) time.Duration {
	return time.Duration(max(1, math.Float64frombits(p.firstRatio.Load())) * float64(estimated))
}

// fastest returns the highest estimate of a server's prompt tokens per second.
func (p *pace) fastest() float64 { return math.Float64frombits(p.topSpeed.Load()) }

// expectedEvents returns how many events a stream has, unless it is among the shortest.
func (p *pace) expectedEvents(maxTokens int) float64 {
	if p.lengthRatio.Load() == 0 {
		return p.meanEvents(maxTokens)
	}
	return shortLengthShare * p.meanEvents(maxTokens)
}

// meanEvents returns how many events a stream has that is as long as the mean. Until one is
// complete, it is how far one has come.
func (p *pace) meanEvents(maxTokens int) float64 {
	length := math.Float64frombits(p.lengthRatio.Load())
	if length == 0 {
		length = math.Float64frombits(p.leastLengthRatio.Load())
	}
	return length * float64(maxTokens)
}

// eventTime returns how long an event takes on a median server that spends this share
// of its time reading prompts.
func (p *pace) eventTime(utilization float64) time.Duration {
	unloaded := float64(p.unloaded.Load())
	loaded := max(unloaded, float64(p.pauses.usual.Load()))
	if unloaded == 0 {
		return 0
	}
	return time.Duration(1 / ((1-utilization)/unloaded + utilization/loaded))
}

// takeTrial reports whether one prompt may be sent as a trial now, and takes that
// permission.
func (p *pace) takeTrial(now time.Time) bool {
	last := p.lastSent.Load()
	return now.UnixNano()-last > int64(trialInterval) && p.lastSent.CompareAndSwap(last, now.UnixNano())
}

// recordSent records that a prompt is sent.
func (p *pace) recordSent(now time.Time) { p.lastSent.Store(now.UnixNano()) }

// trialInterval is how long a process sends no prompt of a service before it sends one
// that is expected to be late, as a trial. Measurements come from responses alone, so
// without trials all requests of a service that has recovered would be refused for good.
// Its recovery is found out within this time and that of one prompt.
const trialInterval = 2 * time.Second
