package membership

import (
	"math"
	"sort"

	"github.com/pearyard/pearyard/types"
)

const (
	// retransmitFactor compensates for sends to the predecessor on the hash ring,
	// which go to the same member each time, and for lost ones.
	retransmitFactor = 1.5
	// retransmitMargin: after ln(n)+m sends of each member to random members, a
	// share of e^-m of all members is expected to have missed a change. These
	// learn of it only from the next list comparison, up to a minute later.
	retransmitMargin = 5
)

// retransmitLimit returns how often each member sends a change among n members.
func retransmitLimit(n int) int {
	return int(math.Ceil(retransmitFactor * (math.Log(float64(n+1)) + retransmitMargin)))
}

// queue holds the members whose latest change still has to be sent to others.
type queue struct {
	pending map[types.ProcessID]*pendingChange
	serial  uint64
}

type pendingChange struct {
	id     types.ProcessID
	sends  int
	serial uint64
}

func newQueue() *queue { return &queue{pending: map[types.ProcessID]*pendingChange{}} }

// add queues a member's change; it supersedes an older change of the same member.
func (q *queue) add(id types.ProcessID) {
	q.serial++
	q.pending[id] = &pendingChange{id: id, serial: q.serial}
}

// backlogSize is the number of pending changes at and above which received
// duplicates count as sends.
const backlogSize = 4 * maxUpdates

// recordDuplicate counts a change that was received although it was already known
// here: the more often that happens, the fewer members lack it. Duplicates count
// only while there is a backlog, as after a mass start, and halve the time it
// lasts. A single change must not be dropped early, since the few members that
// miss it learn of it only from the next list comparison.
func (q *queue) recordDuplicate(id types.ProcessID, limit int) {
	p := q.pending[id]
	if p == nil || len(q.pending) < backlogSize {
		return
	}
	p.sends++
	if p.sends >= limit {
		delete(q.pending, id)
	}
}

func (q *queue) remove(id types.ProcessID) { delete(q.pending, id) }

// uncounted as a limit means that sends are not counted.
const uncounted = 0

// take returns at most count changes, those sent least often first and the newest
// first among these, and drops the ones that reach limit sends. Changes for which
// skip returns true are left out.
func (q *queue) take(count, limit int, skip func(types.ProcessID) bool) []types.ProcessID {
	if len(q.pending) == 0 {
		return nil
	}
	candidates := make([]*pendingChange, 0, len(q.pending))
	for _, p := range q.pending {
		if !skip(p.id) {
			candidates = append(candidates, p)
		}
	}
	sort.Slice(candidates, func(i, j int) bool {
		if candidates[i].sends != candidates[j].sends {
			return candidates[i].sends < candidates[j].sends
		}
		return candidates[i].serial > candidates[j].serial
	})
	candidates = candidates[:min(count, len(candidates))]
	ids := make([]types.ProcessID, len(candidates))
	for i, p := range candidates {
		ids[i] = p.id
		if limit == uncounted {
			continue
		}
		p.sends++
		if p.sends >= limit {
			delete(q.pending, p.id)
		}
	}
	return ids
}
