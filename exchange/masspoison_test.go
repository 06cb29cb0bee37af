package exchange

import (
	"fmt"
	"sync"
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
