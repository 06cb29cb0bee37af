package directory

import (
	"math/rand/v2"
	"time"
)

// Query says what is looked for.
type Query struct {
	Service string
	Zone    string         // of this process; wins ties
	Avoid   map[Start]bool // starts that were tried already
	// NotZone is passed over while there are servers elsewhere: that of the
	// run whose copy is placed, or that has just lost several servers.
	NotZone string
	Prompt  int // prompt tokens; 0 for plain calls
	// Kept are the tokens of the prompt that servers keep: they need not be read there.
	Kept map[Start]int
	// Resumes: what is placed goes on elsewhere if its server breaks it off.
	Resumes bool
	Copy    bool // a place for a copy of a stream's memory is looked for
	// Again: what is placed was lost elsewhere. Others place theirs in the same
	// moment, by the same words of load.
	Again bool

	urgent    bool      // the streams of this process must end soon; set by Pick
	hashRange hashRange // of this process; set by Pick for what is placed again
}

// Pick returns the server that is expected to begin soonest, or nil. Among
// near-equal ones it picks by chance: many processes read the same list, and
// a strict order would send them all to the same server.
func (d *Directory) Pick(q Query, now time.Time) *Server {
	d.freshSums(now)
	list := d.view.Load().Service(q.Service)
	zones := lossesOf(list, now)
	q.urgent = d.urgent.Load()
	if q.Prompt > 0 {
		d.compareSpeeds(q.Service, list, now)
	}
	own := d.ownCell(list)
	q.Again = q.Again || d.justStarted(now)
	if q.Again {
		q.hashRange = d.hashRangeOf(own, now)
	}
	if len(own) < len(list) {
		if s := best(own, q, zones, grades[0], now); s != nil {
			return s
		}
	}
	for _, grade := range grades {
		if s := best(list, q, zones, grade, now); s != nil {
			return s
		}
	}
	return nil
}

// grade is how picky a pass over the servers is. A server in a lost zone or one
// that failed lately is better than none, so each later pass lets more through.
type grade struct {
	doubted, notZone, faulty, down bool // true: allowed
}

var grades = []grade{
	{},
	{notZone: true},
	{notZone: true, doubted: true},
	{notZone: true, doubted: true, faulty: true},
	{notZone: true, doubted: true, faulty: true, down: true},
}

func (g grade) allows(c candidate) bool {
	return (g.notZone || !c.passedOver) && (g.doubted || !c.doubted) && (g.down || !c.down) && (g.faulty || c.faults <= maxFaults)
}

// best returns the candidate with the least score that a grade lets through.
func best(list []*Server, q Query, zones losses, g grade, now time.Time) *Server {
	var found *Server
	var least float64
	for _, s := range list {
		if s.Draining() || s.Ended() {
			continue
		}
		c := s.candidate(q, zones, now)
		if !g.allows(c) {
			continue
		}
		score := c.score(q) + rand.Float64()*tieWeight
		if (found == nil || score < least) && !q.Avoid[s.Start] {
			found, least = s, score
		}
	}
	return found
}

// Sound returns the servers of this process's cell that may be asked for something:
// they neither leave nor are lost.
func (d *Directory) Sound(service string, now time.Time) []*Server {
	var sound []*Server
	for _, s := range d.ownCell(d.view.Load().Service(service)) {
		if !s.Draining() && !s.IsDown(now) {
			sound = append(sound, s)
		}
	}
	return sound
}

// Usable tells whether a server that holds something may still be asked for it:
// it neither leaves nor is lost, alone or with its zone.
func (d *Directory) Usable(s *Server, now time.Time) bool {
	if s.Draining() || s.Ended() || s.IsDown(now) {
		return false
	}
	return !lossesOf(d.view.Load().Service(s.Service), now).doubted(s)
}
