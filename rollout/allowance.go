package rollout

import (
	"math"
	"time"
)

// Allowance limits how many requests one process sends to a version on trial.
//
// The limit for all processes together is a share of the service's requests plus a
// tolerance. Each process keeps that share of its own requests and its part of the
// tolerance, so that the sum stays below the limit whatever the processes know of each
// other.
type Allowance struct {
	Share     float64 // of the service's requests that the version may get
	Tolerance float64 // requests that it may get beyond the share, from all processes together
	Processes int
	// Restarted is set if the process started after the order. It doesn't know how much of
	// its part of the tolerance it used before, so it has none.
	Restarted bool
	// Carry is a random number from 0 to 1, drawn once by each process, that is added to
	// its limit. Processes with few requests would otherwise never reach the first whole
	// one. The mean of what is sent is then the limit itself.
	Carry float64
	// Ramp rises from 0 to 1 in the first part of a phase, and the limit with it.
	//
	// Without it the limit would jump, and all requests of a second would go to the
	// version on trial. Its answers would be younger than those that it is compared with;
	// as failures come before answers, more of them would look failed.
	Ramp float64
}

const (
	// trialShare is the part of the share that is used to judge the version. What it
	// leaves lets most requests move to a good version before the old servers are
	// stopped, which cuts what runs there.
	trialShare = 0.5
	// trialTolerance is the part of the tolerance that gives the judgement its first
	// samples: with little traffic the share alone yields too few before the deadline.
	trialTolerance = 0.25
	// handoverTolerance leaves a fifth of the tolerance for requests that are counted here
	// but never reach the service.
	handoverTolerance = 0.8
	// rampFraction is the part of a roll-out's duration in which the limit rises with a
	// phase; most of the handover.
	rampFraction = 0.265
	// carryDeviations times the standard deviation of the sum of all carries, which is half
	// the square root of their number, is taken off the tolerance. The sum exceeds that
	// once in three million roll-outs.
	carryDeviations = 5
)

// minRamp bounds the ramps of an order whose duration isn't known.
const minRamp = time.Millisecond

// Limit returns how many requests the process may have sent to the version by the time it
// has received that many requests for the service.
func (a Allowance) Limit(p Phase, requests int64) float64 {
	switch p {
	case Trial:
		return a.shareOf(trialShare, requests) + a.Ramp*a.toleranceOf(trialTolerance)
	case Handover:
		before := a.shareOf(trialShare, requests) + a.toleranceOf(trialTolerance)
		after := a.shareOf(1, requests) + a.toleranceOf(handoverTolerance)
		return before + a.Ramp*(after-before)
	default:
		return 0
	}
}

func (a Allowance) shareOf(part float64, requests int64) float64 {
	return part * a.Share * float64(requests)
}

// toleranceOf returns this process's part of the tolerance.
func (a Allowance) toleranceOf(part float64) float64 {
	if a.Restarted {
		return 0
	}
	processes := float64(max(1, a.Processes))
	reserve := carryDeviations * math.Sqrt(processes) / 2
	return min(part*a.Tolerance, handoverTolerance*a.Tolerance-reserve) / processes
}

// ramp returns Allowance.Ramp at a time since the beginning of a phase.
func ramp(since, duration time.Duration) float64 {
	return min(1, max(0, since.Seconds())/max(rampFraction*duration.Seconds(), minRamp.Seconds()))
}

// Permits reports whether one more request may go to the version.
func (a Allowance) Permits(p Phase, requests, sent int64) bool {
	return float64(sent+1) <= a.Limit(p, requests)+a.Carry
}
