package directory

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a server that is chosen in its rest because all others have drawbacks or are
// lost, and against a rest that a shorter one, a success or another start's answer ends.
func TestRestIsABarNotADrawback(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		d := withStarts(Start{"a1", 100}, Start{"a2", 100})
		pick := func() string {
			if s := d.Pick(Query{Service: "s"}, time.Now()); s != nil {
				return s.ID
			}
			return ""
		}
		resting, other := d.server("a1"), d.server("a2")
		resting.ReportRest(3*time.Second, time.Now())
		for range 20 {
			g.Expect(pick()).To(gomega.Equal("a2"))
		}
		other.MarkLost(time.Now())
		g.Expect(pick()).To(gomega.BeEmpty(), "one that is lost is no better")
		until, rest := d.AllRestUntil(Query{Service: "s"}, time.Now())
		g.Expect(rest).To(gomega.BeTrue())
		g.Expect(time.Until(until)).To(gomega.Equal(3 * time.Second))
		time.Sleep(time.Second)
		_, isNew := resting.ReportRest(time.Second, time.Now())
		g.Expect(isNew).To(gomega.BeFalse())
		resting.ReportServed(time.Now())
		time.Sleep(2*time.Second - time.Millisecond)
		g.Expect(resting.Resting(time.Now())).To(gomega.BeTrue(), "neither ends it")
		time.Sleep(2 * time.Millisecond)
		g.Expect(pick()).To(gomega.Equal("a1"))
		d.Apply(2, listingsOf(Start{"a1", 200}, Start{"a2", 100}), false, time.Now())
		resting.ReportRest(time.Minute, time.Now())
		g.Expect(d.server("a1").Resting(time.Now())).To(gomega.BeFalse(), "another start begins anew")
	})
}

// Guards against all requests that have waited for a server reaching it at once when its rest
// is over.
func TestServerGetsOneRequestAtATimeAfterItsRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		d := withStarts(Start{"a1", 100})
		s := d.server("a1")
		s.ReportRest(time.Second, time.Now())
		taken := 0
		for range 200 { // two seconds
			if s.TakeTurn(time.Now()) {
				taken++
			}
			time.Sleep(10 * time.Millisecond)
		}
		g.Expect(taken).To(gomega.Equal(int(time.Second / afterRestInterval)))
		s.ReportServed(time.Now())
		g.Expect(s.TakeTurn(time.Now())).To(gomega.BeTrue())
		g.Expect(s.TakeTurn(time.Now())).To(gomega.BeTrue())
	})
}

// Guards against a mistaken value that keeps a sound server idle for as long as it runs.
func TestRestIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	d := withStarts(Start{"a1", 100})
	granted, isNew := d.server("a1").ReportRest(1000*time.Hour, time.Now())
	g.Expect(granted).To(gomega.Equal(maxRest))
	g.Expect(isNew).To(gomega.BeTrue())
	g.Expect(d.server("a1").Resting(time.Now().Add(maxRest + time.Second))).To(gomega.BeFalse())
}
