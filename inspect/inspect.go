package inspect

import (
	"sort"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/types"
)

// Limits of one response.
const (
	MaxSectionBytes    = 256 << 10       // of one section of a dump
	MaxStateBytes      = 2 << 20         // of all sections of a dump
	MaxEvents          = 4096            // entries in one response
	MaxEventBytes      = 1 << 20         // of all entries in one response
	MaxMetricsBytes    = 4 << 20         // accepted by a client that collects metrics
	MaxGoroutinesBytes = 1 << 20         // of the goroutine profile
	sectionTimeout     = 1 * time.Second // for all sections of a dump to return
)

// Identity identifies the process that responds.
type Identity struct {
	Process     types.ProcessID   `json:"process"`
	Role        types.Role        `json:"role"`
	Zone        types.Zone        `json:"zone"`
	Incarnation types.Incarnation `json:"incarnation"`
}

// Options configures a Registry.
type Options struct {
	Identity   Identity
	Revision   func() types.Revision // of the configuration in force; nil: always 0
	Recorder   *event.Recorder
	Gatherer   prometheus.Gatherer   // source of /metrics
	Registerer prometheus.Registerer // for the event counters; nil: they aren't exported
	Now        func() time.Time      // nil: time.Now
}

// Registry holds the named sections of a process's state dump.
type Registry struct {
	opts Options

	mu       sync.Mutex // guards sections
	sections map[string]*section
}

// New returns a registry without sections. It registers the counters of the recorder.
func New(opts Options) (*Registry, error) {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Revision == nil {
		opts.Revision = func() types.Revision { return 0 }
	}
	if opts.Recorder == nil {
		opts.Recorder = event.Discard()
	}
	if opts.Gatherer == nil {
		opts.Gatherer = prometheus.NewRegistry()
	}
	if opts.Registerer != nil {
		if err := opts.Recorder.Register(opts.Registerer); err != nil {
			return nil, err
		}
	}
	return &Registry{opts: opts, sections: map[string]*section{}}, nil
}

// Add registers a section of the dump. The function returns a snapshot that can be encoded
// as JSON and is not modified afterwards; it may be called from any goroutine. A later
// section replaces an earlier one of the same name.
func (r *Registry) Add(name string, snapshot func() any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sections[name] = &section{name: name, snapshot: snapshot}
}

// sectionsByName returns the sections sorted by name; unless only is empty, only the
// section of that name.
func (r *Registry) sectionsByName(only string) []*section {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]*section, 0, len(r.sections))
	for name, s := range r.sections {
		if only == "" || only == name {
			out = append(out, s)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].name < out[j].name })
	return out
}
