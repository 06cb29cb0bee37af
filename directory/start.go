package directory

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Start identifies one start of a backend server, that is, one process. A server that
// crashed may start again under the same id; the new process has none of the former one's
// state, and only the start time tells them apart. What concerns a process (its streams,
// copies, load and loss) is kept by Start; what concerns the server (address, zone, cell)
// is kept by id.
type Start struct {
	ID string
	// Born is the start time in Unix milliseconds by the server's own clock; 0 if the
	// server did not report it. It is comparable only with other starts of the same
	// server, not with this process's clock.
	Born int64
}

// maxBorn is in the year 2248. A larger start time is a mistake: all true starts of the server
// would count as earlier ones.
const maxBorn = 1 << 43 // Unix milliseconds

// CheckedBorn returns a start time as read from an entry or an answer, and 0 (unknown) if it
// can't be one. Every decoder of start times must call it.
func CheckedBorn(born int64) int64 {
	if born < 0 || born > maxBorn {
		return 0
	}
	return born
}

// startSeparator separates id and start time in a start's name. It differs from
// event.ServerSeparator, which precedes a server's name.
const startSeparator = "#"

// String returns the start's name in log lines.
func (s Start) String() string {
	if s.Born == 0 {
		return s.ID
	}
	return s.ID + startSeparator + strconv.FormatInt(s.Born, 10)
}

// Hash identifies the start among entry VMs. It differs for each start of a server, so
// that a report on one start is never applied to another, even at a VM that knows only
// one of them. A collision of two servers is harmless: they look busier than they are, or
// are suspected for a moment.
func (s Start) Hash() uint32 { return Hash(s.String()) }

// Hash returns the hash of a server's id or an entry VM's address, by which they are
// ordered and divided.
func Hash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// LaterThan reports whether s is a later start of the same server than t. If either start
// time is unknown, starts with the same id count as the same.
func (s Start) LaterThan(t Start) bool {
	return s.ID == t.ID && t.Born != 0 && s.Born > t.Born
}

// EndedBy reports whether a process with the given start time at this start's address
// proves that this start has ended.
func (s Start) EndedBy(born int64) bool { return Start{ID: s.ID, Born: born}.LaterThan(s) }

// succeededBy reports whether an entry of another start of the same id supersedes this
// one. An entry with an earlier start time is outdated, unless this start is known to
// have ended: then the server's clock was set back, and ignoring its entry would keep it
// out of use for as long as it runs.
func (s *Server) succeededBy(other Start) bool {
	return other.Born > s.Born || (other.Born != 0 && s.Ended())
}

// markReplaced records that another start of the server's id has taken its place. The
// process has ended with all its streams and copies, so whoever waits for its loss is
// woken. A server whose start time is unknown may be the same process, first reported by
// an entry VM of an older release: it gets no new work under this Start, but its streams
// continue.
func (s *Server) markReplaced(now time.Time) {
	s.removed.Store(true)
	if s.Born == 0 {
		return
	}
	s.replaced.Store(true)
	s.MarkEnded(now)
}

// Replaced reports whether another start of the server's id is known.
func (s *Server) Replaced() bool { return s.replaced.Load() }

// inheritCrash records that the previous start crashed, and when it was found lost. Both
// matter later: a zone's first servers may be back before the loss of its others is
// noticed, and a server that crashes repeatedly is avoided. A start that drained was no
// crash, and one without a start time may be the same process.
func (s *Server) inheritCrash(old *Server, now time.Time) {
	if old.Draining() || old.Born == 0 {
		return
	}
	old.mu.Lock()
	defer old.mu.Unlock()
	s.crashes = old.crashes.plusOne(now)
	s.previousLossAt, s.previousLost = old.previousLossAt, old.previousLost
	if old.downAt.After(s.previousLossAt) {
		s.previousLossAt, s.previousLost = old.downAt, old.Start
	}
	s.updateHasIssues()
}

// replaceOutdated returns the list with entries of earlier starts replaced by the known
// ones, and the names of the starts that were replaced. Entries without a start time get
// that of the known start.
//
// A late write of an earlier start may reach the store after that of the new one, or come
// from a peer that lags.
func (v *View) replaceOutdated(list []Listing) (current []Listing, outdated []string) {
	for i, l := range list {
		s := v.byID[l.ID]
		if s == nil || l.Invalid != "" || l.Born == s.Born || s.succeededBy(l.Start()) {
			continue
		}
		if current == nil {
			current = append(current, list...)
		}
		if l.Born == 0 {
			current[i].Born = s.Born
			continue
		}
		current[i] = s.toListing()
		outdated = append(outdated, l.Start().String())
	}
	if current == nil {
		return list, nil
	}
	return current, outdated
}

// toListing returns the server's entry as it is known here.
func (s *Server) toListing() Listing {
	return Listing{
		ID: s.ID, Born: s.Born, Service: s.Service, Address: s.Address, Zone: s.Zone, Slots: s.Slots, Version: s.Version(), Draining: s.isToLeave(),
	}
}

// DroppedReports returns the number of dropped reports: entries of earlier starts, and
// reports on starts that are not known here.
func (d *Directory) DroppedReports() uint64 { return d.droppedReports.Load() }
