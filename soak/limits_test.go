package soak

import "testing"

// Servers name limits, some or all of them at a time, beside restarts and load.
func TestServersThatNameLimits(t *testing.T) {
	runSeeds(t, func(seed uint64) Plan { return LimitPlan(sizeFromFlags(), seed, *length) })
}
