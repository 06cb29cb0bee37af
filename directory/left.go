package directory

import "time"

// doubtPeriod is how long a start that has left the list gets no work after the store, back
// from a copy, lists it again. The entry of a server that has ended expires after three
// heartbeats, of 1.2 s each at the usual setting; one that is still listed then belongs to a
// server that lives.
const doubtPeriod = 6 * time.Second

// leftStarts remembers the starts that have left the list, by the era in which they did. The
// Directory's mu guards it.
type leftStarts map[Start]leftStart

type leftStart struct {
	era uint64
	at  time.Time
}

func (l *leftStarts) add(start Start, era uint64, now time.Time) {
	if *l == nil {
		*l = leftStarts{}
	}
	(*l)[start] = leftStart{era, now}
}

// before reports whether a start left the list in an earlier era. One that is listed again in
// the same era has written its entry again.
func (l leftStarts) before(start Start, era uint64) bool {
	left, known := l[start]
	return known && left.era < era
}

// expire forgets the starts that left before now-leavingMemory.
func (l leftStarts) expire(now time.Time) {
	for start, left := range l {
		if now.Sub(left.at) > leavingMemory {
			delete(l, start)
		}
	}
}

// copyAge is more than the age of a copy that the store comes back from.
const copyAge = time.Minute

// DoubtedStarts returns the hashes of the starts that had left the list before an era, so that
// a copy may list them again, and for how long they then get no work.
func (d *Directory) DoubtedStarts(era uint64, now time.Time) map[uint32]time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	doubted := map[uint32]time.Duration{}
	for start, left := range d.left {
		if left.era < era && now.Sub(left.at) < copyAge {
			doubted[start.Hash()] = doubtPeriod
		}
	}
	for hash, s := range d.view.Load().byHash {
		if until := s.doubtedUntil.Load(); until != 0 {
			doubted[hash] = max(0, time.Duration(until-now.UnixNano()))
		}
	}
	return doubted
}

// RecordPeerDoubt records that a start, given by its hash, gets no work for a while, as
// another entry VM knows that it had left the list.
func (d *Directory) RecordPeerDoubt(start uint32, left time.Duration, now time.Time) {
	if s := d.view.Load().byHash[start]; s != nil && s.doubtedUntil.Load() == 0 {
		s.doubtedUntil.Store(now.Add(min(left, doubtPeriod)).UnixNano())
	}
}

// keepLeaving returns the list with the entries of starts that are known to leave marked so.
// The store may have come back from a copy in which they don't leave yet.
func (v *View) keepLeaving(list []Listing) []Listing {
	kept, copied := list, false
	for i, l := range list {
		s := v.byID[l.ID]
		if l.Draining || l.Invalid != "" || s == nil || s.Start != l.Start() || !s.draining.Load() {
			continue
		}
		if !copied {
			kept, copied = append([]Listing(nil), list...), true
		}
		kept[i].Draining = true
	}
	return kept
}
