package claim_test

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/backing"
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

// So it is with two hundred labels that were printed at once, more than are
// written at a time, when the table service takes a while.
func TestAllOutcomesAreSavedBeforeARouterEnds(t *testing.T) {
	atSite(t, func(s *site) {
		g := gomega.NewWithT(t)
		_, end := burst(s, &silentTable{fakeTable: s.table, way: 150 * time.Millisecond})
		end()
		g.Expect(s.table.claims()).To(gomega.HaveLen(burstSize))
		g.Expect(s.table.claims()).To(gomega.HaveEach(gomega.HaveField("State", claim.RecordCompleted)))
	})
}

const burstSize = 200

// burst prints labels through a router; end stops it and waits for its end.
func burst(s *site, table backing.Table) (began func() time.Duration, end func()) {
	c := claim.New(claim.Options{Table: table, Router: "r1", Sidecar: s.net})
	ctx, stop := context.WithCancel(s.ctx)
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx) }()
	var calls sync.WaitGroup
	for i := range burstSize {
		calls.Go(func() {
			if _, refusal := c.Do(s.ctx, label(strconv.Itoa(i), strconv.Itoa(i)), s.pick); refusal != nil {
				s.t.Error(refusal)
			}
		})
	}
	calls.Wait()
	at := time.Now()
	return func() time.Duration { return time.Since(at) }, func() { stop(); <-ended }
}

// silentTable answers nothing from a moment on.
type silentTable struct {
	*fakeTable
	silent atomic.Bool
	way    time.Duration // that a read takes
}

func (f *silentTable) Get(ctx context.Context, key string) (backing.Row, error) {
	if f.silent.Load() {
		<-ctx.Done()
		return backing.Row{}, ctx.Err()
	}
	time.Sleep(f.way)
	return f.fakeTable.Get(ctx, key)
}

func (f *silentTable) Commit(ctx context.Context, txn backing.Txn) error {
	if f.silent.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	return f.fakeTable.Commit(ctx, txn)
}

// The table service falls silent when a router ends. The outcomes that wait must
// not keep it from ending.
func TestSilentTableDoesNotKeepARouterFromEnding(t *testing.T) {
	atSite(t, func(s *site) {
		table := &silentTable{fakeTable: s.table}
		took, end := burst(s, table)
		table.silent.Store(true)
		end()
		gomega.NewWithT(t).Expect(took()).To(gomega.BeNumerically("<=", 2500*time.Millisecond))
	})
}
