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
	// maxUpdates bounds the changes in one message to about a packet.
	maxUpdates = 12
	// indirectProbes is how many members are asked to probe a silent one.
	indirectProbes = 3
	// successorRounds: each so many-th probe goes to the successor.
	successorRounds = 2
	// maxReprobes bounds the suspects that are probed again each period.
	maxReprobes = 2
	// indirectTimeoutFactor times ProbeTimeout bounds an indirect probe.
	indirectTimeoutFactor = 2
)

// client returns a client for one address.
func (m *Membership) client(addr string) memberpb.Members {
	return memberpb.NewMembersProtobufClient("http://"+addr, m.opts.HTTPClient)
}

// slim leaves the User-Agent line out of every request: some 30 bytes each.
func slim(ctx context.Context) context.Context {
	out, err := twirp.WithHTTPRequestHeaders(ctx, http.Header{"User-Agent": {""}})
	if err != nil {
		return ctx
	}
	return out
}

// probeRound probes the next member of the round robin and the suspects that
// this process accused: a suspect that answers learns of it and refutes.
func (m *Membership) probeRound(ctx context.Context) {
	target, epoch, again, ok := m.drawTargets()
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.tell(ctx, again)
	}()
	defer func() { <-done }()
	if !ok {
		return
	}
	if m.probe(ctx, target) {
		m.noteOutcome(target, epoch, false)
		return
	}
	self := make(chan bool, 1)
	go func() { self <- target.Condition != conditionAlive || m.checkSelf(ctx, target, epoch) }()
	answered := m.probeIndirect(ctx, target)
	m.noteOutcome(target, epoch, !answered)
	if sound := <-self; sound && !answered {
		m.accuse(target, epoch)
	}
}

// checkSelf probes a few other members, to learn whether the fault is here,
// and reports whether nearly all of them answered.
func (m *Membership) checkSelf(ctx context.Context, target record, epoch int) bool {
	var wg sync.WaitGroup
	var failures atomic.Int32
	others := m.pickAlive(selfChecks, target.ID)
	for _, other := range others {
		wg.Go(func() {
			answered := m.probe(ctx, other)
			m.noteOutcome(other, epoch, !answered)
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

func (m *Membership) drawTargets() (target record, epoch int, again []record, ok bool) {
	m.lock()
	defer m.unlock()
	id, ok := m.nextTarget()
	if ok {
		target = m.table.entries[id].record
	}
	for _, e := range m.table.entries {
		if e.Condition == conditionSuspect && e.raised && e.ID != id && len(again) < maxReprobes {
			again = append(again, e.record)
		}
	}
	return target, m.health.epoch, again, ok
}

// nextTarget alternates between the round robin and the successor on the ring
// of hashes. With the round robin alone nobody may happen to probe a dead
// member for k periods, which happens once in e^k times; its predecessor
// probes it every other period.
func (m *Membership) nextTarget() (types.ProcessID, bool) {
	m.rounds++
	if m.rounds%successorRounds == 0 {
		if id := m.table.successor(); id != "" {
			return id, true
		}
	}
	return m.ring.draw(m.rng, func(id types.ProcessID) bool {
		e := m.table.entries[id]
		return e != nil && e.Condition != conditionDead
	})
}

// noteOutcome counts a probe for the judgement on this process's own health.
func (m *Membership) noteOutcome(target record, epoch int, failed bool) {
	m.lock()
	defer m.unlock()
	if m.proves(target, epoch) {
		m.health.note(failed)
	}
}

// proves reports whether a probe of target begun in epoch says anything: not
// if this process was frozen meanwhile, nor if the run probed is no more.
func (m *Membership) proves(target record, epoch int) bool {
	e := m.table.entries[target.ID]
	return e != nil && e.Incarnation == target.Incarnation && epoch == m.health.epoch &&
		time.Since(m.health.lastTick) <= m.freezeBound()
}

// accuse makes a member that didn't answer a suspect, unless the fault may be here.
func (m *Membership) accuse(target record, epoch int) {
	m.lock()
	defer m.unlock()
	now := time.Now()
	if m.proves(target, epoch) && m.health.sound() && m.table.majority(now) {
		m.table.suspect(now, target.ID, target.Incarnation)
	}
}

// probe asks a member directly. It reports whether this very run answered.
func (m *Membership) probe(ctx context.Context, target record) bool {
	ctx, cancel := context.WithTimeout(slim(ctx), m.opts.ProbeTimeout)
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
	return &memberpb.ProbeRequest{From: m.from(), Updates: m.encodeUpdates(m.table.updates(to, 0, nil))}
}

func (m *Membership) encodeUpdates(records []record) []*memberpb.Record {
	m.metrics.records.WithLabelValues("sent").Add(float64(len(records)))
	out := make([]*memberpb.Record, len(records))
	for i, r := range records {
		out[i] = encodeUpdate(r)
	}
	return out
}

// receive merges the head and changes of a message. The head is direct
// evidence of its sender's life.
func (m *Membership) receive(from *memberpb.Record, updates []*memberpb.Record) {
	now := time.Now()
	sender := decode(from)
	m.lock()
	defer m.unlock()
	m.receiveLocked(now, sender, updates)
}

func (m *Membership) receiveLocked(now time.Time, sender record, updates []*memberpb.Record) {
	m.table.apply(now, sender)
	m.table.hear(now, sender.ID, sender.Incarnation)
	limit := retransmitLimit(len(m.table.entries))
	for _, u := range updates {
		if news := m.table.apply(now, decode(u)); !news {
			m.table.queue.known(types.ProcessID(u.GetId()), limit)
		}
	}
	m.metrics.records.WithLabelValues("received").Add(float64(len(updates)))
	m.noteRevision(sender.Address, sender.Revision)
}

// probeIndirect asks a few members to probe a target that didn't answer here,
// and reports whether it answered one of them: then the network between the
// two is at fault, not the target.
func (m *Membership) probeIndirect(ctx context.Context, target record) bool {
	helpers := m.pickAlive(indirectProbes, target.ID)
	ctx, cancel := context.WithTimeout(slim(ctx), indirectTimeoutFactor*m.opts.ProbeTimeout)
	defer cancel()
	reached := make(chan bool, len(helpers))
	for _, helper := range helpers {
		go func() { reached <- m.askHelper(ctx, helper, target) }()
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

func (m *Membership) askHelper(ctx context.Context, helper, target record) bool {
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
	return &memberpb.ProbeIndirectRequest{From: m.from(), Target: encode(target)}
}

// tell probes members at once only to bring news, and reports whether any answered.
func (m *Membership) tell(ctx context.Context, targets []record) bool {
	answers := make(chan bool, len(targets))
	for _, target := range targets {
		go func() { answers <- m.probe(ctx, target) }()
	}
	any := false
	for range targets {
		any = <-answers || any
	}
	return any
}

// pickAlive draws up to n members held alive, other than this and except.
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
