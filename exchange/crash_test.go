package exchange

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/site"
)

const (
	// modelCrashLimit is how many servers a request may crash; see newModelVM.
	modelCrashLimit = 3
	// maxVerdictDelay is the time from a request's third crash to its quarantine: a probe
	// of the server, the wait for other losses, and a probe of its zone.
	maxVerdictDelay = crashConfirmDelay + 2*DefaultProbeTimeout
)

// Guards against a run under way that goes on to further servers after its request was
// quarantined.
func TestQuarantineEndsRunUnderWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		m := newCrashModel(t, 160, modelCrashDelay)
		name := m.insistAll(t, 1, 20*time.Second)[0]
		g.Expect(m.poison.crashCount(name)).To(gomega.Equal(modelCrashLimit))
	})
}

// Guards against copies of a poisoned request, under way at several VMs, that go on after
// it was quarantined.
func TestQuarantineEndsCopiesUnderWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		m := newCrashModel(t, 36, modelCrashDelay)
		var callers sync.WaitGroup
		name := poisonName + "0"
		for i := range 5 {
			callers.Go(func() {
				time.Sleep(time.Duration(i) * 800 * time.Millisecond)
				m.insist(t, name, i, 20*time.Second)
			})
		}
		callers.Wait()
		g.Expect(m.verdictDelay(name)).To(gomega.BeNumerically("<", maxVerdictDelay))
		g.Expect(m.poison.sentLate(name, maxVerdictDelay)).To(gomega.BeZero())
	})
}

// Guards against poisoned requests that excuse each other because they crash servers of
// one zone at about the same time.
func TestPoisonedRequestsAtOnceAreQuarantined(t *testing.T) {
	for _, count := range []int{3, 8, 16} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				m := newCrashModel(t, 160, modelCrashDelay)
				for _, name := range m.insistAll(t, count, 20*time.Second) {
					g.Expect(m.verdictDelay(name)).To(gomega.BeNumerically("<", maxVerdictDelay), name)
					g.Expect(m.poison.sentLate(name, maxVerdictDelay)).To(gomega.BeZero(), name)
				}
			})
		})
	}
}

// Guards against sound streams that are quarantined because three zones in which they ran
// were lost one after the other.
func TestLossOfThreeZonesQuarantinesNoSoundRequest(t *testing.T) {
	for _, share := range []float64{0.85, 0.99} {
		t.Run(fmt.Sprint(share), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				m := newCrashModel(t, 160, modelCrashDelay)
				go m.loseZonesInTurn(share, 2500*time.Millisecond, "a", "b", "c")
				names, _ := m.playSound(t, every(50*time.Millisecond, 160))
				g.Expect(m.quarantinedSound(names)).To(gomega.BeEmpty())
			})
		})
	}
}

// Guards against poisoned requests that are excused by the losses of zones beside them,
// and against sound streams that are quarantined with them.
func TestPoisonedRequestsBesideZoneLosses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		m := newCrashModel(t, 160, modelCrashDelay)
		var callers sync.WaitGroup
		var poisoned, sound []string
		callers.Go(func() { poisoned = m.insistAll(t, 4, 20*time.Second) })
		callers.Go(func() { sound, _ = m.playSound(t, every(100*time.Millisecond, 150)) })
		go m.loseZonesInTurn(0.9, 6500*time.Millisecond, "a", "b", "c")
		callers.Wait()
		for _, name := range poisoned {
			g.Expect(m.verdictDelay(name)).To(gomega.BeNumerically("<", maxVerdictDelay), name)
			g.Expect(m.poison.sentLate(name, maxVerdictDelay)).To(gomega.BeZero(), name)
		}
		g.Expect(m.quarantinedSound(sound)).To(gomega.BeEmpty())
	})
}

// Guards against sound streams that are quarantined because they ran beside poisoned
// requests on several servers.
func TestStreamsBesidePoisonedRequestsAreNotQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		m := newCrashModel(t, 36, modelCrashDelay)
		var callers sync.WaitGroup
		var sound []string
		callers.Go(func() { m.insistAll(t, 6, 20*time.Second) })
		callers.Go(func() { sound, _ = m.playSound(t, every(110*time.Millisecond, 160)) })
		callers.Wait()
		g.Expect(m.quarantinedSound(sound)).To(gomega.BeEmpty())
	})
}

// loseZonesInTurn takes a share of the servers of each zone down for two seconds, one zone
// after the other.
func (m *crashModel) loseZonesInTurn(share float64, gap time.Duration, zones ...string) {
	for _, zone := range zones {
		time.Sleep(gap)
		m.loseZone(zone, share, 2*time.Second)
	}
}

// loseZone takes a share of a zone's servers down at the same moment.
func (m *crashModel) loseZone(zone string, share float64, down time.Duration) {
	var ids []string
	for _, id := range m.ids {
		if strings.HasPrefix(id, zone) {
			ids = append(ids, id)
		}
	}
	for _, id := range ids[:int(share*float64(len(ids)))] {
		e := m.engines.engines[id]
		e.crash()
		time.AfterFunc(down, e.revive)
	}
}

// Guards against a plain call that is sent to further servers after it was quarantined.
func TestQuarantinedCallIsNotRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(nil)
		req := request(site.Idempotent)
		b.backend.scripts = everywhere(func(context.Context, *Attempt) (*Answer, error) {
			for i := range modelCrashLimit {
				b.suspects.RecordWeightedDeath(fmt.Sprint("death", i), req.Fingerprint(), false)
			}
			return nil, &BrokenError{Err: io.ErrUnexpectedEOF}
		})
		_, err := b.Call(t.Context(), req)
		var failure *Failure
		g.Expect(errors.As(err, &failure)).To(gomega.BeTrue())
		g.Expect(errors.Is(failure, ErrQuarantined)).To(gomega.BeTrue())
		g.Expect(failure.Ran).To(gomega.BeTrue())
		g.Expect(b.backend.sent()).To(gomega.HaveLen(1))
	})
}

// Guards against calls with the same content, such as an organisation's lookups, that are
// quarantined because servers crashed now and then while one of them ran.
func TestAnsweredCallClearsCrashesUnderItsContent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(everywhere(answers(http.StatusOK, "ok", time.Millisecond)))
		for i := range 2 * modelCrashLimit {
			req := request(site.Idempotent)
			_, err := b.Call(t.Context(), req)
			g.Expect(err).NotTo(gomega.HaveOccurred(), "call %d", i)
			b.suspects.RecordWeightedDeath(fmt.Sprint("death", i), req.Fingerprint(), false)
		}
	})
}
