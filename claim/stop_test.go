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
	withFixture(t, func(f *fixture) {
		g := gomega.NewWithT(t)
		c := claim.New(claim.Options{Table: f.table, Router: "r1", Sidecar: f.net})
		ctx, stop := context.WithCancel(f.ctx)
		ended := make(chan error, 1)
		go func() { ended <- c.Run(ctx) }()
		first, refusal := c.Do(f.ctx, newCall("k", "lorry 7"), f.pick)
		g.Expect(refusal).To(gomega.BeNil())
		stop()
		<-ended
		f.net.setCut("a", true)
		g.Expect(f.table.claims()).To(gomega.ConsistOf(gomega.HaveField("State", claim.RecordCompleted)))
		second, refusal := f.router("r2").Do(f.ctx, newCall("k", "lorry 7"), f.pick)
		g.Expect(refusal).To(gomega.BeNil())
		g.Expect(second.Body).To(gomega.Equal(first.Body))
	})
}

// A router shuts down with more queued outcomes than are saved concurrently, and
// reads of the table are slow. All of them must be saved.
func TestAllOutcomesAreSavedBeforeShutdown(t *testing.T) {
	withFixture(t, func(f *fixture) {
		g := gomega.NewWithT(t)
		_, shutDown := burst(f, &silentTable{fakeTable: f.table, readLatency: 150 * time.Millisecond})
		shutDown()
		g.Expect(f.table.claims()).To(gomega.HaveLen(burstSize))
		g.Expect(f.table.claims()).To(gomega.HaveEach(gomega.HaveField("State", claim.RecordCompleted)))
	})
}

const burstSize = 200

// burst runs burstSize concurrent calls through a router. sinceCalls returns the
// time since they ended; shutDown stops the router and waits for it.
func burst(f *fixture, table backing.Table) (sinceCalls func() time.Duration, shutDown func()) {
	c := claim.New(claim.Options{Table: table, Router: "r1", Sidecar: f.net})
	ctx, stop := context.WithCancel(f.ctx)
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx) }()
	var calls sync.WaitGroup
	for i := range burstSize {
		calls.Go(func() {
			if _, refusal := c.Do(f.ctx, newCall(strconv.Itoa(i), strconv.Itoa(i)), f.pick); refusal != nil {
				f.t.Error(refusal)
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
// outcomes must not delay the shutdown for longer than shutdownSaveTimeout (2 s).
func TestUnresponsiveTableDoesNotDelayShutdown(t *testing.T) {
	withFixture(t, func(f *fixture) {
		table := &silentTable{fakeTable: f.table}
		sinceCalls, shutDown := burst(f, table)
		table.silent.Store(true)
		shutDown()
		gomega.NewWithT(t).Expect(sinceCalls()).To(gomega.BeNumerically("<=", 2500*time.Millisecond))
	})
}
