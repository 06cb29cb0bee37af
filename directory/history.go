package directory

import (
	"maps"

	"github.com/pearyard/pearyard/types"
)

// historyLength is the number of differences kept for peers that lag. Each comes from one
// applied list, and the store is read at most every 400 ms, so those of a minute take a
// few dozen kilobytes.
const historyLength = 64

// listDiff is the difference between two successive lists.
type listDiff struct {
	from, to types.Position // positions before and after
	// formerUntil is the position up to which the former list was known to be in force.
	formerUntil types.Position
	changed     []Listing
	gone        []string
}

// recordChange appends the difference to the previous list to the history; d.mu must be
// held. The first list is not recorded: peers that restarted at the same moment and lag
// by one position would otherwise get thousands of servers as changes.
//
// It returns false if the list has the same content as the previous one and is of the same
// era: an era may have had lists that this process has not seen, so a span of positions that
// goes beyond it would claim too much.
func (d *Directory) recordChange(old *View, position types.Position, list []Listing) bool {
	if old.Position == 0 {
		return true
	}
	before := make(map[string]Listing, len(old.Listings))
	for _, l := range old.Listings {
		before[l.ID] = l
	}
	change := listDiff{from: old.Position, to: position, formerUntil: max(old.Position, d.reached.Load())}
	newEra := position.Era() != old.Position.Era()
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
	if !changes && len(d.history) > 0 && !newEra {
		// The newest difference leads to this position as well.
		d.history[len(d.history)-1].to = position
		return false
	}
	d.history = append(d.history, change)
	if len(d.history) > historyLength {
		d.history = d.history[1:]
	}
	return changes || newEra
}

// leadsFromLocked reports whether the history leads from the list at a position to the one in
// force; d.mu must be held. If the era has changed since, the list that this process knew
// last in the position's era must be the one at the position.
func (d *Directory) leadsFromLocked(position types.Position) bool {
	for _, change := range d.history {
		if change.to.Era() > position.Era() {
			return change.from.Era() == position.Era() && position <= change.formerUntil
		}
	}
	return true
}

// ChangesSince returns what has changed since a position, and the position that it leads
// to. It reports false if those changes are no longer known; then the whole list is
// needed. The result may include changes from before the position. They do no harm, since
// each holds the current state of an entry.
func (d *Directory) ChangesSince(position types.Position) (to types.Position, changed []Listing, gone []string, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.history) == 0 || position < d.history[0].from || position == 0 || !d.leadsFromLocked(position) {
		return 0, nil, nil, false
	}
	changedByID, goneIDs := map[string]Listing{}, map[string]bool{}
	for _, change := range d.history {
		if change.to <= position {
			continue
		}
		for _, l := range change.changed {
			changedByID[l.ID] = l
			delete(goneIDs, l.ID)
		}
		for _, id := range change.gone {
			goneIDs[id] = true
			delete(changedByID, id)
		}
	}
	for l := range maps.Values(changedByID) {
		changed = append(changed, l)
	}
	for id := range goneIDs {
		gone = append(gone, id)
	}
	return d.view.Load().Position, changed, gone, true
}
