package directory

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// A zone goes dark. The first of its servers is found lost, and the copies that
// it held are placed again at once, while the other servers of the zone are still
// believed sound: idle, they are the best places. The copies never come about,
// their streams have none left, and the next zone's loss makes their callers wait
// until the prompts are read again.
func TestCopyIsNotPlacedAgainWhereItWasLost(t *testing.T) {
	g := gomega.NewWithT(t)
	d := withServers("a1", "b1", "b2", "b3", "b4", "b5", "b6", "b7", "b8", "c1")
	busy := d.server("c1").StreamBegun(8000)
	defer busy.End()
	now := time.Now().Add(time.Second)
	d.server("b1").Lost(now)
	again := Query{Service: "s", Zone: "a", NotZone: "a", Copy: true, Again: true}
	for range 20 {
		g.Expect(d.Pick(again, now).ID).To(gomega.Equal("c1"))
	}

	t.Run("a server that has answered since is sound", func(t *testing.T) {
		d.server("b5").Heard(now.Add(time.Millisecond))
		gomega.NewWithT(t).Expect(d.Pick(again, now.Add(2*time.Millisecond)).ID).To(gomega.Equal("b5"))
	})
	t.Run("one loss says nothing for long", func(t *testing.T) {
		later := now.Add(zoneUnsure)
		gomega.NewWithT(t).Expect(d.Pick(again, later).Zone).To(gomega.Equal("b"))
	})
	t.Run("elsewhere nothing is left", func(t *testing.T) {
		only := withServers("a1", "b1", "b2")
		only.server("b1").Lost(now)
		gomega.NewWithT(t).Expect(only.Pick(again, now).ID).To(gomega.Equal("b2"))
	})
}
