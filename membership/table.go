package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pearyard/pearyard/types"
)

const (
	// deadRetention is how long a dead member is remembered, so that late news
	// of its life isn't believed and a mended partition is noticed.
	deadRetention = 24 * time.Hour
	// deathWindow is how long a death counts against the majority rule.
	deathWindow = 5 * time.Minute
)

// entry is a member as this process holds it: the shared record and what this
// process alone knows.
type entry struct {
	record
	since    time.Time // when condition last changed here
	heard    time.Time // last direct evidence of life; never travels
	deadline time.Time // of a suspicion
	place    uint64    // on the ring of hashes
	raised   bool      // this process raised the suspicion, and keeps probing
}

// believedAlive reports direct evidence of life later than the suspicion.
func (e *entry) believedAlive() bool { return e.heard.After(e.since) }

// shown is the member as the view shows it: a live answer clears a suspicion
// here at once, before the member's refutation has come round.
func (e *entry) shown() Member {
	m := e.member()
	if m.State == StateSuspect && e.believedAlive() {
		m.State = StateAlive
	}
	return m
}

// transition is one change of a member that the caller reports and acts on.
type transition struct {
	record                 // as it is now
	old    State           // empty for a new member or a later run of a known one
	took   types.ProcessID // member whose address the new one has taken
}

// table merges news into entries. It does no input or output, takes the time
// as an argument and is guarded by Membership.mu.
type table struct {
	self           types.ProcessID
	suspectTimeout time.Duration
	entries        map[types.ProcessID]*entry
	byAddress      map[string]types.ProcessID // latest incarnation at each address
	queue          *queue
	digests        digests

	dirty       bool              // the published view is behind
	urgent      bool              // news that is to be passed on at once
	behind      types.Incarnation // higher incarnation heard of the own id; 0: none
	transitions []transition      // not yet reported
}

func newTable(self record, suspectTimeout time.Duration, now time.Time) *table {
	t := &table{
		self:           self.ID,
		suspectTimeout: suspectTimeout,
		entries:        map[types.ProcessID]*entry{},
		byAddress:      map[string]types.ProcessID{},
		queue:          newQueue(),
	}
	t.put(now, nil, self)
	return t
}

func (t *table) own() *entry { return t.entries[t.self] }

// apply merges one record and reports whether it was news.
func (t *table) apply(now time.Time, r record) bool {
	if r.ID == "" || r.Incarnation == 0 {
		return false
	}
	if r.ID == t.self {
		t.applyOwn(now, r)
		return false
	}
	e := t.entries[r.ID]
	if !t.takes(e, r) {
		return false
	}
	if e == nil {
		t.put(now, nil, r)
		return true
	}
	merged := merge(e.record, r)
	if sameNews(merged, e.record) {
		t.dirty = t.dirty || merged.Revision != e.Revision
		e.Revision = merged.Revision
		return false
	}
	t.put(now, e, merged)
	return true
}

// takes reports whether a record can be merged at all.
func (t *table) takes(e *entry, r record) bool {
	if e == nil {
		return r.Address != "" && r.Condition != conditionDead
	}
	// A short record of a run that isn't known here can't be placed; the next
	// comparison of lists brings it whole.
	return r.Address != "" || r.Incarnation <= e.Incarnation
}

// applyOwn answers news of this process. Leaving is taken over: it was marked
// by an operator or the VM list. A suspicion or death is refuted by a higher
// counter; the incarnation stays, it names the run and calls depend on it.
func (t *table) applyOwn(now time.Time, r record) {
	own := t.own()
	switch {
	case r.Incarnation > own.Incarnation:
		t.behind = max(t.behind, r.Incarnation)
		return
	case r.Incarnation < own.Incarnation || t.byAddress[own.Address] != t.self:
		return // an earlier run is meant, or a later process has taken the address
	}
	next := own.record
	next.Leaving = own.Leaving || r.Leaving
	if r.Condition != conditionAlive && r.Counter >= own.Counter {
		next.Counter = r.Counter + 1
		t.urgent = true
	} else if r.Counter > own.Counter {
		next.Counter = r.Counter
	}
	if next != own.record {
		t.put(now, own, next)
	}
}

// put stores a record that differs from the entry's and queues it as news.
func (t *table) put(now time.Time, e *entry, r record) {
	change := transition{}
	if e == nil {
		e = &entry{place: xxhash.Sum64String(string(r.ID))}
		t.entries[r.ID] = e
	} else {
		if e.Incarnation == r.Incarnation {
			change.old = e.state()
		}
		t.digests.toggle(e.record)
	}
	if e.Incarnation != r.Incarnation || e.Condition != r.Condition || e.Counter != r.Counter {
		e.since = now
		e.raised = false
		e.deadline = now.Add(t.suspectTimeout)
	}
	if e.Incarnation != r.Incarnation {
		e.heard = time.Time{}
	}
	change.record = r
	if e.Address != r.Address && t.byAddress[e.Address] == r.ID {
		delete(t.byAddress, e.Address)
	}
	e.record = r
	t.digests.toggle(r)
	if r.ID != t.self { // the own record heads every message
		t.queue.add(r.ID)
	}
	t.dirty = true
	if s := e.state(); s != change.old && s != StateAlive {
		t.urgent = true
	}
	change.took = t.takeAddress(now, r)
	t.transitions = append(t.transitions, change)
}

// takeAddress guards against calls to a VM that no longer exists: a later
// incarnation under the same address proves that the earlier member is gone,
// without waiting for suspicion, and no probe could tell, since the address
// answers. It returns the member replaced.
func (t *table) takeAddress(now time.Time, r record) types.ProcessID {
	holder := t.entries[t.byAddress[r.Address]]
	if holder == nil || holder.ID == r.ID {
		t.byAddress[r.Address] = r.ID
		return ""
	}
	loser := holder
	if later(holder.record, r) {
		loser = t.entries[r.ID]
	} else {
		t.byAddress[r.Address] = r.ID
	}
	if loser.Condition == conditionDead || loser.ID == t.self {
		return ""
	}
	gone := loser.record
	gone.Condition = conditionDead
	t.put(now, loser, gone)
	return loser.ID
}

// hear notes direct evidence of life and returns whether the member is held
// suspect or dead, so that it should be told.
func (t *table) hear(now time.Time, id types.ProcessID, inc types.Incarnation) bool {
	e := t.entries[id]
	if e == nil || id == t.self || e.Incarnation != inc {
		return false
	}
	t.dirty = t.dirty || (e.Condition == conditionSuspect && !e.believedAlive())
	e.heard = now
	return e.Condition != conditionAlive
}

// successor returns the next member held alive on the ring of hashes; "" if alone.
func (t *table) successor() types.ProcessID {
	from := t.own().place
	var next *entry
	for id, e := range t.entries {
		if id == t.self || e.Condition != conditionAlive {
			continue
		}
		if next == nil || e.place-from < next.place-from { // unsigned: distances wrap round
			next = e
		}
	}
	if next == nil {
		return ""
	}
	return next.ID
}

// concerns reports whether a member should hear what is held of it: that it is
// accused or leaving, or that a later run than run (0: not known) is held alive.
func (t *table) concerns(e *entry, run types.Incarnation) bool {
	return e.Condition != conditionAlive || e.Leaving || run != 0 && e.Incarnation > run
}

// updates picks the changes to piggyback on a message to a member: first what
// is held of that member itself, if it should answer it, then queued changes.
// had holds the records that the member has just sent.
func (t *table) updates(to types.ProcessID, run types.Incarnation, had map[types.ProcessID]record) []record {
	skip := func(id types.ProcessID) bool {
		r, ok := had[id]
		return id == to || ok && covers(r, t.entries[id].record)
	}
	var out []record
	if e := t.entries[to]; e != nil && to != t.self && t.concerns(e, run) {
		out = append(out, e.record)
	}
	limit := retransmitLimit(len(t.entries))
	if had == nil && to == t.successor() {
		// It is probed every other period: counting these sends would use up
		// half of a change's sends on one member.
		limit = uncounted
	}
	for _, id := range t.queue.take(maxUpdates-len(out), limit, skip) {
		out = append(out, t.entries[id].record)
	}
	return out
}

// records returns the records in the given buckets, at most limit (0: all).
func (t *table) records(buckets []uint32, limit int) []record {
	var want [bucketCount]bool
	for _, b := range buckets {
		if b < bucketCount {
			want[b] = true
		}
	}
	var out []record
	for id, e := range t.entries {
		if !want[bucketOf(id)] {
			continue
		}
		if limit > 0 && len(out) == limit {
			break
		}
		out = append(out, e.record)
	}
	return out
}

func (t *table) view() *View {
	members := make([]Member, 0, len(t.entries))
	for _, e := range t.entries {
		members = append(members, e.shown())
	}
	return newView(t.self, members)
}
