package directory

import "maps"

// historyLength is how many changes are kept for others that lag: each is a
// list that was taken, at most one each 400 ms, so a minute's worth is a few
// dozen kilobytes.
const historyLength = 64

// diff is what one list changed.
type diff struct {
	from, to uint64 // positions before and after
	changed  []Listing
	gone     []string
}

// remember keeps what a list changed; it is called under the lock of Apply. The
// first list is no change: others that were restarted in the same moment, and
// are behind by one position, would be handed thousands of servers as changes.
//
// It reports false if the list says what the one before it said.
func (d *Directory) remember(old *View, position uint64, list []Listing) bool {
	if old.Position == 0 {
		return true
	}
	before := make(map[string]Listing, len(old.Listings))
	for _, l := range old.Listings {
		before[l.ID] = l
	}
	change := diff{from: old.Position, to: position}
	for _, l := range list {
		if before[l.ID] != l {
			change.changed = append(change.changed, l)
		}
		delete(before, l.ID)
	}
	for id := range before {
		change.gone = append(change.gone, id)
	}
	changes := len(change.changed)+len(change.gone) > 0
	if !changes && len(d.history) > 0 {
		d.history[len(d.history)-1].to = position
		return false
	}
	d.history = append(d.history, change)
	if len(d.history) > historyLength {
		d.history = d.history[1:]
	}
	return changes
}

// Since returns what has changed since a position, and the position that it
// leads to. It reports false if the changes are no longer known: then the whole
// list is needed. Changes from before the position may be among them, which
// does no harm: each says how an entry is now.
func (d *Directory) Since(position uint64) (to uint64, changed []Listing, gone []string, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.history) == 0 || position < d.history[0].from || position == 0 {
		return 0, nil, nil, false
	}
	entries, left := map[string]Listing{}, map[string]bool{}
	for _, change := range d.history {
		if change.to <= position {
			continue
		}
		for _, l := range change.changed {
			entries[l.ID] = l
			delete(left, l.ID)
		}
		for _, id := range change.gone {
			left[id] = true
			delete(entries, id)
		}
	}
	for l := range maps.Values(entries) {
		changed = append(changed, l)
	}
	for id := range left {
		gone = append(gone, id)
	}
	return d.view.Load().Position, changed, gone, true
}
