package membership

import (
	"math"
	"sort"

	"github.com/pearyard/pearyard/types"
)

const (
	// retransmitFactor allows for sends to the ring's predecessor, which are
	// the same member's each time, and for those that get lost.
	retransmitFactor = 1.5
	// retransmitMargin: after ln(n)+m sends to random members each, e^-m of all
	// members are expected to have missed a change. They learn of it only from
	// the next comparison of lists, up to a minute later.
	retransmitMargin = 5
)

// retransmitLimit is how often a change is sent among n members.
func retransmitLimit(n int) int {
	return int(math.Ceil(retransmitFactor * (math.Log(float64(n+1)) + retransmitMargin)))
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
const backlog = 4 * maxUpdates

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

// uncounted, as a limit, keeps sends from being counted.
const uncounted = 0

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
