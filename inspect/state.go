package inspect

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/pearyard/pearyard/types"
)

// SectionDrain is the section that says how a planned stop goes; its snapshot
// is a Drain. Status asks for it alone.
const SectionDrain = "drain"

// Drain is the progress of a process's planned stop.
type Drain struct {
	Active  bool          `json:"active"`
	Since   time.Time     `json:"since"`
	Streams int           `json:"streams"` // still in flight
	Longest time.Duration `json:"longest_ns"`
}

// State is a dump: each section is one snapshot.
type State struct {
	Identity
	At        time.Time          `json:"at"`
	Revision  types.Revision     `json:"revision"`
	Truncated bool               `json:"truncated"` // some section is cut, missing or failed
	Sections  map[string]Section `json:"sections"`
}

// Section is one named part of a dump. A part that could not be given whole
// says why in place of its value.
type Section struct {
	Value json.RawMessage `json:"value,omitempty"`
	Bytes int             `json:"bytes"` // of the whole value
	Error string          `json:"error,omitempty"`
	Head  string          `json:"head,omitempty"` // beginning of a value that is cut
}

// headBytes is how much of a cut section is kept for the reader.
const headBytes = 4 << 10

// section runs its snapshot in a goroutine of its own, at most one at a time.
//
// Failure guarded against: the process hangs on a lock that the snapshot needs.
// It shows as a dump that never answers, at the moment when it is needed most,
// and every further dump would add a stuck goroutine. The wait is bounded and
// busy stays set until the snapshot returns, so one goroutine is stuck at most.
type section struct {
	name     string
	snapshot func() any
	busy     atomic.Bool
}

// encoded is what a snapshot came to.
type encoded struct {
	raw []byte
	err error
}

func (s *section) read(expired <-chan struct{}) Section {
	if !s.busy.CompareAndSwap(false, true) {
		return Section{Error: "an earlier snapshot of this section has not returned"}
	}
	done := make(chan encoded, 1)
	go func() {
		defer s.busy.Store(false)
		done <- s.encode()
	}()
	select {
	case got := <-done:
		return bounded(got)
	case <-expired:
		return Section{Error: fmt.Sprintf("no snapshot within %s", sectionTimeout)}
	}
}

// encode turns a panic of the snapshot into an error: a dump must not end the process.
func (s *section) encode() (out encoded) {
	defer func() {
		if p := recover(); p != nil {
			out = encoded{err: fmt.Errorf("snapshot panicked: %v", p)}
		}
	}()
	raw, err := json.Marshal(s.snapshot())
	return encoded{raw: raw, err: err}
}

func bounded(got encoded) Section {
	if got.err != nil {
		return Section{Error: got.err.Error()}
	}
	if len(got.raw) > MaxSectionBytes {
		return cut(got.raw, fmt.Sprintf("truncated: over %d bytes", MaxSectionBytes))
	}
	return Section{Value: got.raw, Bytes: len(got.raw)}
}

func cut(raw []byte, reason string) Section {
	head := bytes.ToValidUTF8(raw[:min(headBytes, len(raw))], nil)
	return Section{Bytes: len(raw), Error: reason, Head: string(head)}
}

// Dump reads every section, or the one named only. All of them together have
// one bound in time: sections that hang don't add up.
func (r *Registry) Dump(only string) State {
	state := State{
		Identity: r.opts.Identity,
		At:       r.opts.Now(),
		Revision: r.opts.Revision(),
		Sections: map[string]Section{},
	}
	ctx, cancel := context.WithTimeout(context.Background(), sectionTimeout)
	defer cancel()
	sections := r.sorted(only)
	results := make([]chan Section, len(sections))
	for i, s := range sections {
		results[i] = make(chan Section, 1)
		go func() { results[i] <- s.read(ctx.Done()) }()
	}
	total := 0
	for i, s := range sections {
		got := <-results[i]
		if total+len(got.Value) > MaxStateBytes {
			got = cut(got.Value, fmt.Sprintf("truncated: the dump is over %d bytes", MaxStateBytes))
		}
		total += len(got.Value)
		state.Truncated = state.Truncated || got.Error != ""
		state.Sections[s.name] = got
	}
	return state
}
