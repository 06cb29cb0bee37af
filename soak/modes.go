package soak

import "time"

const (
	// calmGrace leaves requests the time that their route allows.
	calmGrace = leastStreamTimeout
	// besideEachOther is how many kinds of planned work a calm run overlaps.
	besideEachOther = 4
	// someHolders of a VM are among the callers of a calm run, holders among those
	// of one in which VMs starve.
	someHolders = 3
	holders     = 30
)

// CalmPlan returns a plan of planned work and load only, before engines that pause
// and run full; in series, or overlapping.
func CalmPlan(size Size, seed uint64, length time.Duration, overlapping bool) Plan {
	size.Engine, size.Grace, size.Holders = busyEngine, calmGrace, someHolders
	plan := Plan{Size: size, Seed: seed, Troubles: PlannedWork(), Length: length, Lanes: 1}
	if overlapping {
		plan.Lanes = besideEachOther
	}
	return plan
}

// StarvingPlan returns a plan in which VMs get little processor time while callers
// use connections that they have left idle.
func StarvingPlan(size Size, seed uint64, length time.Duration) Plan {
	size.Holders = holders
	return Plan{Size: size, Seed: seed, Troubles: StarvingWork(), Length: length, Lanes: 1}
}
