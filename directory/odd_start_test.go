package directory_test

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/directory"
)

// A peer or a server names a start time that can't be one. Guards against a server that counts
// as ended by it, and whose true starts count as earlier ones.
func TestRestartWithImpossibleStartTime(t *testing.T) {
	for _, born := range []int64{math.MaxInt64, 1 << 44, -1, math.MinInt64} {
		g := gomega.NewWithT(t)
		d := directory.New()
		now := time.Now()
		entry := directory.Listing{ID: "i1", Born: 100, Service: "s", Address: "10.0.0.1:80"}
		d.Apply(1, []directory.Listing{entry}, false, now)
		s := d.View().Service("s")[0]
		for _, id := range []string{"i1", "i2"} {
			g.Expect(d.RecordRestart(s, directory.Start{ID: id, Born: born}, now)).To(gomega.BeFalse())
			g.Expect(d.RecordRestartByHash(s.Hash(), directory.Start{ID: id, Born: born}, now)).To(gomega.BeFalse())
		}
		g.Expect(s.Ended()).To(gomega.BeFalse())
		g.Expect(d.View().Len()).To(gomega.Equal(1))
		entry.Born = 200
		d.Apply(2, []directory.Listing{entry}, false, now)
		g.Expect(d.View().Service("s")[0].Born).To(gomega.BeEquivalentTo(200))
	}
}

// Guards against log lines of 60 KB for each event of a server, and against a version that is cut
// in datagrams and then is that of no server.
func TestLongNamesOfAnEntry(t *testing.T) {
	g := gomega.NewWithT(t)
	long := strings.Repeat("x", 60_000)
	l := directory.Listing{ID: "i1", Service: "s", Address: "10.0.0.1:80", Zone: long, Version: long}.Checked()
	g.Expect(l.Invalid).To(gomega.BeEmpty())
	g.Expect(l.Zone).To(gomega.BeEmpty())
	g.Expect(l.Version).To(gomega.BeEmpty())
	g.Expect(directory.Listing{ID: "i1", Service: long, Address: "10.0.0.1:80"}.Checked().Invalid).NotTo(gomega.BeEmpty())
	l = directory.Listing{ID: "i1", Service: "s", Address: "10.0.0.1:80", Zone: long[:200], Version: long[:200]}.Checked()
	g.Expect(l.Zone + l.Version).To(gomega.HaveLen(400))
}
