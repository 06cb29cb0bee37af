package directory

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Query describes the request that a server is needed for.
type Query struct {
	Service string
	Zone    string         // of this process; preferred among near-equal servers
	Exclude map[Start]bool // starts that have been tried already
	// AvoidZone is a zone to avoid while other zones have servers: the zone of the stream
	// whose copy is placed, or a zone that has just lost several servers.
	AvoidZone string
	Prompt    int // prompt tokens; 0 for plain calls
	// CachedTokens holds how many of the prompt's tokens are in a server's cache and need
	// no prefill there.
	CachedTokens map[Start]int
	// Resumable is set if the stream can go on at another server when this one fails.
	Resumable bool
	Copy      bool // the server is to hold a copy of a stream's state
	// Admits reports whether a server may be chosen; nil: all may.
	Admits func(s *Server) bool
	// AfterDisruption is set if the stream was lost or has stalled at another server.
	// Other processes then place theirs at the same moment, with the same knowledge of
	// load.
	AfterDisruption bool

	// Repeatable is set if a plain call may be sent a second time.
	Repeatable bool

	sharesPlaces bool // see SharesPlaces; set by Pick

	// Memory is how many tokens of a server's memory the request needs, and MemoryLimit up to
	// how many a server may be filled by it. Memory 0: memory is not accounted.
	Memory, MemoryLimit int

	peerMemory map[uint32]int64 // what other processes use, by start hash; set if Memory is
	turns      *partition       // this process, if scarce room at a server is taken in turn; nil otherwise
	stopping   bool             // this process is stopping; set by Pick
	hashRange  hashRange        // this process's partition; set by Pick if AfterDisruption is set
	// sampleShare is the probability with which a server outside the partition is
	// considered; set by best.
	sampleShare float64
}

// withCached adds the servers that have a part of the prompt cached to those of this
// process's cell.
func (q Query) withCached(own, list []*Server) []*Server {
	if len(q.CachedTokens) == 0 || len(own) == len(list) {
		return own
	}
	for _, s := range list {
		if q.CachedTokens[s.Start] > 0 && !slices.Contains(own, s) {
			own = append(own, s)
		}
	}
	return own
}

func (q Query) admits(s *Server) bool { return q.Admits == nil || q.Admits(s) }

// Pick returns the server that is expected to begin soonest, or nil. It chooses at random
// among near-equal ones: many processes read the same list, and a strict order would send
// all of them to the same server.
func (d *Directory) Pick(q Query, now time.Time) *Server {
	d.refreshPeerTotals(now)
	list := d.view.Load().Service(q.Service)
	zones := countZoneLosses(list, now)
	q.stopping = d.stopping.Load()
	q = d.withMemory(q, list, now)
	if q.Prompt > 0 {
		d.compareSpeeds(q.Service, list, now)
	}
	if q.Prompt == 0 && !q.Copy && d.SharesPlaces(q.Service) {
		if s := d.sharePlaces(&q, list, now); s != nil {
			return s
		}
	}
	own := d.serversInOwnCell(list)
	q.AfterDisruption = q.AfterDisruption || d.inStartup(now)
	if q.AfterDisruption {
		q.hashRange = d.partitionRange(own, now)
	}
	own = q.withCached(own, list)
	if len(own) < len(list) {
		// A server of another cell is better than one of this cell with drawbacks.
		if s := best(own, q, zones, grades[0], now); s != nil {
			return s
		}
	}
	for _, grade := range grades {
		if grade.down && anyRests(list, now) {
			return nil // one that is alive and rests is soon of more use than one that is lost
		}
		if s := best(list, q, zones, grade, now); s != nil {
			return s
		}
	}
	return nil
}

// grade is the set of drawbacks that a pass over the servers accepts. A server in a
// suspect zone or one that failed recently is better than none, so each pass accepts
// more.
type grade struct {
	suspectZone, avoidedZone, faulty, down bool // true: allowed
}

var grades = []grade{
	{},
	{avoidedZone: true},
	{avoidedZone: true, suspectZone: true},
	{avoidedZone: true, suspectZone: true, faulty: true},
	{avoidedZone: true, suspectZone: true, faulty: true, down: true},
}

func (g grade) allows(c candidate) bool {
	return (g.avoidedZone || !c.inAvoidedZone) && (g.suspectZone || !c.inSuspectZone) && (g.down || !c.down) && (g.faulty || c.faults <= maxFaults)
}

// anyRests reports whether one of the servers could take a request if it did not rest.
func anyRests(list []*Server, now time.Time) bool {
	return slices.ContainsFunc(list, func(s *Server) bool {
		return s.Resting(now) && s.suspended.Load() == nil && !s.Draining() && !s.IsDown(now)
	})
}

// best returns the candidate with the lowest score among those that a grade allows.
func best(list []*Server, q Query, zones lossesByZone, g grade, now time.Time) *Server {
	var found *Server
	var least float64
	q.sampleShare = sampleShare(len(list))
	for _, s := range list {
		if s.Draining() || s.Replaced() || s.Resting(now) || !q.admits(s) || !q.hasRoom(s, now) {
			continue
		}
		c := s.candidate(q, zones, now)
		if !g.allows(c) {
			continue
		}
		c.unsampled = q.isUnsampled(c)
		score := c.score(q) + rand.Float64()*tieBreakJitter
		if (found == nil || score < least) && !q.Exclude[s.Start] {
			found, least = s, score
		}
	}
	return found
}

// Healthy returns the servers of this process's cell that are neither draining nor lost and
// do not rest.
func (d *Directory) Healthy(service string, now time.Time) []*Server {
	var healthy []*Server
	for _, s := range d.serversInOwnCell(d.view.Load().Service(service)) {
		if !s.Draining() && !s.IsDown(now) && !s.Resting(now) {
			healthy = append(healthy, s)
		}
	}
	return healthy
}

// Usable reports whether a server that holds state, such as a copy or a cached prompt,
// may still be used: it is neither draining nor lost, alone or with its zone. It may rest,
// which is over before the state is lost.
func (d *Directory) Usable(s *Server, now time.Time) bool {
	if s.Draining() || s.isSuspended(now) || s.IsDown(now) {
		return false
	}
	return !countZoneLosses(d.view.Load().Service(s.Service), now).suspects(s)
}
