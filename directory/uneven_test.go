package directory

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

const (
	unevenLoad  = 0.3 // streams a second at each server, of which the slowest could not read a half
	unevenFor   = 30 * time.Second
	unevenLearn = 10 * time.Second // until the servers' speeds are known
	objective   = 4500 * time.Millisecond
	deadline    = 25 * time.Second
)

// Servers of three speeds serve a load that they can bear, at three sizes. Guards against
// slow servers that get so much that their streams end at the deadline, beside fast ones
// that have room.
func TestServersOfUnevenSpeedServeInTime(t *testing.T) {
	uneven := []float64{1, 1.6, 2.2}
	for name, slowness := range map[string]func(i int) float64{
		"even":   func(int) float64 { return 1 },
		"uneven": func(i int) float64 { return uneven[i%len(uneven)] },
	} {
		for _, vms := range []int{18, 103, 400} {
			t.Run(fmt.Sprint(name, " speeds, ", vms, " VMs"), func(t *testing.T) {
				if raceDetector && vms > 103 {
					t.Skip("takes minutes under the race detector; .ci/run plays it without")
				}
				synctest.Test(t, func(t *testing.T) {
					site := newModelSite(vms, 3.5, slowness)
					site.arrive(unevenLoad, unevenFor)
					begun := time.Now()
					site.run()
					late, failed, all := site.outcomes(begun.Add(unevenLearn))
					t.Logf("%d streams, %d late, %d not whole in time", all, late, failed)
					g := gomega.NewWithT(t)
					g.Expect(failed).To(gomega.BeNumerically("<=", all/200))
					g.Expect(late).To(gomega.BeNumerically("<=", all/20))
				})
			})
		}
	}
}

// outcomes counts the streams that began from a time on: those whose first event came
// late, and those that were not whole at their deadline.
func (m *modelSite) outcomes(from time.Time) (late, failed, all int) {
	for _, s := range m.streams {
		if s.begun.Before(from) {
			continue
		}
		all++
		switch {
		case s.whole > deadline:
			failed++
		case s.first > objective:
			late++
		}
	}
	return late, failed, all
}
