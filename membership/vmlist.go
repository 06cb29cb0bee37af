package membership

import (
	"context"
	"net"
	"time"

	"github.com/pearyard/pearyard/backing"
	"github.com/pearyard/pearyard/types"
)

const vmListTimeout = 5 * time.Second

// vmPair says since when a VM of the list and a member's run have stood at one
// address together.
type vmPair struct {
	member      types.ProcessID
	incarnation types.Incarnation
	since       time.Time
}

func (m *Membership) vmPollInterval() time.Duration {
	return max(minVMPoll, time.Duration(len(m.Snapshot().Members))*vmPollPerMember)
}

// pollVMs reads the VM list. It only adds candidates and marks leaving; that a
// VM is missing from it, or that it can't be read, changes nothing.
func (m *Membership) pollVMs(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, vmListTimeout)
	defer cancel()
	vms, err := m.opts.VMList.List(ctx)
	m.lock()
	defer m.unlock()
	m.noteVMList(err)
	if err == nil {
		m.takeVMs(time.Now(), vms)
	}
}

func (m *Membership) noteVMList(err error) {
	if down := err != nil; down != m.vmDown {
		m.vmDown = down
		if down {
			m.opts.Recorder.Emit(eventVMListDown, "error", err)
		} else {
			m.opts.Recorder.Emit(eventVMListUp)
		}
	}
}

func (m *Membership) takeVMs(now time.Time, vms []backing.VM) {
	m.unknown = nil
	pairs := make(map[string]vmPair, len(vms))
	for _, vm := range vms {
		found := false
		for _, addr := range m.addressesOf(vm) {
			found = m.takeVM(now, vm, addr, pairs) || found
		}
		if !found && !vm.Leaving {
			m.unknown = append(m.unknown, m.addressesOf(vm)...)
		}
	}
	m.pairs = pairs
}

// takeVM marks the member at one of a leaving VM's addresses and reports
// whether there is one.
//
// The list lags: it may still show the old VM, leaving, when its replacement
// has joined under the same address; leaving is sticky, so the new member
// would never get work. The mark therefore counts only for a run that has
// stood beside this VM id for longer than the list may lag.
func (m *Membership) takeVM(now time.Time, vm backing.VM, addr string, pairs map[string]vmPair) bool {
	e := m.table.entries[m.table.byAddress[addr]]
	if e == nil || e.Condition == conditionDead {
		return false
	}
	key := vm.ID + " " + addr
	pair, ok := m.pairs[key]
	if !ok || pair.member != e.ID || pair.incarnation != e.Incarnation {
		pair = vmPair{member: e.ID, incarnation: e.Incarnation, since: now}
	}
	pairs[key] = pair
	if vm.Leaving && now.Sub(pair.since) >= m.opts.VMListLag {
		m.markLeaving(e)
	}
	return true
}

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
