package soak

import "testing"

// Guards against streams of two versions, and against callers that come back and are refused
// although their version serves, beside restarts, crashes and kills.
func TestCallersComeBackBesideTwoVersions(t *testing.T) {
	runSeeds(t, func(seed uint64) Plan { return VersionPlan(sizeFromFlags(), seed, *length) })
}
