package exchange

import (
	"slices"
	"sync/atomic"
	"time"
)

const (
	// shortPause is what an event takes beside no prompt, with room to spare;
	// pauses up to it say nothing about what a prompt costs.
	shortPause = 80 * time.Millisecond
	// pausesKept is how many long pauses are remembered: those of about five
	// streams, each of which is held up by one or two prompts.
	pausesKept = 32
	// pausesNeeded is how many make a measure. The first few tell too little: a
	// prompt that begins in the middle of an event lengthens it by a part only.
	pausesNeeded = 8
	// usualShare of the pauses kept are no longer than the usual one. The rest may
	// be of a standstill of this VM.
	usualShare = 0.9
	// silenceFactor is how much longer than the usual pause a silence may last.
	// Engines that read 8,000 tokens a second pause for 200 ms at most: the usual
	// bound of 350 ms stands there.
	silenceFactor = 1.5
	// unknownFactor of the usual bound is what a silence may last beside a prompt
	// while nothing has been measured. Engines that read 2,000 tokens a second
	// pause for 730 ms: at twice the bound each was cut just before its end.
	unknownFactor = 3
	// maxSilence is the longest silence that is borne. Callers give a stream up
	// after two seconds at least.
	maxSilence = 1800 * time.Millisecond
)

// pauses learns how long the sound engines of a service pause between events
// while they read prompts. It takes no lock: every stream writes to it.
//
// Healthy servers that are slow pause for long; they must not be mistaken for failed
// ones, since each takeover makes others read the prompt again.
type pauses struct {
	kept  [pausesKept]atomic.Int64 // nanoseconds, the oldest replaced first
	count atomic.Uint64
	usual atomic.Int64 // nanoseconds; 0: not measured
}

// seen notes a pause after which the stream went on.
func (p *pauses) seen(pause time.Duration) {
	if pause < shortPause {
		return
	}
	n := p.count.Add(1)
	p.kept[(n-1)%pausesKept].Store(int64(pause))
	if n < pausesNeeded {
		return
	}
	var sorted []int64
	for i := range min(n, pausesKept) {
		sorted = append(sorted, p.kept[i].Load())
	}
	slices.Sort(sorted)
	p.usual.Store(sorted[int(usualShare*float64(len(sorted)-1))])
}

// bound returns how long a stream of a server that gives signs of life may be
// silent: least, or more if pauses are longer than usual there, or unknown and the
// server reads a prompt. slowness is the server's, beside the median one.
func (p *pauses) bound(least time.Duration, reads bool, slowness float64) time.Duration {
	usual := p.usual.Load()
	if usual == 0 && reads {
		return unknownFactor * least
	}
	return max(least, min(time.Duration(silenceFactor*slowness*float64(usual)), maxSilence))
}
