package soak

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/exchange"
	"github.com/pearyard/pearyard/standin/nursery"
)

// Guards against a check that finds nothing, and against one that counts what the platform
// excuses or what is sound.
func TestWhatCountsAsTwoServersOnOneRequest(t *testing.T) {
	at := func(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }
	// work returns a run of r1; an end of 0 means that it works on.
	work := func(server string, begin, end float64) nursery.Work {
		w := nursery.Work{Request: "r1", Server: "i-" + server, Address: server, Begin: at(begin)}
		if end > 0 {
			w.End = at(end)
		}
		return w
	}
	of := func(request string, w nursery.Work) nursery.Work {
		w.Request = request
		return w
	}
	restarted := work("a", 10.4, 10.45)
	restarted.Server = "i-new"
	former, next := work("a", 10, 10.9), work("b", 10.4, 10.42)
	for name, c := range map[string]struct {
		works    []nursery.Work
		disturbs string
		from, to float64 // to 0: it lasts
		count    int
	}{
		"the former resumes and the new one is ended":            {works: []nursery.Work{former, next}, count: 1},
		"the former is ended late":                               {works: []nursery.Work{work("a", 10, 10.81), work("b", 10.4, 11)}, count: 1},
		"the former has no end":                                  {works: []nursery.Work{work("a", 10, 0), next}, count: 1},
		"two later runs":                                         {works: []nursery.Work{former, next, work("c", 10.45, 10.46)}, count: 2},
		"the run before the last":                                {works: []nursery.Work{former, work("b", 10.1, 10.2), next}, count: 2},
		"both go on":                                             {works: []nursery.Work{work("a", 10, 0), work("b", 10.4, 0)}, count: 1},
		"anew at a server with another request":                  {works: []nursery.Work{former, next, of("r2", work("b", 10.4, 11))}, count: 1},
		"the former ends 400 ms later":                           {works: []nursery.Work{work("a", 10, 10.8), next}},
		"the former ends first":                                  {works: []nursery.Work{work("a", 10, 10.39), work("b", 10.4, 12)}},
		"a single run":                                           {works: []nursery.Work{work("a", 10, 0)}},
		"another request":                                        {works: []nursery.Work{former, of("r2", next)}},
		"at the same server":                                     {works: []nursery.Work{former, restarted}},
		"its VM is stopped":                                      {works: []nursery.Work{former, next}, disturbs: "edge-0", from: 10.1},
		"its VM was stopped in the time of contact":              {works: []nursery.Work{former, next}, disturbs: "edge-0", from: 7, to: 7.5},
		"the path to the former is cut":                          {works: []nursery.Work{former, next}, disturbs: "a", from: 10.1, to: 10.3},
		"the path to the new one is reset":                       {works: []nursery.Work{former, next}, disturbs: "b", from: 10.5, to: 10.5},
		"its VM was stopped long before":                         {works: []nursery.Work{former, next}, disturbs: "edge-0", from: 6, to: 7.3, count: 1},
		"its VM is stopped when the rule is broken already":      {works: []nursery.Work{former, next}, disturbs: "edge-0", from: 10.81, count: 1},
		"another VM is stopped":                                  {works: []nursery.Work{former, next}, disturbs: "edge-1", from: 10.1, count: 1},
		"another path is cut":                                    {works: []nursery.Work{former, next}, disturbs: "c", from: 10.1, count: 1},
		"the soak stalls for all but 400 ms of the overlap":      {works: []nursery.Work{work("a", 10, 11.19), next}, disturbs: soakProcess, from: 10.5, to: 10.9},
		"the soak stalls for less":                               {works: []nursery.Work{work("a", 10, 11.19), next}, disturbs: soakProcess, from: 10.5, to: 10.85, count: 1},
		"the soak stalls before the later run, too":              {works: []nursery.Work{work("a", 10, 11.19), next}, disturbs: soakProcess, from: 9, to: 10.75, count: 1},
		"the soak stalled before":                                {works: []nursery.Work{former, next}, disturbs: soakProcess, from: 9, to: 10.3, count: 1},
		"the soak stalls when the rule is broken already":        {works: []nursery.Work{former, next}, disturbs: soakProcess, from: 10.81, to: 12, count: 1},
		"a request whose caller is not known, all VMs disturbed": {works: []nursery.Work{of("probe1", former), of("probe1", next)}, disturbs: "edge-0", from: 10.1, count: 1},
	} {
		g := gomega.NewWithT(t)
		disturbed := disturbances{}
		if c.disturbs != "" {
			span := Span{From: at(c.from)}
			if c.to > 0 {
				span.To = at(c.to)
			}
			disturbed[c.disturbs] = []Span{span}
		}
		calls := []Call{{ID: "r1", VM: "edge-0"}, {ID: "r2", VM: "edge-0"}}
		g.Expect(overlapViolations(c.works, calls, disturbed)).To(gomega.HaveLen(c.count), name)
	}
}

// Guards against stalls that are not recorded, or that are where there is none.
func TestStallsAreRecorded(t *testing.T) {
	g := gomega.NewWithT(t)
	var log stallLog
	at := time.Unix(1000, 0)
	log.beat(at, at.Add(minStall-1))
	g.Expect(log.all()).To(gomega.BeEmpty())
	log.beat(at, at.Add(minStall))
	g.Expect(log.all()).To(gomega.Equal([]Span{{From: at, To: at.Add(minStall)}}))
	g.Expect(newSite(t, 1).disturbances()).To(gomega.HaveKey(soakProcess))
	g.Expect(log.faults()).To(gomega.BeEmpty())
	log.beat(at, at.Add(exchange.DefaultSilence-1))
	g.Expect(log.faults()).To(gomega.BeEmpty())
	log.beat(at, at.Add(exchange.DefaultSilence))
	g.Expect(log.faults()).To(gomega.Equal([]Span{{From: at, To: at.Add(exchange.DefaultSilence)}}))
	d := disturbances{soakProcess: {{From: at, To: at.Add(time.Second)}, {From: at.Add(1100 * time.Millisecond), To: at.Add(2 * time.Second)}}}
	g.Expect(d.after(at, 200*time.Millisecond)).To(gomega.Equal(at.Add(2100 * time.Millisecond)))
}

// Guards against disturbances that the soak doesn't record, or that have no end.
func TestDisturbancesAreRecorded(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	site := newSite(t, 2)
	disturbed := func(name string) bool {
		return site.disturbances().between(name, time.Now(), time.Now().Add(time.Second))
	}
	vm, server := site.VMs[0], site.Servers[0]
	g.Expect(site.disturbances()[vm.Name]).To(gomega.BeEmpty())
	for n, c := range []struct {
		name       string
		begin, end func()
	}{
		{vm.Name, func() { vm.signal(syscall.SIGSTOP) }, vm.resume},
		{vm.Name, vm.kill, func() { _ = vm.start() }},
		{vm.Name, vm.terminate, func() { _ = vm.start() }},
		{server.Address, func() { site.proxies[server].Set(Delay) }, func() { site.proxies[server].Set(Pass) }},
		{server.Address, func() { site.proxies[server].Set(Refuse) }, func() { site.proxies[server].Set(Pass) }},
	} {
		c.begin()
		g.Expect(disturbed(c.name)).To(gomega.BeTrue(), "%d", n)
		c.end()
		g.Expect(disturbed(c.name)).To(gomega.BeFalse(), "%d", n)
	}
	before := time.Now()
	site.proxies[server].Reset()
	g.Expect(site.disturbances().between(server.Address, before, time.Now().Add(time.Second))).To(gomega.BeTrue())
	g.Expect(site.disturbances()[vm.Name]).To(gomega.HaveLen(3))
	g.Expect(site.disturbances()[server.Address]).To(gomega.HaveLen(3))
	g.Expect(site.disturbances()[site.VMs[1].Name]).To(gomega.BeEmpty())
}

// Guards against two servers that work on a stream: the first one pauses, another one is to go on
// from a copy, and which of them makes the next event is not known for more than maxOverlap.
func TestServerThatPausesDoesNotWorkBesideItsSuccessor(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	size := DefaultSize
	size.VMs = 1
	site, err := NewSite(t.TempDir(), size)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(site.Close)
	models := site.Servers[:size.ModelServers]
	for _, server := range models {
		server.EventGap.Store(int64(pausingEventGap))
	}
	var calls []Call
	for n, pause := range []struct{ first, others time.Duration }{{1400, 900}, {380, 680}, {450, 750}, {550, 850}, {700, 1000}} {
		ended := make(chan Call, 1)
		go func() { ended <- sendTo(site, site.VMs[0], fmt.Sprintf("/stream/p%d", n), "k0") }()
		first := func() nursery.Work { return firstWork(site, fmt.Sprintf("p%d", n)) }
		g.Eventually(func() int { return first().Events }, "10s", "5ms").Should(gomega.BeNumerically(">=", 10))
		for _, server := range models {
			own := pause.others
			if server.Address == first().Address {
				own = pause.first
			}
			server.PauseStreams(own * time.Millisecond)
		}
		call := <-ended
		g.Expect(call.Complete && call.Mismatch == "").To(gomega.BeTrue(), "%+v", call)
		calls = append(calls, call)
	}
	g.Expect(overlapViolations(site.Cloud.Ledger.Works(), calls, site.disturbances())).To(gomega.BeEmpty())
}

// pausingEventGap leaves a stream of 40 events more than maxOverlap after its tenth event.
const pausingEventGap = 30 * time.Millisecond

// firstWork returns the first run of a request.
func firstWork(site *Site, request string) nursery.Work {
	for _, w := range site.Cloud.Ledger.Works() {
		if w.Request == request {
			return w
		}
	}
	return nursery.Work{}
}
