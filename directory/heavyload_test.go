package directory

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

func evenSpeed(int) float64 { return 1 }

// expectServedInTime runs the site until all streams have ended: none may miss its
// deadline, and at most one in 20 may begin late.
func expectServedInTime(t *testing.T, site *modelSite) {
	t.Helper()
	begun := time.Now()
	site.run()
	late, failed, all := site.outcomes(begun)
	t.Logf("%d streams, %d late, %d incomplete at the deadline", all, late, failed)
	g := gomega.NewWithT(t)
	g.Expect(failed).To(gomega.BeZero())
	g.Expect(late).To(gomega.BeNumerically("<=", all/20))
}

// Every 3.2 s another zone of 60 servers loses 55 of them, and 103 VMs choose at once
// where its streams continue. Guards against streams that pile up on the same servers
// while others are idle.
func TestStreamsOfALostZoneAreServedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			every    = 3200 * time.Millisecond
			downtime = 1200 * time.Millisecond
			servers  = 55
		)
		site := newModelSite(103, 3.5, evenSpeed)
		site.arrive(unevenLoad, unevenFor)
		for i := 1; time.Duration(i)*every < unevenFor; i++ {
			zone := string(rune('a' + i%modelZones))
			site.after(time.Duration(i)*every, func() { site.lose(zone, servers, downtime) })
		}
		expectServedInTime(t, site)
	})
}

// All VMs were down; they know no load when all callers come back within a second, two
// for each server. Guards against VMs that send them to the same servers.
func TestAllCallersThatComeBackAreServedInTime(t *testing.T) {
	for _, vms := range []int{18, 103, 400} {
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				site := newModelSite(vms, 3.5, evenSpeed)
				site.arrive(2, time.Second)
				expectServedInTime(t, site)
			})
		})
	}
}
