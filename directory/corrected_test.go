package directory

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a process that was taken for the restart of another service's server, and stays so though the store
// lists it under its own.
func TestListCorrectsTheServiceOfAServer(t *testing.T) {
	for name, born := range map[string]int64{"start time known": 7, "not known": 0} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			d, now := withServers("a1"), time.Now()
			g.Expect(d.RecordRestart(d.server("a1"), Start{ID: "x", Born: born}, now)).To(gomega.BeTrue())
			wrong := d.server("x")
			own := Listing{ID: "x", Born: born, Service: "other", Address: wrong.Address, Zone: "a"}
			d.Apply(2, []Listing{own}, true, now)
			g.Expect(d.View().Service("other")).To(gomega.HaveLen(1))
			g.Expect(d.Pick(Query{Service: "other"}, now) == nil).To(gomega.BeFalse())
			for _, s := range d.View().Service("s") {
				g.Expect(s.ID).NotTo(gomega.Equal("x"))
			}
			g.Expect(d.Usable(wrong, now)).To(gomega.BeFalse(), "for what waits at it")
		})
	}
}

// Guards against a server that is known anew, without its load and measurements, each time that its entry is written.
func TestListKeepsAServerThatItDescribesAsBefore(t *testing.T) {
	g := gomega.NewWithT(t)
	d, now := withServers("a1"), time.Now()
	g.Expect(d.RecordRestart(d.server("a1"), Start{ID: "a2", Born: 7}, now)).To(gomega.BeTrue())
	s := d.server("a2")
	own := s.toListing()
	own.Version, own.Slots = "v2", 5
	d.Apply(2, []Listing{own}, false, now)
	g.Expect(d.server("a2") == s).To(gomega.BeTrue())
}
