package rollout

import (
	"cmp"
	"slices"
	"sync"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/types"
)

// Baseline is the set of versions of a service that need no order. Entry VMs share it: what a
// process lists first depends on when it started, and on whether it was cut off.
type Baseline struct {
	Service  uint32         `json:"service"` // hash of its name
	Versions []string       `json:"versions"`
	Order    types.Position `json:"order"` // of the completed order that moved the service to them; 0: none
	Seen     types.Position `json:"seen"`  // without an order, of the list that had them first
}

// Supersedes reports whether a baseline is to be used in place of another one: that of the newest
// completed order, or else the one that was seen first. All processes decide alike.
func (b Baseline) Supersedes(other Baseline) bool {
	switch {
	case b.Order != other.Order:
		return b.Order > other.Order
	case b.Seen != other.Seen:
		return b.Seen < other.Seen
	default:
		return slices.Compare(b.Versions, other.Versions) < 0
	}
}

// maxBaselines bounds what peers can make a process keep.
const maxBaselines = 4096

// baselines holds the baseline of each service, by the hash of its name.
type baselines struct {
	mu        sync.Mutex // serialises changes
	byService sync.Map   // uint32 -> Baseline
	count     int
}

func (b *baselines) get(service uint32) (Baseline, bool) {
	known, ok := b.byService.Load(service)
	if !ok {
		return Baseline{}, false
	}
	return known.(Baseline), true
}

// merge keeps the one of two baselines of a service that is to be used. It returns that one, and
// whether it has changed.
func (b *baselines) merge(offered Baseline) (current Baseline, changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, ok := b.get(offered.Service)
	switch {
	case ok && !offered.Supersedes(known):
		return known, false
	case !ok && b.count >= maxBaselines:
		return offered, false
	case !ok:
		b.count++
	}
	b.byService.Store(offered.Service, offered)
	return offered, true
}

// observe is called with each list of servers. It takes the versions of a service that is listed
// for the first time as its baseline.
func (c *Controller) observe(v *directory.View) {
	if c.opts.AllowUnordered {
		return
	}
	for _, name := range v.Services() {
		service := directory.Hash(name)
		if _, known := c.baselines.get(service); !known {
			c.MergeBaseline(Baseline{Service: service, Versions: v.Versions(name), Seen: v.Position}, "list")
		}
	}
}

// MergeBaseline takes over a baseline that another process knows, unless the own one supersedes
// it. It returns the one that is used now.
func (c *Controller) MergeBaseline(b Baseline, from string) Baseline {
	if c.opts.AllowUnordered || len(b.Versions) == 0 || b.Order == 0 && b.Seen == 0 {
		return b // needed by no process here, or a mistake of its writer
	}
	b.Versions = slices.Clone(b.Versions)
	slices.Sort(b.Versions)
	current, changed := c.baselines.merge(b)
	if changed {
		c.opts.Recorder.Emit(EventBaseline, "service", b.Service, "versions", b.Versions, "order", b.Order, "seen", b.Seen, "from", from)
	}
	return current
}

// Baselines returns the baselines of all services, sorted by service.
func (c *Controller) Baselines() []Baseline {
	var all []Baseline
	c.baselines.byService.Range(func(_, known any) bool {
		all = append(all, known.(Baseline))
		return true
	})
	slices.SortFunc(all, func(a, b Baseline) int { return cmp.Compare(a.Service, b.Service) })
	return all
}

// HasMixedService reports whether a service that needs orders lists several versions, so that its
// baseline matters.
func (c *Controller) HasMixedService() bool {
	if c.opts.AllowUnordered {
		return false
	}
	view := c.opts.Directory.View()
	return slices.ContainsFunc(view.Services(), func(name string) bool { return len(view.Versions(name)) > 1 })
}
