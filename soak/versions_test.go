package soak

import "testing"

// Guards against callers that are refused at VMs that don't use the version that began their stream,
// since they ran, stood still or were cut off when its servers joined.
func TestCallersComeBackAmidReleases(t *testing.T) {
	runSeeds(t, func(seed uint64) Plan { return ReleasePlan(sizeFromFlags(), seed, *length) })
}

// Guards against streams of two versions, and against callers that come back and are refused
// although their version serves, beside restarts, crashes and kills.
func TestCallersComeBackBesideTwoVersions(t *testing.T) {
	runSeeds(t, func(seed uint64) Plan { return VersionPlan(sizeFromFlags(), seed, *length) })
}
