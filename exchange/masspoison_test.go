package exchange

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

const (
	// copyStagger is the time between the first arrivals of two copies of a content.
	copyStagger = 230 * time.Millisecond
	// insistTime is how long the callers of poisoned requests come back.
	insistTime = 20 * time.Second
	// lateAfter is when a request that has crashed modelCrashLimit servers must be known to
	// all VMs, and lateSendLimit how many times it may reach a server later.
	lateAfter     = 3 * time.Second
	lateSendLimit = 3
)

// massPoison is a play in which so many poisoned requests arrive that they crash whole
// zones.
type massPoison struct {
	servers, contents, copies int
	delay                     time.Duration // from a request's arrival at a server to the crash
}

func (p massPoison) String() string {
	return fmt.Sprintf("%d-servers-%dx%d-after-%v", p.servers, p.contents, p.copies, p.delay)
}

// insistCopies sends copies of each of some poisoned contents by insist, each copy at another
// VM and a moment after the one before. It returns the names of the contents.
func (m *crashModel) insistCopies(t *testing.T, contents, copies int) []string {
	var callers sync.WaitGroup
	var names []string
	for i := range contents {
		name := fmt.Sprint(poisonName, i)
		names = append(names, name)
		for j := range copies {
			callers.Go(func() {
				time.Sleep(time.Duration(i)*modelStagger + time.Duration(j)*copyStagger)
				m.insist(t, name, i+j, insistTime)
			})
		}
	}
	callers.Wait()
	return names
}

// Guards against poisoned requests that crash so many servers of a zone that the zone counts
// as lost, which excuses them.
func TestPoisonThatCrashesWholeZonesIsQuarantined(t *testing.T) {
	for _, play := range []massPoison{
		{16, 1, 4, 60 * time.Millisecond}, {16, 3, 12, 800 * time.Millisecond}, {16, 8, 12, modelCrashDelay},
		{36, 1, 12, 60 * time.Millisecond}, {36, 3, 4, 60 * time.Millisecond}, {36, 8, 12, modelCrashDelay}, {80, 3, 4, 60 * time.Millisecond},
	} {
		t.Run(play.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				m := newCrashModel(t, play.servers, play.delay)
				for _, name := range m.insistCopies(t, play.contents, play.copies) {
					g.Expect(m.poison.sentLate(name, lateAfter)).To(gomega.BeNumerically("<=", lateSendLimit), name)
				}
			})
		})
	}
}

// Guards against poisoned requests that are excused because the entries of the servers that
// they crash are removed at once, which looks like a planned end.
func TestPoisonOnServersWhoseEntriesAreRemovedIsQuarantined(t *testing.T) {
	for _, delay := range []time.Duration{60 * time.Millisecond, modelCrashDelay} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				m := newCrashModel(t, 36, delay)
				for _, e := range m.engines.engines {
					e.unlists = true
				}
				for _, name := range m.insistCopies(t, 3, 4) {
					g.Expect(m.poison.sentLate(name, lateAfter)).To(gomega.BeNumerically("<=", lateSendLimit), name)
				}
			})
		})
	}
}

// Guards against copies of a poisoned request that are sent on while it is not known yet
// whether they or the loss of a zone crashed their servers.
func TestCopiesOfAccusedRequestRunOneByOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		m := newCrashModel(t, 36, modelCrashDelay)
		names := m.insistCopies(t, 3, 12)
		for _, name := range names {
			third := m.poison.crashes[name][modelCrashLimit-1]
			known := third.Add(DefaultProbeTimeout)
			for i, at := range m.poison.sent[name] {
				running := 0
				for _, other := range m.poison.sent[name][:i] {
					if at.Sub(other) < modelCrashDelay {
						running++
					}
				}
				if at.After(known) {
					g.Expect(running).To(gomega.BeZero(), "%s was sent %v after its third crash beside other copies", name, at.Sub(third))
				}
			}
		}
	})
}

// Guards against sound streams, and content that many callers send, that are quarantined
// beside poisoned requests which crash whole zones.
func TestMassPoisonQuarantinesNoSoundRequest(t *testing.T) {
	for _, play := range []massPoison{{80, 3, 12, 800 * time.Millisecond}, {80, 8, 12, modelCrashDelay}, {160, 8, 12, 60 * time.Millisecond}} {
		t.Run(play.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				m := newCrashModel(t, play.servers, play.delay)
				var callers sync.WaitGroup
				var sound []string
				callers.Go(func() { m.insistCopies(t, play.contents, play.copies) })
				callers.Go(func() { sound, _ = m.playSound(t, every(100*time.Millisecond, 150)) })
				callers.Go(func() { m.playRepeated(t, "popular", every(500*time.Millisecond, 30)) })
				callers.Wait()
				g.Expect(m.quarantinedSound(append(sound, "popular"))).To(gomega.BeEmpty())
			})
		})
	}
}

// Guards against content that many callers send which is quarantined, or held back for
// long, because many copies of it ran in zones that were lost.
func TestLossOfZonesQuarantinesNoRepeatedRequest(t *testing.T) {
	for _, servers := range []int{36, 160} {
		t.Run(fmt.Sprint(servers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				m := newCrashModel(t, servers, modelCrashDelay)
				go m.loseZonesInTurn(0.99, 2500*time.Millisecond, "a", "b", "c")
				served := m.playRepeated(t, "popular", every(200*time.Millisecond, 75))
				g.Expect(m.quarantinedSound([]string{"popular"})).To(gomega.BeEmpty())
				g.Expect(served).To(gomega.BeNumerically(">=", 72), "of 75")
			})
		})
	}
}

// playRepeated sends the same content at the given times to the VMs in turn, as many callers
// do with a popular prompt, and waits for the ends. It returns how many were served.
func (m *crashModel) playRepeated(t *testing.T, content string, arrivals []time.Duration) int {
	var callers sync.WaitGroup
	var served atomic.Int32
	for i, at := range arrivals {
		callers.Go(func() {
			time.Sleep(at)
			req := modelRequest(content)
			req.ID = fmt.Sprint(content, i)
			if _, err := m.vms[i%len(m.vms)].Stream(t.Context(), req, &recordingSink{start: time.Now()}); err == nil {
				served.Add(1)
			}
		})
	}
	callers.Wait()
	return int(served.Load())
}
