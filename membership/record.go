package membership

import (
	"github.com/pearyard/pearyard/types"
)

// condition is what probing says of a member; later ones win at equal counters.
type condition uint8

const (
	conditionAlive condition = iota
	conditionSuspect
	conditionDead
)

// record is one statement about one run of one member. Two records of a member
// merge to the same result in any order and any number of times, so news may
// arrive late, twice and on several paths.
type record struct {
	ID            types.ProcessID
	Role          types.Role
	Address       string
	Zone          types.Zone
	BackendServer string
	Incarnation   types.Incarnation // run of the process: a later run replaces all that was known
	Counter       uint32            // raised by the member itself to refute a suspicion
	Condition     condition
	Leaving       bool
	Revision      types.Revision
}

// merge joins two records of one member. The later incarnation wins whole.
// Within one incarnation, leaving stays once set: a refutation that was under
// way when the member began to leave would otherwise bring it back and give it
// new work. Suspicion and death yield only to a higher counter, which the
// member alone can raise.
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
	out.Role = max(a.Role, b.Role)
	out.Address = max(a.Address, b.Address)
	out.Zone = max(a.Zone, b.Zone)
	out.BackendServer = max(a.BackendServer, b.BackendServer)
	return out
}

// newer reports whether a says more about the member's condition than b.
func newer(a, b record) bool {
	if a.Counter != b.Counter {
		return a.Counter > b.Counter
	}
	return a.Condition > b.Condition
}

// later orders two members that claim one address.
func later(a, b record) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.ID > b.ID
}

// covers reports whether a holder of known learns nothing from news.
func covers(known, news record) bool {
	if known.Incarnation != news.Incarnation {
		return known.Incarnation > news.Incarnation
	}
	return !newer(news, known) && (known.Leaving || !news.Leaving)
}

// sameNews reports whether two records differ in nothing that is worth
// spreading. A revision alone isn't: it travels in every message, and 2,000
// members taking a new one would fill the budget with records.
func sameNews(a, b record) bool {
	a.Revision, b.Revision = 0, 0
	return a == b
}

// state folds condition and leaving into the public state.
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
