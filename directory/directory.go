package directory

import (
	"sync"
	"sync/atomic"
	"time"
)

// View is an immutable list of servers.
type View struct {
	Position  uint64 // of the list in the store's history
	byService map[string][]*Server
	byID      map[string]*Server
	byHash    map[uint32]*Server
	Listings  []Listing // as the store gave them; servers that are kept are not among them
}

// Service returns the servers of a service.
func (v *View) Service(name string) []*Server { return v.byService[name] }

// Len returns how many servers are listed.
func (v *View) Len() int { return len(v.byID) }

// Directory keeps the view. Requests read it without a lock; only a choice just
// after others have told of their load waits for the sums to be made.
type Directory struct {
	view atomic.Pointer[View]

	loadChanged chan struct{} // holds one token after a change of load

	mu      sync.Mutex // one Apply at a time; guards history
	history []diff

	cell, cells atomic.Int32 // of this process, and how many there are
	portion     atomic.Pointer[portion]
	medians     sync.Map // service -> speedAt

	othersMu sync.Mutex
	others   map[string][]Load // what other processes told last
	summed   map[uint32]Load   // the sums as they stand, by server's hash
	summedAt time.Time
	unsummed atomic.Bool // others have told something since the sums were made
}

// New returns an empty directory.
func New() *Directory {
	d := &Directory{loadChanged: make(chan struct{}, 1), others: map[string][]Load{}}
	d.view.Store(emptyView(0))
	return d
}

func emptyView(position uint64) *View {
	return &View{Position: position, byService: map[string][]*Server{}, byID: map[string]*Server{}, byHash: map[uint32]*Server{}}
}

// LoadChanged returns a channel that holds a token after the load that this
// process puts on servers has changed.
func (d *Directory) LoadChanged() <-chan struct{} { return d.loadChanged }

func (d *Directory) touch() {
	select {
	case d.loadChanged <- struct{}{}:
	default:
	}
}

// View returns the servers known now.
func (d *Directory) View() *View { return d.view.Load() }

// Change says what an Apply changed.
type Change struct {
	Joined, Left, Draining, Kept []string // ids
}

// Any tells whether anything changed.
func (c Change) Any() bool { return len(c.Joined)+len(c.Left)+len(c.Draining) > 0 }

// Apply takes in a list. With forgiving set, servers that are missing stay
// known: entries lapse while the store is away although their servers live, and
// dropping them all at its return would leave nothing to send requests to.
func (d *Directory) Apply(position uint64, list []Listing, forgiving bool, now time.Time) Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.view.Load()
	var change Change
	if position < old.Position {
		return change
	}
	d.remember(old, position, list)
	next := emptyView(position)
	next.Listings = list
	for _, l := range list {
		next.add(d.listed(old, l, now, &change))
	}
	for id, s := range old.byID {
		if _, still := next.byID[id]; still {
			continue
		}
		if forgiving && !s.Draining() {
			change.Kept = append(change.Kept, id)
			next.add(s)
			continue
		}
		s.gone.Store(true)
		change.Left = append(change.Left, id)
	}
	d.view.Store(next)
	d.othersMu.Lock()
	defer d.othersMu.Unlock()
	d.sumOthers(next)
	return change
}

func (d *Directory) listed(old *View, l Listing, now time.Time, change *Change) *Server {
	s := old.byID[l.ID]
	if s == nil {
		s = newServer(l, now, d.touch)
		change.Joined = append(change.Joined, l.ID)
	}
	if l.Draining && !s.draining.Load() {
		change.Draining = append(change.Draining, l.ID)
	}
	s.listed(l)
	s.warmAt.Store(now.Add(l.Cold).UnixNano())
	return s
}

func (v *View) add(s *Server) {
	v.byID[s.ID] = s
	v.byHash[s.hash] = s
	v.byService[s.Service] = append(v.byService[s.Service], s)
}
