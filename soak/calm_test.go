package soak

import (
	"testing"
	"time"
)

// Runs planned work and load without faults: VMs stop, start and reload their
// settings, servers drain, configurations change, load rises, and engines pause
// their streams for prompts and have no memory for copies. Guards against streams
// that broke off because a silent engine was treated as lost before another one
// was found to resume them.
func TestCalm(t *testing.T) {
	runSeeds(t, func(seed uint64) Plan { return faultFreeInSeries(sizeFromFlags(), seed, *length) })
}

// The same as TestCalm with several disruptions at a time.
func TestCalmOverlapping(t *testing.T) {
	runSeeds(t, func(seed uint64) Plan { return faultFreeOverlapping(sizeFromFlags(), seed, *length) })
}

// Guards against lost requests on idle connections: a VM that gets little CPU time
// closed a connection as idle although the caller had sent a request on it within
// the idle timeout, and the request was never read.
func TestStarving(t *testing.T) {
	runSeeds(t, func(seed uint64) Plan { return CPUStarvationPlan(sizeFromFlags(), seed, *length) })
}

// lossSeeds are seeds with which requests got neither an answer nor a refusal, crashed too
// many servers, or a server got more than its limit. Seeds 1 and 2 of most plans did so
// too; the tests above run them by default.
var lossSeeds = []struct {
	plan  func(Size, uint64, time.Duration) Plan
	seeds []uint64
	cause string // documentation only
}{
	{faultFreeInSeries, []uint64{3}, "an engine paused for a prompt was treated as lost, and no other had memory to resume its streams"},
	{faultFreeOverlapping, []uint64{4}, "an engine paused for a prompt was treated as lost, and no other had memory to resume its streams, or the retry budget was used up by silent engines"},
	{CPUStarvationPlan, []uint64{6}, "an idle connection was closed with an unread request"},
	{LimitPlan, []uint64{329, 434}, "all VMs were killed and knew nothing of the limits; the check did not excuse them; starts of a server under one id were checked as one"},
	{PoisonPlan, []uint64{3, 5}, "poisoned requests crashed both servers of a zone, which counted as the loss of the zone"},
	{PoisonPlan, []uint64{442}, "all VMs were killed twice before the third crash counted; the check did not excuse them"},
}

// Repeats the seeds that lost requests before.
func TestSeedsThatLostRequests(t *testing.T) {
	var plans []Plan
	for _, lost := range lossSeeds {
		for _, seed := range lost.seeds {
			plans = append(plans, lost.plan(sizeFromFlags(), seed, *length))
		}
	}
	runPlans(t, plans)
}

func faultFreeInSeries(size Size, seed uint64, length time.Duration) Plan {
	return FaultFreePlan(size, seed, length, false)
}

func faultFreeOverlapping(size Size, seed uint64, length time.Duration) Plan {
	return FaultFreePlan(size, seed, length, true)
}
