package route

import (
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"pgregory.net/rapid"

	"github.com/pearyard/pearyard/engine"
	"github.com/pearyard/pearyard/types"
)

// Property: under any load, a policy never returns a candidate in Query.Avoid, and
// finds one if and only if there is another.
func TestPickNeverReturnsAvoided(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 12).Draw(t, "candidates")
		v := NewView(nil, members(n, 3), testEpoch)
		p := mustPolicy(rapid.SampledFrom(Names()).Draw(t, "policy"), Options{})
		for _, c := range v.Candidates() {
			c.Stats.Report(types.Load{
				Running:    rapid.IntRange(0, 40).Draw(t, "running"),
				StepMicros: rapid.SampledFrom([]int{0, 30_000, 400_000}).Draw(t, "step"),
				At:         time.Now(),
			})
		}
		for range 20 {
			q := &Query{
				Blocks:  promptBlocks(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "prompt"), rapid.IntRange(0, 3).Draw(t, "blocks")),
				Zone:    types.Zone(rapid.SampledFrom([]string{"zone-0", "zone-1", "elsewhere"}).Draw(t, "zone")),
				Suspect: rapid.Bool().Draw(t, "suspect"),
				Long:    rapid.Bool().Draw(t, "long"),
			}
			avoid := rapid.SliceOfNDistinct(rapid.IntRange(0, 11), 0, 12, rapid.ID[int]).Draw(t, "avoid")
			left := n
			for _, i := range avoid {
				if i < n {
					left--
				}
				q.Avoid = append(q.Avoid, members(12, 3)[i].ID)
			}
			c, ok := p.Pick(q, v)
			if ok != (left > 0) {
				t.Fatalf("Pick found a candidate: %v, with %d candidates left", ok, left)
			}
			if ok && slices.Contains(q.Avoid, c.ID) {
				t.Fatalf("picked avoided %s", c.ID)
			}
			if ok {
				d := c.Begin(q)
				d.FirstToken(time.Millisecond)
				Learn(p, c, q.Blocks)
			}
		}
	})
}

// Property: however popular a prefix, affinity loads no candidate above the bound:
// the ceiling, or somewhat more than the mean if all candidates are above the
// ceiling.
func TestAffinityLoadIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 40).Draw(t, "candidates")
		v := NewView(nil, members(n, 4), testEpoch)
		p := mustPolicy(PrefixAffinity, Options{})
		sent := rapid.IntRange(1, 30*n).Draw(t, "requests")
		prompts := [][]uint64{promptBlocks("hot", 20), promptBlocks("warm", 20)}
		for range sent {
			blocks := prompts[min(1, rapid.IntRange(0, 4).Draw(t, "prompt")/4)]
			c := send(p, &Query{Blocks: blocks}, v)
			Learn(p, c, blocks)
		}
		top := 0
		for _, c := range v.Candidates() {
			top = max(top, c.Stats.InFlight())
		}
		mean := float64(sent) / float64(n)
		bound := max(DefaultTuning().BoundCeiling*16, mean) + 2 // the request itself, and a mean that is one refresh old
		if float64(top) > bound {
			t.Fatalf("%d requests on one of %d candidates, bound %.1f", top, n, bound)
		}
	})
}

func TestAffinityFollowsPrefix(t *testing.T) {
	g := NewWithT(t)
	v := NewView(nil, members(36, 4), testEpoch)
	p := mustPolicy(PrefixAffinity, Options{})
	first := send(p, &Query{Blocks: promptBlocks("preamble", 8)}, v)
	Learn(p, first, promptBlocks("preamble", 8))

	other := mustPolicy(PrefixAffinity, Options{})
	fresh := NewView(nil, members(36, 4), testEpoch)
	agreed := send(other, &Query{Blocks: promptBlocks("preamble", 8)}, fresh)
	g.Expect(agreed.ID).To(Equal(first.ID), "two routers without any knowledge must pick the same candidate")

	longTail := append(promptBlocks("preamble", 8), promptBlocks("tail", 50)...)
	again := send(p, &Query{Blocks: longTail}, v)
	g.Expect(again.ID).To(Equal(first.ID), "a long unique tail must not hide the shared preamble")
}

// Guards against an occasional slow first token for a popular prompt: cache events
// name a backend server as holder of the prefix, it is full, and a router that
// relies on the events alone sends the request into its queue.
func TestCacheEventsAloneDoNotDecide(t *testing.T) {
	g := NewWithT(t)
	now := testEpoch
	v := NewView(nil, members(8, 1), now)
	p := mustPolicy(PrefixAffinity, Options{Now: func() time.Time { return now }})
	blocks := promptBlocks("hot", 10)
	holder, other := v.Candidates()[0], v.Candidates()[1]
	Learn(p, other, blocks)
	CacheEvents(p, holder, stored(1, blocks))
	loadAll(v, 0, 0, now)
	for _, full := range []*Candidate{holder, other} {
		full.Stats.Report(types.Load{Running: 16, Queued: 8, At: now.Add(time.Millisecond)})
	}
	c, ok := p.Pick(&Query{Blocks: blocks}, v)
	g.Expect(ok).To(BeTrue())
	g.Expect(c.ID).NotTo(BeElementOf(holder.ID, other.ID))
}

func TestCacheEventsCorrectTheMap(t *testing.T) {
	g := NewWithT(t)
	now := testEpoch
	v := NewView(nil, members(8, 1), now)
	p := mustPolicy(PrefixAffinity, Options{Now: func() time.Time { return now }})
	a := p.(*affinity)
	blocks := promptBlocks("x", 4)
	c := v.Candidates()[3]
	known := func() int { return a.knownDepth(blocks, a.oldestStamp(now.UnixNano())) }

	CacheEvents(p, c, stored(1, blocks))
	g.Expect(known()).To(Equal(0), "blocks of prompts that this router never sees must not be recorded")
	Learn(p, c, blocks)
	g.Expect(known()).To(Equal(4))
	CacheEvents(p, c, evicted(5, blocks))
	g.Expect(known()).To(Equal(4), "an eviction reported late must not undo a later prefill")
	g.Expect(c.Stats.CacheGaps()).To(Equal(uint64(0)))
	now = now.Add(10 * time.Second)
	CacheEvents(p, c, evicted(12, blocks))
	g.Expect(known()).To(Equal(0))
	g.Expect(c.Stats.CacheGaps()).To(Equal(uint64(1)))
}

func stored(sequence uint64, blocks []uint64) []engine.CacheEvent {
	return cacheEvents(sequence, blocks, false)
}

func evicted(sequence uint64, blocks []uint64) []engine.CacheEvent {
	return cacheEvents(sequence, blocks, true)
}

func cacheEvents(sequence uint64, blocks []uint64, evicted bool) []engine.CacheEvent {
	var out []engine.CacheEvent
	for i, b := range blocks {
		out = append(out, engine.CacheEvent{Sequence: sequence + uint64(i), Block: b, Evicted: evicted})
	}
	return out
}

// Guards against two suspect requests on one engine: when it crashes, each would
// be blamed for the other, and the other requests there would be interrupted.
func TestSuspectsAreSpread(t *testing.T) {
	g := NewWithT(t)
	v := NewView(nil, members(6, 2), testEpoch)
	for _, name := range Names() {
		p := mustPolicy(name, Options{})
		var sent []Dispatch
		used := map[types.ProcessID]bool{}
		for range 6 {
			c, ok := p.Pick(&Query{Suspect: true, Blocks: promptBlocks("bad", 4)}, v)
			g.Expect(ok).To(BeTrue())
			used[c.ID] = true
			sent = append(sent, c.Begin(&Query{Suspect: true}))
		}
		g.Expect(used).To(HaveLen(6), name)
		for i := range sent {
			sent[i].End()
			sent[i].End()
		}
		g.Expect(v.Candidates()[0].Stats.InFlight()).To(Equal(0))
		g.Expect(v.Candidates()[0].Stats.Suspects()).To(Equal(0))
	}
}

func TestZoneFirstThenSpill(t *testing.T) {
	for _, name := range []string{LeastLoad, PowerOfTwo} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			v := NewView(nil, members(16, 4), testEpoch)
			p := mustPolicy(name, Options{})
			for range 20 {
				g.Expect(send(p, &Query{Zone: "zone-1"}, v).Zone).To(Equal(types.Zone("zone-1")))
			}
			zones := map[types.Zone]int{}
			for range 120 {
				zones[send(p, &Query{Zone: "zone-1"}, v).Zone]++
			}
			g.Expect(zones).To(HaveLen(4), "a full zone must spill over")
		})
	}
}

func TestUnknownPolicy(t *testing.T) {
	g := NewWithT(t)
	_, err := NewPolicy("fastest", Options{})
	g.Expect(err).To(MatchError(ErrUnknownPolicy))
}

func TestPoliciesShareMetrics(t *testing.T) {
	g := NewWithT(t)
	reg := prometheus.NewRegistry()
	v := NewView(nil, members(3, 1), testEpoch)
	for _, service := range []string{"pear-models", "depot-apps"} {
		_, ok := mustPolicy(RoundRobin, Options{Service: service, Registerer: reg}).Pick(&Query{}, v)
		g.Expect(ok).To(BeTrue())
	}
	families, err := reg.Gather()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(families).To(HaveLen(3))
}

// Runs picks, reports, cache events and view updates concurrently, for the race
// detector.
func TestConcurrentUse(t *testing.T) {
	g := NewWithT(t)
	for _, name := range Names() {
		v := NewView(nil, members(20, 4), testEpoch)
		p := mustPolicy(name, Options{})
		var wait sync.WaitGroup
		for i := range 8 {
			wait.Go(func() {
				blocks := promptBlocks(string(rune('a'+i)), 6)
				for range 500 {
					q := &Query{Blocks: blocks, Zone: "zone-2"}
					c, _ := p.Pick(q, v)
					d := c.Begin(q)
					d.FirstToken(time.Millisecond)
					c.Stats.Report(types.Load{Running: i, StepMicros: 30_000 * (i + 1), At: time.Now()})
					Learn(p, c, blocks)
					CacheEvents(p, c, evicted(1, blocks[4:]))
					d.End()
				}
			})
		}
		wait.Go(func() { NewView(v, members(18, 4), time.Now()) })
		wait.Wait()
		for _, c := range v.Candidates() {
			g.Expect(c.Stats.InFlight()).To(Equal(0))
			g.Expect(c.Stats.waiting.Load()).To(Equal(int64(0)))
		}
	}
}

func TestPickDoesNotAllocate(t *testing.T) {
	g := NewWithT(t)
	v := NewView(nil, members(64, 4), testEpoch)
	for _, name := range Names() {
		p := mustPolicy(name, Options{})
		q := &Query{Blocks: promptBlocks("x", 40), Zone: "zone-1", Avoid: []types.ProcessID{"runner-0001"}}
		c, _ := p.Pick(q, v)
		Learn(p, c, q.Blocks)
		allocs := testing.AllocsPerRun(1000, func() {
			c, _ := p.Pick(q, v)
			d := c.Begin(q)
			Learn(p, c, q.Blocks)
			d.End()
		})
		g.Expect(allocs).To(BeZero(), name)
	}
}
