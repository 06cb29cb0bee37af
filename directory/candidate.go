package directory

import "time"

// candidate is what is known of a server at the moment of a choice. The choice
// itself reads nothing else: no clock, no lock, nothing that changes meanwhile.
type candidate struct {
	unread   int64   // prompt tokens ahead of a new one
	streams  int64   // that run there; one that must end soon counts several times
	copies   int64   // of streams that run elsewhere
	calls    int64   // plain calls of this process
	told     float64 // calls of others by the server's own word, less the older that is
	faults   float64 // recent ones, see Server.Faults
	distrust float64 // crashes of earlier starts, see Server.distrust
	kept     int     // tokens of the prompt that need not be read there
	slowness float64 // how much longer it takes for prompts and streams than the median server

	cold       bool // slow after its start
	otherZone  bool // not in the zone of this process
	otherRange bool // not of this process's portion, where that counts
	passedOver bool // in the zone that the query passes over
	doubted    bool // in a zone that has lost many servers
	down       bool // believed lost
}

// candidate returns what is known of the server now.
func (s *Server) candidate(q Query, zones losses, now time.Time) candidate {
	return candidate{
		unread:     s.prefill.Load() + s.otherPrefill.Load(),
		streams:    weightOfStreams(s.streams.Load(), q.urgent) + s.otherStreams.Load(),
		copies:     s.copies.Load() + s.otherCopies.Load(),
		calls:      s.calls.Load(),
		told:       s.reportedLoad(q, now),
		faults:     s.Faults(now),
		distrust:   s.distrust(now),
		kept:       q.Kept[s.Start],
		slowness:   s.Slowness(),
		cold:       now.UnixNano() < s.warmAt.Load(),
		otherZone:  s.Zone != q.Zone,
		otherRange: q.Again && q.Kept[s.Start] == 0 && !q.hashRange.has(s),
		passedOver: q.NotZone != "" && s.Zone == q.NotZone,
		doubted:    zones.doubted(s),
		down:       s.IsDown(now),
	}
}

// reportedLoad returns what a server's own word on others' calls counts now. It does so
// for plain calls alone: of streams entry VMs tell each other something newer.
func (s *Server) reportedLoad(q Query, now time.Time) float64 {
	age := now.UnixNano() - s.toldAt.Load()
	if q.Prompt != 0 || age >= int64(toldFresh) {
		return 0
	}
	return float64(s.told.Load()) * (1 - float64(age)/float64(toldFresh))
}

// Weights of load, in prompt tokens.
const (
	// streamWeight makes a stream that runs count like a sixth of a long prompt: a prompt
	// is read nearly as fast beside it, but holds it up. With less, servers that are twice
	// as fast as others get so many prompts that their streams stand still.
	streamWeight = 1300.0
	// tieWeight is how far chance may reorder servers.
	tieWeight = 100.0
	// copyWeight: a copy takes memory but no time until it is used.
	copyWeight = 200.0
	// copyBesideCopy keeps copies apart: those of a zone that fails are all used
	// at once, and a server full of them has no room for the next.
	copyBesideCopy = 1500.0
	// callWeight makes one plain call count like a small prompt.
	callWeight = 1000.0
	// toldFresh is how long a load told by a server counts.
	toldFresh = time.Second
	// faultWeight keeps a server that failed lately out of the way of one that is a
	// prompt busier: calls that run at most once fail with it for good. It does not
	// count for streams that can be resumed: a fault costs them little, most are of
	// connections that were reset, and a stream that comes back would have its
	// prompt read anew because of the very break that sent it back.
	faultWeight = 8000.0
	// coldWeight is that of a server that is slow after its start.
	coldWeight = 2000.0
	// otherZoneWeight breaks ties in favour of the process's own zone.
	otherZoneWeight = 150.0
	// maxFaults is where a server gets work only if there is no other.
	maxFaults = 2.5
	// otherRangeWeight keeps processes apart that place again at the same time: as
	// much as a long prompt, which takes a second to be read.
	otherRangeWeight = 8000.0
)

// score is the load of a candidate for what is looked for, in prompt tokens.
func (c candidate) score(q Query) float64 {
	score := float64(c.unread - int64(c.kept))
	score += streamWeight * float64(c.streams)
	score += q.weightOfCopies() * float64(c.copies)
	if !q.Copy {
		score += float64(q.Prompt)
	}
	if q.Prompt > 0 {
		score *= c.slowness
	}
	score += callWeight * (float64(c.calls) + c.told)
	score += faultWeight * c.distrust
	if !q.Resumes {
		score += faultWeight * c.faults
	}
	if c.cold {
		score += coldWeight
	}
	if c.otherZone {
		score += otherZoneWeight
	}
	if c.otherRange {
		score += otherRangeWeight
	}
	return score
}

// weightOfCopies is that of the copies which a server holds already.
func (q Query) weightOfCopies() float64 {
	if q.Copy {
		return copyBesideCopy
	}
	return copyWeight
}
