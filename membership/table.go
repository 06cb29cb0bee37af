package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pearyard/pearyard/types"
)

const (
	// deadRetention is how long a dead member is remembered, so that outdated
	// records do not bring it back and a healed partition is noticed.
	deadRetention = 24 * time.Hour
	// deathWindow is how long a dead member counts as lost in table.majority.
	deathWindow = 5 * time.Minute
)

// entry is a member as stored by this process: the shared record and what only
// this process knows.
type entry struct {
	record
	since         time.Time // when the record last changed condition, counter or incarnation here
	lastContact   time.Time // last direct contact; not sent to others
	deadline      time.Time // when an unrefuted suspicion becomes a death
	hash          uint64    // position on the hash ring
	suspectedHere bool      // this process raised the suspicion and keeps probing the member
}

// contactedSince reports whether there was direct contact since the condition last
// changed.
func (e *entry) contactedSince() bool { return e.lastContact.After(e.since) }

// visible returns the member as the view shows it: direct contact clears a
// suspicion here at once, before the refutation of the member arrives.
func (e *entry) visible() Member {
	m := e.member()
	if m.State == StateSuspect && e.contactedSince() {
		m.State = StateAlive
	}
	return m
}

// transition is one change of a member, to be reported as an event and in metrics.
type transition struct {
	record                   // the new record
	old      State           // empty for a new member or a later incarnation of a known one
	replaced types.ProcessID // member whose address this one has taken over
}

// table merges records into entries. It performs no I/O, takes the time as an
// argument and is guarded by Membership.mu.
type table struct {
	self           types.ProcessID
	suspectTimeout time.Duration
	entries        map[types.ProcessID]*entry
	byAddress      map[string]types.ProcessID // latest incarnation at each address
	queue          *queue
	digests        digests

	dirty       bool              // the published view is out of date
	urgent      bool              // there are changes to send with the next tick
	laterSelf   types.Incarnation // highest later incarnation seen under the own ID; 0: none
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

// apply merges one record and reports whether it changed what is known of another
// member, revisions aside.
func (t *table) apply(now time.Time, r record) bool {
	if r.ID == "" || r.Incarnation == 0 {
		return false
	}
	if r.ID == t.self {
		t.applySelf(now, r)
		return false
	}
	e := t.entries[r.ID]
	if !t.canMerge(e, r) {
		return false
	}
	if e == nil {
		t.put(now, nil, r)
		return true
	}
	merged := merge(e.record, r)
	if equalExceptRevision(merged, e.record) {
		t.dirty = t.dirty || merged.Revision != e.Revision
		e.Revision = merged.Revision
		return false
	}
	t.put(now, e, merged)
	return true
}

// canMerge reports whether a record can be merged into e, the entry of its member
// or nil.
func (t *table) canMerge(e *entry, r record) bool {
	if e == nil {
		// A dead member that is not known may have been forgotten after
		// deadRetention.
		return r.Address != "" && r.Condition != conditionDead
	}
	// A short record of an incarnation that is not known here is incomplete; the
	// next list comparison transfers the full one.
	return r.Address != "" || r.Incarnation <= e.Incarnation
}

// applySelf handles a record of this process. Leaving is adopted: an operator or
// the VM list set it. A suspicion or death is refuted with a higher counter; the
// incarnation stays the same, since it identifies this run of the process and
// calls depend on it.
func (t *table) applySelf(now time.Time, r record) {
	own := t.own()
	switch {
	case r.Incarnation > own.Incarnation:
		t.laterSelf = max(t.laterSelf, r.Incarnation)
		return
	case r.Incarnation < own.Incarnation || t.byAddress[own.Address] != t.self:
		return // concerns an earlier incarnation, or a later process has taken over the address
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

// put stores a record that differs from the entry's and queues it for sending.
func (t *table) put(now time.Time, e *entry, r record) {
	change := transition{}
	if e == nil {
		e = &entry{hash: xxhash.Sum64String(string(r.ID))}
		t.entries[r.ID] = e
	} else {
		if e.Incarnation == r.Incarnation {
			change.old = e.state()
		}
		t.digests.toggle(e.record)
	}
	if e.Incarnation != r.Incarnation || e.Condition != r.Condition || e.Counter != r.Counter {
		e.since = now
		e.suspectedHere = false
		e.deadline = now.Add(t.suspectTimeout)
	}
	if e.Incarnation != r.Incarnation {
		e.lastContact = time.Time{}
	}
	change.record = r
	if e.Address != r.Address && t.byAddress[e.Address] == r.ID {
		delete(t.byAddress, e.Address)
	}
	e.record = r
	t.digests.toggle(r)
	if r.ID != t.self { // the own record is part of every message
		t.queue.add(r.ID)
	}
	t.dirty = true
	if s := e.state(); s != change.old && s != StateAlive {
		t.urgent = true
	}
	change.replaced = t.claimAddress(now, r)
	t.transitions = append(t.transitions, change)
}

// claimAddress resolves two members at one address. A later incarnation at the
// same address proves that the earlier member is gone, without waiting for a
// suspicion. Probes could not tell, since the address still answers, and calls
// meant for the old VM would reach the new one. It returns the member that was
// replaced.
func (t *table) claimAddress(now time.Time, r record) types.ProcessID {
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

// recordContact records direct contact with a member and returns whether the
// member is considered suspect or dead and should be told so.
func (t *table) recordContact(now time.Time, id types.ProcessID, inc types.Incarnation) bool {
	e := t.entries[id]
	if e == nil || id == t.self || e.Incarnation != inc {
		return false
	}
	t.dirty = t.dirty || (e.Condition == conditionSuspect && !e.contactedSince())
	e.lastContact = now
	return e.Condition != conditionAlive
}

// successor returns the next member in conditionAlive on the hash ring, or "" if
// there is none.
func (t *table) successor() types.ProcessID {
	start := t.own().hash
	var next *entry
	for id, e := range t.entries {
		if id == t.self || e.Condition != conditionAlive {
			continue
		}
		if next == nil || e.hash-start < next.hash-start { // unsigned: distances wrap around
			next = e
		}
	}
	if next == nil {
		return ""
	}
	return next.ID
}

// mustInform reports whether a member should receive its own record: it is
// suspect, dead or leaving, or the record has a later incarnation than inc, the
// one that the member has just sent (0: it has sent none).
func (t *table) mustInform(e *entry, inc types.Incarnation) bool {
	return e.Condition != conditionAlive || e.Leaving || inc != 0 && e.Incarnation > inc
}

// updates returns the changes to piggyback on a message to a member: first the
// record of that member itself, if the member has to respond to it, then queued
// changes. In a response, inc is the incarnation of the member and received holds
// the records that it has just sent; in a request they are 0 and nil.
func (t *table) updates(to types.ProcessID, inc types.Incarnation, received map[types.ProcessID]record) []record {
	skip := func(id types.ProcessID) bool {
		r, ok := received[id]
		return id == to || ok && covers(r, t.entries[id].record)
	}
	var out []record
	if e := t.entries[to]; e != nil && to != t.self && t.mustInform(e, inc) {
		out = append(out, e.record)
	}
	limit := retransmitLimit(len(t.entries))
	if received == nil && to == t.successor() {
		// The successor is probed every other period: counting these sends would
		// use up half of a change's sends on one member.
		limit = uncounted
	}
	for _, id := range t.queue.take(maxUpdates-len(out), limit, skip) {
		out = append(out, t.entries[id].record)
	}
	return out
}

// records returns the records in the given buckets, at most limit (0: no limit).
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
		members = append(members, e.visible())
	}
	return newView(t.self, members)
}
