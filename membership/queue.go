package membership

import (
	"math"
	"sort"

	"github.com/pearyard/pearyard/types"
)

// retransmitFactor times log10(n+1) is how often a member passes a change on.
// With both probe and answer carrying changes, all of 2,000 members have heard
// of one long before the twelve sends of each are used up.
const retransmitFactor = 3

// minRetransmits holds for few members: a site that starts knows few of those
// that it will soon have.
const minRetransmits = 6

// retransmitLimit is how often a change is sent among n members.
func retransmitLimit(n int) int {
	return max(minRetransmits, retransmitFactor*int(math.Ceil(math.Log10(float64(n+1)))))
}

// queue holds the members whose latest change still has to be passed on.
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

// add queues a member's change; an older change of the member is superseded.
func (q *queue) add(id types.ProcessID) {
	q.serial++
	q.pending[id] = &pendingChange{id: id, serial: q.serial}
}

// backlog is from how many pending changes on repeats count as sends.
const backlog = 10 * maxUpdates

// known counts a change that another member has just sent here, though it was
// known here already: the more often that happens, the fewer lack it. It counts
// only while there is a backlog, after a mass start, whose time it halves; a
// single change must not be given up early, since the few that miss it then
// learn of it only by the next comparison of lists.
func (q *queue) known(id types.ProcessID, limit int) {
	p := q.pending[id]
	if p == nil || len(q.pending) < backlog {
		return
	}
	p.sends++
	if p.sends >= limit {
		delete(q.pending, id)
	}
}

func (q *queue) remove(id types.ProcessID) { delete(q.pending, id) }

// take picks at most count changes, those sent least often first and of these
// the newest, and drops the ones that reach limit sends. skip excludes some.
func (q *queue) take(count, limit int, skip func(types.ProcessID) bool) []types.ProcessID {
	if len(q.pending) == 0 {
		return nil
	}
	order := make([]*pendingChange, 0, len(q.pending))
	for _, p := range q.pending {
		if !skip(p.id) {
			order = append(order, p)
		}
	}
	sort.Slice(order, func(i, j int) bool {
		if order[i].sends != order[j].sends {
			return order[i].sends < order[j].sends
		}
		return order[i].serial > order[j].serial
	})
	order = order[:min(count, len(order))]
	ids := make([]types.ProcessID, len(order))
	for i, p := range order {
		ids[i] = p.id
		p.sends++
		if p.sends >= limit {
			delete(q.pending, p.id)
		}
	}
	return ids
}
