package directory

import (
	"sync"
	"sync/atomic"
	"time"
)

// View is an immutable list of servers.
type View struct {
	Position  uint64 // of the list in the store's history
	From      uint64 // position from which on the list says what it says
	byService map[string][]*Server
	byID      map[string]*Server // the one start that is known of each
	byHash    map[uint32]*Server // by the hash of that start
	Listings  []Listing          // as the store gave them, late entries replaced; servers that are kept are not among them
	invalid   int                // how many of the listings name no server
}

// Service returns the servers of a service.
func (v *View) Service(name string) []*Server { return v.byService[name] }

// Invalid returns how many entries of the list name no server.
func (v *View) Invalid() int { return v.invalid }

// Len returns how many servers are listed.
func (v *View) Len() int { return len(v.byID) }

// Directory keeps the view. Requests read it without a lock; only a choice just
// after others have told of their load waits for the sums to be made.
type Directory struct {
	view atomic.Pointer[View]

	loadChanged chan struct{} // holds one token after a change of load

	mu        sync.Mutex // one Apply at a time; guards the fields below
	history   []diff
	readTimes map[string]*readTimes // by address

	cell, cells atomic.Int32 // of this process, and how many there are
	portion     atomic.Pointer[portion]
	urgent      atomic.Bool  // the streams of this process must end soon
	firstListed atomic.Int64 // Unix nanoseconds of the first list with servers
	medians     sync.Map     // service -> speedAt
	comparedAt  sync.Map     // service -> time.Time of the newest comparison of its servers' speeds

	untoldMu sync.Mutex
	untold   []ReadTime // measured here since UntoldReadTimes was last called

	othersMu sync.Mutex
	others   map[string][]Load // what other processes told last
	summed   map[uint32]Load   // the sums as they stand, by server's hash
	summedAt time.Time
	unsummed atomic.Bool // others have told something since the sums were made

	dropped atomic.Uint64 // words on starts that are not the known ones
}

// New returns an empty directory.
func New() *Directory {
	d := &Directory{loadChanged: make(chan struct{}, 1), others: map[string][]Load{}, readTimes: map[string]*readTimes{}}
	d.view.Store(emptyView(0))
	return d
}

func emptyView(position uint64) *View {
	return &View{Position: position, From: position, byService: map[string][]*Server{}, byID: map[string]*Server{}, byHash: map[uint32]*Server{}}
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
	Joined, Left, Draining, Kept []string // starts
	Late                         []string // starts before the known ones, whose entries were dropped
	// Older: the list was left aside, as one with a later place is in force.
	Older bool
	// Invalid are the entries that have begun to name no server, or do so for
	// another reason than before.
	Invalid []Listing
}

// Any tells whether anything changed.
func (c Change) Any() bool { return len(c.Joined)+len(c.Left)+len(c.Draining) > 0 }

// Apply takes in a list. With forgiving set, servers that are missing stay
// known: entries lapse while the store is away although their servers live, and
// dropping them all at its return would leave nothing to send requests to.
//
// An entry that names no server has not lapsed: it was written over, and the
// store tells what it says now. Its server is gone at once, forgiving or not;
// kept, it would get new work for seconds after another writer took its place.
func (d *Directory) Apply(position uint64, list []Listing, forgiving bool, now time.Time) Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.view.Load()
	var change Change
	if position < old.Position {
		change.Older = true
		return change
	}
	list, change.Late = old.current(list)
	d.dropped.Add(uint64(len(change.Late)))
	next := emptyView(position)
	if !d.remember(old, position, list) {
		next.From = old.From
	}
	next.Listings = list
	invalid := d.invalidIn(old, list, &change)
	next.invalid = len(invalid)
	for _, l := range list {
		if l.Invalid == "" {
			next.add(d.listed(old, l, now, &change))
		}
	}
	taken := addressesOf(list)
	for id, s := range old.byID {
		if _, still := next.byID[id]; still {
			continue
		}
		if forgiving && !s.Draining() && !invalid[id] && !taken.fromServer(s) {
			change.Kept = append(change.Kept, s.String())
			next.add(s)
			continue
		}
		s.gone.Store(true)
		change.Left = append(change.Left, s.String())
	}
	d.view.Store(next)
	if next.Len() > 0 {
		d.firstListed.CompareAndSwap(0, now.UnixNano())
	}
	old.replacedBy(next, now)
	d.forgetTimes(next, now)
	d.othersMu.Lock()
	defer d.othersMu.Unlock()
	d.sumOthers(next)
	return change
}

// addresses tells when the servers at them were born.
type addresses map[string]int64

func addressesOf(list []Listing) addresses {
	born := make(addresses, len(list))
	for _, l := range list {
		if l.Invalid == "" {
			born[l.Address] = max(born[l.Address], l.Born)
		}
	}
	return born
}

// fromServer tells whether a later start is listed at a server's address: then its
// own entry has not lapsed, the server has ended.
func (a addresses) fromServer(s *Server) bool {
	born, listed := a[s.Address]
	return listed && born >= s.Born
}

// invalidIn returns the entries of a list that name no server, and notes those
// of which that is news.
func (d *Directory) invalidIn(old *View, list []Listing, change *Change) map[string]bool {
	var invalid map[string]bool
	for _, l := range list {
		if l.Invalid == "" {
			continue
		}
		if invalid == nil {
			invalid = map[string]bool{}
		}
		invalid[l.ID] = true
	}
	if invalid == nil {
		return nil
	}
	known := map[string]string{}
	for _, l := range old.Listings {
		known[l.ID] = l.Invalid
	}
	for _, l := range list {
		if l.Invalid != "" && isNewReason(known[l.ID], l.Invalid) {
			change.Invalid = append(change.Invalid, l)
		}
	}
	return invalid
}

// isNewReason tells whether a reason why an entry names no server is news. A peer
// hands on no reason, so that one read from the store and one from a peer would
// take turns in the log.
func isNewReason(known, reason string) bool {
	return known == "" || (known != reason && known != FaultNoService && reason != FaultNoService)
}

func (d *Directory) listed(old *View, l Listing, now time.Time, change *Change) *Server {
	s := old.byID[l.ID]
	if s == nil || s.Start != l.Start() {
		if s != nil {
			change.Left = append(change.Left, s.String())
		}
		s = d.joined(s, l, now)
		change.Joined = append(change.Joined, s.String())
	}
	if l.Draining && !s.draining.Load() {
		change.Draining = append(change.Draining, s.String())
	}
	s.listed(l)
	s.warmAt.Store(now.Add(l.Cold).UnixNano())
	return s
}

// joined returns the server of a start that was not known, in place of a former
// one of its id; that is nil if there is none.
func (d *Directory) joined(former *Server, l Listing, now time.Time) *Server {
	s := newServer(l, now, d.touch)
	s.times, s.measured = d.timesOf(l.Address), d.measuredHere
	if former != nil {
		s.after(former, now)
	}
	return s
}

// replacedBy notes the starts that others of their ids have taken the place of in
// next, which must be the view by now.
//
// Whoever waits for the loss of such a start must find the new one in the view.
func (v *View) replacedBy(next *View, now time.Time) {
	for id, former := range v.byID {
		if s := next.byID[id]; s != nil && s != former {
			former.replace(now)
		}
	}
}

func (v *View) add(s *Server) {
	v.byID[s.ID] = s
	v.byHash[s.hash] = s
	v.byService[s.Service] = append(v.byService[s.Service], s)
}
