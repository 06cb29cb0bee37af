package route

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/pearyard/pearyard/types"
)

// ewmaWeight is the weight of a new sample in the moving averages.
const ewmaWeight = 0.2

// Stats is what one router has measured of one candidate. All methods may be
// called at once; the fields are read one by one, so a reader may see them a
// sample apart, which an estimate can bear.
type Stats struct {
	inFlight atomic.Int64
	waiting  atomic.Int64 // of inFlight, those that wait for a first token
	suspects atomic.Int64

	reported   atomic.Int64 // running and queued, as reported
	ownAtRep   atomic.Int64 // own in-flight when the report came
	reportedAt atomic.Int64 // Unix nanoseconds; 0: no report yet

	step       atomicFloat // moving average in microseconds; 0: unknown
	firstToken atomicFloat // moving average in microseconds; 0: unknown

	startedAt atomic.Int64 // Unix nanoseconds; 0: has been running for long
	fails     atomic.Int64 // in a row
	failedAt  atomic.Int64 // Unix nanoseconds
	slow      atomic.Bool
	tokenAt   atomic.Int64 // Unix nanoseconds of the last token of any request
	stillAt   atomic.Int64 // Unix nanoseconds at which a request that had begun was last seen standing still

	cacheSequence atomic.Uint64 // of the last cache event
	cacheGaps     atomic.Uint64
}

// Report takes in what the candidate says of itself. A report that was read
// before the last one is dropped.
func (s *Stats) Report(load types.Load) {
	at := load.At.UnixNano()
	if at < s.reportedAt.Load() {
		return
	}
	s.reported.Store(int64(load.Running + load.Queued))
	s.ownAtRep.Store(s.inFlight.Load())
	s.reportedAt.Store(at)
	if load.StepMicros > 0 {
		s.ObserveStep(time.Duration(load.StepMicros) * time.Microsecond)
	}
}

// ObserveStep takes in the time between two tokens.
func (s *Stats) ObserveStep(d time.Duration) { s.step.average(float64(d.Microseconds())) }

// ObserveFirstToken takes in the time from sending a request to its first token.
func (s *Stats) ObserveFirstToken(d time.Duration) { s.firstToken.average(float64(d.Microseconds())) }

// Started begins the slow start: the process has just started, or has come
// back from a pause.
func (s *Stats) Started(now time.Time) { s.startedAt.Store(now.UnixNano()) }

// Succeeded ends a row of fails.
func (s *Stats) Succeeded() {
	if s.fails.Load() != 0 {
		s.fails.Store(0)
	}
}

// Failed counts a request that the candidate couldn't take or lost.
func (s *Stats) Failed(now time.Time) {
	s.failedAt.Store(now.UnixNano())
	s.fails.Add(1)
}

// Progressed notes that a request has brought a token.
func (s *Stats) Progressed(now time.Time) { s.tokenAt.Store(now.UnixNano()) }

// StoodStill notes that a request which had brought tokens brings none any more.
func (s *Stats) StoodStill(now time.Time) { s.stillAt.Store(now.UnixNano()) }

// Stuck tells whether the candidate, as far as this router sees, makes no step
// for anybody: one request stands still, and no other has brought a token since.
func (s *Stats) Stuck() bool { return s.stillAt.Load() > s.tokenAt.Load() }

// InFlight returns the number of this router's requests at the candidate.
func (s *Stats) InFlight() int { return int(s.inFlight.Load()) }

// Suspects returns how many of them are under suspicion of crashing engines.
func (s *Stats) Suspects() int { return int(s.suspects.Load()) }

// Slow tells whether the candidate is avoided for its step time.
func (s *Stats) Slow() bool { return s.slow.Load() }

// Step returns the average time between two tokens; 0 if unknown.
func (s *Stats) Step() time.Duration { return micros(s.step.load()) }

// FirstToken returns the average time to the first token; 0 if unknown.
func (s *Stats) FirstToken() time.Duration { return micros(s.firstToken.load()) }

// Reported returns the last report of running and queued requests, and when it
// was read (the zero time if there is none).
func (s *Stats) Reported() (int, time.Time) {
	at := s.reportedAt.Load()
	if at == 0 {
		return 0, time.Time{}
	}
	return int(s.reported.Load()), time.Unix(0, at)
}

// Fails returns the number of fails in a row.
func (s *Stats) Fails() int { return int(s.fails.Load()) }

// CacheGaps returns how many gaps the candidate's cache events had.
func (s *Stats) CacheGaps() uint64 { return s.cacheGaps.Load() }

// sequence notes the number of a cache event and counts a gap before it.
func (s *Stats) sequence(n uint64) {
	last := s.cacheSequence.Swap(n)
	if last != 0 && n > last+1 {
		s.cacheGaps.Add(1)
	}
}

func micros(f float64) time.Duration { return time.Duration(f) * time.Microsecond }

// atomicFloat is a float64 with atomic access; its zero value is 0.
type atomicFloat struct{ bits atomic.Uint64 }

func (f *atomicFloat) load() float64   { return math.Float64frombits(f.bits.Load()) }
func (f *atomicFloat) store(v float64) { f.bits.Store(math.Float64bits(v)) }

// average moves the value towards sample; the first sample is taken as it is.
func (f *atomicFloat) average(sample float64) {
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
