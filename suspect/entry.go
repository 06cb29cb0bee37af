package suspect

import (
	"sort"
	"time"

	"github.com/pearyard/pearyard/types"
)

// Death is one engine death held against a fingerprint.
type Death struct {
	ID      string    `json:"id"`
	At      time.Time `json:"at"`
	Cleared bool      `json:"cleared,omitempty"`
}

// Entry is all that is known of one fingerprint, as it travels between
// processes and as it stands in the table service.
type Entry struct {
	Fingerprint types.Fingerprint `json:"fingerprint"`
	Deaths      []Death           `json:"deaths"`
	Until       time.Time         `json:"until,omitzero"`
}

// record is the ledger's own form of an Entry. It is a join semilattice: the
// set of deaths grows, a death's time only falls, cleared and until only rise.
type record struct {
	deaths  map[string]Death
	until   time.Time
	changed time.Time
	seq     uint64
	own     bool // a death was told here first; this process tidies the row
}

// rule turns deaths into a quarantine.
type rule struct {
	limit      int
	quarantine time.Duration
	window     time.Duration
}

// news is how much was learned by a join.
type news int

const (
	nothing news = iota
	later        // worth knowing, such as a clearing
	urgent       // a death that counts, or a quarantine
)

// join merges e into r and reports what r learned. Deaths older than the window
// are dropped: a peer whose clock lags can't revive them.
func (r *record) join(e Entry, oldest time.Time) news {
	learned := nothing
	for _, d := range e.Deaths {
		if !d.At.Before(oldest) {
			learned = max(learned, r.joinDeath(d))
		}
	}
	if e.Until.After(r.until) {
		r.until = e.Until
		learned = urgent
	}
	return learned
}

func (r *record) joinDeath(d Death) news {
	old, known := r.deaths[d.ID]
	if !known {
		r.deaths[d.ID] = d
		if d.Cleared {
			return later
		}
		return urgent
	}
	merged := old
	if d.At.Before(old.At) {
		merged.At = d.At
	}
	merged.Cleared = old.Cleared || d.Cleared
	r.deaths[d.ID] = merged
	if merged == old {
		return nothing
	}
	return later
}

// raise sets the quarantine that the open deaths call for. The end depends on
// the deaths alone, never on the clock of the process that counts them, so all
// ledgers reach the same end. Being kept as a value that only rises, it stands
// when a clearing of one of its deaths arrives later.
func (r *record) raise(by rule) bool {
	open, last := r.open()
	if open < by.limit {
		return false
	}
	until := last.Add(by.length(open))
	if !until.After(r.until) {
		return false
	}
	r.until = until
	return true
}

// length doubles with each death past the limit, up to the window.
func (by rule) length(deaths int) time.Duration {
	length := by.quarantine
	for i := by.limit; i < deaths && length < by.window; i++ {
		length *= 2
	}
	return min(length, max(by.window, by.quarantine))
}

// open counts the deaths that aren't cleared and gives the time of the last.
func (r *record) open() (int, time.Time) {
	count := 0
	var last time.Time
	for _, d := range r.deaths {
		if d.Cleared {
			continue
		}
		count++
		if d.At.After(last) {
			last = d.At
		}
	}
	return count, last
}

// prune forgets deaths before oldest and reports whether nothing is left.
func (r *record) prune(oldest, now time.Time) bool {
	for id, d := range r.deaths {
		if d.At.Before(oldest) {
			delete(r.deaths, id)
		}
	}
	return len(r.deaths) == 0 && !r.until.After(now)
}

func (r *record) entry(fp types.Fingerprint) Entry {
	e := Entry{Fingerprint: fp, Until: r.until, Deaths: make([]Death, 0, len(r.deaths))}
	for _, d := range r.deaths {
		e.Deaths = append(e.Deaths, d)
	}
	sort.Slice(e.Deaths, func(i, j int) bool { return e.Deaths[i].ID < e.Deaths[j].ID })
	return e
}
