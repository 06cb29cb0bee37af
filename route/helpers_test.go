package route

import (
	"fmt"
	"time"

	"github.com/pearyard/pearyard/types"
)

var testEpoch = time.Unix(1_700_000_000, 0)

func members(n, zones int) []Candidate {
	out := make([]Candidate, 0, n)
	for i := range n {
		out = append(out, Candidate{
			ID:          types.ProcessID(fmt.Sprintf("runner-%04d", i)),
			Zone:        types.Zone(fmt.Sprintf("zone-%d", i%zones)),
			Incarnation: 1,
			Capacity:    16,
		})
	}
	return out
}

func mustPolicy(name string, opts Options) Policy {
	p, err := NewPolicy(name, opts)
	if err != nil {
		panic(err)
	}
	return p
}

// send picks a candidate and counts the request as sent with its first token
// received.
func send(p Policy, q *Query, v *View) *Candidate {
	c, ok := p.Pick(q, v)
	if !ok {
		return nil
	}
	d := c.Begin(q)
	d.FirstToken(time.Millisecond)
	return c
}

// loadAll reports the same load for each candidate.
func loadAll(v *View, running int, step time.Duration, at time.Time) {
	for _, c := range v.Candidates() {
		c.Stats.Report(types.Load{Running: running, StepMicros: int(step.Microseconds()), At: at})
	}
}

func mustFind(v *View, id types.ProcessID) *Candidate {
	c, ok := v.Find(id)
	if !ok {
		panic("no candidate " + id)
	}
	return c
}

func promptBlocks(seed string, n int) []uint64 {
	prompt := make([]byte, 0, n*BlockBytes)
	for i := 0; len(prompt) < n*BlockBytes; i++ {
		prompt = fmt.Appendf(prompt, "%s %d ", seed, i)
	}
	return Blocks(nil, string(prompt[:n*BlockBytes]))
}
