package membership

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// ticksPerPeriod is how often a period the deadlines are looked at.
	ticksPerPeriod = 10
	// recontactPeriods is how often a member that isn't in the round robin is
	// tried: a dead one, a seed or a VM list entry that never answered.
	recontactPeriods = 5
	// syncPeriods is how often the list is compared with a random member's,
	// resyncPeriods how soon after a comparison that found differences, and
	// firstSyncPeriods how soon until one finds none, since many may join at once.
	syncPeriods      = 60
	resyncPeriods    = 20
	firstSyncPeriods = 5
	// jitterShare spreads periodic work of members that started together.
	jitterShare = 0.1
	// burstTokens and burstRate bound the messages that urgent news may cause:
	// a zone lost at once must not multiply traffic by its size.
	burstTokens = 6.0
	burstRate   = 2.0 // a period
	// burstFanout is to how many members urgent news goes at once. Fan-out 3
	// reaches 94 in 100 within log3(n) hops; probes bring it to the rest.
	burstFanout = 3
	// vmPollPerMember stretches the polls of the VM list with the site, so that
	// all members together ask twice a second and tell each other the result.
	vmPollPerMember = 500 * time.Millisecond
	// minVMPoll bounds the polls of a small site's members.
	minVMPoll = 5 * time.Second
)

// loop is the schedule of one Run.
type loop struct {
	m  *Membership
	wg *sync.WaitGroup

	nextProbe, nextRecontact, nextSync, nextVMPoll time.Time

	recontacting, syncing, polling atomic.Bool
}

func newLoop(m *Membership, wg *sync.WaitGroup) *loop {
	now := time.Now()
	l := &loop{m: m, wg: wg, nextProbe: now, nextRecontact: now, nextVMPoll: now}
	l.nextSync = now.Add(l.m.jitter(firstSyncPeriods * m.opts.Period))
	return l
}

func (m *Membership) jitter(d time.Duration) time.Duration {
	m.lock()
	defer m.unlock()
	return time.Duration(float64(d) * (1 + jitterShare*(2*m.rng.Float64()-1)))
}

// tick does what is due.
func (l *loop) tick(ctx context.Context) {
	m := l.m
	frozen := m.housekeeping()
	now := time.Now()
	if !now.Before(l.nextProbe) {
		l.nextProbe = now.Add(m.jitter(m.opts.Period))
		l.start(nil, func() { m.probeRound(ctx) })
	}
	if !now.Before(l.nextRecontact) {
		l.nextRecontact = now.Add(m.recontactInterval())
		l.start(&l.recontacting, func() { m.recontact(ctx) })
	}
	if frozen || !now.Before(l.nextSync) {
		l.nextSync = now.Add(m.jitter(m.syncInterval()))
		l.start(&l.syncing, func() { m.syncRandom(ctx) })
	}
	if m.opts.VMList != nil && !now.Before(l.nextVMPoll) {
		l.nextVMPoll = now.Add(m.jitter(m.vmPollInterval()))
		l.start(&l.polling, func() { m.pollVMs(ctx) })
	}
	l.burst(ctx)
}

// start runs work beside the loop; of one kind at most one, if busy is given.
func (l *loop) start(busy *atomic.Bool, work func()) {
	if busy != nil && !busy.CompareAndSwap(false, true) {
		return
	}
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		if busy != nil {
			defer busy.Store(false)
		}
		work()
	}()
}

// burst sends urgent news to a few members at once.
func (l *loop) burst(ctx context.Context) {
	m := l.m
	targets := m.takeBurst()
	if len(targets) == 0 {
		return
	}
	l.start(nil, func() { m.tell(ctx, targets) })
}

// takeBurst returns the members to tell urgent news, none if there is none or
// the budget is used up; the news then waits, marked as urgent.
func (m *Membership) takeBurst() []record {
	m.lock()
	defer m.unlock()
	if !m.table.urgent {
		return nil
	}
	rate := burstRate / m.opts.Period.Seconds()
	n := 0
	for n < burstFanout && m.burst.take(time.Now(), rate, burstTokens) {
		n++
	}
	if n == 0 {
		return nil
	}
	m.table.urgent = false
	return m.pickAliveLocked(n, "")
}

// housekeeping looks at deadlines and at this process's own health. It reports
// whether the process was frozen for long.
func (m *Membership) housekeeping() bool {
	m.lock()
	defer m.unlock()
	now := time.Now()
	frozen := m.noticeFreeze(now)
	m.table.expire(now, m.health.sound())
	m.checkRevision()
	m.checkMajority(now)
	if m.table.dirty {
		m.publish(now)
	}
	return frozen
}

// noticeFreeze guards against a frozen and thawed process accusing everyone:
// its timers all fire at once, its pending probes look failed and its
// suspicions unrefuted, though it just didn't run. What it saw is discarded.
func (m *Membership) noticeFreeze(now time.Time) bool {
	gap := now.Sub(m.health.lastTick)
	m.health.lastTick = now
	if gap <= m.freezeBound() {
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

// freezeBound is the gap between ticks past which a probe may have timed out
// for want of running here.
func (m *Membership) freezeBound() time.Duration {
	return m.opts.Period/ticksPerPeriod + m.opts.ProbeTimeout
}

func (m *Membership) checkMajority(now time.Time) {
	cut := !m.table.majority(now)
	if cut == m.cutOff {
		return
	}
	m.cutOff = cut
	if cut {
		m.metrics.cutOff.Set(1)
		m.opts.Recorder.Emit(eventCutOff, "members", len(m.table.entries))
		return
	}
	m.metrics.cutOff.Set(0)
	m.opts.Recorder.Emit(eventReconnected, "members", len(m.table.entries))
}
