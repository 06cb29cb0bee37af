package directory

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

func evenSpeed(int) float64 { return 1 }

// expectServedInTime plays what is to come: no stream may miss its deadline, and one in 20
// at most may begin late.
func expectServedInTime(t *testing.T, site *modelSite) {
	t.Helper()
	begun := time.Now()
	site.run()
	late, failed, all := site.outcomes(begun)
	t.Logf("%d streams, %d late, %d not whole in time", all, late, failed)
	g := gomega.NewWithT(t)
	g.Expect(failed).To(gomega.BeZero())
	g.Expect(late).To(gomega.BeNumerically("<=", all/20))
}

// A zone of 60 servers loses 55 of them every 3.2 s, another one each time, and 103 VMs
// decide at once where what ran there goes on. Guards against streams that pile up on the
// same servers while others are idle.
func TestStreamsOfALostZoneAreServedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			every   = 3200 * time.Millisecond
			away    = 1200 * time.Millisecond
			servers = 55
		)
		site := newModelSite(103, 3.5, evenSpeed)
		site.arrive(unevenLoad, unevenFor)
		for i := 1; time.Duration(i)*every < unevenFor; i++ {
			zone := string(rune('a' + i%modelZones))
			site.after(time.Duration(i)*every, func() { site.lose(zone, servers, away) })
		}
		expectServedInTime(t, site)
	})
}

// All VMs were away; they know nothing when all callers come back within a second, two
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
