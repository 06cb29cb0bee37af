package standin

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pearyard/pearyard/engine"
	engineapi "github.com/pearyard/pearyard/engine/httpapi"
	"github.com/pearyard/pearyard/types"
)

const (
	defaultCapacity    = 16
	defaultMaxQueue    = 256
	defaultCacheBlocks = 4096
)

// EngineOptions describes a stand-in engine. Zero means no delay, no lag, no
// loss and no limit, but for the sizes, which have defaults.
type EngineOptions struct {
	Models          []string      // models it answers for from the start; none means any
	StepBase        time.Duration // time of a decoding step
	StepPerRequest  time.Duration // added to a step for each request in the batch
	PrefillPerToken time.Duration // added to a step for each prompt token not in the prefix cache
	Capacity        int           // requests in a batch; default 16
	MaxQueue        int           // requests waiting for the batch; default 256
	CacheBlocks     int           // blocks that the prefix cache holds; default 4096
	CacheEventDelay time.Duration // how late cache events show
	CacheEventLoss  float64       // share of cache events that never show
	LoadLag         time.Duration // how old load reports are
	CheckFence      bool          // refuse orders with an old fencing number
	StopAfter       int           // tokens after which an answer ends by itself; 0 means never
	PoisonAfter     int           // tokens that a poisoned request gets before it crashes the engine
	OnCrash         func()        // called once a poisoned request has killed the engine; may Revive it
}

// Counters is an engine's account of its work.
type Counters struct {
	Tokens    uint64 `json:"tokens"`            // generated
	Prefilled uint64 `json:"prefilled_tokens"`  // prompt and emitted tokens computed
	Requests  uint64 `json:"requests"`          // taken into a batch
	Cancelled uint64 `json:"cancelled"`         // ended by their caller
	Refused   uint64 `json:"refused"`           // full, killed, or no such model
	Orders    uint64 `json:"orders"`            // obeyed
	Stale     uint64 `json:"orders_stale"`      // refused for their fencing number
	OldObeyed uint64 `json:"orders_old_obeyed"` // obeyed in spite of an old fencing number
	Running   int    `json:"running"`
	Queued    int    `json:"queued"`
}

// Engine is a stand-in model engine that batches continuously.
type Engine struct {
	opts    EngineOptions
	mux     *http.ServeMux
	connect *connections

	mu       sync.Mutex // guards all below
	stepping bool
	held     chan struct{} // nil unless held; closed by Release
	slow     float64       // factor on the time of a step
	queue    []*job
	running  []*job
	cache    *prefixCache
	load     history[engineapi.LoadReport]
	counters Counters
	loaded   []engine.Loaded
	fence    uint64
}

// NewEngine returns an idle engine.
func NewEngine(opts EngineOptions) *Engine {
	opts.Capacity = orDefault(opts.Capacity, defaultCapacity)
	opts.MaxQueue = orDefault(opts.MaxQueue, defaultMaxQueue)
	opts.CacheBlocks = orDefault(opts.CacheBlocks, defaultCacheBlocks)
	e := &Engine{opts: opts, connect: newConnections(), slow: 1}
	for _, model := range opts.Models {
		e.loaded = append(e.loaded, engine.Loaded{Kind: engine.OrderLoadModel, Name: model})
	}
	e.load.keep = opts.LoadLag
	e.clear()
	e.mux = e.routes()
	return e
}

func orDefault(value, def int) int {
	if value == 0 {
		return def
	}
	return value
}

// clear forgets what an engine holds in memory.
func (e *Engine) clear() {
	e.cache = newPrefixCache(e.opts.CacheBlocks, e.opts.CacheEventDelay, e.opts.CacheEventLoss)
	e.queue, e.running = nil, nil
	e.load.entries = nil
	e.report()
}

// Kill drops every connection at once and takes no more until Revive.
func (e *Engine) Kill() {
	e.connect.down()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.clear()
}

// Crash is what a poisoned request does: Kill, then the OnCrash of the options.
func (e *Engine) Crash() {
	e.Kill()
	if e.opts.OnCrash != nil {
		e.opts.OnCrash()
	}
}

// Revive brings a killed engine back with an empty prefix cache.
func (e *Engine) Revive() { e.connect.up() }

// Freeze stops everything, health checks included, with connections left open.
func (e *Engine) Freeze() { e.connect.freeze() }

// Thaw lets a frozen engine go on where it stopped.
func (e *Engine) Thaw() { e.connect.thaw() }

// Hold keeps the engine from making a step, while it answers probes and takes
// requests: a loop that is stuck, or requests set aside for want of memory.
func (e *Engine) Hold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.held == nil {
		e.held = make(chan struct{})
	}
}

// Release lets a held engine go on where it stopped.
func (e *Engine) Release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.held != nil {
		close(e.held)
		e.held = nil
	}
}

func (e *Engine) awaitRelease() {
	e.mu.Lock()
	held := e.held
	e.mu.Unlock()
	if held != nil {
		<-held
	}
}

// Cut drops every connection at once; the engine itself goes on.
func (e *Engine) Cut() { e.connect.cut() }

// Slow multiplies the time of every step.
func (e *Engine) Slow(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow = factor
}

// Counters returns the account of work so far.
func (e *Engine) Counters() Counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.counters
	c.Running, c.Queued = len(e.running), len(e.queue)
	return c
}

func (e *Engine) serves(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.opts.Models) == 0 {
		return true
	}
	return slices.ContainsFunc(e.loaded, func(l engine.Loaded) bool { return l.Name == model })
}

// order obeys an order unless its fencing number is old and this engine checks.
func (e *Engine) order(order engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.Fence < e.fence && e.opts.CheckFence {
		e.counters.Stale++
		return engine.ErrStaleFence
	}
	if order.Fence < e.fence {
		e.counters.OldObeyed++
	}
	e.fence = max(e.fence, order.Fence)
	e.counters.Orders++
	e.loaded = slices.DeleteFunc(e.loaded, func(l engine.Loaded) bool {
		return l.Name == order.Name || order.Kind == engine.OrderRole && l.Kind == engine.OrderRole
	})
	if order.Kind == engine.OrderUnload {
		return nil
	}
	entry := engine.Loaded{Kind: order.Kind, Name: order.Name, Version: order.Version}
	if e.opts.CheckFence {
		entry.Fence = order.Fence
	}
	e.loaded = append(e.loaded, entry)
	return nil
}

// report adds the load of now to what lagging readers will see.
func (e *Engine) report() {
	step := e.stepTime(0)
	e.load.add(time.Now(), engineapi.LoadReport{
		Running:      len(e.running),
		Queued:       len(e.queue),
		Capacity:     e.opts.Capacity,
		CachedTokens: e.cache.tokens(),
		StepMicros:   int(step.Microseconds()),
	})
}

func (e *Engine) stepTime(prefilled int) time.Duration {
	step := e.opts.StepBase +
		time.Duration(len(e.running))*e.opts.StepPerRequest +
		time.Duration(prefilled)*e.opts.PrefillPerToken
	return time.Duration(float64(step) * e.slow)
}

// finish returns why a job's answer ends at its present length; empty if it goes on.
func (e *Engine) finish(j *job) types.FinishReason {
	switch {
	case e.opts.StopAfter > 0 && len(j.request.Emitted)+j.produced >= e.opts.StopAfter:
		return types.FinishStop
	case j.produced >= j.request.MaxTokens:
		return types.FinishLength
	}
	return ""
}
