package membership

import (
	"time"

	"github.com/pearyard/pearyard/types"
)

// Dump is the membership section of a state dump.
type Dump struct {
	Self     Member            `json:"self"`
	Members  []DumpedMember    `json:"members"`
	Pending  int               `json:"pending_changes"`
	CutOff   bool              `json:"cut_off"`
	Behind   types.Incarnation `json:"incarnation_behind,omitempty"` // later incarnation seen under the own ID
	VMDown   bool              `json:"vm_list_down"`
	Unjoined []string          `json:"unjoined,omitempty"` // VM list addresses without a known member
}

// DumpedMember is a member together with what only this process knows about it.
type DumpedMember struct {
	Member
	Counter uint32    `json:"counter"`
	Since   time.Time `json:"since"`          // start of the current condition, as seen by this process
	Heard   time.Time `json:"heard,omitzero"` // last direct contact
}

// Dump returns the state of the membership as a value that marshals to JSON.
func (m *Membership) Dump() any {
	v := m.Snapshot()
	m.lock()
	defer m.unlock()
	d := Dump{
		Self: v.Self(), Pending: len(m.table.queue.pending), CutOff: m.cutOff, Behind: m.laterSelf,
		VMDown: m.vmListDown, Unjoined: append([]string(nil), m.unjoined...),
	}
	for _, member := range v.Members {
		if e := m.table.entries[member.ID]; e != nil {
			d.Members = append(d.Members, DumpedMember{Member: e.visible(), Counter: e.Counter, Since: e.since, Heard: e.lastContact})
		}
	}
	return d
}
