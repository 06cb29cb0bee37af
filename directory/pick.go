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
	Copy bool // a place for a copy of a stream's memory is looked for
	// Again: what is placed was lost elsewhere. Others place theirs in the same
	// moment, by the same words of load.
	Again bool

	urgent  bool      // the streams of this process must end soon; set by Pick
	portion hashRange // of this process; set by Pick for what is placed again
}

// Weights of load, in prompt tokens.
const (
	// streamWeight makes a stream that runs count like a tenth of a long prompt:
	// a prompt is read nearly as fast beside it, but holds it up. From 300 to
	// 8,000 the mean worth of twelve days differed by 0.02 at most; 800 had the best.
	streamWeight = 800.0
	// tieWeight is how far chance may reorder servers.
	tieWeight = 100.0
	// copyWeight: a copy takes memory but no time until it is used.
	copyWeight = 200.0
	// copyBesideCopy keeps copies apart: those of a zone that fails are all used
	// at once, and a server full of them has no room for the next.
	copyBesideCopy = 1500.0
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
	// otherPortionWeight keeps processes apart that place again at the same time: as
	// much as a long prompt, which takes a second to be read.
	otherPortionWeight = 8000.0
	// zoneLossWindow, zoneLosses and zoneShare: where a zone lost at least this
	// many of its servers, and at least one in zoneShare, within the window, it
	// is taken to have failed as a whole. Entries of crashed servers lapse
	// within the window.
	zoneLossWindow = 5 * time.Second
	zoneLosses     = 2
	zoneShare      = 4
)

// Pick returns the server that is expected to begin soonest, or nil. Among
// near-equal ones it picks by chance: many processes read the same list, and
// a strict order would send them all to the same server.
func (d *Directory) Pick(q Query, now time.Time) *Server {
	d.freshSums(now)
	list := d.view.Load().Service(q.Service)
	zones := lossesOf(list, now)
	q.urgent = d.urgent.Load()
	if q.Again {
		q.portion = d.portionOf(list, now)
	}
	if own := d.ownCell(list); len(own) < len(list) {
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

func best(list []*Server, q Query, zones losses, g grade, now time.Time) *Server {
	var found *Server
	var least float64
	for _, s := range list {
		if s.Draining() || s.Ended() {
			continue
		}
		if !g.notZone && q.NotZone != "" && s.Zone == q.NotZone {
			continue
		}
		if !g.doubted && zones.doubted(s) {
			continue
		}
		if !g.down && s.IsDown(now) {
			continue
		}
		if !g.faulty && s.Faults(now) > maxFaults {
			continue
		}
		score := s.score(q, now) + rand.Float64()*tieWeight
		if (found == nil || score < least) && !q.Avoid[s.Start] {
			found, least = s, score
		}
	}
	return found
}

// keptBy tells whether a server keeps most of the prompt. Its faults don't count
// then, but for those that bar it from work: it has just answered what it keeps, and
// the stream that comes back is often the fault itself.
//
// Failure it stops: connections of a VM were reset. That counted as a fault of each
// server at their other end, worth a long prompt, and the callers that came back
// had their prompts read anew elsewhere: late by 0.3 to 0.8 s, each of them. Worth of
// twelve days with such resets 0.608, 0.623 since.
func (q Query) keptBy(s *Server) bool {
	kept := q.Kept[s.Start]
	return kept > 0 && 2*kept >= q.Prompt
}

// weightOfCopies is that of the copies which a server holds already.
func (q Query) weightOfCopies() float64 {
	if q.Copy {
		return copyBesideCopy
	}
	return copyWeight
}

// score is the load of a server for what is looked for, in prompt tokens.
func (s *Server) score(q Query, now time.Time) float64 {
	score := float64(s.prefill.Load() + s.otherPrefill.Load())
	score += streamWeight * float64(weightOfStreams(s.streams.Load(), q.urgent)+s.otherStreams.Load())
	score += q.weightOfCopies() * float64(s.copies.Load()+s.otherCopies.Load())
	score += callWeight * float64(s.calls.Load())
	if !q.keptBy(s) {
		score += faultWeight * (s.Faults(now) + s.distrust(now))
	}
	// What a server told is older than what entry VMs tell each other of streams.
	if age := now.UnixNano() - s.toldAt.Load(); q.Prompt == 0 && age < int64(toldFresh) {
		score += callWeight * float64(s.told.Load()) * (1 - float64(age)/float64(toldFresh))
	}
	score -= float64(q.Kept[s.Start])
	if now.UnixNano() < s.warmAt.Load() {
		score += coldWeight
	}
	if s.Zone != q.Zone {
		score += otherZoneWeight
	}
	if q.Again && !q.portion.has(s) {
		score += otherPortionWeight
	}
	return score
}

// losses holds, by zone, when its servers were lost lately.
type losses map[string]*zoneLoss

type zoneLoss struct {
	count   int // servers lost
	servers int // of all that are known there
	last    time.Time
}

// lossesOf counts the servers of each zone that were lost lately.
func lossesOf(list []*Server, now time.Time) losses {
	var zones losses
	for _, s := range list {
		at, lost := s.lostSince(now, zoneLossWindow)
		if !lost || s.Draining() {
			continue
		}
		if zones == nil {
			zones = losses{}
		}
		if zones[s.Zone] == nil {
			zones[s.Zone] = &zoneLoss{}
		}
		zones[s.Zone].count++
		if at.After(zones[s.Zone].last) {
			zones[s.Zone].last = at
		}
	}
	for _, s := range list {
		if zone := zones[s.Zone]; zone != nil {
			zone.servers++
		}
	}
	return zones
}

// doubted tells whether a server may be gone without anybody here having
// noticed: its zone has lost many since its last sign of life.
func (z losses) doubted(s *Server) bool {
	zone := z[s.Zone]
	return zone != nil && zone.count >= zoneLosses && zone.count*zoneShare >= zone.servers && !s.provenSince(zone.last)
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
