package soak

import "testing"

// The store comes back from copies beside restarts and cuts of VMs, revoked keys, servers that
// leave, crashes, poisoned requests and servers of two versions.
func TestStoreFromCopies(t *testing.T) {
	runSeeds(t, func(seed uint64) Plan { return CopyPlan(sizeFromFlags(), seed, *length) })
}
