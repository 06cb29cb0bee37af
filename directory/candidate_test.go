package directory

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Each row is a load with what its callers need: the first candidate is to be
// placed before the second one.
func TestScorePlacesBefore(t *testing.T) {
	prompt := Query{Prompt: 8000, Resumes: true}
	for name, c := range map[string]struct {
		query         Query
		first, second candidate
	}{
		"a long prompt goes where none is read":                                    {prompt, candidate{streams: 3}, candidate{unread: 4000}},
		"beside fewer streams, which it holds up":                                  {prompt, candidate{streams: 1}, candidate{streams: 2}},
		"away from the stream of a stopping VM, though a prompt is read":           {prompt, candidate{unread: 7000}, candidate{streams: urgentWeight}},
		"where it is kept, though streams run there":                               {prompt, candidate{kept: 7984, streams: 4}, candidate{}},
		"where it is kept, though a connection broke there":                        {prompt, candidate{kept: 7984, faults: 1}, candidate{}},
		"not where it is kept behind two long prompts":                             {prompt, candidate{}, candidate{kept: 7984, unread: 16000}},
		"a stream that can't be resumed goes away from a failing server":           {Query{Prompt: 8000}, candidate{unread: 7000}, candidate{faults: 1}},
		"a copy lies apart from other copies":                                      {Query{Prompt: 8000, Copy: true}, candidate{streams: 1}, candidate{copies: 1}},
		"a plain call goes where fewer calls run, by the server's word also":       {Query{}, candidate{calls: 1}, candidate{told: 1.5}},
		"away from a server that has just failed":                                  {Query{}, candidate{calls: 5}, candidate{faults: 1}},
		"what is placed again keeps to its portion unless a prompt is ahead":       {Query{Prompt: 8000, Again: true}, candidate{unread: 7000}, candidate{otherRange: true}},
		"beside streams of a fast server before an idle one that is twice as slow": {prompt, candidate{streams: 4, slowness: 0.8}, candidate{slowness: 2}},
		"to an idle slow server before a fast one's prompt and streams":            {prompt, candidate{slowness: 1.6}, candidate{unread: 8000, streams: 4, slowness: 0.8}},
		"into the own zone among equals":                                           {prompt, candidate{}, candidate{otherZone: true}},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			g.Expect(c.first.ofSpeed().score(c.query)).To(gomega.BeNumerically("<", c.second.ofSpeed().score(c.query)))
		})
	}
}

// ofSpeed makes a candidate whose speed a row leaves open an ordinary one.
func (c candidate) ofSpeed() candidate {
	if c.slowness == 0 {
		c.slowness = 1
	}
	return c
}

// A server that may be gone is better than none: each pass lets more through.
func TestGradesLetMoreThroughInTurn(t *testing.T) {
	for name, c := range map[string]struct {
		candidate candidate
		first     int // grade that lets it through
	}{
		"sound":                 {candidate{faults: 1}, 0},
		"in the lost zone":      {candidate{passedOver: true}, 1},
		"in a doubted zone":     {candidate{doubted: true}, 2},
		"fails again and again": {candidate{faults: maxFaults + 1}, 3},
		"believed lost":         {candidate{down: true}, 4},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			for i, grade := range grades {
				g.Expect(grade.allows(c.candidate)).To(gomega.Equal(i >= c.first), "grade %d", i)
			}
		})
	}
}

// A server's own word on its calls counts for plain calls, and less the older it is.
func TestOldWordOfAServerCountsLess(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	s := newServer(Listing{ID: "a", Slots: 8}, now, func() {})
	s.Told(now, 4, 0)
	g.Expect(s.reportedLoad(Query{}, now)).To(gomega.BeNumerically("~", 4, 0.01))
	g.Expect(s.reportedLoad(Query{}, now.Add(toldFresh/2))).To(gomega.BeNumerically("~", 2, 0.01))
	g.Expect(s.reportedLoad(Query{}, now.Add(toldFresh))).To(gomega.BeZero())
	g.Expect(s.reportedLoad(Query{Prompt: 8000}, now)).To(gomega.BeZero())
}
