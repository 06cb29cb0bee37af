package tokenlog

import (
	"container/list"
	"slices"
	"time"

	"github.com/pearyard/pearyard/types"
)

// branch is the part of a generation that was reported by one attempt's writer.
type branch struct {
	lineage     types.Lineage
	log         tokenBuffer
	runner      string // address of the sidecar that runs the attempt; empty if unknown
	finish      types.FinishReason
	totalTokens int       // tokens in the complete answer, valid once finish is set
	lastSeen    time.Time // when the last record arrived
}

// isComplete reports whether the branch holds the complete answer.
func (b *branch) isComplete() bool { return b.finish != "" && b.log.len() == b.totalTokens }

// entry is everything that a store holds of one generation. An entry without branches is
// only a reservation of the request key.
type entry struct {
	id             types.GenerationID
	branches       []*branch
	lastChanged    time.Time
	element        *list.Element // in Store.byState[state]
	state          state
	accountedBytes int // size when the store last accounted for the entry
}

// state determines the order of eviction: the lowest state goes first.
type state int

const (
	stateFinished state = iota
	stateReserved
	stateRunning
	numStates
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

// Estimated cost in bytes of an entry, a branch and a lineage segment beyond the tokens:
// structs, map slots, the list element and strings.
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

// find returns the branch that has exactly this lineage. No valid lineage has a segment
// beyond maxIndex, so all segments are compared.
func (e *entry) find(l types.Lineage) *branch {
	for _, b := range e.branches {
		if len(b.lineage) == len(l) && sameUpTo(b.lineage, l, maxIndex+1) {
			return b
		}
	}
	return nil
}

// findPrefix returns a branch that holds the first n tokens of lineage l.
func (e *entry) findPrefix(l types.Lineage, n int) *branch {
	for _, b := range e.branches {
		if b.log.len() >= n && sameUpTo(b.lineage, l, n) {
			return b
		}
	}
	return nil
}

// add appends a branch. Beyond maxBranches it removes the one whose writer has been silent
// the longest.
func (e *entry) add(b *branch) {
	e.branches = append(e.branches, b)
	if len(e.branches) > maxBranches {
		e.remove(e.leastRecentlySeen())
	}
}

// removeIf removes the branches for which match returns true.
func (e *entry) removeIf(match func(*branch) bool) {
	e.branches = slices.DeleteFunc(e.branches, match)
}

// supersedes reports whether every token of old is also in b, so that old is of no more
// use to a reader. A branch without tokens, which may name a runner, and a finished one
// are never superseded.
func supersedes(b, old *branch) bool {
	n := old.log.len()
	return old != b && n > 0 && old.finish == "" && n <= b.log.len() && sameUpTo(b.lineage, old.lineage, n)
}

func (e *entry) leastRecentlySeen() *branch {
	oldest := e.branches[0]
	for _, b := range e.branches {
		if b.lastSeen.Before(oldest.lastSeen) {
			oldest = b
		}
	}
	return oldest
}

func (e *entry) remove(removed *branch) {
	e.removeIf(func(b *branch) bool { return b == removed })
}
