package exchange

import (
	"slices"
	"sync/atomic"
	"time"
)

const (
	// minPause is what an event takes while the server reads no prompt, with a margin;
	// shorter pauses say nothing about what a prompt costs.
	minPause = 80 * time.Millisecond
	// pauseSamples is how many pauses of at least minPause are kept: those of about five
	// streams, each of which is delayed by one or two prompts.
	pauseSamples = 32
	// minPauseSamples is how many samples make a measurement. Fewer tell too little: a
	// prompt that starts in the middle of an event delays it by a part only.
	minPauseSamples = 8
	// usualQuantile of the samples are no longer than the usual pause. The rest may be
	// due to a freeze of this VM.
	usualQuantile = 0.9
	// silenceFactor is how much longer than the usual pause a silence may last. Engines
	// that read 8,000 tokens a second pause for 200 ms at most: the default bound of
	// 350 ms applies to them.
	silenceFactor = 1.5
	// unmeasuredFactor times the default bound is what a silence may last during a
	// prompt while nothing has been measured. Engines that read 2,000 tokens a second
	// pause for 730 ms: at twice the bound each was cut off just before the end of its
	// pause.
	unmeasuredFactor = 3
	// maxSilence is the longest silence during which a server that answers probes is
	// not yet replaced. Callers give up on a stream after two seconds at the earliest.
	maxSilence = 1800 * time.Millisecond
)

// pauses measures how long the healthy engines of a service pause between events while
// they read prompts. It takes no lock, since every stream writes to it.
//
// Healthy servers that are slow pause for long; they must not be mistaken for failed
// ones, since each takeover makes another server read the prompt again.
type pauses struct {
	samples [pauseSamples]atomic.Int64 // nanoseconds, the oldest replaced first
	count   atomic.Uint64
	usual   atomic.Int64 // nanoseconds; 0: not measured
}

// observe records a pause after which the stream continued.
func (p *pauses) observe(pause time.Duration) {
	if pause < minPause {
		return
	}
	n := p.count.Add(1)
	p.samples[(n-1)%pauseSamples].Store(int64(pause))
	if n < minPauseSamples {
		return
	}
	var sorted []int64
	for i := range min(n, pauseSamples) {
		sorted = append(sorted, p.samples[i].Load())
	}
	slices.Sort(sorted)
	p.usual.Store(sorted[int(usualQuantile*float64(len(sorted)-1))])
}

// bound returns how long a stream of a server that answers probes may be silent before a
// takeover is attempted: least, or more if the usual pauses there are longer, or not
// measured yet and the server reads a prompt. slowness is the server's, relative to the
// median one.
func (p *pauses) bound(least time.Duration, readsPrompt bool, slowness float64) time.Duration {
	usual := p.usual.Load()
	if usual == 0 && readsPrompt {
		return unmeasuredFactor * least
	}
	return max(least, min(time.Duration(silenceFactor*slowness*float64(usual)), maxSilence))
}
