package membership

import (
	"time"

	"github.com/pearyard/pearyard/types"
)

// suspect marks a member as suspect because a probe of this process failed.
func (t *table) suspect(now time.Time, id types.ProcessID, inc types.Incarnation) {
	e := t.entries[id]
	if e == nil || e.Incarnation != inc || e.Condition != conditionAlive {
		return
	}
	next := e.record
	next.Condition = conditionSuspect
	t.put(now, e, next)
	e.suspectedHere = true
}

// expire declares suspects dead whose deadline has passed and removes members that
// have been dead for long. The deadline is extended instead for a member contacted
// since, and for all while the failed probes of this process are not reliable or
// it sees no majority of the members alive.
func (t *table) expire(now time.Time, reliable bool) {
	for id, e := range t.entries {
		switch {
		case e.Condition == conditionSuspect && !now.Before(e.deadline):
			t.expireSuspect(now, e, reliable)
		case e.Condition == conditionDead && now.Sub(e.since) > deadRetention:
			t.forget(id, e)
		}
	}
}

func (t *table) expireSuspect(now time.Time, e *entry, reliable bool) {
	contacted := e.contactedSince() && now.Sub(e.lastContact) < t.suspectTimeout
	if !reliable || contacted || !t.majority(now) {
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

// majority reports whether this process sees more than half of the members alive.
// Leaving members and deaths older than deathWindow do not count.
// Without this check, the smaller side of a partition, or a single process that is
// cut off, would declare all others dead; once the partition heals, that would
// take the whole site's backend servers out of use until each had refuted it.
// Without a majority, suspects stay suspects, which also stops new work to them.
func (t *table) majority(now time.Time) bool {
	alive, lost := 0, 0
	for _, e := range t.entries {
		switch {
		case e.Condition == conditionAlive || e.contactedSince():
			alive++
		case e.Leaving || e.isOldDeath(now):
		default:
			lost++
		}
	}
	return alive > lost
}

// recentDeaths returns how many of the other members were declared dead within deathWindow,
// and the number of others without those that leave or have been dead for longer.
func (t *table) recentDeaths(now time.Time) (dead, others int) {
	for id, e := range t.entries {
		switch {
		case id == t.self || e.Leaving || e.isOldDeath(now):
		case e.Condition == conditionDead:
			dead++
			others++
		default:
			others++
		}
	}
	return dead, others
}

func (e *entry) isOldDeath(now time.Time) bool {
	return e.Condition == conditionDead && now.Sub(e.since) > deathWindow
}

// restartSuspicions gives every suspicion its full time again.
func (t *table) restartSuspicions(now time.Time) {
	for _, e := range t.entries {
		e.deadline = now.Add(t.suspectTimeout)
	}
}
