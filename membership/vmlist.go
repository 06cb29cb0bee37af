package membership

import (
	"context"
	"net"
	"time"

	"github.com/pearyard/pearyard/backing"
	"github.com/pearyard/pearyard/types"
)

// vmListTimeout is the timeout of one poll of the VM list.
const vmListTimeout = 5 * time.Second

// vmMatch records since when an entry of the VM list and an incarnation of a
// member have had the same address.
type vmMatch struct {
	member      types.ProcessID
	incarnation types.Incarnation
	since       time.Time
}

func (m *Membership) vmPollInterval() time.Duration {
	return max(minVMPoll, time.Duration(len(m.Snapshot().Members))*vmPollPerMember)
}

// pollVMs reads the VM list. It only adds candidates and marks members as leaving.
// A VM that is missing from the list, or a list that cannot be read, changes
// nothing.
func (m *Membership) pollVMs(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, vmListTimeout)
	defer cancel()
	vms, err := m.opts.VMList.List(ctx)
	m.lock()
	defer m.unlock()
	m.updateVMListState(err)
	if err == nil {
		m.applyVMs(time.Now(), vms)
	}
}

func (m *Membership) updateVMListState(err error) {
	if down := err != nil; down != m.vmListDown {
		m.vmListDown = down
		if down {
			m.opts.Recorder.Emit(eventVMListDown, "error", err)
		} else {
			m.opts.Recorder.Emit(eventVMListUp)
		}
	}
}

func (m *Membership) applyVMs(now time.Time, vms []backing.VM) {
	m.unjoined = nil
	matches := make(map[string]vmMatch, len(vms))
	for _, vm := range vms {
		found := false
		for _, addr := range m.addressesOf(vm) {
			found = m.applyVM(now, vm, addr, matches) || found
		}
		if !found && !vm.Leaving {
			m.unjoined = append(m.unjoined, m.addressesOf(vm)...)
		}
	}
	m.vmMatches = matches
}

// applyVM marks the member at addr as leaving if the VM is, and reports whether
// there is such a member that is not dead.
//
// The list lags: it may still show the old VM as leaving when its replacement has
// already joined at the same address. Leaving is never revoked, so the new member
// would never get work. The mark therefore applies only to an incarnation that has
// been matched with this VM ID for at least the maximum lag of the list.
func (m *Membership) applyVM(now time.Time, vm backing.VM, addr string, matches map[string]vmMatch) bool {
	e := m.table.entries[m.table.byAddress[addr]]
	if e == nil || e.Condition == conditionDead {
		return false
	}
	key := vm.ID + " " + addr
	match, ok := m.vmMatches[key]
	if !ok || match.member != e.ID || match.incarnation != e.Incarnation {
		match = vmMatch{member: e.ID, incarnation: e.Incarnation, since: now}
	}
	matches[key] = match
	if vm.Leaving && now.Sub(match.since) >= m.opts.VMListLag {
		m.markEntryLeaving(e)
	}
	return true
}

// addressesOf returns the addresses at which a member may run on a VM.
func (m *Membership) addressesOf(vm backing.VM) []string {
	if _, _, err := net.SplitHostPort(vm.Address); err == nil {
		return []string{vm.Address}
	}
	out := make([]string, len(m.opts.VMPorts))
	for i, port := range m.opts.VMPorts {
		out[i] = net.JoinHostPort(vm.Address, port)
	}
	return out
}
