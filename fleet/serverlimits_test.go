package fleet

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/exchange"
)

// limitCases are sites with servers that name limits: a small site as in the record, with
// part and all of its servers limited, below one request a second, and larger ones.
var limitCases = []struct {
	vms, servers, limited int
	limit, perSecond      float64
}{
	{4, 4, 2, 2.6, 36},
	{4, 4, 4, 2.6, 36},
	{4, 4, 2, 0.5, 36},
	{3, 24, 24, 0.4, 30},
	{31, 4, 2, 8, 115},
	{31, 4, 4, 0.3, 115},
	{300, 40, 20, 3, 200},
}

// expectWithinLimits expects that no server got more than its limit allows.
func (m *limitSite) expectWithinLimits(g *gomega.WithT) {
	for id, s := range m.servers {
		if s.limit >= 0 {
			g.Expect(float64(s.mostInSpan())).To(gomega.BeNumerically("<=", s.allowedInSpan()), id)
		}
	}
}

func (m *limitSite) nameLimits(servers int, limit float64) {
	for _, id := range m.ids[:servers] {
		m.servers[id].nameLimit(limit)
	}
}

// Guards against servers that get more than the limit that they name, by the VMs together.
func TestLimitThatServersNameHolds(t *testing.T) {
	for _, c := range limitCases {
		if raceDetector && c.vms > 100 {
			continue // .ci/run runs it without the race detector
		}
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newLimitSite(t, c.vms, c.servers)
				m.call(t, c.perSecond, 3*time.Second)
				m.nameLimits(c.limited, c.limit)
				m.call(t, c.perSecond, 12*time.Second)
				m.expectWithinLimits(gomega.NewWithT(t))
			})
		})
	}
}

// Guards against calls that are refused although servers without a limit have room.
func TestOtherServersTakeTheWorkOfLimitedOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		m := newLimitSite(t, 4, 4)
		m.call(t, 36, 3*time.Second)
		m.nameLimits(2, 2.6)
		g.Expect(m.call(t, 36, 12*time.Second).refused).To(gomega.BeZero())
	})
}

// Guards against calls that wait for servers that are all at their limits, against a
// Retry-After that makes all of them come back at once, and against limits that are not
// used although callers ask.
func TestCallsAreRefusedAtOnceWhenAllServersAreAtTheirLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		m := newLimitSite(t, 4, 4)
		m.call(t, 36, 3*time.Second)
		m.nameLimits(4, 3)
		m.call(t, 36, 4*time.Second)
		out := m.call(t, 36, 20*time.Second)
		g.Expect(float64(out.served)).To(gomega.BeNumerically(">=", 0.7*4*3*20))
		g.Expect(out.refused).To(gomega.BeNumerically(">", 100))
		g.Expect(out.slowest).To(gomega.BeNumerically("<", 10*time.Millisecond))
		spread := map[time.Duration]bool{}
		for _, f := range out.failures {
			g.Expect(errors.Is(f, exchange.ErrServerLimits)).To(gomega.BeTrue())
			g.Expect(f.Ran).To(gomega.BeFalse())
			g.Expect(f.By).To(gomega.Equal(exchange.EndedByLimit))
			spread[f.RetryAfter.Round(100*time.Millisecond)] = true
		}
		g.Expect(len(spread)).To(gomega.BeNumerically(">", 10))
	})
}

// Guards against a restarted VM that does not know what its former process sent, and
// against VMs that are cut off from each other and each use the whole limit.
func TestLimitHoldsThroughRestartsAndCuts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		m := newLimitSite(t, 4, 4)
		m.call(t, 36, 3*time.Second)
		m.nameLimits(4, 2.6)
		for i := range 8 {
			m.call(t, 36, time.Second)
			m.restart(t, i%4)
		}
		m.setCut(true)
		m.call(t, 36, 8*time.Second)
		m.setCut(false)
		m.call(t, 36, 4*time.Second)
		m.expectWithinLimits(g)
	})
}

// Guards against a server that gets nothing any more after it has named a limit, so that
// nobody learns that it has recovered.
func TestServerIsUsedAgainAfterItsLimit(t *testing.T) {
	for _, limit := range []float64{0, 0.05, 2.6} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				m := newLimitSite(t, 4, 4)
				m.call(t, 36, 3*time.Second)
				m.nameLimits(1, limit)
				m.call(t, 36, 10*time.Second)
				m.nameLimits(1, -1)
				m.call(t, 36, 15*time.Second)
				recovered := time.Now()
				m.call(t, 36, 5*time.Second)
				g.Expect(m.servers[m.ids[0]].countSince(recovered)).To(gomega.BeNumerically(">", 20))
			})
		})
	}
}

// Guards against a VM that learns of a limit only from its own requests, and against a limit
// that changes by being told.
func TestLimitIsToldToOtherVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		m := newLimitSite(t, 4, 4)
		time.Sleep(time.Second)
		m.vms[0].dir.View().Service("s")[0].ReportRateLimit(2.6, time.Now())
		time.Sleep(minSendInterval + 2*linkDelay)
		for _, vm := range m.vms {
			g.Expect(vm.dir.View().Service("s")[0].RateLimit().PerSecond).To(gomega.Equal(2.6))
		}
	})
}

// Guards against counts that are dropped because there are more servers with limits than fit
// into a datagram.
func TestCountsOfManyServersAreReported(t *testing.T) {
	for _, servers := range []int{maxTryCounts - 1, maxTryCounts, maxTryCounts + 1, 2*maxTryCounts + 50} {
		t.Run(fmt.Sprint(servers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				m := newLimitSite(t, 2, servers)
				list := m.vms[0].dir.View().Service("s")
				for range 2 { // a second report replaces the first one
					for _, s := range list {
						s.ReportRateLimit(1000, time.Now())
						g.Expect(m.vms[0].limits.Take(s)).To(gomega.BeTrue())
					}
					time.Sleep(limitWindow)
				}
				for _, s := range list {
					g.Expect(m.vms[0].limits.Take(s)).To(gomega.BeTrue())
				}
				time.Sleep(resendInterval + 2*minSendInterval)
				bounds := m.vms[1].limits.bounds
				bounds.mu.Lock()
				defer bounds.mu.Unlock()
				counts := bounds.peers[m.vms[0].address].counts
				g.Expect(counts).To(gomega.HaveLen(servers))
				for _, c := range counts {
					g.Expect(c.retries).To(gomega.BeEquivalentTo(1))
				}
			})
		})
	}
}

func FuzzDecodeServerLimits(f *testing.F) {
	f.Add(encodeServerLimits([]reportedLimit{{1, true, 2.5, time.Second}, {server: 2}}).raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		list, ok := decodeServerLimits(raw)
		for _, r := range list {
			if !(r.perSecond >= 0) || r.age < 0 {
				t.Fatalf("%x became %+v", raw, r)
			}
		}
		if ok && len(list) != len(raw)/reportedLimitBytes {
			t.Fatalf("%x became %d limits", raw, len(list))
		}
	})
}
