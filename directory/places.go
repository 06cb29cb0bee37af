package directory

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// placesTTL is how long a peer's report of its calls counts: a VM that is gone must not
	// occupy places for longer.
	placesTTL = time.Second
	// placeTotalsInterval is the shortest time between two computations of the peers' totals.
	placeTotalsInterval = 5 * time.Millisecond
	// placeTotalsAge is when the totals are computed again although no peer has reported, so
	// that old reports expire.
	placeTotalsAge = 100 * time.Millisecond
	// placesBusyTime is how long the calls of a service are reported after a server was last
	// believed to be half full. If VMs stopped at once, each would believe that the server is
	// empty, since the others have stopped too.
	placesBusyTime = 500 * time.Millisecond
	// reportedPlacesTTL is how long a server's own report of its load counts beside what VMs
	// report: about the time until they have reported the same.
	reportedPlacesTTL = 100 * time.Millisecond
	// maxPlacesFactor bounds the places that a server's reports show, as a multiple of those that
	// its entry states: a wrong report must not make it look free for good.
	maxPlacesFactor = 4
	// spareShare of its places is how many calls more than it has places a server is sent, so
	// that a place which becomes free is used while the VMs learn of it.
	spareShare = 1.0 / 3
)

// PlaceReport is what one process reports of its plain calls at a server.
type PlaceReport struct {
	Server      uint32        // hash of its start
	Calls       int           // in progress
	Overdue     int           // of them, without an answer for longer than a healthy server takes
	Good        int           // good answers in a row since it was found to hang
	SinceAnswer time.Duration // since its newest good answer
}

// PlaceReports is what one process reports of its plain calls.
type PlaceReports struct {
	Servers []PlaceReport
	Waiting map[uint32]int // calls that wait for a place, by hash of the service's name
}

// placesState is what a Directory knows of the places of plain services.
type placesState struct {
	forAll   atomic.Bool
	services sync.Map      // name -> *placeService
	changed  chan struct{} // holds a token after a change of what this process reports

	mu       sync.Mutex
	peers    map[string]peerPlaces
	totals   map[uint32]bool // servers with calls of peers
	stale    atomic.Bool     // a peer has reported since the totals were computed
	totalsAt atomic.Int64    // Unix nanoseconds
	onHang   func(s *Server, hangs bool, overdue int, sinceAnswer time.Duration)
}

type peerPlaces struct {
	reports PlaceReports
	at      time.Time
}

// placeService is a service whose places are shared, or may be.
type placeService struct {
	name         string
	hash         uint32
	shared       atomic.Bool  // switched on for this service
	usualTime    atomic.Int64 // nanoseconds of a call, as measured; 0: not yet
	limit        atomic.Int64 // nanoseconds within which a healthy server answers, for the newest call
	busyUntil    atomic.Int64 // Unix nanoseconds until which this process reports its calls
	waiting      atomic.Int64 // calls of this process that wait for a place
	peersWaiting atomic.Int64
}

func newPlacesState() *placesState {
	return &placesState{changed: make(chan struct{}, 1), peers: map[string]peerPlaces{}, totals: map[uint32]bool{}, onHang: func(*Server, bool, int, time.Duration) {}}
}

// SharePlaces has this process share with its peers what it knows of the places of a
// service's servers.
func (d *Directory) SharePlaces(service string) {
	if p := d.placeService(service); !p.shared.Load() {
		p.shared.Store(true)
	}
}

// SharePlacesOfAll does the same for all services, or no longer.
func (d *Directory) SharePlacesOfAll(share bool) { d.places.forAll.Store(share) }

// SharesPlaces reports whether the places of a service's servers are shared.
func (d *Directory) SharesPlaces(service string) bool {
	if d.places.forAll.Load() {
		return true
	}
	p, known := d.places.services.Load(service)
	return known && p.(*placeService).shared.Load()
}

func (d *Directory) placeService(name string) *placeService {
	if p, ok := d.places.services.Load(name); ok {
		return p.(*placeService)
	}
	p, _ := d.places.services.LoadOrStore(name, &placeService{name: name, hash: Hash(name)})
	return p.(*placeService)
}

// PlacesChanged returns a channel that holds a token after a change of OwnPlaces.
func (d *Directory) PlacesChanged() <-chan struct{} { return d.places.changed }

func (p *placesState) notify() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// OwnPlaces returns what this process has to report of its plain calls: those of services that
// have a server of which half the places or more are taken, since with fewer any choice finds a
// free one, or a server that answers slowly.
func (d *Directory) OwnPlaces(now time.Time) PlaceReports {
	out := PlaceReports{Waiting: map[uint32]int{}}
	view := d.view.Load()
	d.places.services.Range(func(_, value any) bool {
		p := value.(*placeService)
		if !d.SharesPlaces(p.name) {
			return true
		}
		if n := p.waiting.Load(); n > 0 {
			out.Waiting[p.hash] = int(n)
		}
		servers := view.Service(p.name)
		if slices.ContainsFunc(servers, func(s *Server) bool { return s.isBusy(now) }) {
			p.busyUntil.Store(now.Add(placesBusyTime).UnixNano())
		}
		for _, s := range servers {
			if r := s.placeReport(now); r.isNews(s) || (r.Calls > 0 && now.UnixNano() < p.busyUntil.Load()) {
				out.Servers = append(out.Servers, r)
			}
		}
		return true
	})
	return out
}

// PlacesTight reports whether calls wait for places here or at a peer, or a server with calls of
// this process is believed to be full: then what this process reports decides at the peers
// where calls go and whether they wait.
func (d *Directory) PlacesTight(now time.Time) bool {
	tight := false
	view := d.view.Load()
	d.places.services.Range(func(_, value any) bool {
		p := value.(*placeService)
		tight = p.waiting.Load()+p.peersWaiting.Load() > 0 || slices.ContainsFunc(view.Service(p.name), func(s *Server) bool {
			return s.calls.Load() > 0 && s.CallsThere(now) >= s.places()
		})
		return !tight
	})
	return tight
}

// isBusy reports whether the peers need to know of this process's calls at the server.
func (s *Server) isBusy(now time.Time) bool {
	return s.calls.Load() > 0 && (s.Hangs() || s.hanging.slow.Load() > 0 || 2*s.CallsThere(now) >= s.places())
}

// isNews reports whether the report says something of the server's answers: that some don't
// come, or that one has come while others don't.
func (r PlaceReport) isNews(s *Server) bool {
	overdue := r.Overdue + int(s.hanging.peersOverdue.Load())
	return r.Overdue+r.Good > 0 || (overdue > 0 && r.SinceAnswer < placesTTL)
}

func (s *Server) placeReport(now time.Time) PlaceReport {
	return PlaceReport{
		Server: s.startHash, Calls: int(s.calls.Load()), Overdue: int(s.hanging.overdue.Load()), Good: s.hanging.goodAnswers(now),
		SinceAnswer: now.Sub(time.Unix(0, s.hanging.answeredAt.Load())),
	}
}

// SetPeerPlaces records what a peer reports of its plain calls.
func (d *Directory) SetPeerPlaces(from string, reports PlaceReports, now time.Time) {
	d.places.set(from, reports, now)
	if slices.ContainsFunc(reports.Servers, func(r PlaceReport) bool { return r.Overdue > 0 }) {
		d.refreshPlaces(now) // this process may know of an answer, which the peers need to know
	}
}

func (p *placesState) set(from string, reports PlaceReports, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(reports.Servers)+len(reports.Waiting) == 0 {
		delete(p.peers, from)
	} else {
		p.peers[from] = peerPlaces{reports, now}
	}
	p.stale.Store(true)
}

// refreshPlaces computes the totals of the peers' reports if any has come or grown old, and
// finds out from them which servers hang.
func (d *Directory) refreshPlaces(now time.Time) {
	age := now.UnixNano() - d.places.totalsAt.Load()
	if age < int64(placeTotalsInterval) || (!d.places.stale.Load() && age < int64(placeTotalsAge)) {
		return
	}
	d.places.mu.Lock()
	defer d.places.mu.Unlock()
	d.places.totalsAt.Store(now.UnixNano())
	d.places.stale.Store(false)
	d.computePlaces(d.view.Load(), now)
}

// computePlaces adds up the newest reports of all peers, always from zero.
func (d *Directory) computePlaces(view *View, now time.Time) {
	sums, waiting := map[uint32]PlaceReport{}, map[uint32]int{}
	for from, p := range d.places.peers {
		if now.Sub(p.at) >= placesTTL {
			delete(d.places.peers, from)
			continue
		}
		for _, r := range p.reports.Servers {
			if s := view.byHash[r.Server]; s != nil {
				sums[r.Server] = sums[r.Server].add(r, s.Slots)
				s.hanging.recordAnswerAt(p.at.Add(-r.SinceAnswer))
			}
		}
		for service, n := range p.reports.Waiting {
			waiting[service] += n
		}
	}
	for hash := range d.places.totals {
		if s := view.byHash[hash]; s != nil && sums[hash].Server == 0 {
			s.setPeerPlaces(PlaceReport{})
		}
	}
	clear(d.places.totals)
	for hash, sum := range sums {
		s := view.byHash[hash]
		if sum.Overdue > int(s.hanging.peersOverdue.Load()) {
			d.places.notify()
		}
		s.setPeerPlaces(sum)
		d.places.totals[hash] = true
	}
	d.places.services.Range(func(_, value any) bool {
		p := value.(*placeService)
		p.peersWaiting.Store(int64(waiting[p.hash]))
		if !d.SharesPlaces(p.name) {
			return true
		}
		for _, s := range view.Service(p.name) {
			d.judgeHanging(p, s, now)
		}
		return true
	})
}

// add adds one peer's report. What a peer says of its calls counts up to the number of places
// of the server: no more can run there, and one wrong report must not close it to all. Calls of
// one peer alone don't show that it hangs, since the peer may be cut off from it, nor do its good
// answers show that it no longer does.
func (r PlaceReport) add(other PlaceReport, slots int) PlaceReport {
	r.Server = other.Server
	r.Calls += min(other.Calls, slots)
	r.Overdue += min(other.Overdue, hangingCalls-1)
	r.Good += min(other.Good, trustedAnswers-1)
	return r
}

func (s *Server) setPeerPlaces(sum PlaceReport) {
	s.peerCalls.Store(int64(sum.Calls))
	s.hanging.peersOverdue.Store(int64(sum.Overdue))
	s.hanging.peersGood.Store(int64(sum.Good))
}

// callsOfOthers returns the calls that other processes have at the server: what they report,
// or what the server itself has just reported if that is more. A process of another cell
// reports nothing here.
func (s *Server) callsOfOthers(now time.Time) float64 {
	byPeers := float64(s.peerCalls.Load())
	age := now.UnixNano() - s.reportedAt.Load()
	if age >= int64(reportedPlacesTTL) {
		return byPeers
	}
	return max(byPeers, float64(s.reportedCalls.Load())*(1-float64(age)/float64(reportedPlacesTTL)))
}

// CallsThere returns the number of plain calls of all processes that the server is believed to
// have.
func (s *Server) CallsThere(now time.Time) int {
	return int(s.calls.Load()) + int(s.callsOfOthers(now))
}

// places returns how many calls at a time the server runs. Its entry may state too few.
func (s *Server) places() int {
	return min(max(s.Slots, int(s.mostRunning.Load())), maxPlacesFactor*s.Slots)
}

// Places is what is believed of the places of a service's servers.
type Places struct {
	Servers     int // that may be used
	Total       int // places of these servers
	Free        int // calls that they can be sent until all places and the spare ones are taken
	Ahead       int // calls ahead of a new one at the server with the fewest for its places
	AheadPlaces int // places of that server
	// Waiting and PeersWaiting are the calls that wait for a place here and at the peers.
	Waiting, PeersWaiting int
	UsualTime             time.Duration // of a call; 0: not measured
}

// Places returns what is believed of the places of the servers that a query admits. Servers
// that hang are left out.
func (d *Directory) Places(q Query, now time.Time) Places {
	d.refreshPlaces(now)
	p := d.placeService(q.Service)
	out := Places{Waiting: int(p.waiting.Load()), PeersWaiting: int(p.peersWaiting.Load()), UsualTime: p.usual()}
	for _, s := range d.view.Load().Service(q.Service) {
		if !s.takesCalls(q, now) || s.Hangs() {
			continue
		}
		places, there := s.places(), s.CallsThere(now)
		out.Servers++
		out.Total += places
		if !s.slotsStated {
			places = max(places, there+1) // no call waits for places of which nothing is known
		}
		out.Free += max(0, places+spare(places)-there)
		if out.AheadPlaces == 0 || there*out.AheadPlaces < out.Ahead*places {
			out.Ahead, out.AheadPlaces = there, places
		}
	}
	return out
}

func spare(places int) int { return max(1, int(spareShare*float64(places))) }

// takesCalls reports whether the server may get plain calls now.
func (s *Server) takesCalls(q Query, now time.Time) bool {
	return !s.Draining() && !s.IsDown(now) && !s.Resting(now) && q.admits(s) && !q.Exclude[s.Start]
}

// AddWaiting counts calls of this process that wait for a place of a service.
func (d *Directory) AddWaiting(service string, n int) {
	d.placeService(service).waiting.Add(int64(n))
	d.places.notify()
}

// Stopping reports whether this process is about to stop.
func (d *Directory) Stopping() bool { return d.stopping.Load() }
