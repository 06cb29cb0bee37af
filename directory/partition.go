package directory

import (
	"cmp"
	"slices"
	"time"
)

// partition is one process's share of a list of servers.
//
// After the loss of a zone all entry VMs place its streams within milliseconds, before
// they can exchange their load; the same happens when they start together. Separate
// partitions keep them from choosing the same idle servers.
type partition struct{ index, count int }

// startupPeriod is how long a process knows little of the load placed by others: callers
// return within a second of a common start, and prefill of their prompts takes another
// two.
const startupPeriod = 3 * time.Second

// inStartup reports whether this process has known servers for a short time only.
func (d *Directory) inStartup(now time.Time) bool {
	first := d.firstListAt.Load()
	return first != 0 && now.UnixNano()-first < int64(startupPeriod)
}

// SetPartition sets this process's index among the processes of its cell, and their
// number.
func (d *Directory) SetPartition(index, count int) { d.partition.Store(&partition{index, count}) }

// partitionRange returns the hash range of this process's partition of a list. Partitions
// have about equal size, at least one server each, and processes that know the same
// servers divide them alike.
func (d *Directory) partitionRange(list []*Server, now time.Time) hashRange {
	mine := d.partition.Load()
	if mine == nil || mine.count <= 1 {
		return fullRange
	}
	usable := slices.DeleteFunc(slices.Clone(list), func(s *Server) bool { return s.Draining() || s.IsDown(now) })
	if len(usable) == 0 {
		return fullRange
	}
	slices.SortFunc(usable, func(a, b *Server) int { return cmp.Compare(a.idHash, b.idHash) })
	first := mine.index * len(usable) / mine.count
	after := max(first+1, (mine.index+1)*len(usable)/mine.count)
	return hashRange{usable[first].idHash, usable[after-1].idHash}
}

// hashRange is a range of the hashes of server ids, both ends included.
type hashRange struct{ first, last uint32 }

var fullRange = hashRange{0, ^uint32(0)}

func (r hashRange) contains(s *Server) bool { return r.first <= s.idHash && s.idHash <= r.last }
