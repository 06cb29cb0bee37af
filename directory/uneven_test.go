package directory

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

const (
	unevenLoad   = 0.3 // streams per second and server; with only servers of the slowest kind, streams would miss the deadline
	unevenFor    = 30 * time.Second
	learningTime = 10 * time.Second        // until the servers' speeds are known
	objective    = 4500 * time.Millisecond // for a stream's first event
	deadline     = 25 * time.Second        // for its last one
)

// Servers of three speeds get a load that they can bear, at three sizes. Guards against
// slow servers that get so much work that their streams miss the deadline while fast ones
// have room.
func TestServersOfUnevenSpeedServeInTime(t *testing.T) {
	uneven := []float64{1, 1.6, 2.2}
	for name, slowness := range map[string]func(i int) float64{
		"even":   func(int) float64 { return 1 },
		"uneven": func(i int) float64 { return uneven[i%len(uneven)] },
	} {
		for _, vms := range []int{18, 103, 400} {
			t.Run(fmt.Sprint(name, " speeds, ", vms, " VMs"), func(t *testing.T) {
				if raceEnabled && vms > 103 {
					t.Skip("takes minutes under the race detector; .ci/run runs it without")
				}
				synctest.Test(t, func(t *testing.T) {
					site := newModelSite(vms, 3.5, slowness)
					site.arrive(unevenLoad, unevenFor)
					begun := time.Now()
					site.run()
					late, failed, all := site.outcomes(begun.Add(learningTime))
					t.Logf("%d streams, %d late, %d incomplete at the deadline", all, late, failed)
					g := gomega.NewWithT(t)
					g.Expect(failed).To(gomega.BeNumerically("<=", all/200))
					g.Expect(late).To(gomega.BeNumerically("<=", all/20))
				})
			})
		}
	}
}

// outcomes counts the streams that began since a time: all of them, those whose first
// event came late, and those that were incomplete at their deadline.
func (m *modelSite) outcomes(from time.Time) (late, failed, all int) {
	for _, s := range m.streams {
		if s.begun.Before(from) {
			continue
		}
		all++
		switch {
		case s.completed > deadline:
			failed++
		case s.firstEvent > objective:
			late++
		}
	}
	return late, failed, all
}
