package directory

import "time"

const (
	// zoneLossWindow, zoneLosses and zoneShare: where a zone lost at least this
	// many of its servers, and at least one in zoneShare, within the window, it
	// is taken to have failed as a whole. Entries of crashed servers lapse
	// within the window.
	zoneLossWindow = 5 * time.Second
	zoneLosses     = 2
	zoneShare      = 4
)

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
