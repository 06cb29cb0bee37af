package explain

import (
	"cmp"
	"maps"
	"slices"
)

// Rules that need all lines.
const (
	// zoneWithin and zoneServers: a zone that lost so many servers so close to
	// each other has failed as a whole.
	zoneWithin  = 2 // seconds
	zoneServers = 3
	// lossNear is how far a try's failure may be from the line by which some
	// process found its server lost.
	lossNear = 5 // seconds
	// waveTimes the usual count of requests of a kind, and waveLasts seconds from
	// then on: servers are still behind.
	waveTimes = 2
	waveLasts = 3
	// stoodStillServers that pause for the same time at one process don't do so of
	// themselves.
	stoodStillServers = 3
)

// resolve decides what takes the lines of other requests and processes.
func (b *builder) resolve(key causeSlot, kind string) Cause {
	switch key.cause {
	case CauseServerLost:
		return b.lossOf(key)
	case CausePause:
		if len(b.period.pauses[key.paused]) >= stoodStillServers {
			return CauseStoodStill
		}
	case CauseQueue, CauseAdmission:
		if b.waves[kind][key.second] {
			return CauseWave
		}
	}
	return key.cause
}

func (b *builder) lossOf(key causeSlot) Cause {
	try := key.try
	if zone, found := b.period.zones[try.server]; found && b.zoneLosses[zone][try.at] {
		return CauseZoneLost
	}
	if try.silent && !b.period.wasLost(try) {
		return CauseServerSilent
	}
	return CauseServerLost
}

func (p *Period) wasLost(try failedTry) bool {
	return slices.ContainsFunc(p.lostAt[try.server], func(second int64) bool {
		return second-lossNear <= try.at && try.at <= second+lossNear
	})
}

// lossesOfZones returns the seconds near which zones had lost several servers.
func (p *Period) lossesOfZones() map[string]map[int64]bool {
	out := map[string]map[int64]bool{}
	for zone, losses := range p.losses {
		slices.SortFunc(losses, func(a, b loss) int { return cmp.Compare(a.second, b.second) })
		out[zone] = lossesOfZone(losses)
	}
	return out
}

func lossesOfZone(losses []loss) map[int64]bool {
	seconds := map[int64]bool{}
	inWindow := map[string]int{}
	from := 0
	for _, l := range losses {
		inWindow[l.server]++
		for ; losses[from].second < l.second-zoneWithin; from++ {
			leave(inWindow, losses[from].server)
		}
		if len(inWindow) < zoneServers {
			continue
		}
		for second := l.second - lossNear; second <= l.second+lossNear; second++ {
			seconds[second] = true
		}
	}
	return seconds
}

func leave(counts map[string]int, server string) {
	counts[server]--
	if counts[server] == 0 {
		delete(counts, server)
	}
}

// waves returns the seconds of a kind's waves and those just after them.
func (p *Period) waves() map[string]map[int64]bool {
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
		out[kind] = wavesOf(perSecond)
	}
	return out
}

// fewRequests is how many in a second are no wave: streams come one by one.
const fewRequests = 4

func wavesOf(perSecond map[int64]int) map[int64]bool {
	usual := slices.Sorted(maps.Values(perSecond))[len(perSecond)/2]
	waves := map[int64]bool{}
	for second, n := range perSecond {
		if n < fewRequests || n < waveTimes*usual {
			continue
		}
		for i := range int64(waveLasts) {
			waves[second+i] = true
		}
	}
	return waves
}
