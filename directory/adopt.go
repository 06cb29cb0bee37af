package directory

import (
	"maps"
	"slices"
	"time"
)

// Adopt makes known that the server of an id was started again at its address
// under another one, before the store tells it. It reports whether that is news.
// An id that can't be sent is none: it comes from the server or from a datagram.
func (d *Directory) Adopt(old *Server, id string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	view := d.view.Load()
	if !ValidID(id) || view.byID[id] != nil {
		return false
	}
	old.Dead(now)
	next := &View{
		Position: view.Position, Listings: view.Listings, invalid: view.invalid,
		byService: make(map[string][]*Server, len(view.byService)), byID: maps.Clone(view.byID), byHash: maps.Clone(view.byHash),
	}
	for service, list := range view.byService {
		next.byService[service] = slices.Clone(list)
	}
	next.add(newServer(Listing{ID: id, Service: old.Service, Address: old.Address, Zone: old.Zone, Slots: old.Slots}, now, d.touch))
	d.view.Store(next)
	return true
}

// AdoptAs is Adopt for a server that another process names by its hash.
func (d *Directory) AdoptAs(old uint32, id string, now time.Time) bool {
	s := d.view.Load().byHash[old]
	return s != nil && d.Adopt(s, id, now)
}
