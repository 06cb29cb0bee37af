package soak

import (
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/exchange"
)

// A call without an answer is a loss unless a fault, its deadline or the end of a
// grace period excuses it. Guards against a check that excuses more: one such check
// missed streams that broke off although their engines were alive.
func TestWhatCountsAsLost(t *testing.T) {
	at := time.Now()
	after := func(s float64) time.Time { return at.Add(time.Duration(s * float64(time.Second))) }
	incomplete := func(path string, sent, ended float64) Call {
		return Call{ID: "r", Path: path, VM: "edge-0", Sent: after(sent), Written: after(sent), Ended: after(ended), Status: 200, Reused: true}
	}
	newConnection := incomplete("/once/r", 10, 10.01)
	newConnection.Reused = false
	refused := incomplete("/stream/r", 10, 10.5)
	refused.Status, refused.Complete = 503, true
	badGateway := refused
	badGateway.Status = 502
	unsent := incomplete("/once/r", 10, 10.5)
	unsent.Written, unsent.Status = time.Time{}, 0
	for name, c := range map[string]struct {
		call    Call
		arrived bool
		lost    int
	}{
		"a stream that broke off":                     {incomplete("/stream/r", 10, 11), true, 1},
		"not read, connection closed late":            {incomplete("/once/r", 10, 10.25), false, 1},
		"not read, sent as the connection closed":     {incomplete("/once/r", 10, 10.15), false, 0},
		"not read, on a new connection":               {newConnection, false, 1},
		"reached a server, connection closed at once": {incomplete("/once/r", 10, 10.05), true, 1},
		"refused":                             {refused, true, 0},
		"answered 502":                        {badGateway, true, 1},
		"not sent completely":                 {unsent, false, 0},
		"a stream at its deadline":            {incomplete("/stream/r", 10, 17.95), true, 0},
		"a plain call at its deadline":        {incomplete("/once/r", 10, 11.95), true, 0},
		"a plain call before its deadline":    {incomplete("/once/r", 10, 11.8), true, 1},
		"sent before a fault":                 {incomplete("/stream/r", 18, 20.5), true, 0},
		"sent soon after a fault":             {incomplete("/stream/r", 23.5, 24.5), true, 0},
		"sent long after a fault":             {incomplete("/stream/r", 24.5, 25), true, 1},
		"running when the grace period ended": {incomplete("/stream/r", 32, 37.8), true, 0},
		"cut early in a stop":                 {incomplete("/stream/r", 32, 35), true, 1},
		"accepted late in a stop":             {incomplete("/stream/r", 34.5, 37.8), true, 1},
	} {
		g := gomega.NewWithT(t)
		d := &lossDetector{
			start: at, arrived: map[string]bool{"r": c.arrived},
			faults: []Span{{From: after(20), To: after(21)}},
			vms:    map[string]*VM{"edge-0": {grace: faultFreeGrace, plannedStops: []time.Time{after(30)}}},
		}
		lost, _ := d.find([]Call{c.call})
		g.Expect(lost).To(gomega.HaveLen(c.lost), name)
	}
}

// Guards against lost calls that count although the soak, with all servers, stood still, and
// against ones that a short stall or one long before excuses.
func TestStallOfTheSoakIsAFault(t *testing.T) {
	g := gomega.NewWithT(t)
	site := newSite(t, 1)
	at := time.Unix(1000, 0)
	t.Cleanup(func() {
		stalls.mu.Lock()
		defer stalls.mu.Unlock()
		stalls.spans = slices.DeleteFunc(stalls.spans, func(s Span) bool { return s.From.Equal(at) })
	})
	lostAt := func(stall time.Duration, sent time.Time) int {
		stalls.beat(at, at.Add(stall))
		lost, _ := newLossDetector(site, &Result{}).find([]Call{{ID: "r", Path: "/stream/r", VM: site.VMs[0].Name, Sent: sent, Written: sent, Ended: sent.Add(time.Second), Status: 502, Complete: true}})
		return len(lost)
	}
	g.Expect(lostAt(exchange.DefaultSilence-1, at)).To(gomega.Equal(1))
	g.Expect(lostAt(exchange.DefaultSilence, at)).To(gomega.BeZero())
	g.Expect(lostAt(exchange.DefaultSilence, at.Add(exchange.DefaultSilence+faultTail))).To(gomega.Equal(1))
}

// Planned work and load excuse nothing. Guards against a fault that is classified as
// planned work, and the reverse.
func TestPlannedWorkIsNoFault(t *testing.T) {
	g := gomega.NewWithT(t)
	var planned []string
	for _, p := range PlannedDisruptions() {
		planned = append(planned, p.Name)
	}
	g.Expect(planned).To(gomega.ConsistOf(
		"VM stopped as planned", "SIGHUP", "route added", "routes change", "weights change", "timeouts change", "keys and priority change",
		"limits change", "idle timeout changes", "changes in quick succession", "load", "engines read long prompts in little memory",
		"server drains and is replaced", "half of the engines drain and are replaced", "VMs all stopped in turn as planned",
	))
	g.Expect(CPUStarvationDisruptions()).To(gomega.HaveLen(1))
}
