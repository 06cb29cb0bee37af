package entry_test

import (
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// gaugeOf returns the sum of a metric's values.
func (env *testEnv) gaugeOf(name string) (sum float64) {
	families, err := env.entry.Metrics().Gather()
	if err != nil {
		env.t.Fatal(err)
	}
	for _, family := range families {
		for _, m := range family.GetMetric() {
			if family.GetName() == name {
				sum += m.GetGauge().GetValue()
			}
		}
	}
	return sum
}

// Guards against a planned stop that is held up by streams which wait for their turn: they
// are refused as not run when it begins.
func TestStopRefusesStreamsThatWait(t *testing.T) {
	g, env := gomega.NewWithT(t), newTestEnv(t, 1, nil)
	patient := strings.NewReplacer(`"targetLatencyMs":300`, `"targetLatencyMs":100000`)
	env.configure(1, `"k0"`, testRoute("/first/", "streaming", `"maxAttempts":1,"timeoutMs":20000,"priority":0`),
		patient.Replace(testRoute("/last/", "streaming", `"maxAttempts":1,"timeoutMs":20000,"priority":2`)))
	g.Eventually(env.isReady, "10s", "10ms").Should(gomega.BeTrue())
	server := env.servers[0]
	// A prompt of 20,000 tokens is expected to take 20 times as long as the first event of this
	// stream: a second or more.
	g.Expect(env.send(testRequest{id: "measures", path: "/first/1", extraHeader: "Token-Usage: 1000,40\r\n"}).readHead().readRest().Err).To(gomega.Succeed())
	server.EventGap.Store(int64(time.Hour))
	env.send(testRequest{id: "long", path: "/first/2", extraHeader: "Token-Usage: 20000,40\r\n"})
	g.Eventually(server.ActiveRequests, "5s", "5ms").Should(gomega.BeEquivalentTo(1))
	waits := env.send(testRequest{id: "waits", path: "/last/1", extraHeader: "Token-Usage: 10,40\r\n"})
	g.Eventually(func() float64 { return env.gaugeOf("pearyard_admission_waiting") }, "5s", "5ms").Should(gomega.BeEquivalentTo(1))
	env.stop()
	g.Expect(waits.readHead().Status).To(gomega.Equal(503))
	env.expectServerEnds("waits")
	env.expectEnd("waits", requestEnd{"stop", "PY2721", "It was refused and has not run: the planned stop of edge-1"})
}
