package claim_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/claim"
)

// A depot prints a label through a router that is being stopped; it ends with
// this last call. The backend server that printed it is stopped after it, and
// with it the sidecar that remembers the answer. The depot, whose answer was lost
// on the way, sends the label again: it is told that nobody knows whether it was
// printed, as the router ended before it had written the outcome down.
func TestOutcomeIsSavedBeforeARouterEnds(t *testing.T) {
	atSite(t, func(s *site) {
		g := gomega.NewWithT(t)
		c := claim.New(claim.Options{Table: s.table, Router: "r1", Sidecar: s.net})
		ctx, stop := context.WithCancel(s.ctx)
		ended := make(chan error, 1)
		go func() { ended <- c.Run(ctx) }()
		first, refusal := c.Do(s.ctx, label("k", "lorry 7"), s.pick)
		g.Expect(refusal).To(gomega.BeNil())
		stop()
		<-ended
		s.net.setCut("a", true)
		g.Expect(s.table.claims()).To(gomega.ConsistOf(gomega.HaveField("State", claim.RecordCompleted)))
		second, refusal := s.router("r2").Do(s.ctx, label("k", "lorry 7"), s.pick)
		g.Expect(refusal).To(gomega.BeNil())
		g.Expect(second.Body).To(gomega.Equal(first.Body))
	})
}

// The table service is down when a router ends. The outcomes that wait must not
// keep it from ending.
func TestTableThatIsDownDoesNotKeepARouterFromEnding(t *testing.T) {
	atSite(t, func(s *site) {
		g := gomega.NewWithT(t)
		c := claim.New(claim.Options{Table: s.table, Router: "r1", Sidecar: s.net})
		ctx, stop := context.WithCancel(s.ctx)
		ended := make(chan error, 1)
		go func() { ended <- c.Run(ctx) }()
		for i := range 200 {
			_, refusal := c.Do(s.ctx, label(strconv.Itoa(i), "lorry 7"), s.pick)
			g.Expect(refusal).To(gomega.BeNil())
		}
		s.table.set(true, nil)
		stop()
		began := time.Now()
		<-ended
		g.Expect(time.Since(began)).To(gomega.BeNumerically("<=", 3*time.Second))
	})
}
