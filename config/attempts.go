package config

import (
	"sync"

	"github.com/pearyard/pearyard/types"
)

// fetchAttempts records which peers were asked for a revision that isn't in force here yet.
//
// A peer with a fetch in flight is not asked again, and one whose fetch failed comes after
// any other peer. Otherwise a frozen peer that others keep advertising would be the only
// one asked.
type fetchAttempts struct{ byAddr sync.Map } // to *attempt

// attempt is one fetch from a peer.
type attempt struct {
	rev      types.Revision // the revision that the peer was seen with
	inFlight bool
}

// begin records a fetch in flight. The caller calls end when the fetch has ended; it then
// counts as failed unless reset was called.
func (a *fetchAttempts) begin(addr string, rev types.Revision) (end func()) {
	started := &attempt{rev: rev, inFlight: true}
	a.byAddr.Store(addr, started)
	return func() { a.byAddr.CompareAndSwap(addr, started, &attempt{rev: rev}) }
}

// reset forgets all attempts. It is called when a newer revision is in force.
func (a *fetchAttempts) reset() { a.byAddr.Clear() }

// state returns whether the hint's peer was asked for the hint's revision or a later one
// since the last reset, and whether that fetch is still running.
func (a *fetchAttempts) state(h *hint) (tried, inFlight bool) {
	value, ok := a.byAddr.Load(h.addr)
	if !ok || value.(*attempt).rev < h.rev {
		return false, false
	}
	return true, value.(*attempt).inFlight
}

// inFlight reports whether a fetch of the hint's revision or a later one is running from
// the hint's peer.
func (a *fetchAttempts) inFlight(h *hint) bool {
	_, inFlight := a.state(h)
	return inFlight
}

// prefer reports whether next replaces old as the peer to fetch from: peers that were not
// tried yet come first, then higher revisions.
func (a *fetchAttempts) prefer(next, old *hint) bool {
	if old == nil {
		return true
	}
	triedNext, _ := a.state(next)
	triedOld, _ := a.state(old)
	if triedNext != triedOld {
		return triedOld
	}
	return next.rev > old.rev
}
