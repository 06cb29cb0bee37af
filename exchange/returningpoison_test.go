package exchange

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// returnInterval is longer than any window within which crashes are compared.
const returnInterval = 12 * time.Second

// Guards against a poisoned request that crashes all servers of a zone each time it comes,
// which excuses the crashes, and comes so rarely that they are forgotten.
func TestPoisonThatReturnsAfterPausesIsQuarantined(t *testing.T) {
	for _, ids := range [][]string{{"a0", "a1", "a2"}, {"a0", "a1", "a2", "a3", "a4", "a5"}} {
		t.Run(fmt.Sprint(len(ids)), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				m := newCrashModelOf(t, ids, 60*time.Millisecond)
				name := poisonName + "0"
				for i := range 5 {
					_, err := m.vms[i%len(m.vms)].Stream(t.Context(), modelRequest(name), &recordingSink{start: time.Now()})
					g.Expect(err).To(gomega.HaveOccurred())
					time.Sleep(returnInterval)
				}
				g.Expect(m.poison.sentLate(name, lateAfter)).To(gomega.BeNumerically("<=", lateSendLimit))
			})
		})
	}
}

// Guards against a sound request that is quarantined because its zone was lost each time it
// came, with pauses in between.
func TestRequestWhoseZoneIsLostEachTimeIsNotQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		m := newCrashModelOf(t, []string{"a0", "a1", "a2"}, modelCrashDelay)
		for i := range 5 {
			go func() {
				time.Sleep(500 * time.Millisecond)
				m.loseZone("a", 1, 2*time.Second)
			}()
			_, _ = m.vms[i%len(m.vms)].Stream(t.Context(), modelRequest("sound"), &recordingSink{start: time.Now()})
			time.Sleep(returnInterval)
		}
		g.Expect(m.quarantinedSound([]string{"sound"})).To(gomega.BeEmpty())
	})
}
