package nursery

import "maps"

// StoreCopy is a copy of all rows of the store at a moment.
type StoreCopy struct {
	rows    map[string]row
	version uint64
}

// Copy returns a copy of the store as it is now.
func (s *Store) Copy() StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreCopy{rows: maps.Clone(s.rows), version: s.version}
}

// LostRows are rows of the operator and of the backend servers that a copy lacks, as they
// were before the store came back from it, with the versions that the copy has of them.
type LostRows struct {
	rows   []row
	copied map[string]uint64 // version of the row in the copy, by table/key
}

// LostSince returns what the operator and the backend servers have written since a copy.
func (s *Store) LostSince(from StoreCopy) LostRows {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := LostRows{copied: map[string]uint64{}}
	for key, r := range s.rows {
		if known := from.rows[key]; known.Version != r.Version && (r.Table == "op" || r.Table == "servers") {
			lost.rows = append(lost.rows, r)
			lost.copied[key] = known.Version
		}
	}
	return lost
}

// ComeBack replaces the store's state by a copy, in a new era. Versions given out since the
// copy are given out again, and what was written since is gone.
func (s *Store) ComeBack(from StoreCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.version, s.dropped = maps.Clone(from.rows), from.version, min(s.dropped, from.version)
	s.era++
	s.notifyWatchers()
}

// WriteAgain writes the lost rows that have not been written since the store came back.
func (s *Store) WriteAgain(lost LostRows) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range lost.rows {
		key := r.Table + "/" + r.Key
		if s.rows[key].Version != lost.copied[key] {
			continue
		}
		s.version++
		r.Version = s.version
		s.rows[key] = r
	}
	s.notifyWatchers()
}

// Era returns how many times the store has come back from a copy.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}
