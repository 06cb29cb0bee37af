package tokenlog

import (
	"maps"
	"slices"
	"time"
)

// BranchDump describes one branch for an operator.
type BranchDump struct {
	Attempts int    `json:"attempts"`
	Tokens   int    `json:"tokens"`
	Runner   string `json:"runner"`
	Finish   string `json:"finish,omitempty"`
}

// EntryDump describes one generation for an operator.
type EntryDump struct {
	Generation string       `json:"generation"`
	State      string       `json:"state"`
	AgeMillis  int64        `json:"age_ms"` // since the last change
	Branches   []BranchDump `json:"branches,omitempty"`
}

// StoreDump is the state of a store; texts of tokens are never part of it.
type StoreDump struct {
	Bytes    int         `json:"bytes"`
	MaxBytes int         `json:"max_bytes"`
	Entries  int         `json:"entries"`
	Newest   []EntryDump `json:"newest"`
}

// maxDumped bounds the entries of a dump.
const maxDumped = 100

// Dump returns the store's totals and its newest entries.
func (s *Store) Dump() StoreDump {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := StoreDump{Bytes: s.bytes, MaxBytes: s.opts.MaxBytes, Entries: len(s.entries)}
	for st := states - 1; st >= 0; st-- {
		for el := s.ages[st].Back(); el != nil && len(out.Newest) < maxDumped; el = el.Prev() {
			out.Newest = append(out.Newest, el.Value.(*entry).dump())
		}
	}
	return out
}

func (e *entry) dump() EntryDump {
	out := EntryDump{Generation: e.id.String(), State: stateNames[e.state], AgeMillis: time.Since(e.changed).Milliseconds()}
	for _, b := range e.branches {
		out.Branches = append(out.Branches, BranchDump{
			Attempts: len(b.lineage), Tokens: b.log.len(), Runner: b.runner, Finish: string(b.finish),
		})
	}
	return out
}

// WriterDump is the state of a writer.
type WriterDump struct {
	HeldBytes int      `json:"held_bytes"`
	MaxBytes  int      `json:"max_bytes"`
	Peers     []string `json:"peers,omitempty"` // that generations are being sent to
	Down      []string `json:"down,omitempty"`  // that failed and get no generations for a while
}

// Dump returns what the writer keeps and whom it sends to.
func (w *Writer) Dump() WriterDump {
	w.mu.Lock()
	defer w.mu.Unlock()
	return WriterDump{
		HeldBytes: w.held, MaxBytes: w.opts.MaxBytes,
		Peers: slices.Sorted(maps.Keys(w.links)), Down: slices.Sorted(maps.Keys(w.down)),
	}
}
