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

// An impatient program sends one label three times at once through one router.
// One is printed and all three hear of it; no transaction names a row twice.
func TestOneKeyThreeTimesAtOnce(t *testing.T) {
	atSite(t, func(s *site) {
		g := gomega.NewWithT(t)
		r := s.router("r1")
		var tries sync.WaitGroup
		for range 3 {
			tries.Go(func() {
				_, refusal := r.Do(s.ctx, label("k", "lorry 7"), s.pick)
				g.Expect(refusal).To(gomega.BeNil())
			})
		}
		tries.Wait()
		g.Expect(s.service.ran("lorry 7")).To(gomega.Equal(1))
	})
}

// The outcome of a label is held up by an outage. Meanwhile the row has come to
// say something else: it stays as it is.
func TestLateOutcomeLeavesANewerRowAlone(t *testing.T) {
	for _, newer := range []func(claim.Record) claim.Record{
		func(r claim.Record) claim.Record { r.Attempt++; return r },
		func(r claim.Record) claim.Record { r.State = claim.RecordUnknown; return r },
	} {
		atSite(t, func(s *site) {
			g := gomega.NewWithT(t)
			s.service.then = func() { s.table.set(true, nil) }
			_, refusal := s.router("r1").Do(s.ctx, label("k", "lorry 7"), s.pick)
			g.Expect(refusal).To(gomega.BeNil())
			time.Sleep(50 * time.Millisecond)
			want := newer(s.table.claims()[0])
			s.put("k", want)
			s.table.set(false, nil)
			time.Sleep(2 * time.Second)
			g.Expect(s.table.claims()).To(gomega.HaveLen(1))
			g.Expect(s.table.claims()[0].State).To(gomega.Equal(want.State))
		})
	}
}

// A caller is gone for good before its label is printed. Its outcome is saved
// all the same, for whoever asks.
func TestOutcomeIsSavedWithoutItsCaller(t *testing.T) {
	atSite(t, func(s *site) {
		s.service.took = 2 * time.Second
		ctx, leave := context.WithTimeout(s.ctx, 100*time.Millisecond)
		defer leave()
		_, _ = s.router("r1").Do(ctx, label("k", "lorry 7"), s.pick)
		time.Sleep(5 * time.Second)
		gomega.NewWithT(t).Expect(s.table.claims()).To(gomega.ConsistOf(gomega.HaveField("State", claim.RecordCompleted)))
	})
}

// A tally sheet is too large for the row. A second try gets it from the sidecar;
// when that has restarted, the caller still hears that it ran.
func TestLargeAnswer(t *testing.T) {
	atSite(t, func(s *site) {
		g := gomega.NewWithT(t)
		s.service.size = claim.MaxSavedBody
		r := s.router("r1")
		first, _ := r.Do(s.ctx, label("k", "sheet"), s.pick)
		time.Sleep(time.Second)
		g.Expect(s.table.claims()[0].Answer).To(gomega.BeNil())
		second, refusal := r.Do(s.ctx, label("k", "sheet"), s.pick)
		g.Expect(refusal).To(gomega.BeNil())
		g.Expect(second.Body).To(gomega.Equal(first.Body))
		s.start("a")
		_, refusal = r.Do(s.ctx, label("k", "sheet"), s.pick)
		g.Expect(refusal.Outcome).To(gomega.Equal(types.OutcomeCompleted))
		g.Expect(s.service.ran("sheet")).To(gomega.Equal(1))
	})
}

// The answer is lost on its way and the sidecar had no room to keep it. The
// caller hears that the call ran, not an empty answer.
func TestAnswerThatNobodyKept(t *testing.T) {
	atSite(t, func(s *site) {
		s.net.gates["a"] = gate.NewCalls(gate.Options{Service: s.service, Incarnation: 1, MaxAnswerBytes: 16})
		s.net.lose = 1
		_, refusal := s.router("r1").Do(s.ctx, label("k", "lorry 7"), s.pick)
		gomega.NewWithT(t).Expect(refusal.Outcome).To(gomega.Equal(types.OutcomeCompleted))
	})
}

// A program asks for a deadline of a day. The claim's is cut, so that sidecars
// may forget its attempt some time.
func TestDeadlineIsBounded(t *testing.T) {
	atSite(t, func(s *site) {
		call := label("k", "lorry 7")
		call.Deadline = time.Now().Add(24 * time.Hour)
		_, _ = s.router("r1").Do(s.ctx, call, s.pick)
		gomega.NewWithT(t).Expect(time.Until(s.table.claims()[0].Deadline)).To(gomega.BeNumerically("<=", claim.DefaultMaxDeadline))
	})
}

// A label's first try left an orphan claim; it's printed 20 hours later. The
// retention counts from there: a third try the next day still gets its answer.
func TestRenewedClaimIsKept(t *testing.T) {
	atSite(t, func(s *site) {
		g := gomega.NewWithT(t)
		s.table.fault = func(int) (error, bool) {
			s.table.down = true
			return backing.ErrAmbiguous, true
		}
		r := s.router("r1")
		_, _ = r.Do(s.ctx, label("k", "lorry 7"), s.pick)
		s.table.set(false, nil)
		time.Sleep(20 * time.Hour)
		_, refusal := r.Do(s.ctx, label("k", "lorry 7"), s.pick)
		g.Expect(refusal).To(gomega.BeNil())
		time.Sleep(20 * time.Hour)
		_, refusal = r.Do(s.ctx, label("k", "lorry 7"), s.pick)
		g.Expect(refusal).To(gomega.BeNil())
		g.Expect(s.service.ran("lorry 7")).To(gomega.Equal(1))
		time.Sleep(24 * time.Hour)
		g.Expect(s.table.claims()).To(gomega.BeEmpty())
	})
}

// A router finds a claim to be old; before it deletes the row, the claim is
// renewed. The renewed row stays.
func TestClaimRenewedUnderTheSweeper(t *testing.T) {
	atSite(t, func(s *site) {
		g := gomega.NewWithT(t)
		_, _ = s.router("r1").Do(s.ctx, label("k", "lorry 7"), s.pick)
		time.Sleep(time.Second)
		var renewed atomic.Bool
		s.table.mu.Lock()
		s.table.before = func(txn backing.Txn) {
			for _, w := range txn.Writes {
				if w.Delete && strings.HasPrefix(w.Key, claim.KeyPrefix) && renewed.CompareAndSwap(false, true) {
					record, _ := claim.Decode(s.table.rows[w.Key].Value)
					record.Deadline = time.Now().Add(time.Hour)
					value, _ := record.Encode()
					s.table.putLocked(w.Key, value)
				}
			}
		}
		s.table.mu.Unlock()
		time.Sleep(40 * time.Hour)
		g.Expect(renewed.Load()).To(gomega.BeTrue())
		g.Expect(s.table.claims()).To(gomega.HaveLen(1))
	})
}
