package soak

import "time"

const (
	// faultFreeGrace gives running requests the shortest timeout of the streaming route.
	faultFreeGrace = minStreamTimeout
	// overlappingLanes is how many disruptions an overlapping fault-free plan runs at a time.
	overlappingLanes = 4
	// Callers per VM that leave their connection idle, in a fault-free plan and in one
	// with CPU starvation.
	faultFreeIdleCallers  = 3
	starvationIdleCallers = 30
	// faultFreeNewConnectionCallers per VM open a connection for each request, so that some
	// connect as a listener is closed.
	faultFreeNewConnectionCallers = 6
)

// FaultFreePlan returns a plan of planned work and load only, with engines that pause
// for prompts and run out of memory. Disruptions run one at a time, or several at a time
// if overlapping is set.
func FaultFreePlan(size Size, seed uint64, length time.Duration, overlapping bool) Plan {
	size.Engine, size.Grace = constrainedEngine, faultFreeGrace
	size.IdleCallers, size.NewConnectionCallers = faultFreeIdleCallers, faultFreeNewConnectionCallers
	plan := Plan{Size: size, Seed: seed, Disruptions: PlannedDisruptions(), Length: length, Lanes: 1}
	if overlapping {
		plan.Lanes = overlappingLanes
	}
	return plan
}

// CPUStarvationPlan returns a plan in which VMs get little CPU time while callers use
// connections that they have left idle.
func CPUStarvationPlan(size Size, seed uint64, length time.Duration) Plan {
	size.IdleCallers = starvationIdleCallers
	return Plan{Size: size, Seed: seed, Disruptions: CPUStarvationDisruptions(), Length: length, Lanes: 1}
}
