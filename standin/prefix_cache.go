package standin

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/pearyard/pearyard/engine"
)

// maxCacheEvents bounds the cache events that an engine retains for readers.
const maxCacheEvents = 8192

// prefixCache is an LRU cache of prompt blocks. The engine's mutex guards it.
type prefixCache struct {
	blocks        *simplelru.LRU[uint64, struct{}]
	eventDelay    time.Duration
	eventLossRate float64
	sequence      uint64
	events        []sample[engine.CacheEvent]
}

func newPrefixCache(size int, delay time.Duration, loss float64) *prefixCache {
	c := &prefixCache{eventDelay: delay, eventLossRate: loss}
	c.blocks, _ = simplelru.NewLRU[uint64, struct{}](max(size, 1), func(block uint64, _ struct{}) {
		c.publish(engine.CacheEvent{Block: block, Evicted: true})
	})
	return c
}

// prefill adds a prefix to the cache and returns how many of its tokens had to be
// computed: all after the longest run of cached blocks from its start.
func (c *prefixCache) prefill(prefix engine.Prefix) int {
	cached := 0
	for cached < len(prefix.Blocks) && c.blocks.Contains(prefix.Blocks[cached]) {
		cached++
	}
	// Adds the last block first, so that the head of a prefix, which is shared the
	// most, is evicted last.
	for i := len(prefix.Blocks) - 1; i >= 0; i-- {
		known := c.blocks.Contains(prefix.Blocks[i])
		c.blocks.Add(prefix.Blocks[i], struct{}{})
		if !known {
			c.publish(engine.CacheEvent{Block: prefix.Blocks[i]})
		}
	}
	return prefix.Tokens - cached*engine.BlockTokens
}

// publish numbers and retains an event. It drops a fraction eventLossRate of the
// events, which readers see as gaps in the numbers.
func (c *prefixCache) publish(event engine.CacheEvent) {
	c.sequence++
	event.Sequence = c.sequence
	if c.eventLossRate > 0 && rand.Float64() < c.eventLossRate {
		return
	}
	if len(c.events) == maxCacheEvents { // drops the older half
		c.events = append(c.events[:0], c.events[maxCacheEvents/2:]...)
	}
	c.events = append(c.events, sample[engine.CacheEvent]{time.Now(), event})
}

// since returns the events after a sequence number that are older than eventDelay.
func (c *prefixCache) since(sequence uint64, now time.Time) []engine.CacheEvent {
	out := []engine.CacheEvent{}
	start := sort.Search(len(c.events), func(i int) bool { return c.events[i].value.Sequence > sequence })
	for _, e := range c.events[start:] {
		if e.at.Add(c.eventDelay).After(now) {
			break
		}
		out = append(out, e.value)
	}
	return out
}

func (c *prefixCache) tokens() int { return c.blocks.Len() * engine.BlockTokens }
