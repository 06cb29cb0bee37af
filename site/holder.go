package site

import (
	"fmt"
	"sync/atomic"

	"github.com/pearyard/pearyard/types"
)

// Versioned is a configuration with its position in the store's history.
type Versioned struct {
	Config *Config
	// Position is the store's revision of the entry; it grows with each change.
	Position types.Position
	// Raw is the encoded configuration as stored, to be passed on to peers.
	Raw []byte
}

// NewerThan reports whether v replaces other, which may be nil. The operator's version
// number decides: positions go back when the store comes back from a copy, and it may then
// hold an earlier version than other processes have seen. The position orders readings of
// one version, whose roll-outs may differ.
func (v *Versioned) NewerThan(other *Versioned) bool {
	switch {
	case other == nil:
		return true
	case v.Config.Version != other.Config.Version:
		return v.Config.Version > other.Config.Version
	default:
		return v.Position > other.Position
	}
}

// UnreadableError is returned for a version in the store that can't be read.
type UnreadableError struct {
	Position types.Position // of the version; 0 if it is unknown
	Err      error
}

// Error implements error.
func (e *UnreadableError) Error() string {
	return fmt.Sprintf("site: the configuration at position %v of the store can't be read: %v", e.Position, e.Err)
}

// Unwrap returns the cause.
func (e *UnreadableError) Unwrap() error { return e.Err }

// Holder keeps the configuration in force in this process. Requests read it without a
// lock.
//
// Invariant: the version number never decreases, nor does the position of one version. A
// late response of the store, a peer that lags, or a store that came back from a copy could
// otherwise restore a deleted route or a revoked key.
type Holder struct {
	current atomic.Pointer[Versioned]
}

// NewHolder returns an empty holder.
func NewHolder() *Holder { return &Holder{} }

// Current returns the version in force, nil before the first one.
func (h *Holder) Current() *Versioned { return h.current.Load() }

// Config returns the configuration in force, nil before the first one.
func (h *Holder) Config() *Config {
	if v := h.current.Load(); v != nil {
		return v.Config
	}
	return nil
}

// Position returns the position of the version in force, 0 before the first one.
func (h *Holder) Position() types.Position {
	if v := h.current.Load(); v != nil {
		return v.Position
	}
	return 0
}

// Offer puts a version in force if it is newer, and reports whether it did.
func (h *Holder) Offer(v *Versioned) bool {
	for {
		old := h.current.Load()
		if !v.NewerThan(old) {
			return false
		}
		if h.current.CompareAndSwap(old, v) {
			return true
		}
	}
}
