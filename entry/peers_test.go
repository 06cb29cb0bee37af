package entry_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/fleet"
	"github.com/pearyard/pearyard/platform"
	"github.com/pearyard/pearyard/standin/nursery"
	"github.com/pearyard/pearyard/types"
)

// startWithPeer starts an environment with a second entry VM that only takes part in the
// election: it announces its own stop and learns of the process's.
func startWithPeer(t *testing.T) (*testEnv, *fleet.Election) {
	t.Helper()
	g := gomega.NewWithT(t)
	other, own := "", ""
	env := startServing(t, 1, func(s *platform.Settings) {
		other, own = freeAddresses(t, s.IP, 1)[0], s.Peers
		rows := platform.NewStore(s.Store, prometheus.NewRegistry())
		g.Expect(rows.Put(t.Context(), "entry_vms", "edge-2", []byte(other))).To(gomega.Succeed())
	})
	metrics := prometheus.NewRegistry()
	socket := fleet.NewSocket(other, func() []string { return []string{own} }, metrics)
	election := fleet.NewElection(fleet.ElectionOptions{
		Address: other, Socket: socket, Recorder: event.Discard(), Size: func() int { return 2 },
		Mark: func(fleet.Subject) fleet.Mark { return fleet.Mark{} }, Fetch: func(context.Context, string, types.Position, bool) {},
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- socket.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	g.Eventually(func() float64 { return datagramsReceived(t, metrics) }, "10s", "10ms").Should(gomega.BeNumerically(">", 0), "datagrams arrive")
	return env, election
}

// datagramsReceived returns how many datagrams were received.
func datagramsReceived(t *testing.T, metrics prometheus.Gatherer) float64 {
	families, err := metrics.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() == "pearyard_fleet_datagrams_received_total" {
			return f.GetMetric()[0].GetCounter().GetValue()
		}
	}
	return 0
}

// A process announces its stop to the others at the beginning of the stop. Otherwise
// other stopping processes would send their callers here.
func TestStopIsAnnouncedAtItsBeginning(t *testing.T) {
	g := gomega.NewWithT(t)
	env, other := startWithPeer(t)
	g.Expect(other.AllStop()).To(gomega.BeFalse())
	env.stop()
	g.Eventually(other.AllStop, "1s", "5ms").Should(gomega.BeTrue())
	g.Expect(env.listens()).To(gomega.BeTrue(), "the stop has only begun")
}

// Both entry VMs are stopped. The Retry-After of a refusal is the time until they are
// back: a caller that retried at once would be refused by the other one too.
func TestRetryAfterWhenBothVMsStop(t *testing.T) {
	g := gomega.NewWithT(t)
	env, other := startWithPeer(t)
	other.AnnounceStop()
	env.stop()
	g.Eventually(env.logs.text).Should(gomega.ContainSubstring("event=PY2754"))
	answer := env.send(testRequest{id: "r1", path: "/stream/1"}).readHead()
	g.Expect(answer.Status).To(gomega.Equal(503))
	wait, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(wait).To(gomega.BeNumerically(">", 0.5))
}

// After all entry VMs were killed, the retries that they had sent are forgotten. If new
// processes used the whole fixed part of the retry budget at once, backend servers would
// get more retries within a window than allowed. A process that is older than the window
// uses all of it.
func TestYoungProcessReservesFixedRetries(t *testing.T) {
	for name, c := range map[string]struct {
		window time.Duration
		whole  bool
	}{"young": {time.Hour, false}, "old": {200 * time.Millisecond, true}} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			env := startServing(t, 2, func(s *platform.Settings) { s.RetryRatio, s.RetryExtra, s.RetryWindow = 0, 10, c.window })
			answer := env.send(testRequest{id: "r1", path: "/stream/again/1"}).readHead().readLines(9)
			ran := env.cloud.Ledger.Runs()[0].Server
			for _, s := range env.servers {
				if s.ID() == ran {
					s.Crash()
				}
			}
			if c.whole {
				g.Expect(answer.readRest().Err).NotTo(gomega.HaveOccurred())
				env.expectServerEnds("r1", nursery.Interrupted, nursery.Completed)
				return
			}
			g.Expect(answer.readRest().Err).To(gomega.HaveOccurred())
			env.expectEnd("r1", requestEnd{"limit", "PY2722", "A limit ended it after"})
		})
	}
}
