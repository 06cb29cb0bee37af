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
	defaultWritesPerSecond      = 500
	defaultReadsPerSecond       = 2000
	defaultWeightReadsPerSecond = 20
	// A limiter's burst is its rate divided by burstDivisor, but at least minBurst. A
	// transaction of more writes than the burst is always throttled.
	burstDivisor = 4
	minBurst     = 100
)

// PlatformOptions configures a stand-in platform.
type PlatformOptions struct {
	Writes      int           // rows and objects written per second; default 500
	Reads       int           // reads of table and object store per second; default 2000
	WeightReads int           // calls to the weight store per second; default 20
	VMLag       time.Duration // age of the VM list
	Weights     []Artefact    // content of the weight store; none means that it has every artefact
}

// Artefact is one model or adapter version in the weight store.
type Artefact struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// ServiceFaults are the faults of one service. Absent fields change nothing.
type ServiceFaults struct {
	Down        *bool `json:"down,omitempty"`         // answer 503 without effect
	SlowMS      *int  `json:"slow_ms,omitempty"`      // delay before a call takes effect, even if its caller has disconnected
	LoseCalls   *int  `json:"lose_calls,omitempty"`   // how many calls to drop before any effect
	LoseAnswers *int  `json:"lose_answers,omitempty"` // how many answers to drop after the effect; for table and objects only answers to writes
	StaleMS     *int  `json:"stale_ms,omitempty"`     // reads return the state of that long ago, at most 30 s; table and VM list only
}

// PlatformFaults is the body of POST /faults on a platform.
type PlatformFaults struct {
	Table   ServiceFaults `json:"table"`
	Objects ServiceFaults `json:"objects"`
	VMs     ServiceFaults `json:"vms"`
	Weights ServiceFaults `json:"weights"`
	Lacking []Artefact    `json:"lacking,omitempty"` // removed from the weight store for good
	Freeze  *bool         `json:"freeze,omitempty"`  // all services
	Cut     bool          `json:"cut,omitempty"`     // drop the connections of all calls in progress
}

// PlatformCounters is the body of GET /dump.
type PlatformCounters struct {
	Reads     int `json:"reads"`     // of table and object store
	Writes    int `json:"writes"`    // rows and objects
	Conflicts int `json:"conflicts"` // commits with a failed condition
	Throttled int `json:"throttled"` // calls over the rate limit
	Lost      int `json:"lost"`      // answers dropped after the effect
}

// Platform is a stand-in for the platform's table service, object store, VM list
// and weight store.
type Platform struct {
	opts        PlatformOptions
	mux         *http.ServeMux
	conns       *connections
	table       *table
	services    [serviceCount]*service
	writes      *rate.Limiter
	reads       *rate.Limiter
	weightReads *rate.Limiter

	mu       sync.Mutex // guards the fields below
	objects  map[string][]byte
	vms      history[[]backing.VM]
	counters PlatformCounters
	missing  []Artefact // removed from the weight store by a fault
}

// NewPlatform returns an empty platform.
func NewPlatform(opts PlatformOptions) *Platform {
	opts.Writes = orDefault(opts.Writes, defaultWritesPerSecond)
	opts.Reads = orDefault(opts.Reads, defaultReadsPerSecond)
	opts.WeightReads = orDefault(opts.WeightReads, defaultWeightReadsPerSecond)
	p := &Platform{
		opts:        opts,
		conns:       newConnections(),
		table:       newTable(),
		writes:      newLimiter(opts.Writes),
		reads:       newLimiter(opts.Reads),
		weightReads: newLimiter(opts.WeightReads),
		objects:     map[string][]byte{},
	}
	for i := range p.services {
		p.services[i] = &service{}
	}
	p.vms.retention = opts.VMLag + maxStale
	p.vms.add(time.Time{}, []backing.VM{})
	p.mux = p.routes()
	return p
}

func newLimiter(perSecond int) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(perSecond/burstDivisor, minBurst))
}

// Kill drops the connections of all calls in progress, and that of each new call until
// Revive.
func (p *Platform) Kill() { p.conns.disable() }

// Revive lets a killed platform accept calls again; its data is kept.
func (p *Platform) Revive() { p.conns.enable() }

// Apply sets the faults.
func (p *Platform) Apply(f PlatformFaults) {
	p.services[tableService].apply(f.Table)
	p.services[objectService].apply(f.Objects)
	p.services[vmService].apply(f.VMs)
	p.services[weightService].apply(f.Weights)
	p.addMissing(f.Lacking)
	p.conns.apply(f.Freeze, f.Cut)
}

// SetVMs replaces the VM list; readers see the change after the lag.
func (p *Platform) SetVMs(vms []backing.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms.add(time.Now(), slices.Clone(vms))
}

// MarkLeaving marks a VM as leaving; readers see the change after the lag.
func (p *Platform) MarkLeaving(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	vms := slices.Clone(p.vms.asOf(time.Now()))
	for i := range vms {
		vms[i].Leaving = vms[i].Leaving || vms[i].ID == id
	}
	p.vms.add(time.Now(), vms)
}

// Counters returns a snapshot of the counters.
func (p *Platform) Counters() PlatformCounters {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counters
}

func (p *Platform) updateCounters(add func(*PlatformCounters)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	add(&p.counters)
}

// put writes an object; it returns false if the key already has another value.
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

func (p *Platform) addMissing(artefacts []Artefact) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.missing = append(p.missing, artefacts...)
}

func (p *Platform) hasArtefact(artefact Artefact) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if slices.Contains(p.missing, artefact) {
		return false
	}
	return len(p.opts.Weights) == 0 || slices.Contains(p.opts.Weights, artefact)
}
