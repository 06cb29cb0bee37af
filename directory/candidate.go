package directory

import "time"

// candidate holds what is known of a server at the moment of a choice. Scoring reads
// nothing else: no clock, no lock and no value that may change meanwhile.
type candidate struct {
	queuedTokens  int64   // prompt tokens queued ahead of a new prompt
	streams       int64   // running there; streams of a stopping process count several times
	copies        int64   // of streams that run elsewhere
	calls         int64   // plain calls of this process
	reportedCalls float64 // calls of other processes as reported by the server, weighted down by age
	faults        float64 // recent ones, see Server.RecentFaults
	excessCrashes float64 // recent crashes of earlier starts, see Server.excessCrashes
	cachedTokens  int     // prompt tokens in the server's cache, which need no prefill there
	slowness      float64 // see Server.Slowness; measured by prefill, but applied to streams too
	disturbance   float64 // share by which work takes longer there than usual, see Server.DisturbanceFactor
	slots         int

	cold             bool // still slow after its start
	otherZone        bool // not in the zone of this process
	outsidePartition bool // not in this process's partition, where that counts
	unsampled        bool // outside the partition and left out of this choice's sample
	inAvoidedZone    bool // in the zone that the query avoids
	inSuspectZone    bool // in a zone that has lost many servers
	down             bool // considered lost
	limited          bool // has just named a rate limit
}

// candidate returns what is known of the server now.
func (s *Server) candidate(q Query, zones lossesByZone, now time.Time) candidate {
	c := candidate{
		queuedTokens:     s.queuedTokens.Load() + s.peerQueuedTokens.Load(),
		streams:          weightedStreams(s.streams.Load(), q.stopping) + s.peerStreams.Load(),
		copies:           s.copies.Load() + s.peerCopies.Load(),
		calls:            s.calls.Load(),
		reportedCalls:    s.reportedLoad(q, now),
		faults:           s.RecentFaults(now),
		excessCrashes:    s.excessCrashes(now),
		cachedTokens:     q.CachedTokens[s.Start],
		slowness:         s.Slowness(),
		slots:            s.Slots,
		cold:             now.UnixNano() < s.warmAt.Load(),
		otherZone:        s.Zone != q.Zone,
		outsidePartition: q.AfterDisruption && q.CachedTokens[s.Start] == 0 && !q.hashRange.contains(s),
		inAvoidedZone:    q.AvoidZone != "" && s.Zone == q.AvoidZone,
		inSuspectZone:    zones.suspects(s),
		down:             s.IsDown(now),
		limited:          s.RateLimit().inForceAt(now),
	}
	if !q.Copy && s.ReportsDisturbance() { // a copy takes no processing time until it is used
		c.disturbance = s.DisturbanceFactor(time.Duration(c.prefillTokens(q))*s.prefillTime(), now) - 1
	}
	return c
}

// prefillTokens returns the prompt tokens to be prefilled before a stream's first event.
func (c candidate) prefillTokens(q Query) int64 {
	return max(0, c.queuedTokens-int64(c.cachedTokens)+int64(q.Prompt))
}

// reportedLoad returns the server's own report of other processes' calls, weighted down
// linearly by its age. It counts for plain calls only: for streams, the load that entry
// VMs exchange is more recent.
func (s *Server) reportedLoad(q Query, now time.Time) float64 {
	if q.sharesPlaces {
		return s.callsOfOthers(now)
	}
	age := now.UnixNano() - s.reportedAt.Load()
	if q.Prompt != 0 || age >= int64(reportedLoadTTL) {
		return 0
	}
	return float64(s.reportedCalls.Load()) * (1 - float64(age)/float64(reportedLoadTTL))
}

// Weights of the score, in prompt tokens; a long prompt has 8000.
const (
	// streamWeight makes a running stream count like a sixth of a long prompt: a prefill
	// is hardly slower beside the stream, but delays the stream's tokens. With a lower
	// weight, servers twice as fast as others get so many prompts that their streams
	// stall.
	streamWeight = 1300.0
	// tieBreakJitter is the range within which the order of servers is random.
	tieBreakJitter = 100.0
	// copyWeight is low, since a copy takes memory but no processing time until it is
	// used.
	copyWeight = 200.0
	// copySpreadWeight takes the place of copyWeight when a copy is placed, so that copies
	// are spread over servers: when a zone fails, all of its streams' copies are used at
	// once, and a server that holds many has no room for the last ones.
	copySpreadWeight = 1500.0
	// callWeight makes one plain call count like a short prompt.
	callWeight = 1000.0
	// reportedLoadTTL is how long a load reported by a server counts.
	reportedLoadTTL = time.Second
	// faultWeight makes a server that failed recently less attractive than one with
	// another prompt queued: at-most-once calls that fail there can't be retried. For
	// faults it does not apply to streams that can be resumed: a fault costs them little
	// and most faults are reset connections, and a stream that returns after such a reset
	// would have its prompt prefilled again on another server. It also weighs each crash
	// beyond the first, for all requests.
	faultWeight = 8000.0
	// coldWeight applies to a server that is still slow after its start.
	coldWeight = 2000.0
	// limitedWeight applies to a server that has just named a rate limit: it is in need, and
	// others take the work first.
	limitedWeight = 2000.0
	// otherZoneWeight breaks ties in favour of the process's own zone.
	otherZoneWeight = 150.0
	// maxFaults is the number of recent faults above which a server is used only if no
	// other is available.
	maxFaults = 2.5
	// outsidePartitionWeight keeps processes that place streams at the same moment away
	// from each other's partitions. It equals a long prompt, whose prefill takes a
	// second.
	outsidePartitionWeight = 8000.0
)

// score returns the load of a candidate for a query in prompt tokens; the lowest wins.
func (c candidate) score(q Query) float64 {
	score := float64(c.queuedTokens - int64(c.cachedTokens))
	score += streamWeight * float64(c.streams)
	score += q.perCopyWeight() * float64(c.copies)
	if !q.Copy { // a copy needs no prefill
		score += float64(q.Prompt)
	}
	if q.Prompt > 0 {
		score *= c.slowness * (1 + c.disturbance)
	}
	score += callWeight * c.callScore(q)
	score += faultWeight * c.excessCrashes
	if !q.Resumable {
		score += faultWeight * c.faults
	}
	if c.cold {
		score += coldWeight
	}
	if c.limited {
		score += limitedWeight
	}
	if c.otherZone {
		score += otherZoneWeight
	}
	if c.outsidePartition {
		score += outsidePartitionWeight
	}
	if c.unsampled {
		score += unsampledWeight
	}
	return score
}

// callScore returns how long a plain call takes at the server, in calls ahead of it on a
// server that is as usual. A disturbance delays the calls ahead and the call itself, whose
// own time is that of as many calls as the server has slots if one of them is free, and of
// one call if not; half the slots stand between them, as others' calls are known late.
func (c candidate) callScore(q Query) float64 {
	ahead := float64(c.calls) + c.reportedCalls
	if q.Prompt > 0 {
		return ahead
	}
	return ahead + c.disturbance*(ahead+float64(c.slots)/2)
}

// perCopyWeight returns the weight of each copy that a server holds already.
func (q Query) perCopyWeight() float64 {
	if q.Copy {
		return copySpreadWeight
	}
	return copyWeight
}
