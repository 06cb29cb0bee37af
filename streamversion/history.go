package streamversion

import (
	"slices"
	"sync"
	"time"
)

// Retention is how long a version that is no longer listed counts as one that may have begun
// a stream. It is longer than the life of nearly all streams.
const Retention = 5 * time.Minute

// History holds the versions of each service that have served within the Retention.
type History struct {
	mu       sync.Mutex
	services map[uint32]*served
	complete bool // what served before this process started is known
}

// served is the history of one service.
type served struct {
	listed     []string             // versions in the newest list
	lastListed map[string]time.Time // of each version within the Retention
	sole       string               // version that alone served until mixedSince, or until now
	hasSole    bool                 // sole is known
	mixedSince time.Time            // since when several versions have served; zero: a single one
}

// NewHistory returns a History that is not complete.
func NewHistory() *History { return &History{services: map[uint32]*served{}} }

func (h *History) serviceLocked(service uint32) *served {
	s := h.services[service]
	if s == nil {
		s = &served{lastListed: map[string]time.Time{}}
		h.services[service] = s
	}
	return s
}

// Observe records the versions of the servers that are listed now. It reports whether several
// versions have served from now on.
func (h *History) Observe(service uint32, versions []string, now time.Time) (becameMixed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.serviceLocked(service)
	for _, v := range s.listed {
		s.lastListed[v] = now
	}
	s.listed = slices.Clone(versions)
	for _, v := range versions {
		s.lastListed[v] = now
	}
	wasMixed := !s.mixedSince.IsZero()
	h.settleLocked(s, now)
	return !wasMixed && !s.mixedSince.IsZero()
}

// Merge records a version that another process has seen listed. It reports whether several
// versions have served from now on.
func (h *History) Merge(service uint32, version string, lastListed, now time.Time) (becameMixed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.serviceLocked(service)
	if now.Sub(lastListed) >= Retention || !lastListed.After(s.lastListed[version]) {
		return false
	}
	if _, known := s.lastListed[version]; !known {
		// It served before this process knew of it, so none is known to have served alone.
		s.hasSole = false
	}
	s.lastListed[version] = lastListed
	wasMixed := !s.mixedSince.IsZero()
	h.settleLocked(s, now)
	return !wasMixed && !s.mixedSince.IsZero()
}

// SetComplete records that all versions are known that served before this process started.
func (h *History) SetComplete(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.complete = true
	for _, s := range h.services {
		h.settleLocked(s, now)
	}
}

// Complete reports whether SetComplete has been called.
func (h *History) Complete() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.complete
}

// settleLocked forgets versions and updates what follows from the others.
func (h *History) settleLocked(s *served, now time.Time) {
	for _, v := range s.listed {
		s.lastListed[v] = now
	}
	for v, at := range s.lastListed {
		if now.Sub(at) >= Retention {
			delete(s.lastListed, v)
		}
	}
	switch {
	case len(s.lastListed) > 1 && s.mixedSince.IsZero():
		s.mixedSince = now
	case len(s.lastListed) == 1:
		s.mixedSince, s.hasSole = time.Time{}, h.complete
		for v := range s.lastListed {
			s.sole = v
		}
	}
}

// Mixed reports whether several versions of a service have served within the Retention.
func (h *History) Mixed(service uint32, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.services[service]
	if s == nil {
		return false
	}
	h.settleLocked(s, now)
	return !s.mixedSince.IsZero()
}

// AnyMixed reports whether several versions of any service have served.
func (h *History) AnyMixed(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.services {
		if h.settleLocked(s, now); !s.mixedSince.IsZero() {
			return true
		}
	}
	return false
}

// Inference is what the versions that have served say of a stream without a record.
type Inference struct {
	Version string // that began it
	// Before is set if other versions serve by now: the stream began before them, provided
	// that it would have been recorded otherwise.
	Before     bool
	MixedSince time.Time // if Before: when this process listed the first of them
}

// Infer returns the version that began a stream without a record which is no older than
// maxAge; false: it can't be told.
func (h *History) Infer(service uint32, maxAge time.Duration, now time.Time) (Inference, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.services[service]
	if s == nil {
		return Inference{}, false
	}
	h.settleLocked(s, now)
	before := !s.mixedSince.IsZero()
	if !s.hasSole || before && now.Sub(s.mixedSince) >= maxAge {
		return Inference{}, false
	}
	return Inference{Version: s.sole, Before: before, MixedSince: s.mixedSince}, true
}

// Listed is when a version was last listed.
type Listed struct {
	Service uint32
	Version string
	At      time.Time
}

// Served returns the versions that have served within the Retention.
func (h *History) Served(now time.Time) []Listed {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all []Listed
	for service, s := range h.services {
		h.settleLocked(s, now)
		for v, at := range s.lastListed {
			all = append(all, Listed{service, v, at})
		}
	}
	return all
}
