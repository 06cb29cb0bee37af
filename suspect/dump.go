package suspect

import "sort"

// Dump is the ledger's state for operators.
type Dump struct {
	Entries    []DumpEntry    `json:"entries"`
	SuspectsOn map[string]int `json:"suspects_on,omitempty"` // running suspects by backend server
	Unsaved    int            `json:"unsaved"`               // rows not yet written to or deleted from the table service
}

// DumpEntry is the entry of a fingerprint and its verdict.
type DumpEntry struct {
	Entry
	ID    string `json:"id"`
	State State  `json:"state"`
	Open  int    `json:"open_deaths"` // as in Verdict.Deaths
}

// Dump returns the state, with the entries sorted by fingerprint.
func (l *Ledger) Dump() Dump {
	entries, _ := l.Deltas(0)
	out := Dump{SuspectsOn: l.SuspectsOn(), Entries: make([]DumpEntry, 0, len(entries))}
	for _, e := range entries {
		verdict := l.Verdict(e.Fingerprint)
		out.Entries = append(out.Entries, DumpEntry{Entry: e, ID: e.Fingerprint.String(), State: verdict.State, Open: verdict.Deaths})
	}
	sort.Slice(out.Entries, func(i, j int) bool { return out.Entries[i].Fingerprint < out.Entries[j].Fingerprint })
	l.mu.Lock()
	out.Unsaved = len(l.dirty) + len(l.toDelete)
	l.mu.Unlock()
	return out
}
