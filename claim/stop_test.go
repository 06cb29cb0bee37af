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

// A router shuts down right after a call has ended, and then the sidecar that
// remembers the answer stops, too. If the router had not saved the outcome, a
// retry of the call would be answered "unknown".
func TestOutcomeIsSavedBeforeShutdown(t *testing.T) {
	withFixture(t, func(s *fixture) {
		g := gomega.NewWithT(t)
		c := claim.New(claim.Options{Table: s.table, Router: "r1", Sidecar: s.net})
		ctx, stop := context.WithCancel(s.ctx)
		ended := make(chan error, 1)
		go func() { ended <- c.Run(ctx) }()
		first, refusal := c.Do(s.ctx, newCall("k", "lorry 7"), s.pick)
		g.Expect(refusal).To(gomega.BeNil())
		stop()
		<-ended
		s.net.setCut("a", true)
		g.Expect(s.table.claims()).To(gomega.ConsistOf(gomega.HaveField("State", claim.RecordCompleted)))
		second, refusal := s.router("r2").Do(s.ctx, newCall("k", "lorry 7"), s.pick)
		g.Expect(refusal).To(gomega.BeNil())
		g.Expect(second.Body).To(gomega.Equal(first.Body))
	})
}

// The same with more outcomes than are written concurrently, and with slow reads
// of the table.
func TestAllOutcomesAreSavedBeforeShutdown(t *testing.T) {
	withFixture(t, func(s *fixture) {
		g := gomega.NewWithT(t)
		_, shutDown := burst(s, &silentTable{fakeTable: s.table, readLatency: 150 * time.Millisecond})
		shutDown()
		g.Expect(s.table.claims()).To(gomega.HaveLen(burstSize))
		g.Expect(s.table.claims()).To(gomega.HaveEach(gomega.HaveField("State", claim.RecordCompleted)))
	})
}

const burstSize = 200

// burst runs burstSize concurrent calls through a router. sinceCalls returns the
// time since they ended; shutDown stops the router and waits for it.
func burst(s *fixture, table backing.Table) (sinceCalls func() time.Duration, shutDown func()) {
	c := claim.New(claim.Options{Table: table, Router: "r1", Sidecar: s.net})
	ctx, stop := context.WithCancel(s.ctx)
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx) }()
	var calls sync.WaitGroup
	for i := range burstSize {
		calls.Go(func() {
			if _, refusal := c.Do(s.ctx, newCall(strconv.Itoa(i), strconv.Itoa(i)), s.pick); refusal != nil {
				s.t.Error(refusal)
			}
		})
	}
	calls.Wait()
	at := time.Now()
	return func() time.Duration { return time.Since(at) }, func() { stop(); <-ended }
}

// silentTable stops responding once silent is set.
type silentTable struct {
	*fakeTable
	silent      atomic.Bool
	readLatency time.Duration
}

func (f *silentTable) Get(ctx context.Context, key string) (backing.Row, error) {
	if f.silent.Load() {
		<-ctx.Done()
		return backing.Row{}, ctx.Err()
	}
	time.Sleep(f.readLatency)
	return f.fakeTable.Get(ctx, key)
}

func (f *silentTable) Commit(ctx context.Context, txn backing.Txn) error {
	if f.silent.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	return f.fakeTable.Commit(ctx, txn)
}

// The table service stops responding when a router shuts down. The queued
// outcomes must not delay the shutdown beyond its limit.
func TestUnresponsiveTableDoesNotDelayShutdown(t *testing.T) {
	withFixture(t, func(s *fixture) {
		table := &silentTable{fakeTable: s.table}
		sinceCalls, shutDown := burst(s, table)
		table.silent.Store(true)
		shutDown()
		gomega.NewWithT(t).Expect(sinceCalls()).To(gomega.BeNumerically("<=", 2500*time.Millisecond))
	})
}
