package membership

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// ticksPerPeriod is how often per period deadlines are checked.
	ticksPerPeriod = 10
	// recontactPeriods is the interval, in periods, at which an address outside
	// the round robin is contacted: a dead member, or a seed or VM list entry that
	// never answered.
	recontactPeriods = 5
	// syncPeriods is the interval, in periods, at which the list is compared with
	// that of a random member. resyncPeriods applies after a comparison that found
	// differences, and firstSyncPeriods until the first one that finds none, since
	// many processes may join at once.
	syncPeriods      = 60
	resyncPeriods    = 20
	firstSyncPeriods = 5
	// jitterShare is the relative jitter of periodic work; it spreads the work of
	// members that were started together.
	jitterShare = 0.1
	// burstTokens and burstRate are the size and the refill rate of the token
	// bucket for the extra messages about urgent changes, so that the sudden loss
	// of a zone does not multiply traffic by its size.
	burstTokens = 6.0
	burstRate   = 2.0 // per period
	// burstFanout is the maximum number of members to which one tick sends urgent
	// changes. A fan-out of 3 reaches 94 of 100 members within log3(n) hops;
	// regular probes reach the rest.
	burstFanout = 3
	// vmPollPerMember is multiplied by the size of the site to get the poll
	// interval of the VM list, so that all members together poll twice a second;
	// they pass the results on to each other.
	vmPollPerMember = 500 * time.Millisecond
	// minVMPoll is the shortest poll interval of the VM list, for small sites.
	minVMPoll = 5 * time.Second
)

// schedule starts the periodic work of one call of Run.
type schedule struct {
	m  *Membership
	wg *sync.WaitGroup

	nextProbe, nextRecontact, nextSync, nextVMPoll time.Time // when each is due

	recontacting, syncing, polling atomic.Bool // set while that work is running
}

func newSchedule(m *Membership, wg *sync.WaitGroup) *schedule {
	now := time.Now()
	s := &schedule{m: m, wg: wg, nextProbe: now, nextRecontact: now, nextVMPoll: now}
	s.nextSync = now.Add(s.m.jitter(firstSyncPeriods * m.opts.Period))
	return s
}

// jitter returns d, randomly changed by up to jitterShare.
func (m *Membership) jitter(d time.Duration) time.Duration {
	m.lock()
	defer m.unlock()
	return time.Duration(float64(d) * (1 + jitterShare*(2*m.rng.Float64()-1)))
}

// tick starts the work that is due.
func (s *schedule) tick(ctx context.Context) {
	m := s.m
	frozen := m.housekeeping()
	now := time.Now()
	if !now.Before(s.nextProbe) {
		s.nextProbe = now.Add(m.jitter(m.opts.Period))
		s.start(nil, func() { m.probeRound(ctx) })
	}
	if !now.Before(s.nextRecontact) {
		s.nextRecontact = now.Add(m.recontactInterval())
		s.start(&s.recontacting, func() { m.recontact(ctx) })
	}
	if frozen || !now.Before(s.nextSync) {
		s.nextSync = now.Add(m.jitter(m.syncInterval()))
		s.start(&s.syncing, func() { m.syncRandom(ctx) })
	}
	if m.opts.VMList != nil && !now.Before(s.nextVMPoll) {
		s.nextVMPoll = now.Add(m.jitter(m.vmPollInterval()))
		s.start(&s.polling, func() { m.pollVMs(ctx) })
	}
	s.burst(ctx)
}

// start runs work in a goroutine. If busy is not nil, work is skipped while the
// previous work with the same flag is running.
func (s *schedule) start(busy *atomic.Bool, work func()) {
	if busy != nil && !busy.CompareAndSwap(false, true) {
		return
	}
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		if busy != nil {
			defer busy.Store(false)
		}
		work()
	}()
}

// burst sends urgent changes to a few members without waiting for their turn in
// the round robin.
func (s *schedule) burst(ctx context.Context) {
	m := s.m
	targets := m.burstTargets()
	if len(targets) == 0 {
		return
	}
	s.start(nil, func() { m.notify(ctx, targets) })
}

// burstTargets returns the members to send urgent changes to. It returns none if
// there are no such changes or burstBudget is used up; the changes then stay
// urgent.
func (m *Membership) burstTargets() []record {
	m.lock()
	defer m.unlock()
	if !m.table.urgent {
		return nil
	}
	rate := burstRate / m.opts.Period.Seconds()
	n := 0
	for n < burstFanout && m.burstBudget.take(time.Now(), rate, burstTokens) {
		n++
	}
	if n == 0 {
		return nil
	}
	m.table.urgent = false
	return m.pickAliveLocked(n, "")
}

// housekeeping checks for a freeze of this process, handles expired deadlines and
// publishes changes. It reports whether the process was frozen for at least
// SuspectTimeout.
func (m *Membership) housekeeping() bool {
	m.lock()
	defer m.unlock()
	now := time.Now()
	frozen := m.detectFreeze(now)
	m.table.expire(now, m.health.reliable(m.table.recentDeaths(now)))
	m.updateOwnRevision()
	m.updateCutOff(now)
	if m.table.dirty {
		m.publish(now)
	}
	return frozen
}

// detectFreeze keeps a process that was frozen from suspecting everyone: all its
// timers fire at once, its pending probes look failed and its suspicions
// unrefuted, although the process just did not run. Its pending probes are
// discarded and its suspicions get a new deadline. It reports whether the process
// was frozen for at least SuspectTimeout.
func (m *Membership) detectFreeze(now time.Time) bool {
	gap := now.Sub(m.health.lastTick)
	m.health.lastTick = now
	if gap <= m.freezeThreshold() {
		return false
	}
	m.health.epoch++
	m.table.restartSuspicions(now)
	m.metrics.frozen.Inc()
	if gap < m.opts.SuspectTimeout {
		return false
	}
	m.opts.Recorder.Emit(eventFrozen, "seconds", gap.Seconds())
	return true
}

// freezeThreshold is the gap between ticks above which a probe may have timed out
// because this process was not running.
func (m *Membership) freezeThreshold() time.Duration {
	return m.opts.Period/ticksPerPeriod + m.opts.ProbeTimeout
}

// updateCutOff emits an event when this process loses or regains the majority.
func (m *Membership) updateCutOff(now time.Time) {
	cutOff := !m.table.majority(now)
	if cutOff == m.cutOff {
		return
	}
	m.cutOff = cutOff
	if cutOff {
		m.metrics.cutOff.Set(1)
		m.opts.Recorder.Emit(eventCutOff, "members", len(m.table.entries))
		return
	}
	m.metrics.cutOff.Set(0)
	m.opts.Recorder.Emit(eventReconnected, "members", len(m.table.entries))
}
