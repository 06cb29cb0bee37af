package directory

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pearyard/pearyard/types"
)

// View is an immutable list of servers.
type View struct {
	Position       types.Position // of the list in the store's history
	UnchangedSince types.Position // the oldest position at which the list had the same content
	byService      map[string][]*Server
	byID           map[string]*Server  // the known start of each id
	byHash         map[uint32]*Server  // the same servers by the hash of their start
	Listings       []Listing           // as read from the store, with entries of earlier starts replaced; without retained servers
	invalid        int                 // number of invalid listings
	versions       map[string][]string // of the servers of each service, sorted
}

// Service returns the servers of a service.
func (v *View) Service(name string) []*Server { return v.byService[name] }

// ByHash returns the known start of a server by its hash, nil if there is none.
func (v *View) ByHash(start uint32) *Server { return v.byHash[start] }

// Services returns the names of the services with servers.
func (v *View) Services() []string { return slices.Collect(maps.Keys(v.byService)) }

// InvalidCount returns the number of invalid entries in the list.
func (v *View) InvalidCount() int { return v.invalid }

// Len returns the number of known servers.
func (v *View) Len() int { return len(v.byID) }

// Directory holds the current view. Requests read it without a lock, except that a choice
// made shortly after a peer's report waits for the load totals to be computed.
type Directory struct {
	view atomic.Pointer[View]

	reached      types.AtomicPosition // see Reached
	leaving      leavingStarts
	left         leftStarts
	loadChanged  chan struct{} // holds one token after a change of load
	limitChanged chan struct{} // holds one token after a change of a server's rate limit

	mu      sync.Mutex // serialises changes of the view; guards history and samples
	history []listDiff
	samples map[string]*prefillSamples // by address

	cell, cells  atomic.Int32 // of this process, and how many there are
	partition    atomic.Pointer[partition]
	stopping     atomic.Bool  // this process is stopping, so its streams must end soon
	firstListAt  atomic.Int64 // Unix nanoseconds of the first list with servers
	medianSpeeds sync.Map     // service -> cachedMedian
	comparedAt   sync.Map     // service -> time.Time of the newest comparison of its servers' speeds

	disturbances          sync.Map             // service -> *disturbances
	disturbanceChanged    chan struct{}        // holds one token after a report that peers don't expect
	onDisturbanceReported func(service string) // may be nil

	unsentMu           sync.Mutex
	unsentTimes        []PrefillTime      // measured here since TakeUnsentPrefillTimes was last called
	unsentDisturbances map[uint32]*Server // that have reported a figure that peers don't expect, by start hash

	peerLoadsMu sync.Mutex
	peerLoads   map[string][]Load // newest report of each peer
	peerTotals  map[uint32]Load   // totals over all peers, by start hash
	totalsAt    time.Time
	totalsStale atomic.Bool // a peer has reported since the totals were computed

	memory peerMemory

	onApplied []func(*View) // called with each list that comes into force

	places *placesState

	droppedReports atomic.Uint64 // reports dropped because they name a start that is not the known one
}

// New returns an empty directory.
func New() *Directory {
	d := &Directory{loadChanged: make(chan struct{}, 1), limitChanged: make(chan struct{}, 1), peerLoads: map[string][]Load{}, samples: map[string]*prefillSamples{}, memory: newPeerMemory(), places: newPlacesState()}
	d.disturbanceChanged, d.unsentDisturbances = make(chan struct{}, 1), map[uint32]*Server{}
	d.leaving = leavingStarts{at: map[Start]time.Time{}, ready: make(chan struct{}, 1)}
	d.view.Store(emptyView(0))
	return d
}

func emptyView(position types.Position) *View {
	return &View{Position: position, UnchangedSince: position, byService: map[string][]*Server{}, byID: map[string]*Server{}, byHash: map[uint32]*Server{}, versions: map[string][]string{}}
}

// LoadChanged returns a channel that holds a token after the load that this process puts
// on servers has changed.
func (d *Directory) LoadChanged() <-chan struct{} { return d.loadChanged }

func (d *Directory) notifyLoadChanged() {
	select {
	case d.loadChanged <- struct{}{}:
	default:
	}
}

// OnApplied adds a function that is called with each list, right before any request sees it, after
// those that were added before. It must not call the Directory, and must be added before the
// first list.
func (d *Directory) OnApplied(f func(*View)) { d.onApplied = append(d.onApplied, f) }

// Advance records that all changes up to a position are in force.
func (d *Directory) Advance(position types.Position) { d.reached.Advance(position) }

// Reached returns the position up to which all changes are in force. Invariant: the
// directory already holds everything up to it. A caller that needs the view as well must
// call Reached first: a view taken before may lack changes up to the position.
func (d *Directory) Reached() types.Position { return d.reached.Load() }

// View returns the servers known now.
func (d *Directory) View() *View { return d.view.Load() }

// Change describes what a call of Apply changed.
type Change struct {
	Joined, Left, Draining, Retained []string // starts
	Outdated                         []string // starts whose entries were dropped because a later start is known
	// Ignored is set if the list was ignored because a newer one is in force.
	Ignored bool
	// Invalid holds the entries that became invalid, or are invalid for another reason
	// than before.
	Invalid []Listing
}

// Any reports whether a server joined, left or began to drain.
func (c Change) Any() bool { return len(c.Joined)+len(c.Left)+len(c.Draining) > 0 }

// Apply puts a list in force. With retainMissing set, servers that are missing from the
// list stay known: entries expire during an outage of the store although their servers
// run, and dropping them all when the store returns would leave no server to send
// requests to.
//
// An invalid entry has not expired: it was overwritten, and the store returns its current
// content. Its server is removed at once, whatever retainMissing is: otherwise it would
// get new work for seconds after another writer replaced the entry.
func (d *Directory) Apply(position types.Position, list []Listing, retainMissing bool, now time.Time) Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.view.Load()
	var change Change
	if position < old.Position {
		change.Ignored = true
		return change
	}
	list, change.Outdated = old.replaceOutdated(list)
	list = old.keepLeaving(list)
	d.droppedReports.Add(uint64(len(change.Outdated)))
	next := emptyView(position)
	if !d.recordChange(old, position, list) {
		next.UnchangedSince = old.UnchangedSince
	}
	next.Listings = list
	invalid := d.findInvalid(old, list, &change)
	next.invalid = len(invalid)
	for _, l := range list {
		if l.Invalid == "" {
			next.add(d.applyListing(old, l, position.Era(), now, &change))
		}
	}
	newest := newestStartsOf(list)
	for id, s := range old.byID {
		if _, still := next.byID[id]; still {
			continue
		}
		if retainMissing && !s.Draining() && !invalid[id] && !newest.replaced(s) {
			change.Retained = append(change.Retained, s.String())
			next.add(s)
			continue
		}
		s.removed.Store(true)
		d.left.add(s.Start, position.Era(), now)
		change.Left = append(change.Left, s.String())
	}
	next.indexVersions()
	next.linkSameAddress()
	for _, f := range d.onApplied {
		f(next)
	}
	d.view.Store(next)
	if next.Len() > 0 {
		d.firstListAt.CompareAndSwap(0, now.UnixNano())
	}
	old.markReplaced(next, now)
	d.dropOldSamples(next, now)
	d.leaving.expire(next, now)
	d.left.expire(now)
	d.peerLoadsMu.Lock()
	defer d.peerLoadsMu.Unlock()
	d.computePeerTotals(next)
	return change
}

// newestStarts holds the time of the newest start listed at each address.
type newestStarts map[string]int64

func newestStartsOf(list []Listing) newestStarts {
	born := make(newestStarts, len(list))
	for _, l := range list {
		if l.Invalid == "" {
			born[l.Address] = max(born[l.Address], l.Born)
		}
	}
	return born
}

// replaced reports whether a start is listed at the address of a server whose own entry is
// missing, unless that start is an earlier one. If so, the server has ended and its entry
// has not merely expired.
func (n newestStarts) replaced(s *Server) bool {
	born, listed := n[s.Address]
	return listed && born >= s.Born
}

// findInvalid returns the ids of a list's invalid entries, and adds to change those that
// are new or whose reason is new.
func (d *Directory) findInvalid(old *View, list []Listing, change *Change) map[string]bool {
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

// isNewReason reports whether the reason for which an entry is invalid has changed. Peers
// don't pass reasons on, so ReasonNoService equals any other reason: without this rule,
// reading an entry from the store and from a peer in turn would log it every time.
func isNewReason(known, reason string) bool {
	return known == "" || (known != reason && known != ReasonNoService && reason != ReasonNoService)
}

// applyListing returns the server of a listing in a list of an era.
func (d *Directory) applyListing(old *View, l Listing, era uint64, now time.Time, change *Change) *Server {
	s := old.byID[l.ID]
	if s != nil && s.Start == l.Start() && (s.Service != l.Service || s.Address != l.Address) {
		// It was taken for a server of another service while the store could not say.
		change.Left = append(change.Left, s.String())
		s = nil
	}
	if s == nil || s.Start != l.Start() {
		if s != nil {
			change.Left = append(change.Left, s.String())
		}
		s = d.newStart(s, l, now)
		if d.left.before(s.Start, era) {
			s.doubtedUntil.Store(now.Add(doubtPeriod).UnixNano())
		}
		change.Joined = append(change.Joined, s.String())
	}
	if l.Draining && !s.draining.Load() {
		d.leaving.remember(s.Start, now)
		change.Draining = append(change.Draining, s.String())
	}
	s.update(l)
	s.warmAt.Store(now.Add(l.Cold).UnixNano())
	return s
}

// newStart returns the server for a start that was not known; former is the known start
// of the same id, nil if there is none.
func (d *Directory) newStart(former *Server, l Listing, now time.Time) *Server {
	s := newServer(l, now, d.notifyLoadChanged)
	s.samples, s.onSample, s.onLimitChange, s.onLeaving = d.samplesAt(l.Address), d.queueUnsent, d.notifyLimitChanged, d.recordLeaving
	s.memory.changed = d.memory.changed
	s.saidLeaving.Store(d.leaving.knows(s.Start))
	s.disturbances, s.onDisturbance = d.disturbancesOf(s.Service), d.queueDisturbance
	if former != nil {
		s.inheritCrash(former, now)
	}
	return s
}

// markReplaced marks the servers whose id has another start in next. The caller must have
// made next the current view: whoever waits for the loss of an old start must find the
// new one there.
func (v *View) markReplaced(next *View, now time.Time) {
	for id, former := range v.byID {
		if s := next.byID[id]; s != nil && s != former {
			former.markReplaced(now)
		}
	}
}

func (v *View) add(s *Server) {
	v.byID[s.ID] = s
	v.byHash[s.startHash] = s
	v.byService[s.Service] = append(v.byService[s.Service], s)
}
