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

// SectionDrain is the name of the section that shows the progress of a planned stop; its
// value is a Drain. The status of package admin requests this section alone.
const SectionDrain = "drain"

// Drain is the progress of a process's planned stop.
type Drain struct {
	Active  bool          `json:"active"`
	Since   time.Time     `json:"since"`
	Streams int           `json:"streams"` // still in flight
	Longest time.Duration `json:"longest_ns"`
}

// State is the response to PathState. Each section is a separate snapshot.
type State struct {
	Identity
	At        time.Time          `json:"at"`
	Revision  types.Revision     `json:"revision"`
	Truncated bool               `json:"truncated"` // a section is truncated, missing or failed
	Sections  map[string]Section `json:"sections"`
}

// Section is one named part of a dump. If it is incomplete, Error holds the reason and
// Value is empty.
type Section struct {
	Value json.RawMessage `json:"value,omitempty"`
	Bytes int             `json:"bytes"` // size of the whole value
	Error string          `json:"error,omitempty"`
	Head  string          `json:"head,omitempty"` // beginning of a truncated value
}

// headBytes is how much of a truncated value is returned.
const headBytes = 4 << 10

// section takes its snapshot in a separate goroutine, at most one at a time.
//
// This guards against a process that hangs on a lock that the snapshot needs: a dump would
// never return, just when it is needed most, and each further dump would add a stuck
// goroutine. The wait is bounded, and busy stays set until the snapshot returns, so at
// most one goroutine is stuck.
type section struct {
	name     string
	snapshot func() any
	busy     atomic.Bool
}

// snapshotResult is the encoded value of a snapshot, or its error.
type snapshotResult struct {
	raw []byte
	err error
}

// capture returns the snapshot as a Section, or one with an error if the snapshot has not
// returned when expired is closed or an earlier one is still running.
func (s *section) capture(expired <-chan struct{}) Section {
	if !s.busy.CompareAndSwap(false, true) {
		return Section{Error: "an earlier snapshot of this section has not returned"}
	}
	done := make(chan snapshotResult, 1)
	go func() {
		defer s.busy.Store(false)
		done <- s.encode()
	}()
	select {
	case got := <-done:
		return limitSize(got)
	case <-expired:
		return Section{Error: fmt.Sprintf("no snapshot within %s", sectionTimeout)}
	}
}

// encode takes and encodes the snapshot. It turns a panic into an error, as a dump must
// not end the process.
func (s *section) encode() (out snapshotResult) {
	defer func() {
		if p := recover(); p != nil {
			out = snapshotResult{err: fmt.Errorf("snapshot panicked: %v", p)}
		}
	}()
	raw, err := json.Marshal(s.snapshot())
	return snapshotResult{raw: raw, err: err}
}

// limitSize returns the snapshot as a Section, truncated if it exceeds MaxSectionBytes.
func limitSize(got snapshotResult) Section {
	if got.err != nil {
		return Section{Error: got.err.Error()}
	}
	if len(got.raw) > MaxSectionBytes {
		return truncated(got.raw, fmt.Sprintf("truncated: over %d bytes", MaxSectionBytes))
	}
	return Section{Value: got.raw, Bytes: len(got.raw)}
}

func truncated(raw []byte, reason string) Section {
	head := bytes.ToValidUTF8(raw[:min(headBytes, len(raw))], nil)
	return Section{Bytes: len(raw), Error: reason, Head: string(head)}
}

// Dump returns all sections, or the one named by only. They share one timeout, so sections
// that hang don't add up.
func (r *Registry) Dump(only string) State {
	state := State{
		Identity: r.opts.Identity,
		At:       r.opts.Now(),
		Revision: r.opts.Revision(),
		Sections: map[string]Section{},
	}
	ctx, cancel := context.WithTimeout(context.Background(), sectionTimeout)
	defer cancel()
	sections := r.sectionsByName(only)
	results := make([]chan Section, len(sections))
	for i, s := range sections {
		results[i] = make(chan Section, 1)
		go func() { results[i] <- s.capture(ctx.Done()) }()
	}
	total := 0
	for i, s := range sections {
		got := <-results[i]
		if total+len(got.Value) > MaxStateBytes {
			got = truncated(got.Value, fmt.Sprintf("truncated: the dump is over %d bytes", MaxStateBytes))
		}
		total += len(got.Value)
		state.Truncated = state.Truncated || got.Error != ""
		state.Sections[s.name] = got
	}
	return state
}
