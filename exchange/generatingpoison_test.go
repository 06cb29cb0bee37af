package exchange

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a poisoned request that sends events before each crash: the events clear
// what accuses it, and its copies' crashes excuse each other as the loss of a zone.
func TestPoisonThatGeneratesIsQuarantined(t *testing.T) {
	twoZones := []string{"a0", "a1", "b0", "b1"}
	for _, play := range []struct {
		ids              []string
		contents, copies int
		delay            time.Duration
		events           int // of the whole stream
	}{
		{twoZones, 1, 1, 2500 * time.Millisecond, 130},
		{twoZones, 1, 1, 2500 * time.Millisecond, 1000},
		{twoZones, 1, 3, 2500 * time.Millisecond, 130},
		{twoZones, 1, 3, 2500 * time.Millisecond, 1000},
		{modelServers(16), 1, 3, 500 * time.Millisecond, 130},
		{modelServers(16), 1, 3, 500 * time.Millisecond, 1000},
		{modelServers(16), 1, 5, 2500 * time.Millisecond, 130},
		{modelServers(16), 1, 5, 2500 * time.Millisecond, 1000},
		{modelServers(16), 3, 12, 2500 * time.Millisecond, 130},
		{modelServers(16), 3, 12, 2500 * time.Millisecond, 1000},
		{modelServers(36), 3, 4, 1500 * time.Millisecond, 130},
		{modelServers(36), 3, 4, 1500 * time.Millisecond, 1000},
		{modelServers(36), 8, 12, 500 * time.Millisecond, 130},
		{modelServers(36), 8, 12, 500 * time.Millisecond, 1000},
	} {
		name := fmt.Sprint(massPoison{len(play.ids), play.contents, play.copies, play.delay}, "-of-", play.events)
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				m := newCrashModelOf(t, play.ids, play.delay)
				m.poison.generates = true
				m.engines.length = func(string) int { return play.events }
				for _, name := range m.insistCopies(t, play.contents, play.copies) {
					t.Log(name, "crashes", m.poison.crashCount(name), "late", m.poison.sentLate(name, lateAfter))
					g.Expect(m.poison.sentLate(name, lateAfter)).To(gomega.BeNumerically("<=", lateSendLimit), name)
				}
			})
		})
	}
}
