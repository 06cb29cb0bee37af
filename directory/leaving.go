package directory

import (
	"sync"
	"time"
)

// leavingMemory is how long a start that has said that it leaves is remembered after it has
// been dropped from the list. Its entry may come back as it was before, from the store after
// an outage or from another entry VM, while the process still runs.
const leavingMemory = 10 * time.Minute

// LeavingNews is a server that has said in an answer that it leaves.
type LeavingNews struct {
	*Server
	ByPeer bool // the answer was one to another entry VM
}

// leavingStarts remembers the starts that are known to leave.
type leavingStarts struct {
	mu sync.Mutex
	// at is when a start said that it leaves, or when its entry did so: the list, back from
	// a copy, may say otherwise.
	at    map[Start]time.Time
	news  []LeavingNews // not yet taken
	ready chan struct{} // holds one token while there is news
}

// ReportLeaving records that an answer of the server has said that it leaves. Only another
// start of the server ends that.
func (s *Server) ReportLeaving(now time.Time) { s.reportLeaving(now, false) }

func (s *Server) reportLeaving(now time.Time, byPeer bool) {
	if s.saidLeaving.CompareAndSwap(false, true) {
		s.onLeaving(LeavingNews{s, byPeer}, now)
	}
}

// SaidLeaving reports whether the server has said in an answer that it leaves.
func (s *Server) SaidLeaving() bool { return s.saidLeaving.Load() }

// RecordPeerLeaving records that another entry VM knows that a server, given by the hash of
// its start, leaves.
func (d *Directory) RecordPeerLeaving(server uint32, now time.Time) {
	s := d.view.Load().byHash[server]
	if s == nil {
		d.droppedReports.Add(1)
		return
	}
	if !s.draining.Load() {
		s.reportLeaving(now, true)
	}
}

// LeavingStarts returns the hashes of the starts in use that are known to leave, for entry VMs
// that may know less.
func (d *Directory) LeavingStarts() []uint32 {
	var starts []uint32
	for hash, s := range d.view.Load().byHash {
		if s.isToLeave() {
			starts = append(starts, hash)
		}
	}
	return starts
}

func (d *Directory) recordLeaving(news LeavingNews, now time.Time) {
	l := &d.leaving
	l.mu.Lock()
	l.at[news.Start] = now
	l.news = append(l.news, news)
	l.mu.Unlock()
	// It may have been listed anew since the request was sent.
	if s := d.view.Load().byID[news.ID]; s != nil && s.Start == news.Start {
		s.saidLeaving.Store(true)
	}
	select {
	case l.ready <- struct{}{}:
	default:
	}
}

// LeavingChanged returns a channel that holds a token while TakeLeavingNews has something.
func (d *Directory) LeavingChanged() <-chan struct{} { return d.leaving.ready }

// TakeLeavingNews returns the servers that have said that they leave since the last call.
func (d *Directory) TakeLeavingNews() []LeavingNews {
	l := &d.leaving
	l.mu.Lock()
	defer l.mu.Unlock()
	news := l.news
	l.news = nil
	return news
}

// remember records that the entry of a start has said that it leaves.
func (l *leavingStarts) remember(start Start, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.at[start]; !known {
		l.at[start] = now
	}
}

// knows reports whether a start is known to leave.
func (l *leavingStarts) knows(start Start) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.at[start]
	return ok
}

// expire forgets the starts that did so before now-leavingMemory and that no view holds.
func (l *leavingStarts) expire(view *View, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for start, at := range l.at {
		if s := view.byID[start.ID]; (s == nil || s.Start != start) && now.Sub(at) > leavingMemory {
			delete(l.at, start)
		}
	}
}
