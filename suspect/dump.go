package suspect

import "sort"

// Dump is the ledger's state as an operator sees it.
type Dump struct {
	Entries []DumpEntry    `json:"entries"`
	On      map[string]int `json:"suspects_on,omitempty"` // by backend server
	Unsaved int            `json:"unsaved"`               // rows the table service doesn't have yet
}

// DumpEntry is one fingerprint with its verdict.
type DumpEntry struct {
	Entry
	ID    string `json:"id"`
	State State  `json:"state"`
	Open  int    `json:"open_deaths"`
}

// Dump returns the state, by fingerprint.
func (l *Ledger) Dump() Dump {
	entries, _ := l.Deltas(0)
	out := Dump{On: l.SuspectsOn(), Entries: make([]DumpEntry, 0, len(entries))}
	for _, e := range entries {
		verdict := l.Verdict(e.Fingerprint)
		out.Entries = append(out.Entries, DumpEntry{Entry: e, ID: e.Fingerprint.String(), State: verdict.State, Open: verdict.Deaths})
	}
	sort.Slice(out.Entries, func(i, j int) bool { return out.Entries[i].Fingerprint < out.Entries[j].Fingerprint })
	l.mu.Lock()
	out.Unsaved = len(l.dirty) + len(l.gone)
	l.mu.Unlock()
	return out
}
