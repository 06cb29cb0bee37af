package soak

import (
	"testing"
	"time"
)

// Nothing fails: VMs are stopped, started and told to read their settings again,
// servers leave, configurations change, callers come in crowds, and engines stop
// streams to read prompts and have no room for copies. Callers saw answers that
// broke off, because a silent engine was taken for a lost one before another was
// found to go on.
func TestCalm(t *testing.T) {
	playSeeds(t, func(seed uint64) Plan { return calmInSeries(usualSize(), seed, *length) })
}

// The same with kinds of planned work that overlap.
func TestCalmOverlapping(t *testing.T) {
	playSeeds(t, func(seed uint64) Plan { return calmOverlapping(usualSize(), seed, *length) })
}

// A VM gets processor time for moments only. A caller uses a connection that it
// has left idle for less than the limit; the VM closes it for idling, with the
// request unread in it.
func TestStarving(t *testing.T) {
	playSeeds(t, func(seed uint64) Plan { return StarvingPlan(usualSize(), seed, *length) })
}

// lostSeeds have shown requests with neither an answer nor a refusal, as have 1
// and 2 of each plan, which are the first that are played anyway.
var lostSeeds = []struct {
	plan  func(Size, uint64, time.Duration) Plan
	seeds []uint64
	cause string
}{
	{calmInSeries, []uint64{3}, "an engine paused for a prompt, was taken for lost, and none had room to go on"},
	{calmOverlapping, []uint64{4}, "the same, or the retry budget was spent on silent engines"},
	{StarvingPlan, []uint64{6}, "an idle connection was closed with a request unread in it"},
}

// What has failed once is played again.
func TestSeedsThatLostRequests(t *testing.T) {
	var plans []Plan
	for _, lost := range lostSeeds {
		for _, seed := range lost.seeds {
			plans = append(plans, lost.plan(usualSize(), seed, *length))
		}
	}
	playBeside(t, plans)
}

func calmInSeries(size Size, seed uint64, length time.Duration) Plan {
	return CalmPlan(size, seed, length, false)
}

func calmOverlapping(size Size, seed uint64, length time.Duration) Plan {
	return CalmPlan(size, seed, length, true)
}
