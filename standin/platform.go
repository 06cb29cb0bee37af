package standin

import (
	"bytes"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/pearyard/pearyard/backing"
)

const (
	defaultWrites      = 500
	defaultReads       = 2000
	defaultWeightReads = 20
	minBurst           = 100
	burstsPerSecond    = 4 // a limiter's burst is this part of its rate
)

// PlatformOptions describes a stand-in platform.
type PlatformOptions struct {
	Writes      int           // rows and objects written a second; default 500
	Reads       int           // reads of table and object store a second; default 2000
	WeightReads int           // calls to the weight store a second; default 20
	VMLag       time.Duration // how old the VM list is
	Weights     []Artefact    // what the weight store has; none means anything
}

// Artefact is one model or adapter version in the weight store.
type Artefact struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// ServiceFaults are the faults of one service; absent fields change nothing.
type ServiceFaults struct {
	Down        *bool `json:"down,omitempty"`         // answer 503 without effect
	SlowMS      *int  `json:"slow_ms,omitempty"`      // before a call takes effect, even if its caller has left
	LoseCalls   *int  `json:"lose_calls,omitempty"`   // how many calls are dropped before any effect
	LoseAnswers *int  `json:"lose_answers,omitempty"` // how many answers are dropped after the effect; of table and objects, answers to writes
	StaleMS     *int  `json:"stale_ms,omitempty"`     // reads show the state of that long ago, 30 s at the most
}

// PlatformFaults is the body of POST /faults on a platform.
type PlatformFaults struct {
	Table   ServiceFaults `json:"table"`
	Objects ServiceFaults `json:"objects"`
	VMs     ServiceFaults `json:"vms"`
	Weights ServiceFaults `json:"weights"`
	Lacking []Artefact    `json:"lacking,omitempty"` // what the weight store no longer has
	Freeze  *bool         `json:"freeze,omitempty"`  // all services
	Cut     bool          `json:"cut,omitempty"`     // drop every connection at once
}

// PlatformCounters is the body of GET /dump: calls that the platform carried out.
type PlatformCounters struct {
	Reads     int `json:"reads"`
	Writes    int `json:"writes"` // rows and objects
	Conflicts int `json:"conflicts"`
	Throttled int `json:"throttled"`
	Lost      int `json:"lost"` // answers dropped after the effect
}

// Platform stands in for the table service, object store, VM list and weight
// store.
type Platform struct {
	opts     PlatformOptions
	mux      *http.ServeMux
	connect  *connections
	table    *table
	services [services]*service
	writes   *rate.Limiter
	reads    *rate.Limiter
	fetches  *rate.Limiter

	mu       sync.Mutex // guards all below
	objects  map[string][]byte
	vms      history[[]backing.VM]
	counters PlatformCounters
	lacking  []Artefact
}

// NewPlatform returns an empty platform.
func NewPlatform(opts PlatformOptions) *Platform {
	opts.Writes = orDefault(opts.Writes, defaultWrites)
	opts.Reads = orDefault(opts.Reads, defaultReads)
	opts.WeightReads = orDefault(opts.WeightReads, defaultWeightReads)
	p := &Platform{
		opts:    opts,
		connect: newConnections(),
		table:   newTable(),
		writes:  newLimiter(opts.Writes),
		reads:   newLimiter(opts.Reads),
		fetches: newLimiter(opts.WeightReads),
		objects: map[string][]byte{},
	}
	for i := range p.services {
		p.services[i] = &service{}
	}
	p.vms.keep = opts.VMLag + maxStale
	p.vms.add(time.Time{}, []backing.VM{})
	p.mux = p.routes()
	return p
}

func newLimiter(perSecond int) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(perSecond/burstsPerSecond, minBurst))
}

// Kill drops every connection at once and takes no more until Revive.
func (p *Platform) Kill() { p.connect.down() }

// Revive brings a killed platform back with all that was written.
func (p *Platform) Revive() { p.connect.up() }

// Apply sets the faults.
func (p *Platform) Apply(f PlatformFaults) {
	p.services[tableService].apply(f.Table)
	p.services[objectService].apply(f.Objects)
	p.services[vmService].apply(f.VMs)
	p.services[weightService].apply(f.Weights)
	p.lack(f.Lacking)
	p.connect.apply(f.Freeze, f.Cut)
}

// SetVMs replaces the VM list; readers see it after the lag.
func (p *Platform) SetVMs(vms []backing.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms.add(time.Now(), slices.Clone(vms))
}

// Leave marks a VM as leaving; readers see it after the lag.
func (p *Platform) Leave(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	vms := slices.Clone(p.vms.asOf(time.Now()))
	for i := range vms {
		vms[i].Leaving = vms[i].Leaving || vms[i].ID == id
	}
	p.vms.add(time.Now(), vms)
}

// Counters returns the account of calls so far.
func (p *Platform) Counters() PlatformCounters {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counters
}

func (p *Platform) count(add func(*PlatformCounters)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	add(&p.counters)
}

// put writes an object; false if another value stands under its key.
func (p *Platform) put(key string, value []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old, ok := p.objects[key]; ok {
		return bytes.Equal(old, value)
	}
	p.objects[key] = value
	p.counters.Writes++
	return true
}

func (p *Platform) lack(artefacts []Artefact) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lacking = append(p.lacking, artefacts...)
}

func (p *Platform) has(artefact Artefact) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if slices.Contains(p.lacking, artefact) {
		return false
	}
	return len(p.opts.Weights) == 0 || slices.Contains(p.opts.Weights, artefact)
}
