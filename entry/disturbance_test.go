package entry_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against calls that go to a server whose machine is disturbed though another one's is
// not: from the VM that got the answer, and from another one.
func TestCallsAvoidAServerThatSaysItIsDisturbed(t *testing.T) {
	g := gomega.NewWithT(t)
	env := startServing(t, 2, nil)
	peer := env.startPeer("edge-2")
	for _, s := range env.servers {
		s.Disturb(100)
	}
	g.Expect(sendFor(2*time.Second, "/once/before/", env, peer)).To(gomega.BeZero())
	env.servers[0].Disturb(400)
	since := time.Now()
	g.Expect(sendFor(2*time.Second, "/once/during/", env, peer)).To(gomega.BeZero())
	disturbed, other := env.arrivalsSince(env.servers[0], since), env.arrivalsSince(env.servers[1], since)
	t.Logf("%d calls at the disturbed server, %d at the other", disturbed, other)
	g.Expect(disturbed).To(gomega.BeNumerically("<", other/2))
	g.Expect(disturbed).To(gomega.BeNumerically(">", 0), "it is looked at again")
	g.Expect(counter(t, env, "pearyard_fleet_disturbances_received_total")).To(gomega.BeNumerically(">", 0), "told by the VM that knows this one as a seed")
}

func counter(t *testing.T, env *testEnv, name string) float64 {
	families, err := env.entry.Metrics().Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() == name {
			return f.GetMetric()[0].GetCounter().GetValue()
		}
	}
	return 0
}
