package directory

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// speedSmoothing is the weight of a new sample in the moving average: three prompts
	// are enough to detect a server that becomes slow or fast.
	speedSmoothing = 0.3
	// abandonedTimeFactor is the assumed ratio of the prefill time to the time waited for a
	// prompt whose stream ended before its first event. With the waiting time alone, the
	// next prompt would always seem to be just in time.
	abandonedTimeFactor = 1.5
	// utilizationWindow is the time constant of the utilization, about the duration of a
	// stream at a busy server. A shorter one would follow single prompts, a much longer
	// one would show a burst too late.
	utilizationWindow = 10 * time.Second
	// medianTTL is how long the median speed of a service is used before it is computed
	// again, which takes a pass over all servers.
	medianTTL = 250 * time.Millisecond
	// trialInterval is the shortest time after a server's newest measurement or trial at
	// which it gets a trial prompt although it is considered too slow. Each trial may
	// delay a stream: a shorter interval would risk more of them while servers are slow, a
	// longer one leaves recovered servers idle.
	trialInterval = 10 * time.Second
)

// prefillStats estimates how fast a server prefills prompts and what share of its time
// that takes, from the prompts of this process and those reported by peers.
type prefillStats struct {
	mu              sync.Mutex
	secondsPerToken float64   // moving average per prompt token; 0: not measured
	busy            bool      // prompts await prefill
	utilization     float64   // share of the time with queued prompts, as of changedAt
	changedAt       time.Time // time of the newest change of busy
	sampledAt       time.Time // time of the newest sample or trial
}

// record adds a sample of tokens that were prefilled in d. The average is over times, not
// speeds: a prompt that is partly cached takes almost no time, and a single one would
// make the server look ten times as fast for many prompts.
func (p *prefillStats) record(tokens int64, d time.Duration) {
	if tokens <= 0 || d <= 0 {
		return
	}
	secondsPerToken := d.Seconds() / float64(tokens)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sampledAt = time.Now()
	if p.secondsPerToken == 0 {
		p.secondsPerToken = secondsPerToken
		return
	}
	p.secondsPerToken += speedSmoothing * (secondsPerToken - p.secondsPerToken)
}

// recordAbandoned records that tokens were not prefilled within d. It counts only if they
// should have been prefilled by then at the average speed: streams end early for many
// reasons.
func (p *prefillStats) recordAbandoned(tokens int64, d time.Duration) {
	if tokens <= 0 {
		return
	}
	atLeast := time.Duration(abandonedTimeFactor * float64(d))
	p.mu.Lock()
	news := atLeast.Seconds()/float64(tokens) > p.secondsPerToken
	p.mu.Unlock()
	if news {
		p.record(tokens, atLeast)
	}
}

// setBusy records whether prompts are queued from now on.
func (p *prefillStats) setBusy(busy bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy == busy {
		return
	}
	p.utilization = p.utilizationLocked(now)
	p.busy, p.changedAt = busy, now
}

func (p *prefillStats) utilizationLocked(now time.Time) float64 {
	weight := math.Exp(-float64(now.Sub(p.changedAt)) / float64(utilizationWindow))
	target := 0.0
	if p.busy {
		target = 1
	}
	return target + (p.utilization-target)*weight
}

// QueuedTokens returns the prompt tokens queued ahead of a new prompt.
func (s *Server) QueuedTokens() int64 {
	return max(0, s.queuedTokens.Load()) + max(0, s.peerQueuedTokens.Load())
}

// updateUtilization records whether prompts are queued now.
func (s *Server) updateUtilization() { s.prefillStats.setBusy(s.QueuedTokens() > 0, time.Now()) }

// Utilization returns the share of its recent time, from 0 to 1, in which the server had
// prompts to prefill.
func (s *Server) Utilization(now time.Time) float64 {
	s.prefillStats.mu.Lock()
	defer s.prefillStats.mu.Unlock()
	return s.prefillStats.utilizationLocked(now)
}

func (s *Server) ownSpeed() float64 {
	s.prefillStats.mu.Lock()
	defer s.prefillStats.mu.Unlock()
	if s.prefillStats.secondsPerToken == 0 {
		return 0
	}
	return 1 / s.prefillStats.secondsPerToken
}

// GrantTrial reports whether a server that is considered too slow may get a trial prompt
// now: it must have no prompts queued, and neither a measurement nor a trial within
// trialInterval. A trial that is granted counts as begun.
//
// Samples come only from a server's own responses: without trials, a server that has
// recovered would stay idle.
func (s *Server) GrantTrial(now time.Time) bool {
	if s.QueuedTokens() > 0 {
		return false
	}
	s.prefillStats.mu.Lock()
	defer s.prefillStats.mu.Unlock()
	if now.Sub(s.prefillStats.sampledAt) < trialInterval {
		return false
	}
	s.prefillStats.sampledAt = now
	return true
}

// PrefillSpeed returns the prompt tokens that a server prefills per second: the median of
// recent samples of any process, or else this process's average over all prompts, or else
// the median over the service's measured servers; 0 without any.
func (d *Directory) PrefillSpeed(s *Server, now time.Time) float64 {
	if perToken := s.samples.median(now); perToken > 0 {
		return 1 / perToken.Seconds()
	}
	if speed := s.ownSpeed(); speed > 0 {
		return speed
	}
	return d.medianSpeed(s.Service, now)
}

// cachedMedian is the median speed of a service's servers and when it was computed.
type cachedMedian struct {
	speed float64 // prompt tokens per second
	at    time.Time
}

func (d *Directory) medianSpeed(service string, now time.Time) float64 {
	if m, ok := d.medianSpeeds.Load(service); ok && now.Sub(m.(cachedMedian).at) < medianTTL {
		return m.(cachedMedian).speed
	}
	var speeds []float64
	for _, s := range d.view.Load().Service(service) {
		if speed := s.ownSpeed(); speed > 0 {
			speeds = append(speeds, speed)
		}
	}
	m := cachedMedian{at: now}
	if len(speeds) > 0 {
		slices.Sort(speeds)
		m.speed = speeds[len(speeds)/2]
	}
	d.medianSpeeds.Store(service, m)
	return m.speed
}

// Soonest returns the usable server of this process's cell for which end is least, nil if
// there is none; end estimates how long a request would take there. Servers of other cells
// are left out: their load is not reported here, so that every process would take them for
// idle.
func (d *Directory) Soonest(q Query, now time.Time, end func(*Server) time.Duration) *Server {
	list := d.view.Load().Service(q.Service)
	zones := countZoneLosses(list, now)
	q = d.withMemory(q, list, now)
	var found *Server
	var least time.Duration
	for _, s := range d.serversInOwnCell(list) {
		if q.Exclude[s.Start] || s.Draining() || s.Resting(now) || !q.admits(s) || !q.hasRoom(s, now) || s.IsDown(now) || zones.suspects(s) || s.RecentFaults(now) > maxFaults {
			continue
		}
		if t := end(s); found == nil || t < least {
			found, least = s, t
		}
	}
	return found
}
