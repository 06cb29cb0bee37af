package routebench

import (
	"container/list"
	"slices"
	"time"

	"github.com/pearyard/pearyard/engine"
	"github.com/pearyard/pearyard/types"
)

// Model of a runner.
const (
	batchSize      = 16                      // requests decoded concurrently
	queueLimit     = 16                      // requests that may wait; further ones are refused as not run
	stepBase       = 18 * time.Millisecond   // duration of a step with an empty batch
	stepPerSlot    = 800 * time.Microsecond  // additional time per request in the batch
	prefillBlock   = 5400 * time.Microsecond // time to prefill one block
	prefillChunk   = 8                       // maximum number of blocks prefilled in one step
	cacheBlocks    = 1000                    // blocks in the prefix cache
	tokensPerBlock = 128                     // tokens of a block
)

// runner simulates an engine with continuous batching, one step at a time.
type runner struct {
	sim         *sim
	index       int
	id          types.ProcessID
	zone        types.Zone
	incarnation types.Incarnation
	alive       bool
	slowdown    float64

	batch    []*request
	queue    []*request
	stepping bool
	lastStep time.Duration
	cache    *prefixCache

	sequence uint64
	events   []engine.CacheEvent
}

// accept queues a request, or refuses it as not run.
func (r *runner) accept(q *request) bool {
	if !r.alive || len(r.queue) >= queueLimit {
		return false
	}
	r.queue = append(r.queue, q)
	r.wake()
	return true
}

// wake starts the next step if none is running and there are requests.
func (r *runner) wake() {
	if !r.stepping && r.alive && len(r.batch)+len(r.queue) > 0 {
		r.stepping = true
		r.step()
	}
}

// load returns the number of running and queued requests.
func (r *runner) load() int { return len(r.batch) + len(r.queue) }

// step admits waiting requests, prefills a chunk and decodes one token per
// request.
func (r *runner) step() {
	r.admit()
	prefilled := r.prefill()
	d := stepBase + stepPerSlot*time.Duration(len(r.batch)) + prefillBlock*time.Duration(prefilled)
	d = time.Duration(float64(d) * r.slowdown)
	incarnation := r.incarnation
	r.sim.clock.after(d, func() {
		if r.incarnation != incarnation || !r.alive {
			return
		}
		r.lastStep = d
		r.decode()
		r.stepping = false
		r.wake()
	})
}

// admit moves queued requests into free slots of the batch.
func (r *runner) admit() {
	for len(r.batch) < batchSize && len(r.queue) > 0 {
		q := r.queue[0]
		r.queue = r.queue[1:]
		blocks := q.allBlocks()
		hit := r.cache.match(blocks)
		q.toPrefill = len(blocks) - hit
		r.sim.result.recordPrefill(r.sim, q, len(blocks), hit)
		r.cache.insert(blocks, r.recordCacheEvent)
		r.batch = append(r.batch, q)
	}
}

func (r *runner) recordCacheEvent(block uint64, evicted bool) {
	r.sequence++
	r.events = append(r.events, engine.CacheEvent{Sequence: r.sequence, Block: block, Evicted: evicted})
}

// prefill prefills up to prefillChunk blocks of the batch and returns their number.
func (r *runner) prefill() int {
	left := prefillChunk
	for _, q := range r.batch {
		n := min(left, q.toPrefill)
		q.toPrefill -= n
		left -= n
	}
	return prefillChunk - left
}

// decode emits one token for each request of the batch that is prefilled.
func (r *runner) decode() {
	var ended []*request
	for _, q := range r.batch {
		if q.toPrefill > 0 {
			continue
		}
		q.emitted++
		q.router.token(q, r)
		if q.emitted >= q.output {
			ended = append(ended, q)
		}
	}
	for _, q := range ended {
		r.batch = slices.DeleteFunc(r.batch, func(other *request) bool { return other == q })
		q.router.ended(q, r)
	}
}

// die drops the state of the runner; its requests return to their routers.
func (r *runner) die() {
	r.alive = false
	r.stepping = false
	lost := append(r.batch, r.queue...)
	r.batch, r.queue, r.events = nil, nil, nil
	for _, q := range lost {
		q.router.lost(q, r)
	}
}

// start starts a new incarnation with an empty cache.
func (r *runner) start() {
	r.alive = true
	r.incarnation++
	r.sequence = 0
	r.lastStep = 0
	r.cache = newPrefixCache()
}

// prefixCache is an LRU cache of blocks.
type prefixCache struct {
	order    *list.List
	elements map[uint64]*list.Element
}

func newPrefixCache() *prefixCache {
	return &prefixCache{order: list.New(), elements: make(map[uint64]*list.Element)}
}

// match returns the number of leading blocks that are in the cache.
func (p *prefixCache) match(blocks []uint64) int {
	for i, b := range blocks {
		if p.elements[b] == nil {
			return i
		}
	}
	return len(blocks)
}

// insert marks blocks as used, in reverse order so that a prefix outlives its
// tail, and evicts the least recently used ones beyond cacheBlocks. It passes each
// insertion and eviction to record.
func (p *prefixCache) insert(blocks []uint64, record func(block uint64, evicted bool)) {
	for _, b := range slices.Backward(blocks) {
		if e := p.elements[b]; e != nil {
			p.order.MoveToFront(e)
			continue
		}
		p.elements[b] = p.order.PushFront(b)
		record(b, false)
	}
	for p.order.Len() > cacheBlocks {
		last := p.order.Back()
		b, _ := p.order.Remove(last).(uint64)
		delete(p.elements, b)
		record(b, true)
	}
}
