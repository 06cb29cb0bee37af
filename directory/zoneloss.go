package directory

import (
	"iter"
	"maps"
	"slices"
	"time"
)

const (
	// A zone is considered lost as a whole if it lost at least minZoneLosses of its
	// servers, and at least one in zoneLossShare, within zoneLossWindow. Entries of
	// crashed servers expire within the window.
	zoneLossWindow = 5 * time.Second
	minZoneLosses  = 2
	zoneLossShare  = 4
)

// lossesByZone holds the recent losses of servers by zone.
type lossesByZone map[string]*zoneLoss

type zoneLoss struct {
	count   int       // servers lost
	servers int       // servers known
	last    time.Time // time of the newest loss
}

// countZoneLosses counts the recently lost servers of each zone.
func countZoneLosses(list []*Server, now time.Time) lossesByZone {
	var zones lossesByZone
	for _, s := range list {
		found, lost := s.recentLoss(now, zoneLossWindow)
		if !lost || s.Draining() {
			continue
		}
		if zones == nil {
			zones = lossesByZone{}
		}
		if zones[s.Zone] == nil {
			zones[s.Zone] = &zoneLoss{}
		}
		zones[s.Zone].count++
		if found.at.After(zones[s.Zone].last) {
			zones[s.Zone].last = found.at
		}
	}
	for _, s := range list {
		if zone := zones[s.Zone]; zone != nil {
			zone.servers++
		}
	}
	return zones
}

// suspects reports whether a server may be lost although no request has failed there yet:
// its zone has lost many servers since its last sign of life.
func (z lossesByZone) suspects(s *Server) bool {
	zone := z[s.Zone]
	return zone != nil && zone.count >= minZoneLosses && zone.count*zoneLossShare >= zone.servers && !s.heardSince(zone.last)
}

// ZoneLosses is what is known of the servers of a zone just after one of them was lost.
type ZoneLosses struct {
	Lost    []Start   // lost within the window, that server included
	Alive   int       // gave a sign of life after that loss
	Unknown []*Server // neither
}

// Servers returns the number of servers.
func (z ZoneLosses) Servers() int { return len(z.Lost) + z.Alive + len(z.Unknown) }

// minZoneServers is how many servers of a service in a zone say whether the zone is lost.
// One or two are easily lost one by one at about the same time.
const minZoneServers = 3

// LossesInZone returns what is known of the servers in a lost server's zone: those of its
// service, or of all services if there are fewer than minZoneServers of them. Losses count
// that are no older than within.
func (d *Directory) LossesInZone(s *Server, now time.Time, within time.Duration) ZoneLosses {
	own, _ := s.recentLoss(now, within)
	view := d.view.Load()
	out := zoneLossesAmong(slices.Values(view.Service(s.Service)), s, own.at, now, within)
	if out.Servers() < minZoneServers {
		return zoneLossesAmong(maps.Values(view.byID), s, own.at, now, within)
	}
	return out
}

func zoneLossesAmong(list iter.Seq[*Server], s *Server, lostAt, now time.Time, within time.Duration) ZoneLosses {
	out := ZoneLosses{Lost: []Start{s.Start}}
	for other := range list {
		if other.ID == s.ID || other.Zone != s.Zone || other.Draining() {
			continue
		}
		found, lost := other.recentLoss(now, within)
		switch {
		case lost:
			out.Lost = append(out.Lost, found.of)
		case other.heardSince(lostAt):
			out.Alive++
		default:
			out.Unknown = append(out.Unknown, other)
		}
	}
	return out
}
