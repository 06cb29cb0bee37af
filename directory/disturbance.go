package directory

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// UsualDisturbance is the figure of a machine on which work takes as long as usual.
	UsualDisturbance = 100.0
	// MaxDisturbance is far above what a machine that still serves reports; larger figures
	// are mistakes.
	MaxDisturbance = 10000.0

	// usualTime is the time constant of a server's usual figure: much longer than a
	// disturbance, and short enough for one that has become its lasting speed.
	usualTime = 30 * time.Second
	// firstReports is the number of a start's reports that count alike in its usual figure,
	// and that VMs report to each other whatever they are.
	firstReports = 8
	// The range of the factor on a server's work bounds the effect of a report that is
	// wrong: at the least, work there counts as half of what it is.
	minDisturbanceFactor = 0.5
	maxDisturbanceFactor = 8.0
	// notableDeviation is the share of the usual time from which another figure changes a
	// choice. Calls vary by as much from one to the next.
	notableDeviation = 0.2
	// disturbedFactor is the factor from which a server counts as disturbed for operators.
	disturbedFactor = 1.5
	// longDisturbance is far longer than disturbances last that pass by themselves.
	longDisturbance = 5 * time.Second
)

// figure is what a server has reported of its machine at a time.
type figure struct {
	value float64
	at    time.Time
}

// disturbance is what a start of a server has reported of its machine. It is immutable.
type disturbance struct {
	newest figure
	shared figure    // newest one that peers know
	usual  float64   // geometric mean of the figures, see usualTime
	usedAt time.Time // of the newest figure in usual
	count  int       // of the figures in usual, up to firstReports
	since  time.Time // first of the figures in a row with at least disturbedFactor; zero: the newest has less
}

// factor returns how long work took at the time of the newest figure, relative to the
// server's usual time. Lasting speed is no part of it: Slowness measures that.
func (r *disturbance) factor() float64 { return r.factorOf(r.newest) }

func (r *disturbance) factorOf(f figure) float64 {
	return min(max(f.value/r.usual, minDisturbanceFactor), maxDisturbanceFactor)
}

// factorAt returns how long work is expected to take that begins now and would take work
// on a server as usual, relative to that. A disturbance ends while work goes on, so long
// work is delayed less than short work.
func (r *disturbance) factorAt(now time.Time, work, decay time.Duration) float64 {
	share := remaining(now.Sub(r.newest.at), decay)
	if work > 0 {
		periods := float64(work) / float64(decay)
		share *= -math.Expm1(-periods) / periods
	}
	return 1 + (r.factor()-1)*share
}

// remaining is the share of a disturbance that is expected to be left after a time.
func remaining(age, decay time.Duration) float64 {
	return math.Exp(-float64(max(0, age)) / float64(decay))
}

// with returns the state after a newer figure. Only figures that are an unbiased sample
// count in the usual one: peers report mostly those that differ from it.
func (r *disturbance) with(f figure, unbiased bool) *disturbance {
	if r == nil {
		return &disturbance{newest: f, shared: f, usual: f.value, usedAt: f.at, count: 1}
	}
	next := *r
	next.newest = f
	weight := 0.0
	switch {
	case r.count < firstReports:
		next.count++
		weight = 1 / float64(next.count)
	case unbiased:
		weight = min(1.0/firstReports, -math.Expm1(-float64(f.at.Sub(r.usedAt))/float64(usualTime)))
	}
	if weight > 0 {
		next.usual *= math.Pow(f.value/r.usual, weight)
		next.usedAt = f.at
	}
	switch {
	case next.factor() < disturbedFactor:
		next.since = time.Time{}
	case r.since.IsZero():
		next.since = f.at
	}
	return &next
}

// disturbances holds what all servers of a service have in common.
type disturbances struct {
	mu       sync.Mutex // guards decay
	decay    decayEstimate
	current  atomic.Int64 // decay time, for readers without the lock
	reported atomic.Bool  // a server of the service has reported a figure
}

// decayTimes are the times among which that after which a report has lost most of its
// meaning is found. The shortest is about the time of a call, the longest that of a
// prompt's prefill: what lasts longer is seen in measured times.
var decayTimes = [...]time.Duration{25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond}

const (
	// defaultDecay is used until reports have shown another time.
	defaultDecay = 200 * time.Millisecond
	// decayMemory is the number of comparisons that count: enough to average over single
	// disturbances, few enough to follow another kind of them.
	decayMemory = 300.0
	// decayEvidence is by how much a decay time must have predicted better than the default,
	// as a sum of squares: a few comparisons during strong disturbances.
	decayEvidence = 2.0
)

// decayEstimate finds how fast reports lose their meaning: the decay time with which
// earlier reports would have predicted the next ones of the same servers best.
type decayEstimate [len(decayTimes)]float64

// compare records that a server's factor was before, and after an age is now.
func (e *decayEstimate) compare(before, now float64, age time.Duration) {
	for i, decay := range decayTimes {
		wrong := (now - 1) - (before-1)*remaining(age, decay)
		e[i] += wrong*wrong - e[i]/decayMemory
	}
}

// best returns the decay time that has predicted best.
func (e *decayEstimate) best() time.Duration {
	best, least := defaultDecay, math.Inf(1)
	for i, decay := range decayTimes {
		wrong := e[i]
		if decay != defaultDecay {
			wrong += decayEvidence
		}
		if wrong < least {
			best, least = decay, wrong
		}
	}
	return best
}

func newDisturbances() *disturbances {
	d := &disturbances{}
	d.current.Store(int64(defaultDecay))
	return d
}

// compare improves the decay time by how a server's factor was before, and is after an age.
func (d *disturbances) compare(before, now float64, age time.Duration) {
	if math.Abs(before-1) < notableDeviation {
		return // the prediction is the usual time, whatever the decay
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decay.compare(before, now, age)
	d.current.Store(int64(d.decay.best()))
}

func (d *disturbances) decayTime() time.Duration { return time.Duration(d.current.Load()) }

// RecordDisturbance records the figure with which an answer to this process has said how
// long work takes on the server's machine.
func (s *Server) RecordDisturbance(value float64, now time.Time) {
	if !isFigure(value) {
		return
	}
	if s.recordDisturbance(value, now) {
		s.onDisturbance(s)
	}
}

// recordDisturbance reports whether peers are to know the figure.
func (s *Server) recordDisturbance(value float64, now time.Time) bool {
	s.disturbanceMu.Lock()
	defer s.disturbanceMu.Unlock()
	old := s.disturbance.Load()
	if old != nil && now.Before(old.newest.at) {
		now = old.newest.at // another answer was recorded first
	}
	next := old.with(figure{value, now}, true)
	if old != nil && old.count == firstReports {
		s.disturbances.compare(old.factor(), next.factor(), now.Sub(old.newest.at))
	}
	share := old == nil || old.count < firstReports || next.surprisesPeers(s.disturbances.decayTime())
	if share {
		next.shared = next.newest
	}
	s.disturbance.Store(next)
	return share
}

// surprisesPeers reports whether peers expect a notably different time than the newest figure
// shows.
func (r *disturbance) surprisesPeers(decay time.Duration) bool {
	expected := 1 + (r.factorOf(r.shared)-1)*remaining(r.newest.at.Sub(r.shared.at), decay)
	return math.Abs(r.factor()-expected) > notableDeviation*expected
}

// recordPeerDisturbance records a figure that the server has reported to a peer, unless a
// newer one is known. It reports whether it did.
func (s *Server) recordPeerDisturbance(f figure) bool {
	if !isFigure(f.value) {
		return false
	}
	s.disturbanceMu.Lock()
	defer s.disturbanceMu.Unlock()
	old := s.disturbance.Load()
	if old != nil && !f.at.After(old.newest.at) {
		return false
	}
	next := old.with(f, false)
	next.shared = f
	s.disturbance.Store(next)
	return true
}

func isFigure(value float64) bool { return value >= 1 && value <= MaxDisturbance }

// ReportsDisturbance reports whether the server has reported how long work takes on its
// machine.
func (s *Server) ReportsDisturbance() bool { return s.disturbance.Load() != nil }

// DisturbanceFactor returns how long work is expected to take that begins now and would
// take work on the server as usual, relative to that; 1 for a server that has not reported
// lately or never.
func (s *Server) DisturbanceFactor(work time.Duration, now time.Time) float64 {
	r := s.disturbance.Load()
	if r == nil {
		return 1
	}
	return r.factorAt(now, work, s.disturbances.decayTime())
}
