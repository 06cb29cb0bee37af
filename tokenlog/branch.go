package tokenlog

import (
	"container/list"
	"slices"
	"time"

	"github.com/pearyard/pearyard/types"
)

// branch is what one attempt's writer has told of a generation.
type branch struct {
	lineage  types.Lineage
	log      packed
	runner   string
	finish   types.FinishReason
	count    int // tokens of the whole answer, once finish is set
	lastSeen time.Time
}

// whole reports whether the branch holds the complete answer.
func (b *branch) whole() bool { return b.finish != "" && b.log.len() == b.count }

// entry is all that a store holds of one generation; without branches it is
// only a reservation of the request key.
type entry struct {
	id       types.GenerationID
	branches []*branch
	changed  time.Time
	age      *list.Element // place in the list of its state
	state    state
	bytes    int
}

// state decides what is evicted first.
type state int

const (
	stateFinished state = iota
	stateReserved
	stateRunning
	states
)

func (e *entry) classify() state {
	if len(e.branches) == 0 {
		return stateReserved
	}
	for _, b := range e.branches {
		if b.finish == "" {
			return stateRunning
		}
	}
	return stateFinished
}

// overhead is what an entry and a branch cost beyond tokens, in bytes: structs,
// map slots, list element and strings.
const (
	entryOverhead  = 320
	branchOverhead = 256
	segmentBytes   = 16
)

func (e *entry) size() int {
	n := entryOverhead
	for _, b := range e.branches {
		n += branchOverhead + segmentBytes*len(b.lineage) + b.log.bytes()
	}
	return n
}

// find returns the branch with exactly this lineage.
func (e *entry) find(l types.Lineage) *branch {
	for _, b := range e.branches {
		if len(b.lineage) == len(l) && sameUpTo(b.lineage, l, maxIndex+1) {
			return b
		}
	}
	return nil
}

// donor returns a branch that holds the first n tokens of lineage l.
func (e *entry) donor(l types.Lineage, n int) *branch {
	for _, b := range e.branches {
		if b.log.len() >= n && sameUpTo(b.lineage, l, n) {
			return b
		}
	}
	return nil
}

// add appends a branch; beyond maxBranches the one that was silent longest goes.
func (e *entry) add(b *branch) {
	e.branches = append(e.branches, b)
	if len(e.branches) > maxBranches {
		e.remove(e.oldest())
	}
}

// drop removes the branches that gone reports.
func (e *entry) drop(gone func(*branch) bool) {
	e.branches = slices.DeleteFunc(e.branches, gone)
}

// contains: every token of old is one of b's, so old tells a reader nothing more.
func contains(b, old *branch) bool {
	n := old.log.len()
	return old != b && n > 0 && old.finish == "" && n <= b.log.len() && sameUpTo(b.lineage, old.lineage, n)
}

func (e *entry) oldest() *branch {
	oldest := e.branches[0]
	for _, b := range e.branches {
		if b.lastSeen.Before(oldest.lastSeen) {
			oldest = b
		}
	}
	return oldest
}

func (e *entry) remove(gone *branch) {
	e.drop(func(b *branch) bool { return b == gone })
}
