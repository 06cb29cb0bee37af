package directory

import (
	"cmp"
	"slices"
	"time"
)

// portion is one process's part of the servers.
//
// After the loss of a zone all entry VMs place its streams within milliseconds, sooner
// than they can tell each other, and so they do after a common start. Different portions
// keep them from the same idle servers.
type portion struct{ index, of int }

// startedFor is how long a process knows little of what the others have placed: callers
// come back within a second of a common start, and prompts are read for another two.
const startedFor = 3 * time.Second

// justStarted tells whether this process has known servers for a short time only.
func (d *Directory) justStarted(now time.Time) bool {
	first := d.firstListed.Load()
	return first != 0 && now.UnixNano()-first < int64(startedFor)
}

// SetHashRange says which of how many processes of its cell this one is.
func (d *Directory) SetHashRange(index, of int) { d.portion.Store(&portion{index, of}) }

// hashRangeOf returns the hashes of this process's portion of a list, first and last.
// Portions are equal, since processes that know the same servers sort them alike.
func (d *Directory) hashRangeOf(list []*Server, now time.Time) hashRange {
	mine := d.portion.Load()
	if mine == nil || mine.of <= 1 {
		return everyHash
	}
	usable := slices.DeleteFunc(slices.Clone(list), func(s *Server) bool { return s.Draining() || s.IsDown(now) })
	if len(usable) == 0 {
		return everyHash
	}
	slices.SortFunc(usable, func(a, b *Server) int { return cmp.Compare(a.place, b.place) })
	first := mine.index * len(usable) / mine.of
	after := max(first+1, (mine.index+1)*len(usable)/mine.of)
	return hashRange{usable[first].place, usable[after-1].place}
}

// hashRange is a range of servers' hashes, both ends included.
type hashRange struct{ first, last uint32 }

var everyHash = hashRange{0, ^uint32(0)}

func (r hashRange) has(s *Server) bool { return r.first <= s.place && s.place <= r.last }
