package directory

import (
	"maps"
	"slices"
	"time"
)

// RecordRestart records that a server was restarted at its address, under the same id or
// another one, before the store reports it. It reports whether that was new information.
// Starts with an invalid id or start time are ignored: they come from the server itself or
// from a peer's datagram.
func (d *Directory) RecordRestart(old *Server, start Start, now time.Time) bool {
	if !ValidID(start.ID) || start.Born != CheckedBorn(start.Born) {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	view := d.view.Load()
	known := view.byID[start.ID]
	if known != nil && !start.LaterThan(known.Start) {
		if known.LaterThan(start) {
			d.droppedReports.Add(1)
		}
		return false
	}
	old.MarkEnded(now)
	next := &View{
		Position: view.Position, UnchangedSince: view.UnchangedSince, Listings: view.Listings, invalid: view.invalid,
		byService: make(map[string][]*Server, len(view.byService)), byID: maps.Clone(view.byID), byHash: maps.Clone(view.byHash), versions: view.versions,
	}
	for service, list := range view.byService {
		next.byService[service] = slices.Clone(list)
	}
	next.remove(known)
	listing := Listing{ID: start.ID, Born: start.Born, Service: old.Service, Address: old.Address, Zone: old.Zone, Slots: old.Slots, Version: old.Version()}
	started := d.newStart(known, listing, now)
	started.versionAssumed.Store(true)
	next.add(started)
	old.sameAddress.Store(started)
	d.view.Store(next)
	d.totalsStale.Store(true) // peers may have reported load for it already
	return true
}

// remove takes a server out of a view under construction; nil is ignored.
func (v *View) remove(s *Server) {
	if s == nil {
		return
	}
	delete(v.byID, s.ID)
	delete(v.byHash, s.startHash)
	v.byService[s.Service] = slices.DeleteFunc(v.byService[s.Service], func(other *Server) bool { return other == s })
}

// RecordRestartByHash is RecordRestart for a server whose previous start a peer names by
// its hash. If that start is not known here, because this process missed it, the server
// is looked up by id.
func (d *Directory) RecordRestartByHash(old uint32, start Start, now time.Time) bool {
	view := d.view.Load()
	s := view.byHash[old]
	if s == nil {
		s = view.byID[start.ID]
	}
	if s == nil {
		d.droppedReports.Add(1)
		return false
	}
	return d.RecordRestart(s, start, now)
}
