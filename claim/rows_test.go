package claim_test

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/backing"
	"github.com/pearyard/pearyard/claim"
	"github.com/pearyard/pearyard/gate"
	"github.com/pearyard/pearyard/types"
)

// Three concurrent requests with one key go through one router. The call runs
// once, all three get its answer, and no transaction names a row twice.
func TestConcurrentRequestsWithOneKey(t *testing.T) {
	withFixture(t, func(f *fixture) {
		g := gomega.NewWithT(t)
		r := f.router("r1")
		var requests sync.WaitGroup
		for range 3 {
			requests.Go(func() {
				_, refusal := r.Do(f.ctx, newCall("k", "lorry 7"), f.pick)
				g.Expect(refusal).To(gomega.BeNil())
			})
		}
		requests.Wait()
		g.Expect(f.service.runCount("lorry 7")).To(gomega.Equal(1))
	})
}

// The save of an outcome is delayed by an outage of the table, and the row has
// changed in the meantime. The newer row must not be overwritten.
func TestLateOutcomeLeavesANewerRowAlone(t *testing.T) {
	for _, newer := range []func(claim.Record) claim.Record{
		func(r claim.Record) claim.Record { r.Attempt++; return r },
		func(r claim.Record) claim.Record { r.State = claim.RecordUnknown; return r },
	} {
		withFixture(t, func(f *fixture) {
			g := gomega.NewWithT(t)
			f.service.onRun = func() { f.table.setFaults(true, nil) }
			_, refusal := f.router("r1").Do(f.ctx, newCall("k", "lorry 7"), f.pick)
			g.Expect(refusal).To(gomega.BeNil())
			time.Sleep(50 * time.Millisecond)
			want := newer(f.table.claims()[0])
			f.put("k", want)
			f.table.setFaults(false, nil)
			time.Sleep(2 * time.Second)
			g.Expect(f.table.claims()).To(gomega.HaveLen(1))
			g.Expect(f.table.claims()[0].State).To(gomega.Equal(want.State))
		})
	}
}

// A caller disconnects before its call has ended. The outcome is saved
// nevertheless.
func TestOutcomeIsSavedWithoutItsCaller(t *testing.T) {
	withFixture(t, func(f *fixture) {
		f.service.delay = 2 * time.Second
		ctx, leave := context.WithTimeout(f.ctx, 100*time.Millisecond)
		defer leave()
		_, _ = f.router("r1").Do(ctx, newCall("k", "lorry 7"), f.pick)
		time.Sleep(5 * time.Second)
		gomega.NewWithT(t).Expect(f.table.claims()).To(gomega.ConsistOf(gomega.HaveField("State", claim.RecordCompleted)))
	})
}

// An answer is too large for the row. A second request gets it from the sidecar;
// once that has restarted, a request is still told that the call ran.
func TestLargeAnswer(t *testing.T) {
	withFixture(t, func(f *fixture) {
		g := gomega.NewWithT(t)
		f.service.padding = claim.MaxSavedBody
		r := f.router("r1")
		first, _ := r.Do(f.ctx, newCall("k", "sheet"), f.pick)
		time.Sleep(time.Second)
		g.Expect(f.table.claims()[0].Answer).To(gomega.BeNil())
		second, refusal := r.Do(f.ctx, newCall("k", "sheet"), f.pick)
		g.Expect(refusal).To(gomega.BeNil())
		g.Expect(second.Body).To(gomega.Equal(first.Body))
		f.start("a")
		_, refusal = r.Do(f.ctx, newCall("k", "sheet"), f.pick)
		g.Expect(refusal.Outcome).To(gomega.Equal(types.OutcomeCompleted))
		g.Expect(f.service.runCount("sheet")).To(gomega.Equal(1))
	})
}

// The answer is lost on its way to the router and the sidecar had no memory to
// keep it. The caller must be told that the call ran, and not get an empty
// answer.
func TestAnswerNotKept(t *testing.T) {
	withFixture(t, func(f *fixture) {
		f.net.gates["a"] = gate.NewCalls(gate.Options{Service: f.service, Incarnation: 1, MaxAnswerBytes: 16})
		f.net.lostAnswers = 1
		_, refusal := f.router("r1").Do(f.ctx, newCall("k", "lorry 7"), f.pick)
		gomega.NewWithT(t).Expect(refusal.Outcome).To(gomega.Equal(types.OutcomeCompleted))
	})
}

// A call has a deadline in a day. The claim's deadline is limited, so that
// sidecars can forget the attempt.
func TestDeadlineIsBounded(t *testing.T) {
	withFixture(t, func(f *fixture) {
		call := newCall("k", "lorry 7")
		call.Deadline = time.Now().Add(24 * time.Hour)
		_, _ = f.router("r1").Do(f.ctx, call, f.pick)
		gomega.NewWithT(t).Expect(time.Until(f.table.claims()[0].Deadline)).To(gomega.BeNumerically("<=", claim.DefaultMaxDeadline))
	})
}

// The first request left an orphan claim, and a second one runs the call 20 hours
// later. The retention time counts from the second claim: a third request 20
// hours after it still gets the answer.
func TestRenewedClaimIsKept(t *testing.T) {
	withFixture(t, func(f *fixture) {
		g := gomega.NewWithT(t)
		f.table.fault = func(int) (error, bool) {
			f.table.down = true
			return backing.ErrAmbiguous, true
		}
		r := f.router("r1")
		_, _ = r.Do(f.ctx, newCall("k", "lorry 7"), f.pick)
		f.table.setFaults(false, nil)
		time.Sleep(20 * time.Hour)
		_, refusal := r.Do(f.ctx, newCall("k", "lorry 7"), f.pick)
		g.Expect(refusal).To(gomega.BeNil())
		time.Sleep(20 * time.Hour)
		_, refusal = r.Do(f.ctx, newCall("k", "lorry 7"), f.pick)
		g.Expect(refusal).To(gomega.BeNil())
		g.Expect(f.service.runCount("lorry 7")).To(gomega.Equal(1))
		time.Sleep(24 * time.Hour)
		g.Expect(f.table.claims()).To(gomega.BeEmpty())
	})
}

// A claim is renewed after a sweeper has found it expired and before it deletes
// the row. The renewed row must stay.
func TestClaimRenewedDuringSweep(t *testing.T) {
	withFixture(t, func(f *fixture) {
		g := gomega.NewWithT(t)
		_, _ = f.router("r1").Do(f.ctx, newCall("k", "lorry 7"), f.pick)
		time.Sleep(time.Second)
		var renewed atomic.Bool
		f.table.mu.Lock()
		f.table.beforeCheck = func(txn backing.Txn) {
			for _, w := range txn.Writes {
				if w.Delete && strings.HasPrefix(w.Key, claim.KeyPrefix) && renewed.CompareAndSwap(false, true) {
					record, _ := claim.Decode(f.table.rows[w.Key].Value)
					record.Deadline = time.Now().Add(time.Hour)
					value, _ := record.Encode()
					f.table.putLocked(w.Key, value)
				}
			}
		}
		f.table.mu.Unlock()
		time.Sleep(40 * time.Hour)
		g.Expect(renewed.Load()).To(gomega.BeTrue())
		g.Expect(f.table.claims()).To(gomega.HaveLen(1))
	})
}
