package inspect

import (
	"sort"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/types"
)

// Bounds of one answer.
const (
	MaxSectionBytes    = 256 << 10       // of one section of a dump
	MaxStateBytes      = 2 << 20         // of all sections of a dump
	MaxEvents          = 4096            // entries of one answer
	MaxEventBytes      = 1 << 20         // of one answer
	MaxMetricsBytes    = 4 << 20         // read by one that gathers
	MaxGoroutinesBytes = 1 << 20         // of the goroutine profile
	sectionTimeout     = 1 * time.Second // for one section to answer
)

// Identity says which process answers.
type Identity struct {
	Process     types.ProcessID   `json:"process"`
	Role        types.Role        `json:"role"`
	Zone        types.Zone        `json:"zone"`
	Incarnation types.Incarnation `json:"incarnation"`
}

// Options of New.
type Options struct {
	Identity   Identity
	Revision   func() types.Revision // in force here; nil: none
	Recorder   *event.Recorder
	Gatherer   prometheus.Gatherer   // source of /metrics
	Registerer prometheus.Registerer // nil: the event counters aren't exported
	Now        func() time.Time      // nil: time.Now
}

// Registry holds the named sections of a process's state.
type Registry struct {
	opts Options

	mu       sync.Mutex // guards sections
	sections map[string]*section
}

// New returns a registry without sections. It exports the recorder's counters.
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

// Add registers a section of the dump. The function returns a snapshot that
// encodes as JSON and that nothing changes afterwards; it may be called from
// any goroutine. A later section of the same name replaces the earlier one.
func (r *Registry) Add(name string, snapshot func() any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sections[name] = &section{name: name, snapshot: snapshot}
}

// sorted returns the sections by name; only names the one of that name, if set.
func (r *Registry) sorted(only string) []*section {
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
