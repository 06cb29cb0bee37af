package directory

import "time"

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
		at, lost := s.recentLoss(now, zoneLossWindow)
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

// suspects reports whether a server may be lost although no request has failed there yet:
// its zone has lost many servers since its last sign of life.
func (z lossesByZone) suspects(s *Server) bool {
	zone := z[s.Zone]
	return zone != nil && zone.count >= minZoneLosses && zone.count*zoneLossShare >= zone.servers && !s.heardSince(zone.last)
}
