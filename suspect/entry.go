package suspect

import (
	"sort"
	"time"

	"github.com/pearyard/pearyard/types"
)

// Death is an engine death that a fingerprint is suspected of.
type Death struct {
	ID      string    `json:"id"`
	At      time.Time `json:"at"`
	Cleared bool      `json:"cleared,omitempty"`
	// Excuse says why the death does not count: what else is taken to have caused it. It is
	// kept because later deaths may show the excuse to be wrong. Empty: it counts.
	Excuse Excuse `json:"excuse,omitempty"`
}

// Excuse is a cause of a death other than the requests that ran on the engine.
type Excuse string

// Values of Excuse.
const (
	NoExcuse       Excuse = ""
	ExcusePending  Excuse = "pending"   // not judged yet
	ExcuseDraining Excuse = "draining"  // the engine was to leave: a completed roll-out stops the old ones without draining
	ExcuseOther    Excuse = "other"     // a request ran there that is held to crash engines
	ExcuseZoneLoss Excuse = "zone_lost" // most engines of its zone were lost, which says nothing about the requests
)

// excuseRanks orders excuses: of two for the same death the lower one holds. Those that are
// revoked more easily come first.
var excuseRanks = map[Excuse]int{NoExcuse: 0, ExcuseOther: 1, ExcuseDraining: 2, ExcuseZoneLoss: 3, ExcusePending: 4}

// weaker returns the lower one of two excuses.
func (e Excuse) weaker(other Excuse) Excuse {
	if excuseRanks[other] < excuseRanks[e] {
		return other
	}
	return e
}

// isOpen reports whether the death counts against the request.
func (d Death) isOpen() bool { return !d.Cleared && d.Excuse == NoExcuse }

// Entry is the state of one fingerprint, as exchanged between processes and as
// stored in the table service.
type Entry struct {
	Fingerprint types.Fingerprint `json:"fingerprint"`
	Deaths      []Death           `json:"deaths"`
	Until       time.Time         `json:"until,omitzero"`
}

// record is the ledger's representation of an Entry. It is a join semilattice, so
// records merge in any order: the set of deaths only grows, the time of a death
// only decreases, cleared and until only increase, and a death that counts is no
// longer excused.
type record struct {
	deaths  map[string]Death
	until   time.Time
	changed time.Time
	seq     uint64
	local   bool // a change was recorded by this process, which therefore writes and deletes the row
}

// quarantinePolicy determines when and for how long a fingerprint is quarantined.
type quarantinePolicy struct {
	limit      int           // open deaths that cause a quarantine
	quarantine time.Duration // length of the first quarantine
	window     time.Duration // longest quarantine, unless the first one is longer
}

// change is how important a change of a record is to other processes.
type change int

const (
	noChange     change = iota
	minorChange         // may be sent later, such as a cleared death
	urgentChange        // a death, one that counts from now on, or a quarantine
)

// merge merges e into r and returns the kind of change. Deaths before oldest are
// dropped, so that a peer whose clock is slow can't revive them, and times further ahead than
// a quarantine lasts: a row or peer with a wrong time would refuse the request for years.
func (r *record) merge(e Entry, oldest, now time.Time, p quarantinePolicy) change {
	changed := noChange
	latest := now.Add(p.longest())
	for _, d := range e.Deaths {
		if !d.At.Before(oldest) && !d.At.After(latest) {
			changed = max(changed, r.mergeDeath(d))
		}
	}
	if e.Until.After(r.until) && !e.Until.After(latest.Add(p.longest())) {
		r.until = e.Until
		changed = urgentChange
	}
	return changed
}

// mergeDeath merges one death into r and returns the kind of change.
func (r *record) mergeDeath(d Death) change {
	old, known := r.deaths[d.ID]
	if !known {
		r.deaths[d.ID] = d
		if d.Cleared {
			return minorChange
		}
		return urgentChange
	}
	merged := old
	if d.At.Before(old.At) {
		merged.At = d.At
	}
	merged.Cleared = old.Cleared || d.Cleared
	merged.Excuse = old.Excuse.weaker(d.Excuse)
	r.deaths[d.ID] = merged
	switch {
	case merged == old:
		return noChange
	case merged.isOpen() && !old.isOpen():
		return urgentChange
	default:
		return minorChange
	}
}

// extendQuarantine extends the quarantine as the policy requires for the open
// deaths, and reports whether it did. The end of the quarantine depends only on the
// deaths, not on the clock of this process, so that all ledgers compute the same
// end. It is stored and never decreases, so that a quarantine stands even if one of
// its deaths is cleared later.
func (r *record) extendQuarantine(p quarantinePolicy) bool {
	open, last := r.openDeaths()
	if open < p.limit {
		return false
	}
	until := last.Add(p.duration(open))
	if !until.After(r.until) {
		return false
	}
	r.until = until
	return true
}

// duration returns the length of the quarantine for a number of open deaths. It
// doubles with each death beyond the limit, up to the window.
func (p quarantinePolicy) duration(deaths int) time.Duration {
	length := p.quarantine
	for i := p.limit; i < deaths && length < p.window; i++ {
		length *= 2
	}
	return min(length, p.longest())
}

// longest returns the length of the longest quarantine.
func (p quarantinePolicy) longest() time.Duration { return max(p.window, p.quarantine) }

// openDeaths returns the number of open deaths, which are those that are neither
// cleared nor excused, and the time of the last one.
func (r *record) openDeaths() (int, time.Time) {
	count := 0
	var last time.Time
	for _, d := range r.deaths {
		if !d.isOpen() {
			continue
		}
		count++
		if d.At.After(last) {
			last = d.At
		}
	}
	return count, last
}

// prune removes deaths before oldest and reports whether the record can be
// removed.
func (r *record) prune(oldest, now time.Time) bool {
	for id, d := range r.deaths {
		if d.At.Before(oldest) {
			delete(r.deaths, id)
		}
	}
	return len(r.deaths) == 0 && !r.until.After(now)
}

// toEntry returns the record as an Entry, with the deaths sorted by ID.
func (r *record) toEntry(fp types.Fingerprint) Entry {
	e := Entry{Fingerprint: fp, Until: r.until, Deaths: make([]Death, 0, len(r.deaths))}
	for _, d := range r.deaths {
		e.Deaths = append(e.Deaths, d)
	}
	sort.Slice(e.Deaths, func(i, j int) bool { return e.Deaths[i].ID < e.Deaths[j].ID })
	return e
}
