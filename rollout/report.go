package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/types"
)

// Report is what one process has observed of a roll-out since it knows the order. It
// replaces the former report of the same start of the process.
type Report struct {
	Service  uint32         // hash of its name
	Position types.Position // of the order
	Stopped  bool           // the process knows that the version is bad
	Evidence Evidence
}

// Notice is what a decider tells of a roll-out.
type Notice struct {
	Service  uint32         // hash of its name
	Position types.Position // of the order
	Phase    Phase
}

// Reports returns the reports of this process on roll-outs without an outcome.
func (c *Controller) Reports() []Report {
	var list []Report
	for service, s := range *c.states.Load() {
		if s.current().Final() {
			continue
		}
		list = append(list, Report{Service: directory.Hash(service), Position: s.position(), Stopped: s.current() == Stopped, Evidence: s.own(time.Now())})
	}
	return list
}

func (s *state) own(now time.Time) Evidence {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ownLocked(now)
}

func (s *state) ownLocked(now time.Time) Evidence {
	own := Evidence{}
	own.Merge(s.evidence)
	for p := range s.pending {
		own.sample(p.route, p.isNew).Pending.Add(now.Sub(p.since))
	}
	return own
}

// Notices returns what this process, as a decider, knows of the roll-outs, in a fixed order.
func (c *Controller) Notices() []Notice {
	var list []Notice
	for service, s := range *c.states.Load() {
		if p := s.current(); p != Unknown {
			list = append(list, Notice{Service: directory.Hash(service), Position: s.position(), Phase: p})
		}
	}
	slices.SortFunc(list, func(a, b Notice) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

// ReceiveReport records the report of a peer. The caller must pass the reports of one start
// of a peer in their order.
func (c *Controller) ReceiveReport(peer string, incarnation uint64, r Report) {
	s := c.find(r.Service, r.Position)
	if s == nil {
		return
	}
	s.mu.Lock()
	s.peers[reporter{peer, incarnation}] = &r
	s.mu.Unlock()
	if r.Stopped {
		c.stop(s, peer)
	}
}

// stop records that a peer knows the version to be bad. It does not confirm that the trial
// goes on, as the peer need not be a decider.
func (c *Controller) stop(s *state, peer string) {
	for {
		old := s.current()
		if old.next(Stopped) == old {
			return
		}
		if s.phase.CompareAndSwap(uint32(old), uint32(Stopped)) {
			c.phaseChanged(s, old, peer)
			return
		}
	}
}

// ReceiveNotice records what a decider tells. If the outcome is known here but not to the
// decider, outcome is the notice to send back: the store may have come back from a copy that
// lacks the record.
func (c *Controller) ReceiveNotice(peer string, n Notice, now time.Time) (outcome Notice, unknown bool) {
	s := c.find(n.Service, n.Position)
	if s == nil || !n.Phase.Valid() {
		return Notice{}, false
	}
	n.Phase, unknown = c.SetPhase(s.order.Service, n.Position, n.Phase, peer, now), !n.Phase.Final()
	return n, unknown && n.Phase.Final()
}

// find returns the roll-out that an order began, nil if it is not the newest of its
// service here.
func (c *Controller) find(service uint32, position types.Position) *state {
	for name, s := range *c.states.Load() {
		if directory.Hash(name) == service && s.position() == position {
			return s
		}
	}
	return nil
}
