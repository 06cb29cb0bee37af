package rollout

import (
	"slices"
	"time"

	"github.com/pearyard/pearyard/site"
	"github.com/pearyard/pearyard/types"
)

// maxSuperseded is how many former orders of a service are remembered.
const maxSuperseded = 8

// position returns the position at which the order was read last. It changes only when the
// store has come back from a copy and has the order at another one.
func (s *state) position() types.Position { return s.readAt.Load() }

// continues reports whether an order that the store has now is the one of this roll-out: the
// very same, or what the store, back from a copy, has of it. The copy may have it still, or
// the operator has written it again at another position.
func (s *state) continues(order site.RolloutOrder) bool {
	known := s.position()
	if order.Position <= known {
		return true
	}
	return order.Position.Era() > known.Era() && isRewritten(s.order, order)
}

// isRewritten reports whether two orders, of different eras, ask for the same.
func isRewritten(known, order site.RolloutOrder) bool {
	return known.Version == order.Version && known.Duration == order.Duration
}

// isSuperseded reports whether an order is one before that of this roll-out, which the store,
// back from a copy, has as the newest.
func (s *state) isSuperseded(order site.RolloutOrder) bool {
	return slices.ContainsFunc(s.superseded, func(former site.RolloutOrder) bool {
		return isRewritten(former, order) && former.Position.Era() < order.Position.Era() && former.Position.Revision() == order.Position.Revision()
	})
}

// ordersBefore returns the former orders for a roll-out that follows this one.
func (s *state) ordersBefore() []site.RolloutOrder {
	all := append(slices.Clone(s.superseded), s.order)
	return all[max(0, len(all)-maxSuperseded):]
}

// isOf reports whether a record is the one of an order, possibly from before the store came
// back from a copy.
func (r Record) isOf(order Order) bool {
	return r.Position == order.Position || (r.Version == order.Version && r.Position.Era() < order.Position.Era())
}

// elapsed returns how long an order has been in force, as far as is known.
func (t *task) elapsed(order Order) time.Duration {
	if t.deadline.IsZero() {
		return 0
	}
	return max(0, order.Duration-time.Until(t.deadline))
}

// StoreReturned tells that the store has come back from a copy, which may lack the records of
// the roll-outs: the deciders write them again.
func (d *Decider) StoreReturned() {
	d.returned.Store(true)
	d.opts.Controller.notify()
}

// forgetRecords makes the records be loaded again if the store has come back from a copy.
func (d *Decider) forgetRecords() {
	if !d.returned.Swap(false) {
		return
	}
	for _, t := range d.tasks {
		t.loaded, t.recorded = false, false
	}
}

// hasUnrecorded reports whether a roll-out with an outcome is not in the store yet.
func (d *Decider) hasUnrecorded() bool {
	for _, t := range d.tasks {
		if !t.recorded {
			return true
		}
	}
	return false
}
