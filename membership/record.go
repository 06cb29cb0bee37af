package membership

import (
	"github.com/pearyard/pearyard/types"
)

// condition is the part of a member's state that probes determine. Of two records
// with equal counters, the one with the higher condition wins.
type condition uint8

const (
	conditionAlive condition = iota
	conditionSuspect
	conditionDead
)

// record is one statement about one incarnation of a member. Merging records of a
// member gives the same result in any order and any number of times, so they may
// arrive late, repeatedly and on several paths.
type record struct {
	ID            types.ProcessID
	Role          types.Role
	Address       string
	Zone          types.Zone
	BackendServer string
	Incarnation   types.Incarnation // one run of the process; a later one replaces all that was known
	Counter       uint32            // incremented by the member itself to refute a suspicion; SWIM's incarnation number
	Condition     condition
	Leaving       bool
	Revision      types.Revision
}

// merge combines two records of one member. The record of the later incarnation
// wins as a whole. Within one incarnation, leaving stays once set: otherwise a
// refutation that was under way when the member began to leave would bring it back
// and give it new work. Suspicion and death are overridden only by a higher
// counter, which only the member itself can set.
func merge(a, b record) record {
	if a.Incarnation != b.Incarnation {
		if a.Incarnation > b.Incarnation {
			return a
		}
		return b
	}
	out := a
	if newer(b, a) {
		out.Counter, out.Condition = b.Counter, b.Condition
	}
	out.Leaving = a.Leaving || b.Leaving
	out.Revision = max(a.Revision, b.Revision)
	// Short records lack the fields below. max keeps the values that are known and
	// does not depend on the order.
	out.Role = max(a.Role, b.Role)
	out.Address = max(a.Address, b.Address)
	out.Zone = max(a.Zone, b.Zone)
	out.BackendServer = max(a.BackendServer, b.BackendServer)
	return out
}

// newer reports whether a's condition takes precedence over b's.
func newer(a, b record) bool {
	if a.Counter != b.Counter {
		return a.Counter > b.Counter
	}
	return a.Condition > b.Condition
}

// later reports whether a takes precedence over b where two members claim one
// address.
func later(a, b record) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.ID > b.ID
}

// covers reports whether a process that holds known learns nothing from update,
// revisions aside.
func covers(known, update record) bool {
	if known.Incarnation != update.Incarnation {
		return known.Incarnation > update.Incarnation
	}
	return !newer(update, known) && (known.Leaving || !update.Leaving)
}

// equalExceptRevision reports whether two records differ in nothing that is worth
// spreading. A changed revision alone is not: it is part of every message, and
// 2,000 members applying a new one would displace other changes from the messages.
func equalExceptRevision(a, b record) bool {
	a.Revision, b.Revision = 0, 0
	return a == b
}

// state combines condition and leaving into the exported state.
func (r record) state() State {
	switch {
	case r.Condition == conditionDead:
		return StateDead
	case r.Leaving:
		return StateLeaving
	case r.Condition == conditionSuspect:
		return StateSuspect
	default:
		return StateAlive
	}
}

func (r record) member() Member {
	return Member{
		ID: r.ID, Role: r.Role, Address: r.Address, Zone: r.Zone, BackendServer: r.BackendServer,
		Incarnation: r.Incarnation, State: r.state(), Revision: r.Revision,
	}
}

func recordOf(m Member) record {
	return record{
		ID: m.ID, Role: m.Role, Address: m.Address, Zone: m.Zone, BackendServer: m.BackendServer,
		Incarnation: m.Incarnation, Leaving: m.State == StateLeaving, Revision: m.Revision,
	}
}
