package directory

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Start is one start of a backend server. A server that crashed may be started
// again under the id that it had: the new process holds and knows nothing of
// the former one, and only the time of its start tells them apart. Whatever
// means what a process holds (streams, copies of memory, its load, its loss) is
// kept by Start, what means the place (address, zone, cell) by the id.
type Start struct {
	ID string
	// Born is the Unix millisecond of the start by the server's own clock; 0 if
	// it did not tell. It is compared with that of other starts of the same
	// server only: this process's time of day says nothing about it.
	Born int64
}

// betweenIDAndBorn separates the two in a start's name. It differs from
// event.AtServer, which stands before a server's name.
const betweenIDAndBorn = "#"

// String names the start in log lines.
func (s Start) String() string {
	if s.Born == 0 {
		return s.ID
	}
	return s.ID + betweenIDAndBorn + strconv.FormatInt(s.Born, 10)
}

// Hash is the start's short name among entry VMs. It differs for each start of a
// server, so that a word on one start never meets another, also at a VM that
// knows only one of them. Two servers with the same one would only be held
// busier than they are, or be doubted for a moment.
func (s Start) Hash() uint32 { return Hash(s.String()) }

// Hash is a name's place among others of its kind: servers by id, entry VMs by address.
func Hash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// LaterThan tells whether s is a later start of the server of t. Where one of them
// did not tell its time, the id alone counts, and they are the same.
func (s Start) LaterThan(t Start) bool {
	return s.ID == t.ID && t.Born != 0 && s.Born > t.Born
}

// EndedBy tells whether a process at this start's address that was born then shows
// that this start has ended.
func (s Start) EndedBy(born int64) bool { return Start{ID: s.ID, Born: born}.LaterThan(s) }

// succeededBy tells whether an entry of another start of the server's id takes its
// place. An entry of an earlier start is a late one, unless this start is known to
// have ended: then the server's clock was set back between the two, and the server
// would be out of use for as long as it runs.
func (s *Server) succeededBy(other Start) bool {
	return other.Born > s.Born || (other.Born != 0 && s.Ended())
}

// replace notes that another start of the server's id has taken its place. Its
// process has ended, and with it all streams and copies there: who waits for its
// loss is woken. If it never told its start it may be the same process, of which
// an entry VM of an older release had told first: it gets nothing more under its
// old name, but its streams go on.
func (s *Server) replace(now time.Time) {
	s.gone.Store(true)
	if s.Born == 0 {
		return
	}
	s.replaced.Store(true)
	s.Dead(now)
}

// Replaced tells whether another start of the server's id is known.
func (s *Server) Replaced() bool { return s.replaced.Load() }

// after makes the server remember that the start before it crashed, and when it
// was found lost. That counts for the loss of its zone, of which the first servers
// are back before the others are missed, and for the trust in a server that
// crashes again and again. One that left as planned was no loss, and one that
// never told its start may be the same process.
func (s *Server) after(old *Server, now time.Time) {
	if old.Draining() || old.Born == 0 {
		return
	}
	old.mu.Lock()
	defer old.mu.Unlock()
	s.crashed = old.crashed.more(now)
	s.formerLoss = old.formerLoss
	if old.downAt.After(s.formerLoss) {
		s.formerLoss = old.downAt
	}
	s.settle()
}

// current returns a list in which entries of starts before those known are
// replaced by what is known, and the starts that were replaced so.
//
// Such a write may reach the store after the new start's, or come from a peer that lags.
func (v *View) current(list []Listing) (current []Listing, late []string) {
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
		current[i] = s.asListed()
		late = append(late, l.Start().String())
	}
	if current == nil {
		return list, nil
	}
	return current, late
}

// asListed returns the server's entry as it is known here.
func (s *Server) asListed() Listing {
	return Listing{
		ID: s.ID, Born: s.Born, Service: s.Service, Address: s.Address, Zone: s.Zone, Slots: s.Slots, Draining: s.draining.Load(),
	}
}

// DroppedWords counts what was told of starts that are not the known ones: entries
// of earlier starts, and losses of starts that are not listed here.
func (d *Directory) DroppedWords() uint64 { return d.dropped.Load() }
