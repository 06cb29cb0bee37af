package standin

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/pearyard/pearyard/engine"
)

// maxCacheEvents bounds the events that an engine keeps for readers.
const maxCacheEvents = 8192

// prefixCache holds blocks of prompts, least recently used out first. The
// engine's mutex guards it.
type prefixCache struct {
	blocks   *simplelru.LRU[uint64, struct{}]
	delay    time.Duration
	loss     float64
	sequence uint64
	events   []moment[engine.CacheEvent]
}

func newPrefixCache(size int, delay time.Duration, loss float64) *prefixCache {
	c := &prefixCache{delay: delay, loss: loss}
	c.blocks, _ = simplelru.NewLRU[uint64, struct{}](max(size, 1), func(block uint64, _ struct{}) {
		c.publish(engine.CacheEvent{Block: block, Evicted: true})
	})
	return c
}

// prefill takes a prefix into the cache and returns how many of its tokens had
// to be computed: all after the longest run of cached blocks from its start.
func (c *prefixCache) prefill(prefix engine.Prefix) int {
	cached := 0
	for cached < len(prefix.Blocks) && c.blocks.Contains(prefix.Blocks[cached]) {
		cached++
	}
	// Last block first: the head of a prefix, shared the most, stays the longest.
	for i := len(prefix.Blocks) - 1; i >= 0; i-- {
		known := c.blocks.Contains(prefix.Blocks[i])
		c.blocks.Add(prefix.Blocks[i], struct{}{})
		if !known {
			c.publish(engine.CacheEvent{Block: prefix.Blocks[i]})
		}
	}
	return prefix.Tokens - cached*engine.BlockTokens
}

// publish numbers every event and loses some, which readers see as gaps.
func (c *prefixCache) publish(event engine.CacheEvent) {
	c.sequence++
	event.Sequence = c.sequence
	if c.loss > 0 && rand.Float64() < c.loss {
		return
	}
	if len(c.events) == maxCacheEvents {
		c.events = append(c.events[:0], c.events[maxCacheEvents/2:]...)
	}
	c.events = append(c.events, moment[engine.CacheEvent]{time.Now(), event})
}

// since returns the events after a sequence number that are old enough to show.
func (c *prefixCache) since(sequence uint64, now time.Time) []engine.CacheEvent {
	out := []engine.CacheEvent{}
	start := sort.Search(len(c.events), func(i int) bool { return c.events[i].value.Sequence > sequence })
	for _, e := range c.events[start:] {
		if e.at.Add(c.delay).After(now) {
			break
		}
		out = append(out, e.value)
	}
	return out
}

func (c *prefixCache) tokens() int { return c.blocks.Len() * engine.BlockTokens }
