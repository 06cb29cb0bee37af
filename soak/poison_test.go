package soak

import "testing"

// Requests that crash servers come several at once, beside lost zones and restarts of VMs.
func TestPoisonedRequests(t *testing.T) {
	runSeeds(t, func(seed uint64) Plan { return PoisonPlan(sizeFromFlags(), seed, *length) })
}
