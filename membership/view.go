package membership

import (
	"sort"

	"github.com/pearyard/pearyard/types"
)

// View is an immutable snapshot of all known members, this process included.
type View struct {
	// Members is sorted by ID and includes dead members. Callers must not modify
	// it.
	Members []Member

	self      Member
	byID      map[types.ProcessID]int
	byAddress map[string]int
	alive     map[types.Role][]Member
}

func newView(self types.ProcessID, members []Member) *View {
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	v := &View{
		Members:   members,
		byID:      make(map[types.ProcessID]int, len(members)),
		byAddress: make(map[string]int, len(members)),
		alive:     map[types.Role][]Member{},
	}
	for i, m := range members {
		v.add(i, m)
	}
	if i, ok := v.byID[self]; ok {
		v.self = members[i]
	}
	return v
}

func (v *View) add(i int, m Member) {
	v.byID[m.ID] = i
	old, taken := v.byAddress[m.Address]
	if !taken || v.Members[old].Incarnation < m.Incarnation {
		v.byAddress[m.Address] = i
	}
	if m.State == StateAlive {
		v.alive[m.Role] = append(v.alive[m.Role], m)
	}
}

// Self returns this process as the site sees it: in StateLeaving once anyone has
// marked it as such.
func (v *View) Self() Member { return v.self }

// ByID returns the member with the given ID.
func (v *View) ByID(id types.ProcessID) (Member, bool) {
	i, ok := v.byID[id]
	if !ok {
		return Member{}, false
	}
	return v.Members[i], true
}

// ByAddress returns the member with the latest incarnation at an address.
func (v *View) ByAddress(address string) (Member, bool) {
	i, ok := v.byAddress[address]
	if !ok {
		return Member{}, false
	}
	return v.Members[i], true
}

// Alive returns the members of a role that may get new work, sorted by ID: those
// that are neither suspect nor leaving nor dead. Callers must not modify the
// slice.
func (v *View) Alive(role types.Role) []Member { return v.alive[role] }
