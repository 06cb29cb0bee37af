package fleet

import (
	"github.com/pearyard/pearyard/site"
	"github.com/pearyard/pearyard/types"
)

// Mark orders the states of a subject. That of the configuration has the operator's version
// number, which decides: the store may have come back from a copy with an earlier version.
type Mark struct {
	Version  uint64 // of the configuration; 0 for the list of servers
	Position types.Position
}

// ConfigMark returns the mark of a configuration, which may be nil.
func ConfigMark(v *site.Versioned) Mark {
	if v == nil {
		return Mark{}
	}
	return Mark{Version: v.Config.Version, Position: v.Position}
}

// Before reports whether m is the mark of an earlier state.
func (m Mark) Before(other Mark) bool {
	if m.Version != other.Version {
		return m.Version < other.Version
	}
	return m.Position < other.Position
}

// laterOf returns the later of two marks.
func laterOf(a, b Mark) Mark {
	if a.Before(b) {
		return b
	}
	return a
}
