package exchange

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// returnInterval is the pause between two arrivals of a request. It is longer than the time within
// which crashes are compared to tell the loss of a zone.
const returnInterval = 12 * time.Second

// Guards against a poisoned request that crashes all servers of a zone each time it comes, which
// excuses the crashes, and is judged as if it were new after each pause.
func TestPoisonThatReturnsAfterPausesIsQuarantined(t *testing.T) {
	threeServers, sixServers := []string{"a0", "a1", "a2"}, []string{"a0", "a1", "a2", "a3", "a4", "a5"}
	for _, play := range []struct {
		ids    []string
		pause  time.Duration
		copies int
	}{
		{threeServers, returnInterval, 1}, {threeServers, returnInterval, 3}, {threeServers, 130 * time.Second, 1},
		{sixServers, returnInterval, 1}, {sixServers, returnInterval, 3},
	} {
		t.Run(fmt.Sprint(len(play.ids), " servers, every ", play.pause, ", copies ", play.copies), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				m := newCrashModelOf(t, play.ids, 60*time.Millisecond)
				name := poisonName + "0"
				for i := range 5 {
					for j := range play.copies {
						go func() {
							_, _ = m.vms[(i+j)%len(m.vms)].Stream(t.Context(), modelRequest(name), &recordingSink{start: time.Now()})
						}()
					}
					time.Sleep(play.pause)
				}
				g.Expect(m.poison.sentLate(name, lateAfter)).To(gomega.BeNumerically("<=", lateSendLimit))
			})
		})
	}
}

// Guards against a sound request that is quarantined because its zone was lost each time it
// came, with pauses in between.
func TestRequestWhoseZoneIsLostEachTimeIsNotQuarantined(t *testing.T) {
	for _, ids := range [][]string{{"a0", "a1", "a2"}, modelServers(36)} {
		t.Run(fmt.Sprint(len(ids)), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				m := newCrashModelOf(t, ids, modelCrashDelay)
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
		})
	}
}
