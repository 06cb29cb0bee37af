package config

import (
	"sync"

	"github.com/pearyard/pearyard/types"
)

// asked remembers which processes were asked for a text that isn't in force yet.
//
// A process that is being asked gets no place, and one that was asked in vain gives way to
// any other, so that a frozen one that others go on naming does not take it.
type asked struct{ byAddress sync.Map } // to *attempt

// attempt is one question for a text.
type attempt struct {
	rev  types.Revision // that was named
	open bool
}

// begin notes a question; the caller calls end when it was in vain.
func (a *asked) begin(addr string, rev types.Revision) (end func()) {
	begun := &attempt{rev: rev, open: true}
	a.byAddress.Store(addr, begun)
	return func() { a.byAddress.CompareAndSwap(addr, begun, &attempt{rev: rev}) }
}

// forget is called when a newer text is in force: the next one begins anew.
func (a *asked) forget() { a.byAddress.Clear() }

func (a *asked) load(h *hint) (tried, open bool) {
	value, ok := a.byAddress.Load(h.addr)
	if !ok || value.(*attempt).rev < h.rev {
		return false, false
	}
	return true, value.(*attempt).open
}

// open reports whether a process is being asked for what the hint names, or more.
func (a *asked) open(h *hint) bool {
	_, open := a.load(h)
	return open
}

// better reports whether next takes the place of old among those to ask next.
func (a *asked) better(next, old *hint) bool {
	if old == nil {
		return true
	}
	triedNext, _ := a.load(next)
	triedOld, _ := a.load(old)
	if triedNext != triedOld {
		return triedOld
	}
	return next.rev > old.rev
}
