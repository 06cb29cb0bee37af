package directory

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Each row is a query with two candidates, the first of which must be preferred.
func TestScorePrefersFirst(t *testing.T) {
	prompt := Query{Prompt: 8000, Resumable: true}
	for name, c := range map[string]struct {
		query         Query
		first, second candidate
	}{
		"a long prompt avoids a queued prompt":                                             {prompt, candidate{streams: 3}, candidate{queuedTokens: 4000}},
		"a prompt prefers fewer streams, which it delays":                                  {prompt, candidate{streams: 1}, candidate{streams: 2}},
		"a queued prompt is preferred to the stream of a stopping VM":                      {prompt, candidate{queuedTokens: 7000}, candidate{streams: stoppingStreamWeight}},
		"a prompt prefers its cache although streams run there":                            {prompt, candidate{cachedTokens: 7984, streams: 4}, candidate{}},
		"a prompt prefers its cache although a connection broke there":                     {prompt, candidate{cachedTokens: 7984, faults: 1}, candidate{}},
		"a prompt avoids its cache behind two long prompts":                                {prompt, candidate{}, candidate{cachedTokens: 7984, queuedTokens: 16000}},
		"a stream that can't be resumed avoids a failing server":                           {Query{Prompt: 8000}, candidate{queuedTokens: 7000}, candidate{faults: 1}},
		"a copy avoids other copies":                                                       {Query{Prompt: 8000, Copy: true}, candidate{streams: 1}, candidate{copies: 1}},
		"a plain call prefers fewer calls, including those reported by the server":         {Query{}, candidate{calls: 1}, candidate{reportedCalls: 1.5}},
		"a plain call avoids a server that has just failed":                                {Query{}, candidate{calls: 5}, candidate{faults: 1}},
		"a stream after a loss prefers a queued prompt to another partition":               {Query{Prompt: 8000, AfterDisruption: true}, candidate{queuedTokens: 7000}, candidate{outsidePartition: true}},
		"a prompt prefers a fast server with streams to an idle one that is twice as slow": {prompt, candidate{streams: 4, slowness: 0.8}, candidate{slowness: 2}},
		"a prompt prefers an idle slow server to a fast one with a prompt and streams":     {prompt, candidate{slowness: 1.6}, candidate{queuedTokens: 8000, streams: 4, slowness: 0.8}},
		"a prompt prefers an idle server of another zone":                                  {prompt, candidate{otherZone: true}, candidate{streams: 1}},
		"a prompt prefers the own zone among equal servers":                                {prompt, candidate{}, candidate{otherZone: true}},
		"a plain call prefers calls ahead to a disturbed idle server":                      {Query{}, candidate{calls: 4, slots: 6}, candidate{disturbance: 1.5, slots: 6}},
		"a plain call prefers a disturbed server to one with far more calls":               {Query{}, candidate{disturbance: 1.5, slots: 6}, candidate{calls: 6, slots: 6}},
		"a plain call avoids calls on a disturbed server":                                  {Query{}, candidate{calls: 2, disturbance: 0.5, slots: 6}, candidate{calls: 3, disturbance: 0.5, slots: 6}},
		"a prompt avoids a disturbed server":                                               {prompt, candidate{streams: 1}, candidate{disturbance: 0.5}},
		"a prompt prefers a disturbed server to a queued prompt":                           {prompt, candidate{disturbance: 0.5}, candidate{queuedTokens: 8000}},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			g.Expect(c.first.withDefaultSlowness().score(c.query)).To(gomega.BeNumerically("<", c.second.withDefaultSlowness().score(c.query)))
		})
	}
}

// withDefaultSlowness sets average speed for a candidate whose row leaves it open.
func (c candidate) withDefaultSlowness() candidate {
	if c.slowness == 0 {
		c.slowness = 1
	}
	return c
}

// A server with drawbacks is better than none: each grade accepts more.
func TestEachGradeAcceptsMore(t *testing.T) {
	for name, c := range map[string]struct {
		candidate candidate
		first     int // grade that accepts it
	}{
		"healthy":             {candidate{faults: 1}, 0},
		"in the avoided zone": {candidate{inAvoidedZone: true}, 1},
		"in a suspect zone":   {candidate{inSuspectZone: true}, 2},
		"fails repeatedly":    {candidate{faults: maxFaults + 1}, 3},
		"considered lost":     {candidate{down: true}, 4},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			for i, grade := range grades {
				g.Expect(grade.allows(c.candidate)).To(gomega.Equal(i >= c.first), "grade %d", i)
			}
		})
	}
}

// A server's report of its calls counts for plain calls only, and less the older it is.
func TestReportedLoadCountsLessWithAge(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	s := newServer(Listing{ID: "a", Slots: 8}, now, func() {})
	s.RecordReportedLoad(now, 4, 0)
	g.Expect(s.reportedLoad(Query{}, now)).To(gomega.BeNumerically("~", 4, 0.01))
	g.Expect(s.reportedLoad(Query{}, now.Add(reportedLoadTTL/2))).To(gomega.BeNumerically("~", 2, 0.01))
	g.Expect(s.reportedLoad(Query{}, now.Add(reportedLoadTTL))).To(gomega.BeZero())
	g.Expect(s.reportedLoad(Query{Prompt: 8000}, now)).To(gomega.BeZero())
}
