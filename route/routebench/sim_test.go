package routebench

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/pearyard/pearyard/route"
)

func steady(policy string) simOptions {
	return simOptions{
		runners: 36, routers: 3, organisations: 10, rate: steadyRate, reportEvery: reportInterval,
		policy: policy, learn: true, events: true, fault: noFault, seed: 1, until: faultAt,
	}
}

func mustRun(t *testing.T, opts simOptions) figures {
	t.Helper()
	r, err := run(opts)
	if err != nil {
		t.Fatal(err)
	}
	return r.figures()
}

func TestRunsAreRepeatable(t *testing.T) {
	g := NewWithT(t)
	g.Expect(mustRun(t, steady(route.PowerOfTwo))).To(Equal(mustRun(t, steady(route.PowerOfTwo))))
}

// Guards against a policy change that loses the prefix caches, which no other test
// shows: all answers stay correct and are only later and more expensive.
func TestAffinityBeatsLeastLoad(t *testing.T) {
	g := NewWithT(t)
	affinity, least := mustRun(t, steady(route.DefaultPolicy)), mustRun(t, steady(route.LeastLoad))
	g.Expect(affinity.HitRate).To(BeNumerically(">", 1.8*least.HitRate))
	g.Expect(affinity.PrefilledTokens).To(BeNumerically("<", 0.75*least.PrefilledTokens))
	g.Expect(affinity.FirstP95).To(BeNumerically("<", least.FirstP95))
}

// A runner that is ten times slower is alive and reports its load; only its step
// time shows the fault.
func TestSlowRunnerIsAvoided(t *testing.T) {
	g := NewWithT(t)
	for _, policy := range []string{route.RoundRobin, route.DefaultPolicy} {
		opts := steady(policy)
		opts.fault = oneSlow
		opts.until = returnAt
		g.Expect(mustRun(t, opts).AffectedShare).To(BeNumerically("<", 0.1/36), policy)
	}
}
