package directory

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a limit that ends because an answer to an earlier request arrives late.
func TestEarlierAnswerDoesNotEndALimit(t *testing.T) {
	g := gomega.NewWithT(t)
	s := withServers("a1").server("a1")
	now := time.Now()
	s.ReportRateLimit(2, now)
	s.ReportNoRateLimit(now.Add(-time.Second), now.Add(time.Millisecond))
	g.Expect(s.RateLimit().Limited).To(gomega.BeTrue())
	s.ReportNoRateLimit(now.Add(time.Second), now.Add(2*time.Second))
	g.Expect(s.RateLimit().Limited).To(gomega.BeFalse())
}

// Guards against an old report of a peer that names a limit again which has ended.
func TestOldReportOfAPeerDoesNotNameALimit(t *testing.T) {
	g := gomega.NewWithT(t)
	d := withServers("a1")
	s := d.server("a1")
	now := time.Now()
	d.RecordPeerRateLimit(s.startHash, RateLimit{Limited: true, PerSecond: 2, At: now})
	g.Expect(s.RateLimit().PerSecond).To(gomega.Equal(2.0))
	s.ReportNoRateLimit(now.Add(time.Millisecond), now.Add(2*time.Millisecond))
	d.RecordPeerRateLimit(s.startHash, RateLimit{Limited: true, PerSecond: 2, At: now.Add(time.Millisecond)})
	g.Expect(s.RateLimit().Limited).To(gomega.BeFalse())
	g.Expect(d.RateLimits(now.Add(time.Second))).To(gomega.HaveLen(1), "its end is told to peers")
	g.Expect(d.RateLimits(now.Add(2 * liftedLimitTTL))).To(gomega.BeEmpty())
}

// Guards against a limit that a former start of a server has named.
func TestLimitEndsWithTheStart(t *testing.T) {
	g := gomega.NewWithT(t)
	d := withStarts(Start{"a1", 100})
	d.server("a1").ReportRateLimit(2, time.Now())
	d.Apply(2, listingsOf(Start{"a1", 200}), false, time.Now())
	g.Expect(d.server("a1").RateLimit().Limited).To(gomega.BeFalse())
}
