package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// versionScenario is what happens to a site while callers come back.
type versionScenario struct {
	vms       int
	perSecond float64 // streams; 0: 12
	// prepare sets the servers up before the VMs start; nil: four of v1 and four of v2.
	prepare func(m *versionSite)
	play    func(ctx context.Context, m *versionSite)
	// lost is set if what VMs knew of some streams is lost for good, so that their callers may be
	// refused.
	lost bool
}

func twoVersions(m *versionSite) {
	m.addServers("v1", 4)
	m.addServers("v2", 4)
}

func oneVersion(m *versionSite) { m.addServers("v1", 8) }

var versionScenarios = map[string]versionScenario{
	"a VM is killed": {vms: 5, play: func(_ context.Context, m *versionSite) { m.kill(m.running()[0]) }},
	"a VM is killed and callers come back to its new process": {vms: 2, play: func(ctx context.Context, m *versionSite) {
		m.restart(ctx, 200*time.Millisecond, m.running()[0])
		time.Sleep(300 * time.Millisecond)
		m.kill(m.running()[0])
	}},
	"most VMs are killed": {vms: 30, perSecond: 30, play: func(_ context.Context, m *versionSite) {
		for _, vm := range m.running()[:3*len(m.running())/5] {
			m.kill(vm)
		}
	}},
	"all VMs are killed": {vms: 5, lost: true, play: func(ctx context.Context, m *versionSite) {
		m.restart(ctx, 500*time.Millisecond, m.running()...)
	}},
	"all VMs of a large site are killed": {vms: 30, perSecond: 30, lost: true, play: func(ctx context.Context, m *versionSite) {
		m.restart(ctx, 500*time.Millisecond, m.running()...)
	}},
	"all VMs are restarted in turn": {vms: 5, play: func(ctx context.Context, m *versionSite) {
		for _, vm := range m.running() {
			m.restart(ctx, 200*time.Millisecond, vm)
			time.Sleep(300 * time.Millisecond)
		}
	}},
	"all VMs of a large site are restarted in turn": {vms: 30, perSecond: 30, play: func(ctx context.Context, m *versionSite) {
		for _, vm := range m.running() {
			m.restart(ctx, 100*time.Millisecond, vm)
			time.Sleep(50 * time.Millisecond)
		}
	}},
	"a VM is killed, others are cut off": {vms: 5, lost: true, play: func(_ context.Context, m *versionSite) {
		vms := m.running()
		m.setCut(vms[1], true)
		m.setCut(vms[2], true)
		time.Sleep(2 * time.Second)
		m.kill(vms[0])
	}},
	"single version, all VMs are killed": {vms: 5, prepare: oneVersion, play: func(ctx context.Context, m *versionSite) {
		m.restart(ctx, 500*time.Millisecond, m.running()...)
	}},
	"a second version appears just after a VM was killed": {vms: 5, prepare: oneVersion, play: func(_ context.Context, m *versionSite) {
		m.kill(m.running()[0])
		m.addServers("v2", 6)
	}},
	"a second version appears just before a VM is killed": {vms: 5, prepare: oneVersion, play: func(_ context.Context, m *versionSite) {
		m.addServers("v2", 6)
		time.Sleep(time.Duration(rand.IntN(1000)) * time.Millisecond)
		m.kill(m.running()[0])
	}},
	"VMs start after a second version has appeared, and are killed": {vms: 5, prepare: oneVersion, play: func(ctx context.Context, m *versionSite) {
		m.addServers("v2", 6)
		time.Sleep(time.Second)
		started := m.running()[:2]
		m.restart(ctx, 200*time.Millisecond, started...)
		time.Sleep(5 * time.Second)
		for _, vm := range m.running() {
			if vm.address == started[0].address || vm.address == started[1].address {
				m.kill(vm)
			}
		}
	}},
	// All VMs that hold a record may be among those killed.
	"a second version appears at a large site, and VMs are killed": {vms: 30, perSecond: 30, prepare: oneVersion, lost: true, play: func(_ context.Context, m *versionSite) {
		m.addServers("v2", 8)
		time.Sleep(time.Duration(rand.IntN(1000)) * time.Millisecond)
		for _, vm := range m.running()[:len(m.running())/3] {
			m.kill(vm)
		}
	}},
	"a second version appears while VMs are cut off": {vms: 5, prepare: oneVersion, lost: true, play: func(_ context.Context, m *versionSite) {
		vms := m.running()
		m.setCut(vms[1], true)
		m.setCut(vms[2], true)
		time.Sleep(time.Second)
		m.addServers("v2", 8)
		time.Sleep(4 * time.Second)
		m.kill(vms[0])
	}},
	"the first version leaves and all VMs are killed": {vms: 5, lost: true, play: func(ctx context.Context, m *versionSite) {
		m.addServers("v2", 4)
		m.removeServers("v1")
		time.Sleep(100 * time.Millisecond)
		m.restart(ctx, 500*time.Millisecond, m.running()...)
	}},
	"the only version is replaced while all VMs are down": {vms: 5, prepare: oneVersion, lost: true, play: func(ctx context.Context, m *versionSite) {
		for _, vm := range m.running() {
			m.kill(vm)
		}
		m.addServers("v2", 8)
		m.removeServers("v1")
		time.Sleep(500 * time.Millisecond)
		m.startVMs(ctx, 5)
	}},
	"the only version is replaced at once as all VMs are killed": {vms: 5, prepare: oneVersion, lost: true, play: func(ctx context.Context, m *versionSite) {
		m.addServers("v2", 8)
		m.removeServers("v1")
		time.Sleep(time.Duration(rand.IntN(300)) * time.Millisecond)
		m.restart(ctx, 500*time.Millisecond, m.running()...)
	}},
	"servers crash and VMs are killed": {vms: 5, play: func(_ context.Context, m *versionSite) {
		for i := range 6 {
			m.crashServer()
			time.Sleep(200 * time.Millisecond)
			if i == 2 {
				m.kill(m.running()[0])
			}
		}
	}},
	"the store is away and VMs are killed": {vms: 5, play: func(ctx context.Context, m *versionSite) {
		m.store.setAway(true)
		m.restart(ctx, 500*time.Millisecond, m.running()[:3]...)
		time.Sleep(2 * time.Second)
		m.store.setAway(false)
	}},
	"datagrams are lost and VMs are killed": {vms: 5, play: func(_ context.Context, m *versionSite) {
		m.mu.Lock()
		m.loss = 0.1
		m.mu.Unlock()
		time.Sleep(2 * time.Second)
		vms := m.running()
		m.kill(vms[0])
		m.kill(vms[1])
	}},
}

// playVersions plays a scenario with a design.
func playVersions(t *testing.T, s versionScenario, design versionDesign) (results versionResults) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer func() {
			stop()
			time.Sleep(time.Minute) // what is in progress ends
		}()
		m := newVersionSite(design)
		if s.prepare == nil {
			s.prepare = twoVersions
		}
		s.prepare(m)
		m.startVMs(ctx, s.vms)
		perSecond := s.perSecond
		if perSecond == 0 {
			perSecond = 12
		}
		go func() {
			time.Sleep(8 * time.Second)
			s.play(ctx, m)
		}()
		m.call(ctx, perSecond, 16*time.Second)
		results = m.results
	})
	return results
}

// Guards against a stream whose caller comes back and that goes on at another version than
// the one that began it, and against a caller that is refused although its version serves.
func TestReturningCallersGoOnAtTheirVersion(t *testing.T) {
	for name, s := range versionScenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if raceDetector && s.vms > smallSite {
				s.vms, s.perSecond = smallSite, 0 // .ci/run plays the large site without the detector
			}
			sum := playVersions(t, s, versionDesign{peers: true, store: true})
			if s.vms <= smallSite && !raceDetector {
				sum = sum.plus(playVersions(t, s, versionDesign{peers: true, store: true}))
			}
			t.Logf("%v", sum)
			g := gomega.NewWithT(t)
			g.Expect(sum.mixed).To(gomega.BeZero(), "%v", sum)
			// The platform asks for half of the share of new streams that begin, where two
			// servers of the version serve. Where what VMs knew has survived, all go on.
			share, begin := float64(sum.wentOn)/float64(max(1, sum.returned)), float64(sum.begun)/float64(sum.attempted)
			want := 0.95
			if s.lost {
				want = 0.5
			}
			if sum.returned > 0 {
				g.Expect(share).To(gomega.BeNumerically(">=", want*begin), "%v", sum)
			}
		})
	}
}

func (r versionResults) plus(o versionResults) versionResults {
	r.attempted += o.attempted
	r.begun += o.begun
	r.whole += o.whole
	r.returned += o.returned
	r.wentOn += o.wentOn
	r.mixed += o.mixed
	r.refused += o.refused
	if r.failures == nil {
		r.failures = map[string]int{}
	}
	for why, n := range o.failures {
		r.failures[why] += n
	}
	return r
}

// String implements fmt.Stringer.
func (r versionResults) String() string {
	return fmt.Sprintf("%d streams, %d begun, %d whole; %d callers came back, %d went on, %d refused for the version; %d with events of two versions; %v",
		r.attempted, r.begun, r.whole, r.returned, r.wentOn, r.refused, r.mixed, r.failures)
}
