package membership

import (
	"time"

	"github.com/pearyard/pearyard/types"
)

// suspect raises a suspicion from this process's own probe.
func (t *table) suspect(now time.Time, id types.ProcessID, inc types.Incarnation) {
	e := t.entries[id]
	if e == nil || e.Incarnation != inc || e.Condition != conditionAlive {
		return
	}
	next := e.record
	next.Condition = conditionSuspect
	t.put(now, e, next)
	e.raised = true
}

// expire turns suspicions past their deadline into deaths, and forgets old
// deaths. A member heard of directly since is given another round instead, and
// all are while this process's own probes prove nothing (sound).
func (t *table) expire(now time.Time, sound bool) {
	for id, e := range t.entries {
		switch {
		case e.Condition == conditionSuspect && !now.Before(e.deadline):
			t.expireSuspect(now, e, sound)
		case e.Condition == conditionDead && now.Sub(e.since) > deadRetention:
			t.forget(id, e)
		}
	}
}

func (t *table) expireSuspect(now time.Time, e *entry, sound bool) {
	heard := e.believedAlive() && now.Sub(e.heard) < t.suspectTimeout
	if !sound || heard || !t.majority(now) {
		e.deadline = now.Add(t.suspectTimeout)
		return
	}
	next := e.record
	next.Condition = conditionDead
	t.put(now, e, next)
}

func (t *table) forget(id types.ProcessID, e *entry) {
	delete(t.entries, id)
	t.queue.remove(id)
	if t.byAddress[e.Address] == id {
		delete(t.byAddress, e.Address)
	}
	t.dirty = true
}

// majority reports whether this process sees more than half of the members
// alive. It guards against the smaller side of a partition, or one process cut
// off, declaring everyone else dead: after mending, that news would take the
// whole site's backend servers out of use until each had refuted it. Without a
// majority, suspects stay suspects, which stops new work to them just as well.
func (t *table) majority(now time.Time) bool {
	alive, lost := 0, 0
	for _, e := range t.entries {
		switch {
		case e.Condition == conditionAlive || e.believedAlive():
			alive++
		case e.Leaving || e.Condition == conditionDead && now.Sub(e.since) > deathWindow:
		default:
			lost++
		}
	}
	return alive > lost
}

// restartSuspicions gives every suspect a new deadline.
func (t *table) restartSuspicions(now time.Time) {
	for _, e := range t.entries {
		e.deadline = now.Add(t.suspectTimeout)
	}
}
