package route

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/pearyard/pearyard/types"
)

// ewmaWeight is the weight of a new sample in the moving averages.
const ewmaWeight = 0.2

// Stats holds what one router has measured of one candidate. All methods are safe
// for concurrent use. The fields are read one by one, so values may be one sample
// apart, which is acceptable for an estimate.
type Stats struct {
	inFlight atomic.Int64
	waiting  atomic.Int64 // those of inFlight that wait for their first token
	suspects atomic.Int64 // those of inFlight that may have crashed an engine

	reported    atomic.Int64 // running and queued, as reported
	ownAtReport atomic.Int64 // inFlight when the report arrived
	reportedAt  atomic.Int64 // Unix nanoseconds; 0: no report yet

	step       atomicFloat // moving average in microseconds; 0: unknown
	firstToken atomicFloat // moving average in microseconds; 0: unknown

	startedAt   atomic.Int64 // start of the slow start in Unix nanoseconds; 0: none
	failures    atomic.Int64 // consecutive
	failedAt    atomic.Int64 // Unix nanoseconds
	slow        atomic.Bool
	lastTokenAt atomic.Int64 // Unix nanoseconds of the last token of any request
	stalledAt   atomic.Int64 // Unix nanoseconds at which a started request was last seen without progress

	cacheSequence atomic.Uint64 // of the last cache event
	cacheGaps     atomic.Uint64
}

// Report records a load report of the candidate. A report that is older than the
// last one is ignored.
func (s *Stats) Report(load types.Load) {
	at := load.At.UnixNano()
	if at < s.reportedAt.Load() {
		return
	}
	s.reported.Store(int64(load.Running + load.Queued))
	s.ownAtReport.Store(s.inFlight.Load())
	s.reportedAt.Store(at)
	if load.StepMicros > 0 {
		s.ObserveStep(time.Duration(load.StepMicros) * time.Microsecond)
	}
}

// ObserveStep records the time between two tokens.
func (s *Stats) ObserveStep(d time.Duration) { s.step.update(float64(d.Microseconds())) }

// ObserveFirstToken records the time from sending a request to its first token.
func (s *Stats) ObserveFirstToken(d time.Duration) { s.firstToken.update(float64(d.Microseconds())) }

// BeginSlowStart begins the slow start of a process that has just started or
// returned from a pause.
func (s *Stats) BeginSlowStart(now time.Time) { s.startedAt.Store(now.UnixNano()) }

// RecordSuccess resets the count of consecutive failures.
func (s *Stats) RecordSuccess() {
	if s.failures.Load() != 0 {
		s.failures.Store(0)
	}
}

// RecordFailure counts a request that the candidate could not accept or has lost.
func (s *Stats) RecordFailure(now time.Time) {
	s.failedAt.Store(now.UnixNano())
	s.failures.Add(1)
}

// RecordToken records that a request has received a token.
func (s *Stats) RecordToken(now time.Time) { s.lastTokenAt.Store(now.UnixNano()) }

// RecordStall records that a request which had received tokens receives none any
// more.
func (s *Stats) RecordStall(now time.Time) { s.stalledAt.Store(now.UnixNano()) }

// Stalled reports whether the candidate, as far as this router sees, makes no
// progress for any request: one request has stalled, and no other has received a
// token since.
func (s *Stats) Stalled() bool { return s.stalledAt.Load() > s.lastTokenAt.Load() }

// InFlight returns the number of this router's requests at the candidate.
func (s *Stats) InFlight() int { return int(s.inFlight.Load()) }

// Suspects returns the number of this router's requests at the candidate that may
// have crashed an engine.
func (s *Stats) Suspects() int { return int(s.suspects.Load()) }

// Slow reports whether the candidate is avoided because of its step time.
func (s *Stats) Slow() bool { return s.slow.Load() }

// Step returns the average time between two tokens; 0 if unknown.
func (s *Stats) Step() time.Duration { return micros(s.step.load()) }

// FirstToken returns the average time to the first token; 0 if unknown.
func (s *Stats) FirstToken() time.Duration { return micros(s.firstToken.load()) }

// Reported returns the last reported number of running and queued requests and
// when it was read (the zero time if there is no report).
func (s *Stats) Reported() (int, time.Time) {
	at := s.reportedAt.Load()
	if at == 0 {
		return 0, time.Time{}
	}
	return int(s.reported.Load()), time.Unix(0, at)
}

// Failures returns the number of consecutive failures.
func (s *Stats) Failures() int { return int(s.failures.Load()) }

// CacheGaps returns the number of gaps seen in the sequence of the candidate's
// cache events.
func (s *Stats) CacheGaps() uint64 { return s.cacheGaps.Load() }

// recordSequence records the sequence number of a cache event and counts a gap
// before it.
func (s *Stats) recordSequence(n uint64) {
	last := s.cacheSequence.Swap(n)
	if last != 0 && n > last+1 {
		s.cacheGaps.Add(1)
	}
}

func micros(f float64) time.Duration { return time.Duration(f) * time.Microsecond }

// atomicFloat is a float64 with atomic access; its zero value is 0, which update
// takes as "no sample yet".
type atomicFloat struct{ bits atomic.Uint64 }

func (f *atomicFloat) load() float64   { return math.Float64frombits(f.bits.Load()) }
func (f *atomicFloat) store(v float64) { f.bits.Store(math.Float64bits(v)) }

// update updates the moving average with sample; the first sample is taken as is.
func (f *atomicFloat) update(sample float64) {
	for {
		old := f.bits.Load()
		next := sample
		if old != 0 {
			value := math.Float64frombits(old)
			next = value + ewmaWeight*(sample-value)
		}
		if f.bits.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}
