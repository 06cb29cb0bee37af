package directory

import (
	"math/rand/v2"
	"time"
)

// Query says what is looked for.
type Query struct {
	Service string
	Zone    string          // of this process; wins ties
	Avoid   map[string]bool // ids that were tried already
	// NotZone is passed over while there are servers elsewhere: that of the
	// run whose copy is placed, or that has just lost several servers.
	NotZone string
	Prompt  int // prompt tokens; 0 for plain calls
}

// Weights of load, in prompt tokens. A step of an engine takes about as long
// as reading forty tokens; a stream of a hundred events of five tokens delays a
// prompt read beside it by about as much as 300 tokens more would.
const (
	streamWeight = 300.0
	// copyWeight: a copy takes memory but no time until it is used.
	copyWeight = 0.05
	// callWeight makes one plain call count like a small prompt.
	callWeight = 1000.0
	// toldFresh is how long a load told by a server is worth anything.
	toldFresh = time.Second
	// faultWeight keeps a server that failed lately out of the way of one that is a prompt busier.
	faultWeight = 8000.0
	// coldWeight is that of a server that is slow after its start.
	coldWeight = 2000.0
	// otherZoneWeight breaks ties in favour of the process's own zone: bytes between zones are priced.
	otherZoneWeight = 150.0
	// maxFaults is where a server gets work only if there is no other.
	maxFaults = 2.5
	// zoneLossWindow and zoneLosses: a zone that lost this many servers of a
	// service within the window is passed over, since a zone fails as a whole.
	zoneLossWindow = 1200 * time.Millisecond
	zoneLosses     = 2
)

// Pick returns the server that is expected to begin soonest, or nil. Among
// near-equal ones it picks by chance: many processes read the same list, and
// a strict order would send them all to the same server.
func (d *Directory) Pick(q Query, now time.Time) *Server {
	list := d.view.Load().Service(q.Service)
	lost := lostZones(list, now)
	for _, grade := range grades {
		if s := best(list, q, lost, grade, now); s != nil {
			return s
		}
	}
	return nil
}

// grade is how picky a pass is; each later one lets more through.
type grade struct {
	lostZones, notZone, faulty, down bool // true: allowed
}

var grades = []grade{
	{},
	{lostZones: true},
	{lostZones: true, notZone: true},
	{lostZones: true, notZone: true, faulty: true},
	{lostZones: true, notZone: true, faulty: true, down: true},
}

func best(list []*Server, q Query, lost map[string]int, g grade, now time.Time) *Server {
	var found *Server
	var least float64
	for _, s := range list {
		if s.Draining() || s.isDead() || q.Avoid[s.ID] {
			continue
		}
		if !g.notZone && q.NotZone != "" && s.Zone == q.NotZone {
			continue
		}
		if !g.lostZones && lost[s.Zone] >= zoneLosses {
			continue
		}
		if !g.down && s.IsDown(now) {
			continue
		}
		if !g.faulty && s.Faults(now) > maxFaults {
			continue
		}
		score := s.score(q, now) + rand.Float64()*streamWeight
		if found == nil || score < least {
			found, least = s, score
		}
	}
	return found
}

func (s *Server) score(q Query, now time.Time) float64 {
	score := float64(s.prefill.Load()) + streamWeight*float64(s.streams.Load()) +
		callWeight*float64(s.calls.Load()) + copyWeight*float64(s.copies.Load()) +
		faultWeight*s.Faults(now)
	if age := now.UnixNano() - s.toldAt.Load(); age < int64(toldFresh) {
		score += callWeight * float64(s.told.Load()) * (1 - float64(age)/float64(toldFresh))
	}
	if now.UnixNano() < s.warmAt.Load() {
		score += coldWeight
	}
	if s.Zone != q.Zone {
		score += otherZoneWeight
	}
	return score
}

// lostZones counts the servers of each zone that were lost lately.
func lostZones(list []*Server, now time.Time) map[string]int {
	var lost map[string]int
	for _, s := range list {
		if !s.WasDownWithin(now, zoneLossWindow) {
			continue
		}
		if lost == nil {
			lost = map[string]int{}
		}
		lost[s.Zone]++
	}
	return lost
}
