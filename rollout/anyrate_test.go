package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against completing a version that fails at any rate from any moment on, and against sending it requests
// long after it has given many bad answers.
func TestVersionThatFailsAtAnyRateIsReverted(t *testing.T) {
	seeds := 200
	if raceEnabled {
		seeds = 10 // see TestVerdictsOfModelledRollouts
	}
	for _, duration := range []time.Duration{20 * time.Second, 60 * time.Second} {
		for _, rate := range []float64{0.02, 0.05, 0.12, 0.25, 0.6} {
			for _, from := range []float64{0, 0.3, 0.5, 0.75} {
				if expectedFailures(duration, rate, from) < fewestTellingFailures {
					continue
				}
				for _, vms := range []int{2, 31} {
					t.Run(fmt.Sprintf("%v/%v from %v/%d VMs", duration, rate, from, vms), func(t *testing.T) {
						t.Parallel()
						g := gomega.NewWithT(t)
						completed, late := 0, 0
						for seed := range uint64(seeds) {
							r := playRollout(modelCharges, modelVersion{bad: true, failures: rate, from: from}, modelDisruption{}, vms, duration, seed)
							g.Expect(r.at).To(gomega.BeNumerically("<", duration))
							if r.outcome == Completed {
								completed++
							}
							if r.late > 0 {
								late++
							}
						}
						t.Logf("completed: %d, requests too late in %d of %d", completed, late, seeds)
						g.Expect(100 * completed).To(gomega.BeNumerically("<", seeds))
						g.Expect(late).To(gomega.BeZero())
					})
				}
			}
		}
	}
}

// fewestTellingFailures is how many failures of a version are expected before its completion for it to be told from a
// good one: the mean at which fewer than four come less often than once in 100.
const fewestTellingFailures = 10

// expectedFailures returns how many failures of a version are expected until the end of its trial.
func expectedFailures(duration time.Duration, rate, from float64) float64 {
	perSecond := trialShare * modelShare * modelCharges.perSecond * rate
	return perSecond * (1 - from) * duration.Seconds()
}

// Guards against reverting a good version for what happens to fail.
func TestVersionThatFailsAsOftenIsCompleted(t *testing.T) {
	seeds := 200
	if raceEnabled {
		seeds = 10 // see TestVerdictsOfModelledRollouts
	}
	for _, failures := range []float64{0, 0.001, 0.01, 0.05} {
		t.Run(fmt.Sprint(failures), func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			route := modelCharges.routes[0]
			route.failures = failures
			reverted, all := 0, 0
			for _, duration := range []time.Duration{20 * time.Second, 60 * time.Second} {
				for seed := range uint64(seeds) {
					all++
					r := playRollout(modelService{modelCharges.perSecond, []modelRoute{route}}, modelVersion{}, modelDisruption{}, 31, duration, seed)
					if r.outcome != Completed {
						reverted++
					}
				}
			}
			t.Logf("reverted: %d of %d", reverted, all)
			g.Expect(100 * reverted).To(gomega.BeNumerically("<", all))
		})
	}
}
