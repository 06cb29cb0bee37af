package membership

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/twitchtv/twirp"

	memberpb "github.com/pearyard/pearyard/rpc/member"
	"github.com/pearyard/pearyard/types"
)

const (
	// maxUpdates limits the changes in one message to about one packet.
	maxUpdates = 12
	// indirectProbes is the number of members asked to probe one that does not
	// answer.
	indirectProbes = 3
	// successorRounds: one in this many probe rounds goes to the successor.
	successorRounds = 2
	// maxReprobes limits the suspects that are probed again in each period.
	maxReprobes = 2
	// indirectTimeoutFactor times ProbeTimeout is the timeout of an indirect
	// probe.
	indirectTimeoutFactor = 2
)

// client returns a client for the member at addr.
func (m *Membership) client(addr string) memberpb.Members {
	return memberpb.NewMembersProtobufClient("http://"+addr, m.opts.HTTPClient)
}

// omitUserAgent removes the User-Agent header from requests, which saves some 30
// bytes each.
func omitUserAgent(ctx context.Context) context.Context {
	out, err := twirp.WithHTTPRequestHeaders(ctx, http.Header{"User-Agent": {""}})
	if err != nil {
		return ctx
	}
	return out
}

// probeRound probes the next member of the round robin and the suspects that this
// process has suspected itself: a suspect that answers learns of the suspicion and
// refutes it.
func (m *Membership) probeRound(ctx context.Context) {
	target, epoch, suspects, ok := m.probeTargets()
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.notify(ctx, suspects)
	}()
	defer func() { <-done }()
	if !ok {
		return
	}
	if m.probe(ctx, target) {
		m.recordOutcome(target, epoch, false)
		return
	}
	// A target that is a suspect already is not suspected again: no self-check.
	selfCheck := make(chan bool, 1)
	go func() { selfCheck <- target.Condition != conditionAlive || m.checkSelf(ctx, target, epoch) }()
	answered := m.probeIndirect(ctx, target)
	m.recordOutcome(target, epoch, !answered)
	if healthy := <-selfCheck; healthy && !answered {
		m.suspect(target, epoch)
	}
}

// checkSelf probes a few other members to find out whether the fault is on this
// side. It reports whether nearly all of them answered.
func (m *Membership) checkSelf(ctx context.Context, target record, epoch int) bool {
	var wg sync.WaitGroup
	var failures atomic.Int32
	others := m.pickAlive(selfChecks, target.ID)
	for _, other := range others {
		wg.Go(func() {
			answered := m.probe(ctx, other)
			m.recordOutcome(other, epoch, !answered)
			if !answered {
				failures.Add(1)
			}
		})
	}
	wg.Wait()
	allowed := 0
	if len(others) == selfChecks {
		allowed = selfCheckFailures
	}
	return int(failures.Load()) <= allowed
}

// probeTargets returns the member to probe in this round, if there is one (ok),
// the epoch in which the round begins, and the suspects to probe again.
func (m *Membership) probeTargets() (target record, epoch int, suspects []record, ok bool) {
	m.lock()
	defer m.unlock()
	id, ok := m.nextTarget()
	if ok {
		target = m.table.entries[id].record
	}
	for _, e := range m.table.entries {
		if e.Condition == conditionSuspect && e.suspectedHere && e.ID != id && len(suspects) < maxReprobes {
			suspects = append(suspects, e.record)
		}
	}
	return target, m.health.epoch, suspects, ok
}

// nextTarget alternates between the round robin and the successor on the hash
// ring. With the round robin alone, the probability that nobody probes a dead
// member for k periods is e^-k; its predecessor probes it every other period.
func (m *Membership) nextTarget() (types.ProcessID, bool) {
	m.rounds++
	if m.rounds%successorRounds == 0 {
		if id := m.table.successor(); id != "" {
			return id, true
		}
	}
	return m.ring.next(m.rng, func(id types.ProcessID) bool {
		e := m.table.entries[id]
		return e != nil && e.Condition != conditionDead
	})
}

// recordOutcome counts a probe result toward this process's own health, if it is
// valid.
func (m *Membership) recordOutcome(target record, epoch int, failed bool) {
	m.lock()
	defer m.unlock()
	if m.isValid(target, epoch) {
		m.health.addOutcome(failed)
	}
}

// isValid reports whether the result of a probe of target that began in epoch can
// be used. It cannot if this process was frozen meanwhile or if the probed
// incarnation is no longer current.
func (m *Membership) isValid(target record, epoch int) bool {
	e := m.table.entries[target.ID]
	return e != nil && e.Incarnation == target.Incarnation && epoch == m.health.epoch &&
		time.Since(m.health.lastTick) <= m.freezeThreshold()
}

// suspect marks a member that did not answer as suspect, unless the fault may be
// on this side.
func (m *Membership) suspect(target record, epoch int) {
	m.lock()
	defer m.unlock()
	now := time.Now()
	if m.isValid(target, epoch) && m.health.reliable(m.table.recentDeaths(now)) && m.table.majority(now) {
		m.table.suspect(now, target.ID, target.Incarnation)
	}
}

// probe sends a direct probe and reports whether the very incarnation of target
// answered.
func (m *Membership) probe(ctx context.Context, target record) bool {
	ctx, cancel := context.WithTimeout(omitUserAgent(ctx), m.opts.ProbeTimeout)
	defer cancel()
	req := m.probeRequest(target.ID)
	resp, err := m.client(target.Address).Probe(ctx, req)
	if err != nil {
		m.metrics.probes.WithLabelValues("direct", "failed").Inc()
		return false
	}
	m.metrics.probes.WithLabelValues("direct", "answered").Inc()
	m.receive(resp.GetFrom(), resp.GetUpdates())
	return answeredBy(resp.GetFrom(), target)
}

func answeredBy(from *memberpb.Record, target record) bool {
	return from.GetId() == string(target.ID) && from.GetIncarnation() == uint64(target.Incarnation)
}

func (m *Membership) probeRequest(to types.ProcessID) *memberpb.ProbeRequest {
	m.lock()
	defer m.unlock()
	return &memberpb.ProbeRequest{From: m.ownRecord(), Updates: m.encodeUpdates(m.table.updates(to, 0, nil))}
}

func (m *Membership) encodeUpdates(records []record) []*memberpb.Record {
	m.metrics.records.WithLabelValues("sent").Add(float64(len(records)))
	out := make([]*memberpb.Record, len(records))
	for i, r := range records {
		out[i] = encodeUpdate(r)
	}
	return out
}

// receive merges the records of a message. The sender's own record, from, is
// direct evidence that it is alive.
func (m *Membership) receive(from *memberpb.Record, updates []*memberpb.Record) {
	now := time.Now()
	sender := decode(from)
	m.lock()
	defer m.unlock()
	m.receiveLocked(now, sender, updates)
}

func (m *Membership) receiveLocked(now time.Time, sender record, updates []*memberpb.Record) {
	m.table.apply(now, sender)
	m.table.recordContact(now, sender.ID, sender.Incarnation)
	limit := retransmitLimit(len(m.table.entries))
	for _, u := range updates {
		if changed := m.table.apply(now, decode(u)); !changed {
			m.table.queue.recordDuplicate(types.ProcessID(u.GetId()), limit)
		}
	}
	m.metrics.records.WithLabelValues("received").Add(float64(len(updates)))
	m.checkNewerRevision(sender.Address, sender.Revision)
}

// probeIndirect asks a few members to probe a target that did not answer this
// process. It reports whether the target answered one of them: in that case the
// network path is at fault, not the target.
func (m *Membership) probeIndirect(ctx context.Context, target record) bool {
	helpers := m.pickAlive(indirectProbes, target.ID)
	ctx, cancel := context.WithTimeout(omitUserAgent(ctx), indirectTimeoutFactor*m.opts.ProbeTimeout)
	defer cancel()
	reached := make(chan bool, len(helpers))
	for _, helper := range helpers {
		go func() { reached <- m.probeThrough(ctx, helper, target) }()
	}
	for range helpers {
		if <-reached {
			m.metrics.probes.WithLabelValues("indirect", "answered").Inc()
			return true
		}
	}
	m.metrics.probes.WithLabelValues("indirect", "failed").Inc()
	return false
}

// probeThrough asks helper to probe target and reports whether target answered it.
func (m *Membership) probeThrough(ctx context.Context, helper, target record) bool {
	resp, err := m.client(helper.Address).ProbeIndirect(ctx, m.indirectRequest(target))
	if err != nil {
		return false
	}
	m.receive(resp.GetFrom(), nil)
	if resp.GetTarget() == nil || !answeredBy(resp.GetTarget(), target) {
		return false
	}
	m.receive(resp.GetTarget(), nil)
	return true
}

func (m *Membership) indirectRequest(target record) *memberpb.ProbeIndirectRequest {
	m.lock()
	defer m.unlock()
	return &memberpb.ProbeIndirectRequest{From: m.ownRecord(), Target: encode(target)}
}

// notify probes targets all at once, only to deliver changes, and reports whether
// any of them answered.
func (m *Membership) notify(ctx context.Context, targets []record) bool {
	answers := make(chan bool, len(targets))
	for _, target := range targets {
		go func() { answers <- m.probe(ctx, target) }()
	}
	answered := false
	for range targets {
		answered = <-answers || answered
	}
	return answered
}

// pickAlive returns up to n random members in conditionAlive, other than this
// process and except.
func (m *Membership) pickAlive(n int, except types.ProcessID) []record {
	m.lock()
	defer m.unlock()
	return m.pickAliveLocked(n, except)
}

func (m *Membership) pickAliveLocked(n int, except types.ProcessID) []record {
	ids := m.ring.ids
	var out []record
	for _, i := range m.rng.Perm(len(ids)) {
		e := m.table.entries[ids[i]]
		if e == nil || e.ID == except || e.Condition != conditionAlive {
			continue
		}
		out = append(out, e.record)
		if len(out) == n {
			break
		}
	}
	return out
}
