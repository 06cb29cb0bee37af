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
	defaultCapacity    = 16  // requests
	defaultMaxQueue    = 256 // requests
	defaultCacheBlocks = 4096
)

// EngineOptions configures a stand-in engine. Zero means no delay, no lag, no
// loss and no limit, except for the sizes, which have defaults.
type EngineOptions struct {
	Models          []string      // models served from the start; none means any
	StepBase        time.Duration // duration of a decoding step
	StepPerRequest  time.Duration // added to a step for each request in the batch
	PrefillPerToken time.Duration // added to a step for each prompt token not in the prefix cache
	Capacity        int           // requests in a batch; default 16
	MaxQueue        int           // requests waiting for the batch; default 256
	CacheBlocks     int           // blocks that the prefix cache holds; default 4096
	CacheEventDelay time.Duration // delay before a cache event becomes visible
	CacheEventLoss  float64       // fraction of cache events that are lost
	LoadLag         time.Duration // age of load reports
	CheckFence      bool          // refuse orders with an old fencing number
	StopAfter       int           // tokens after which a generation finishes with FinishStop; 0 means never
	PoisonAfter     int           // tokens that a poisoned request (POISON in its prompt) gets before it crashes the engine
	OnCrash         func()        // called after a poisoned request has killed the engine; may Revive it
}

// Counters counts an engine's work.
type Counters struct {
	Tokens       uint64 `json:"tokens"`            // generated
	Prefilled    uint64 `json:"prefilled_tokens"`  // prompt and emitted tokens computed
	Requests     uint64 `json:"requests"`          // admitted to a batch
	Cancelled    uint64 `json:"cancelled"`         // cancelled by their caller
	Refused      uint64 `json:"refused"`           // the queue was full
	Orders       uint64 `json:"orders"`            // applied
	StaleRefused uint64 `json:"orders_stale"`      // refused because of an old fencing number
	StaleApplied uint64 `json:"orders_old_obeyed"` // applied despite an old fencing number
	Running      int    `json:"running"`
	Queued       int    `json:"queued"`
}

// Engine is a stand-in model engine with continuous batching.
type Engine struct {
	opts  EngineOptions
	mux   *http.ServeMux
	conns *connections

	mu         sync.Mutex    // guards the fields below
	scheduling bool          // a goroutine runs schedule
	held       chan struct{} // nil unless held; closed by Release
	slowdown   float64       // factor on the duration of a step
	queue      []*job
	running    []*job
	cache      *prefixCache
	load       history[engineapi.LoadReport]
	counters   Counters
	loaded     []engine.Loaded
	fence      uint64 // largest fencing number of the orders so far
}

// NewEngine returns an idle engine.
func NewEngine(opts EngineOptions) *Engine {
	opts.Capacity = orDefault(opts.Capacity, defaultCapacity)
	opts.MaxQueue = orDefault(opts.MaxQueue, defaultMaxQueue)
	opts.CacheBlocks = orDefault(opts.CacheBlocks, defaultCacheBlocks)
	e := &Engine{opts: opts, conns: newConnections(), slowdown: 1}
	for _, model := range opts.Models {
		e.loaded = append(e.loaded, engine.Loaded{Kind: engine.OrderLoadModel, Name: model})
	}
	e.load.retention = opts.LoadLag
	e.reset()
	e.mux = e.routes()
	return e
}

func orDefault(value, def int) int {
	if value == 0 {
		return def
	}
	return value
}

// reset clears the prefix cache, the queue, the batch and the load history. Loaded
// models and the largest fencing number are kept.
func (e *Engine) reset() {
	e.cache = newPrefixCache(e.opts.CacheBlocks, e.opts.CacheEventDelay, e.opts.CacheEventLoss)
	e.queue, e.running = nil, nil
	e.load.entries = nil
	e.recordLoad()
}

// Kill drops the connections of all calls in progress, and that of each new call until
// Revive. A caller gets engine.ErrConnectionLost, since it could connect.
func (e *Engine) Kill() {
	e.conns.disable()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reset()
}

// Crash does what a poisoned request does: it kills the engine and then calls the
// OnCrash option.
func (e *Engine) Crash() {
	e.Kill()
	if e.opts.OnCrash != nil {
		e.opts.OnCrash()
	}
}

// Revive lets a killed engine accept calls again. Its prefix cache is empty; its loaded
// models are kept.
func (e *Engine) Revive() { e.conns.enable() }

// Freeze stops everything, including health checks, and leaves connections open.
func (e *Engine) Freeze() { e.conns.freeze() }

// Thaw lets a frozen engine continue where it stopped.
func (e *Engine) Thaw() { e.conns.thaw() }

// Hold stops decoding while the engine still answers probes and accepts requests.
// It simulates a stuck scheduler loop, or requests preempted for lack of memory.
func (e *Engine) Hold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.held == nil {
		e.held = make(chan struct{})
	}
}

// Release lets a held engine continue where it stopped.
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

// Cut drops the connections of all calls in progress; the engine itself keeps running.
func (e *Engine) Cut() { e.conns.cut() }

// SetSlowdown sets the factor by which the duration of every step is multiplied.
func (e *Engine) SetSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown = factor
}

// Counters returns a snapshot of the counters.
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

// applyOrder applies an order unless its fencing number is old and this engine
// checks fencing numbers.
func (e *Engine) applyOrder(order engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.Fence < e.fence && e.opts.CheckFence {
		e.counters.StaleRefused++
		return engine.ErrStaleFence
	}
	if order.Fence < e.fence {
		e.counters.StaleApplied++
	}
	e.fence = max(e.fence, order.Fence)
	e.counters.Orders++
	// A new version replaces the old one, and a new role any other role.
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

// recordLoad adds the current load to the history that load reports are read from.
func (e *Engine) recordLoad() {
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
	return time.Duration(float64(step) * e.slowdown)
}

// finishReason returns why a job's answer ends at its current length; empty if it
// doesn't end yet.
func (e *Engine) finishReason(j *job) types.FinishReason {
	switch {
	case e.opts.StopAfter > 0 && len(j.request.Emitted)+j.produced >= e.opts.StopAfter:
		return types.FinishStop
	case j.produced >= j.request.MaxTokens:
		return types.FinishLength
	}
	return ""
}
