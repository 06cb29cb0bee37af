package rollout

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/site"
	"github.com/pearyard/pearyard/types"
)

// listed returns a list of one server of each version.
func listed(versions ...string) []directory.Listing {
	var list []directory.Listing
	for _, v := range versions {
		list = append(list, directory.Listing{ID: "i-" + v, Service: "s", Address: "10.0.0.1:" + v[1:], Version: v})
	}
	return list
}

// baselineProcess is a process that lists servers and takes requests.
type baselineProcess struct{ *Controller }

func newBaselineProcess(allowUnordered bool) *baselineProcess {
	d := directory.New()
	p := &baselineProcess{Controller: New(Options{AllowUnordered: allowUnordered, Share: 0.1, Tolerance: 50, Size: func() int { return 4 }, Directory: d, Recorder: event.Discard(), Metrics: prometheus.NewRegistry()})}
	p.ApplyConfig(&site.Versioned{Config: site.New(1, nil, nil, nil, site.ClientLimits{}), Position: 1})
	return p
}

func (p *baselineProcess) list(position types.Position, versions ...string) {
	p.opts.Directory.Apply(position, listed(versions...), false, time.Now())
}

func (p *baselineProcess) order(position types.Position, version string) {
	config := site.New(1, nil, nil, nil, site.ClientLimits{})
	config.Rollouts = map[string]site.RolloutOrder{"s": {Service: "s", Version: version, Duration: testDuration, Position: position}}
	p.ApplyConfig(&site.Versioned{Config: config, Position: position})
}

// serves returns the versions that may run a request that is not chosen for a trial.
func (p *baselineProcess) serves() []string {
	admits := p.Assign("s", "r", false).Admits()
	var versions []string
	for _, s := range p.opts.Directory.View().Service("s") {
		if admits == nil || admits(s) {
			versions = append(versions, s.Version())
		}
	}
	return versions
}

// exchangeBaselines tells each process what the others know.
func exchangeBaselines(processes map[string]*baselineProcess) {
	for _, from := range processes {
		for _, to := range processes {
			for _, b := range from.Baselines() {
				to.MergeBaseline(b, "peer")
			}
		}
	}
}

// processesBesideTwoVersions returns processes that list v1 and v2 by now, each with another
// past. v2 joined at position 20.
func processesBesideTwoVersions(allowUnordered bool) map[string]*baselineProcess {
	processes := map[string]*baselineProcess{}
	for _, name := range []string{"served before", "first request later", "cut off", "started later", "started without v1"} {
		processes[name] = newBaselineProcess(allowUnordered)
	}
	for _, name := range []string{"served before", "first request later"} {
		processes[name].list(10, "v1")
	}
	processes["served before"].serves()
	processes["cut off"].list(10, "v1")
	processes["started without v1"].list(25, "v2")
	for _, p := range processes {
		p.list(30, "v1", "v2")
	}
	return processes
}

// Guards against processes that differ in which versions serve because one started, was first
// used or read the list later than another.
func TestVersionsThatServeDoNotDependOnAProcessesPast(t *testing.T) {
	for name, c := range map[string]struct {
		allowUnordered bool
		play           func(p *baselineProcess)
		want           []string
	}{
		"no orders at this site":           {true, func(*baselineProcess) {}, []string{"v1", "v2"}},
		"the order isn't read yet":         {false, func(*baselineProcess) {}, []string{"v1"}},
		"amid the roll-out":                {false, func(p *baselineProcess) { p.order(40, "v2") }, []string{"v1"}},
		"an order although none is needed": {true, func(p *baselineProcess) { p.order(40, "v2") }, []string{"v1"}},
		"another order overtakes it": {false, func(p *baselineProcess) {
			p.order(40, "v3")
			p.list(50, "v1", "v2", "v3")
		}, []string{"v1"}},
		"another order after the completion": {false, func(p *baselineProcess) {
			p.order(40, "v2")
			p.SetPhase("s", 40, Completed, "store", time.Now())
			p.list(50, "v2", "v3")
			p.order(60, "v3")
		}, []string{"v2"}},
	} {
		t.Run(name, func(t *testing.T) {
			processes := processesBesideTwoVersions(c.allowUnordered)
			exchangeBaselines(processes)
			for past, p := range processes {
				c.play(p)
				gomega.NewWithT(t).Expect(p.serves()).To(gomega.ConsistOf(c.want), past)
			}
		})
	}
}

// Guards against a process that starts amid a second roll-out and takes the version that the
// first one replaced, or the one on trial, for established.
func TestProcessThatStartsLearnsOfACompletion(t *testing.T) {
	g := gomega.NewWithT(t)
	ran, started := newBaselineProcess(false), newBaselineProcess(false)
	ran.list(10, "v1")
	ran.order(20, "v2")
	ran.SetPhase("s", 20, Completed, "store", time.Now())
	started.list(30, "v1", "v2", "v3")
	exchangeBaselines(map[string]*baselineProcess{"ran": ran, "started": started})
	started.order(40, "v3")
	g.Expect(started.serves()).To(gomega.ConsistOf("v2"))
}

// Guards against a baseline that nobody can have seen, which would supersede all others.
func TestBaselineOfNoPositionIsIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newBaselineProcess(false)
	p.list(10, "v1")
	p.list(20, "v1", "v2")
	service := directory.Hash("s")
	p.MergeBaseline(Baseline{Service: service, Versions: []string{"v2"}}, "peer")
	p.MergeBaseline(Baseline{Service: service, Order: 30}, "peer")
	g.Expect(p.Baselines()).To(gomega.Equal([]Baseline{{Service: service, Versions: []string{"v1"}, Seen: 10}}))
	g.Expect(p.serves()).To(gomega.ConsistOf("v1"))
}

// Guards against requests that are refused while all servers that need no order are leaving.
func TestUnorderedVersionServesOnceAllOthersLeave(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newBaselineProcess(false)
	p.list(10, "v1")
	p.list(20, "v1", "v2")
	g.Expect(p.serves()).To(gomega.ConsistOf("v1"))
	list := listed("v1", "v2")
	list[0].Draining = true
	p.opts.Directory.Apply(30, list, false, time.Now())
	g.Expect(p.serves()).To(gomega.ContainElement("v2"))
}

// Guards against a process that starts after a completion and uses the servers that are being
// stopped, until a decider tells it of the phase.
func TestProcessThatStartsAfterACompletionUsesTheNewVersion(t *testing.T) {
	g := gomega.NewWithT(t)
	ran, started := newBaselineProcess(false), newBaselineProcess(false)
	ran.list(10, "v1")
	ran.order(20, "v2")
	ran.SetPhase("s", 20, Completed, "store", time.Now())
	started.list(30, "v1", "v2")
	started.order(20, "v2")
	exchangeBaselines(map[string]*baselineProcess{"ran": ran, "started": started})
	g.Expect(started.serves()).To(gomega.ConsistOf("v2"))
}

// Guards against streams that no process resumes, though the version that began them is listed
// and no order is about it.
func TestStreamsAreResumedAtAnyVersionWithoutAnOrder(t *testing.T) {
	for _, allowUnordered := range []bool{false, true} {
		for past, p := range processesBesideTwoVersions(allowUnordered) {
			a := p.Assign("s", "r", false)
			gomega.NewWithT(t).Expect(a.MayResume("v2")).To(gomega.BeTrue(), past)
			gomega.NewWithT(t).Expect(a.ExcludesStreams("v2")).To(gomega.BeFalse(), past)
		}
	}
}

// Guards against streams of a bad version, or of one that is being stopped, that wait for a server.
func TestStreamsOfAnExcludedVersion(t *testing.T) {
	for phase, excluded := range map[Phase][]string{Unknown: nil, Trial: nil, Handover: nil, Stopped: {"v2"}, Reverted: {"v2"}, Completed: {"v1"}} {
		t.Run(phase.String(), func(t *testing.T) {
			p := newBaselineProcess(false)
			p.list(10, "v1")
			p.list(20, "v1", "v2")
			p.order(30, "v2")
			p.SetPhase("s", 30, phase, "store", time.Now())
			a := p.Assign("s", "r", false)
			var got []string
			for _, v := range []string{"v1", "v2"} {
				if a.ExcludesStreams(v) {
					got = append(got, v)
				}
			}
			gomega.NewWithT(t).Expect(got).To(gomega.Equal(excluded))
		})
	}
}
