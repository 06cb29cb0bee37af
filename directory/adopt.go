package directory

import (
	"maps"
	"slices"
	"time"
)

// Adopt makes known that a server was started again at its address, under the
// same id or another one, before the store tells it. It reports whether that is news.
func (d *Directory) Adopt(old *Server, start Start, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	view := d.view.Load()
	known := view.byID[start.ID]
	if known != nil && !start.LaterThan(known.Start) {
		if known.LaterThan(start) {
			d.dropped.Add(1)
		}
		return false
	}
	old.Dead(now)
	next := &View{
		Position: view.Position, Listings: view.Listings,
		byService: make(map[string][]*Server, len(view.byService)), byID: maps.Clone(view.byID), byHash: maps.Clone(view.byHash),
	}
	for service, list := range view.byService {
		next.byService[service] = slices.Clone(list)
	}
	next.remove(known)
	listing := Listing{ID: start.ID, Born: start.Born, Service: old.Service, Address: old.Address, Zone: old.Zone, Slots: old.Slots}
	next.add(d.joined(known, listing, now))
	d.view.Store(next)
	return true
}

// remove takes a server out of a view that is being made; nil is none.
func (v *View) remove(s *Server) {
	if s == nil {
		return
	}
	delete(v.byID, s.ID)
	delete(v.byHash, s.hash)
	v.byService[s.Service] = slices.DeleteFunc(v.byService[s.Service], func(other *Server) bool { return other == s })
}

// AdoptAs is Adopt for a server whose start another process names by its hash.
func (d *Directory) AdoptAs(old uint32, start Start, now time.Time) bool {
	s := d.view.Load().byHash[old]
	return s != nil && d.Adopt(s, start, now)
}
