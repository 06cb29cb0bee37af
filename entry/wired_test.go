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
)

// besideAnother starts a world of two entry VMs; the other one only says
// whether it stops, and hears whether the process does.
func besideAnother(t *testing.T) (*world, *fleet.Election) {
	t.Helper()
	g := gomega.NewWithT(t)
	other, own := "", ""
	w := serving(t, 1, func(s *platform.Settings) {
		other, own = free(t, s.IP, 1)[0], s.Peers
		rows := platform.NewStore(s.Store, prometheus.NewRegistry())
		g.Expect(rows.Put(t.Context(), "entry_vms", "edge-2", []byte(other))).To(gomega.Succeed())
	})
	metrics := prometheus.NewRegistry()
	socket := fleet.NewSocket(other, func() []string { return []string{own} }, metrics)
	election := fleet.NewElection(fleet.ElectionOptions{
		Address: other, Socket: socket, Recorder: event.Discard(), Size: func() int { return 2 },
		Position: func(fleet.Subject) uint64 { return 0 }, Fetch: func(context.Context, string, uint64) {},
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- socket.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	g.Eventually(func() float64 { return received(t, metrics) }, "10s", "10ms").Should(gomega.BeNumerically(">", 0), "each hears the other")
	return w, election
}

func received(t *testing.T, metrics prometheus.Gatherer) float64 {
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

// A process is stopped. It says so to the others at the beginning of the stop:
// those that are stopped as well would send their callers here otherwise.
func TestStopIsToldAtItsBeginning(t *testing.T) {
	g := gomega.NewWithT(t)
	w, other := besideAnother(t)
	g.Expect(other.AllStop()).To(gomega.BeFalse())
	w.stop()
	g.Eventually(other.AllStop, "1s", "5ms").Should(gomega.BeTrue())
	g.Expect(w.listens()).To(gomega.BeTrue(), "at the beginning")
}

// Both entry VMs are stopped. A caller that one refuses is told when they are
// back: sent on at once, it would be refused by the other too.
func TestCallersAreToldWhenAllAreBack(t *testing.T) {
	g := gomega.NewWithT(t)
	w, other := besideAnother(t)
	other.AnnounceStop()
	w.stop()
	g.Eventually(w.logs.text).Should(gomega.ContainSubstring("event=PY2754"))
	answer := w.send(ask{id: "r1", path: "/stream/1"}).head()
	g.Expect(answer.Status).To(gomega.Equal(503))
	wait, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(wait).To(gomega.BeNumerically(">", 0.5))
}

// All entry VMs were killed in a mass loss. What they had sent again is
// forgotten with them; if they used all the fixed retries anew, backend servers
// would get more repeats in a window than allowed. A process that is as old as
// the window uses them.
func TestYoungProcessKeepsMostFixedRetriesBack(t *testing.T) {
	for name, c := range map[string]struct {
		window time.Duration
		whole  bool
	}{"young": {time.Hour, false}, "old": {200 * time.Millisecond, true}} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			w := serving(t, 2, func(s *platform.Settings) { s.RetryRatio, s.RetryExtra, s.RetryWindow = 0, 10, c.window })
			answer := w.send(ask{id: "r1", path: "/stream/again/1"}).head().events(9)
			ran := w.cloud.Ledger.Runs()[0].Server
			for _, s := range w.servers {
				if s.ID() == ran {
					s.Crash()
				}
			}
			if c.whole {
				g.Expect(answer.rest().Err).NotTo(gomega.HaveOccurred())
				w.sawServers("r1", nursery.BrokeOff, nursery.Whole)
				return
			}
			g.Expect(answer.rest().Err).To(gomega.HaveOccurred())
			w.holds("r1", verdict{"limit", "PY2722", "A limit ended it after"})
		})
	}
}
