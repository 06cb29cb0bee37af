package tokenlog

import (
	"maps"
	"slices"
	"time"
)

// BranchDump describes one branch in a StoreDump.
type BranchDump struct {
	Attempts int    `json:"attempts"`
	Tokens   int    `json:"tokens"`
	Runner   string `json:"runner"`
	Finish   string `json:"finish,omitempty"`
}

// EntryDump describes one generation in a StoreDump.
type EntryDump struct {
	Generation string       `json:"generation"`
	State      string       `json:"state"`
	AgeMillis  int64        `json:"age_ms"` // since the last change
	Branches   []BranchDump `json:"branches,omitempty"`
}

// StoreDump is the state of a store, for operators. It never includes token texts.
type StoreDump struct {
	Bytes    int         `json:"bytes"`
	MaxBytes int         `json:"max_bytes"`
	Entries  int         `json:"entries"`
	Newest   []EntryDump `json:"newest"`
}

// maxDumped limits the number of entries in a dump.
const maxDumped = 100

// Dump returns the store's totals and up to maxDumped entries: running generations first,
// then reservations, then finished generations, each with the most recently changed first.
func (s *Store) Dump() StoreDump {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := StoreDump{Bytes: s.bytes, MaxBytes: s.opts.MaxBytes, Entries: len(s.entries)}
	for st := numStates - 1; st >= 0; st-- {
		for el := s.byState[st].Back(); el != nil && len(out.Newest) < maxDumped; el = el.Prev() {
			out.Newest = append(out.Newest, el.Value.(*entry).dump())
		}
	}
	return out
}

func (e *entry) dump() EntryDump {
	out := EntryDump{Generation: e.id.String(), State: stateNames[e.state], AgeMillis: time.Since(e.lastChanged).Milliseconds()}
	for _, b := range e.branches {
		out.Branches = append(out.Branches, BranchDump{
			Attempts: len(b.lineage), Tokens: b.log.len(), Runner: b.runner, Finish: string(b.finish),
		})
	}
	return out
}

// WriterDump is the state of a writer, for operators.
type WriterDump struct {
	HeldBytes int      `json:"held_bytes"`
	MaxBytes  int      `json:"max_bytes"`
	Peers     []string `json:"peers,omitempty"` // peers that records are currently sent to
	Down      []string `json:"down,omitempty"`  // peers that failed recently and are not assigned generations
}

// Dump returns the writer's buffered bytes and the state of its peers.
func (w *Writer) Dump() WriterDump {
	w.mu.Lock()
	defer w.mu.Unlock()
	return WriterDump{
		HeldBytes: w.heldBytes, MaxBytes: w.opts.MaxBytes,
		Peers: slices.Sorted(maps.Keys(w.links)), Down: slices.Sorted(maps.Keys(w.downUntil)),
	}
}
