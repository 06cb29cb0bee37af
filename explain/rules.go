package explain

import (
	"cmp"
	"maps"
	"slices"
)

// Parameters of the rules that need all lines.
const (
	// A zone that loses zoneLossServers within zoneLossWindow has failed as a whole.
	zoneLossWindow  = 2 // seconds
	zoneLossServers = 3
	// lossTolerance is the maximum time between a failed attempt and the line in
	// which some process reports its server lost.
	lossTolerance = 5 // seconds
	// A second with surgeFactor times the median number of requests of a kind begins
	// a surge. It lasts surgeDuration, since servers then still have a backlog.
	surgeFactor   = 2
	surgeDuration = 3 // seconds
	// If streams of stallServers pause for the same time in one process, the cause
	// is the process and not the servers.
	stallServers = 3
)

// resolve refines a cause by the lines of other requests and processes.
func (b *builder) resolve(key causeBucket, kind string) Cause {
	switch key.cause {
	case CauseServerLost:
		return b.serverLossCause(key)
	case CauseServerPause:
		if len(b.period.pauses[key.pause]) >= stallServers {
			return CauseProcessStalled
		}
	case CauseQueue, CauseAdmission:
		if b.surges[kind][key.second] {
			return CauseSurge
		}
	}
	return key.cause
}

func (b *builder) serverLossCause(key causeBucket) Cause {
	attempt := key.attempt
	if zone, found := b.period.serverZones[attempt.server]; found && b.zoneLossSeconds[zone][attempt.second] {
		return CauseZoneLost
	}
	if attempt.silent && !b.period.reportedLost(attempt) {
		return CauseServerSilent
	}
	return CauseServerLost
}

func (p *Period) reportedLost(attempt failedAttempt) bool {
	return slices.ContainsFunc(p.lossSeconds[attempt.server], func(second int64) bool {
		return second-lossTolerance <= attempt.second && attempt.second <= second+lossTolerance
	})
}

// zoneLossSeconds returns, by zone, the seconds close to which the zone lost several
// servers.
func (p *Period) zoneLossSeconds() map[string]map[int64]bool {
	out := map[string]map[int64]bool{}
	for zone, losses := range p.losses {
		slices.SortFunc(losses, func(a, b loss) int { return cmp.Compare(a.second, b.second) })
		out[zone] = lossSeconds(losses)
	}
	return out
}

func lossSeconds(losses []loss) map[int64]bool {
	seconds := map[int64]bool{}
	inWindow := map[string]int{}
	from := 0
	for _, l := range losses {
		inWindow[l.server]++
		for ; losses[from].second < l.second-zoneLossWindow; from++ {
			removeServer(inWindow, losses[from].server)
		}
		if len(inWindow) < zoneLossServers {
			continue
		}
		for second := l.second - lossTolerance; second <= l.second+lossTolerance; second++ {
			seconds[second] = true
		}
	}
	return seconds
}

func removeServer(counts map[string]int, server string) {
	counts[server]--
	if counts[server] == 0 {
		delete(counts, server)
	}
}

// surges returns, by kind, the seconds of surges and those just after them.
func (p *Period) surges() map[string]map[int64]bool {
	counts := map[string]map[int64]int{}
	for key, t := range p.seconds {
		kind := p.kindOf(key.route)
		if counts[kind] == nil {
			counts[kind] = map[int64]int{}
		}
		for _, n := range t.counts {
			counts[kind][key.second] += int(n)
		}
	}
	out := map[string]map[int64]bool{}
	for kind, perSecond := range counts {
		out[kind] = findSurges(perSecond)
	}
	return out
}

// minSurgeRequests is the smallest number of requests in a second that can be a
// surge. Streams arrive singly, so that a few already are a multiple of the median.
const minSurgeRequests = 4

func findSurges(perSecond map[int64]int) map[int64]bool {
	median := slices.Sorted(maps.Values(perSecond))[len(perSecond)/2]
	surges := map[int64]bool{}
	for second, n := range perSecond {
		if n < minSurgeRequests || n < surgeFactor*median {
			continue
		}
		for i := range int64(surgeDuration) {
			surges[second+i] = true
		}
	}
	return surges
}
