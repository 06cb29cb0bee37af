package membership

import (
	"time"

	"github.com/pearyard/pearyard/types"
)

// Dump is the part of a process's state dump that membership gives.
type Dump struct {
	Self     Member            `json:"self"`
	Members  []DumpedMember    `json:"members"`
	Pending  int               `json:"pending_changes"`
	CutOff   bool              `json:"cut_off"`
	Behind   types.Incarnation `json:"incarnation_behind,omitempty"` // later run known of the own id
	VMDown   bool              `json:"vm_list_down"`
	Unjoined []string          `json:"unjoined,omitempty"` // VM list addresses where no member is known
}

// DumpedMember is a member with what only this process knows of it.
type DumpedMember struct {
	Member
	Counter uint32    `json:"counter"`
	Since   time.Time `json:"since"`          // of the present condition, as seen here
	Heard   time.Time `json:"heard,omitzero"` // last direct evidence of life
}

// Dump returns the state for an operator, a value that marshals to JSON.
func (m *Membership) Dump() any {
	v := m.Snapshot()
	m.lock()
	defer m.unlock()
	d := Dump{
		Self: v.Self(), Pending: len(m.table.queue.pending), CutOff: m.cutOff, Behind: m.behind,
		VMDown: m.vmDown, Unjoined: append([]string(nil), m.unknown...),
	}
	for _, member := range v.Members {
		if e := m.table.entries[member.ID]; e != nil {
			d.Members = append(d.Members, DumpedMember{Member: e.shown(), Counter: e.Counter, Since: e.since, Heard: e.heard})
		}
	}
	return d
}
