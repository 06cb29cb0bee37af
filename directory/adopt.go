package directory

import (
	"maps"
	"slices"
	"time"
)

// Adopt makes known that a server was started again at its address, under the
// same id or another one, before the store tells it. It reports whether that is news.
// An id that can't be sent is none: it comes from the server or from a datagram.
func (d *Directory) Adopt(old *Server, start Start, now time.Time) bool {
	if !ValidID(start.ID) {
		return false
	}
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
		Position: view.Position, From: view.From, Listings: view.Listings, invalid: view.invalid,
		byService: make(map[string][]*Server, len(view.byService)), byID: maps.Clone(view.byID), byHash: maps.Clone(view.byHash),
	}
	for service, list := range view.byService {
		next.byService[service] = slices.Clone(list)
	}
	next.remove(known)
	listing := Listing{ID: start.ID, Born: start.Born, Service: old.Service, Address: old.Address, Zone: old.Zone, Slots: old.Slots}
	next.add(d.joined(known, listing, now))
	d.view.Store(next)
	d.unsummed.Store(true) // others may have told of their load there already
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

// AdoptAs is Adopt for a server whose start another process names by its hash. A
// process that missed that start, and knows one before it, goes by the id.
func (d *Directory) AdoptAs(old uint32, start Start, now time.Time) bool {
	view := d.view.Load()
	s := view.byHash[old]
	if s == nil {
		s = view.byID[start.ID]
	}
	if s == nil {
		d.dropped.Add(1)
		return false
	}
	return d.Adopt(s, start, now)
}
