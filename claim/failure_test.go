package claim_test

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/backing"
	"github.com/pearyard/pearyard/claim"
	"github.com/pearyard/pearyard/gate"
	streampb "github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/types"
)

// A depot prints a label, doubts that it came and sends it again with the same
// key through another router. It gets the first answer; one label is printed.
func TestSecondTryGetsTheSavedAnswer(t *testing.T) {
	atSite(t, func(s *site) {
		g := gomega.NewWithT(t)
		first, refusal := s.router("r1").Do(s.ctx, label("k", "lorry 7"), s.pick)
		g.Expect(refusal).To(gomega.BeNil())
		time.Sleep(time.Second) // virtual: the outcome is saved in the background
		g.Expect(s.table.claims()).To(gomega.ConsistOf(gomega.HaveField("State", claim.RecordCompleted)))
		s.net.setCut("a", true)
		second, refusal := s.router("r2").Do(s.ctx, label("k", "lorry 7"), s.pick)
		g.Expect(refusal).To(gomega.BeNil())
		g.Expect(second.Body).To(gomega.Equal(first.Body))
		g.Expect(s.service.ran("lorry 7")).To(gomega.Equal(1))
	})
}

// The table service's answers are lost, with and without the write having
// taken effect. Each label is still printed, once.
func TestAmbiguousCommitIsReadBack(t *testing.T) {
	for _, effect := range []bool{true, false} {
		atSite(t, func(s *site) {
			g := gomega.NewWithT(t)
			s.table.fault = func(n int) (error, bool) {
				if n == 1 {
					return backing.ErrAmbiguous, effect
				}
				return nil, false
			}
			_, refusal := s.router("r1").Do(s.ctx, label("k", "lorry 7"), s.pick)
			g.Expect(refusal).To(gomega.BeNil())
			g.Expect(s.service.ran("lorry 7")).To(gomega.Equal(1))
		})
	}
}

// Thirty kiosks send at once, one of them a receipt whose key is claimed
// already. The others share transactions; the one gets the first answer.
func TestConflictInABatchKeepsTheOthers(t *testing.T) {
	atSite(t, func(s *site) {
		g := gomega.NewWithT(t)
		r := s.router("r1")
		_, refusal := r.Do(s.ctx, label("0", "0"), s.pick)
		g.Expect(refusal).To(gomega.BeNil())
		before := s.table.commits.Load()
		var kiosks sync.WaitGroup
		for i := range 30 {
			kiosks.Go(func() {
				body := strconv.Itoa(i)
				answer, refusal := r.Do(s.ctx, label(body, body), s.pick)
				g.Expect(refusal).To(gomega.BeNil())
				g.Expect(string(answer.Body)).To(gomega.Equal("done " + body))
			})
		}
		kiosks.Wait()
		for i := range 30 {
			g.Expect(s.service.ran(strconv.Itoa(i))).To(gomega.Equal(1))
		}
		g.Expect(s.table.commits.Load() - before).To(gomega.BeNumerically("<=", 10))
	})
}

// The table service is down. The caller hears so at once, may come back, and
// nothing was sent.
func TestTableDownRefusesAtOnce(t *testing.T) {
	atSite(t, func(s *site) {
		g := gomega.NewWithT(t)
		s.table.set(true, nil)
		start := time.Now()
		_, refusal := s.router("r1").Do(s.ctx, label("k", "lorry 7"), s.pick)
		g.Expect(refusal.Code).To(gomega.Equal(types.CodeTableDown))
		g.Expect(refusal.Outcome).To(gomega.Equal(types.OutcomeNotRun))
		g.Expect(refusal.RetryAfter).NotTo(gomega.BeZero())
		g.Expect(time.Since(start)).To(gomega.BeNumerically("<", 100*time.Millisecond))
		g.Expect(s.net.arrived).To(gomega.BeZero())
	})
}

// A label was printed and its answer lost; on the caller's next try the table
// goes down right after it said that the key is taken. "Not run" would have the
// label printed by hand: the caller hears "unknown" and may come back.
func TestKnownEarlierTryIsNotDenied(t *testing.T) {
	atSite(t, func(s *site) {
		g := gomega.NewWithT(t)
		r := s.router("r1")
		_, refusal := r.Do(s.ctx, label("k", "lorry 7"), s.pick)
		g.Expect(refusal).To(gomega.BeNil())
		s.table.set(false, func(int) (error, bool) {
			s.table.down = true
			return nil, false
		})
		_, refusal = r.Do(s.ctx, label("k", "lorry 7"), s.pick)
		g.Expect(refusal.Outcome).To(gomega.Equal(types.OutcomeUnknown))
		g.Expect(refusal.RetryAfter).NotTo(gomega.BeZero())
	})
}

// The commit is ambiguous and took effect, then the table goes down: the caller
// hears "not run". The next try finds the orphan claim, has it voided and runs.
func TestOrphanClaimIsVoided(t *testing.T) {
	atSite(t, func(s *site) {
		g := gomega.NewWithT(t)
		s.table.fault = func(int) (error, bool) {
			s.table.down = true
			return backing.ErrAmbiguous, true
		}
		r := s.router("r1")
		_, refusal := r.Do(s.ctx, label("k", "lorry 7"), s.pick)
		g.Expect(refusal.Outcome).To(gomega.Equal(types.OutcomeNotRun))
		g.Expect(s.service.ran("lorry 7")).To(gomega.BeZero())
		s.table.set(false, nil)
		s.only = "a" // a void is no reason to go elsewhere
		_, refusal = r.Do(s.ctx, label("k", "lorry 7"), s.pick)
		g.Expect(refusal).To(gomega.BeNil())
		g.Expect(s.service.ran("lorry 7")).To(gomega.Equal(1))
	})
}

// A router finds an orphan claim while the sidecar's memory of attempts is full:
// no tombstone can be left, so the caller hears "unknown" and may come
// back; the claim stays open.
func TestFullSidecarIsAskedAgain(t *testing.T) {
	atSite(t, func(s *site) {
		g := gomega.NewWithT(t)
		full := gate.NewCalls(gate.Options{Service: s.service, Incarnation: 1, MaxAttempts: 1})
		s.net.gates["a"], s.only = full, "a"
		s.table.fault = func(int) (error, bool) {
			s.table.down = true
			return backing.ErrAmbiguous, true
		}
		r := s.router("r1")
		_, _ = r.Do(s.ctx, label("k", "lorry 7"), s.pick)
		s.table.set(false, nil)
		ref := claim.Ref{Key: claim.Key("depot-apps", "inch", "k"), Deadline: time.Now().Add(time.Minute)}
		full.Void(s.ctx, &streampb.VoidRequest{Claim: ref.String(), Attempt: 1, Incarnation: 1})
		_, refusal := r.Do(s.ctx, label("k", "lorry 7"), s.pick)
		g.Expect(refusal.Outcome).To(gomega.Equal(types.OutcomeUnknown))
		g.Expect(refusal.RetryAfter).NotTo(gomega.BeZero())
		g.Expect(s.table.claims()).To(gomega.ConsistOf(gomega.HaveField("State", claim.RecordClaimed)))
		g.Expect(s.service.ran("lorry 7")).To(gomega.BeZero())
	})
}

// The label is printed and the answer is lost on its way back. The router asks
// the sidecar, which remembers it: the caller gets its answer.
func TestLostAnswerIsFetched(t *testing.T) {
	atSite(t, func(s *site) {
		g := gomega.NewWithT(t)
		s.net.lose = 1
		answer, refusal := s.router("r1").Do(s.ctx, label("k", "lorry 7"), s.pick)
		g.Expect(refusal).To(gomega.BeNil())
		g.Expect(string(answer.Body)).To(gomega.Equal("done lorry 7"))
		g.Expect(s.service.ran("lorry 7")).To(gomega.Equal(1))
	})
}

// A router claims a label and freezes before its call arrives. The caller comes
// back through another router, which has the attempt voided and prints. The
// first router wakes: its call is refused, and it answers with the printed one.
func TestFrozenRouterWakesLate(t *testing.T) {
	atSite(t, func(s *site) {
		g := gomega.NewWithT(t)
		wake := make(chan struct{})
		s.net.frozen = wake
		var first sync.WaitGroup
		first.Go(func() {
			answer, refusal := s.router("r1").Do(s.ctx, label("k", "lorry 7"), s.pick)
			g.Expect(refusal).To(gomega.BeNil())
			g.Expect(string(answer.Body)).To(gomega.Equal("done lorry 7"))
		})
		time.Sleep(100 * time.Millisecond)
		_, refusal := s.router("r2").Do(s.ctx, label("k", "lorry 7"), s.pick)
		g.Expect(refusal).To(gomega.BeNil())
		close(wake)
		first.Wait()
		g.Expect(s.service.ran("lorry 7")).To(gomega.Equal(1))
	})
}

// A sidecar restarts while it prints and its router dies. Nobody can tell any
// more whether the label came: the caller hears "unknown", for good.
func TestRestartedSidecarLeavesUnknown(t *testing.T) {
	atSite(t, func(s *site) {
		g := gomega.NewWithT(t)
		s.service.took = time.Second
		ctx, die := context.WithTimeout(s.ctx, 100*time.Millisecond)
		defer die()
		_, refusal := s.router("r1").Do(ctx, label("k", "lorry 7"), s.pick)
		g.Expect(refusal.Code).To(gomega.Equal(types.CodeStillRunning))
		s.start("a")
		for range 2 { // asked of the sidecar, then read from the row
			_, refusal = s.router("r2").Do(s.ctx, label("k", "lorry 7"), s.pick)
			g.Expect(refusal.Outcome).To(gomega.Equal(types.OutcomeUnknown))
			g.Expect(refusal.RetryAfter).To(gomega.BeZero())
		}
		g.Expect(s.service.ran("lorry 7")).To(gomega.Equal(1))
	})
}

// A partition hides the sidecar that may have printed. The caller hears
// "unknown" and may ask again; after the partition it gets its answer.
func TestUnreachableSidecar(t *testing.T) {
	atSite(t, func(s *site) {
		g := gomega.NewWithT(t)
		s.service.took = time.Second
		ctx, leave := context.WithTimeout(s.ctx, 100*time.Millisecond)
		defer leave()
		_, _ = s.router("r1").Do(ctx, label("k", "lorry 7"), s.pick)
		s.net.setCut("a", true)
		r := s.router("r2")
		_, refusal := r.Do(s.ctx, label("k", "lorry 7"), s.pick)
		g.Expect(refusal.Outcome).To(gomega.Equal(types.OutcomeUnknown))
		g.Expect(refusal.RetryAfter).NotTo(gomega.BeZero())
		s.net.setCut("a", false)
		_, refusal = r.Do(s.ctx, label("k", "lorry 7"), s.pick)
		g.Expect(refusal).To(gomega.BeNil())
		g.Expect(s.service.ran("lorry 7")).To(gomega.Equal(1))
	})
}

// A caller gives up while its label is printing and comes back at once. The
// printing goes on; the second try waits for its answer.
func TestCallerLeavesAndComesBack(t *testing.T) {
	atSite(t, func(s *site) {
		g := gomega.NewWithT(t)
		s.service.took = 2 * time.Second
		r := s.router("r1")
		ctx, leave := context.WithTimeout(s.ctx, 100*time.Millisecond)
		defer leave()
		_, refusal := r.Do(ctx, label("k", "lorry 7"), s.pick)
		g.Expect(refusal.Code).To(gomega.Equal(types.CodeStillRunning))
		answer, refusal := r.Do(s.ctx, label("k", "lorry 7"), s.pick)
		g.Expect(refusal).To(gomega.BeNil())
		g.Expect(string(answer.Body)).To(gomega.Equal("done lorry 7"))
		g.Expect(s.service.ran("lorry 7")).To(gomega.Equal(1))
	})
}

// A program uses one key for two labels. The second is refused; it ran nothing.
func TestKeyOfAnotherCall(t *testing.T) {
	atSite(t, func(s *site) {
		g := gomega.NewWithT(t)
		r := s.router("r1")
		_, refusal := r.Do(s.ctx, label("k", "lorry 7"), s.pick)
		g.Expect(refusal).To(gomega.BeNil())
		_, refusal = r.Do(s.ctx, label("k", "lorry 8"), s.pick)
		g.Expect(refusal.Code).To(gomega.Equal(types.CodeKeyReused))
		other := label("k", "lorry 7")
		other.Path = "/receipts"
		_, refusal = r.Do(s.ctx, other, s.pick)
		g.Expect(refusal.Code).To(gomega.Equal(types.CodeKeyReused))
		g.Expect(s.service.ran("lorry 8")).To(gomega.BeZero())
	})
}

// The first backend server can't be reached at all: no byte left, so the label
// is claimed anew and printed by the second.
func TestNotSentGoesElsewhere(t *testing.T) {
	atSite(t, func(s *site) {
		g := gomega.NewWithT(t)
		s.net.setCut("a", true)
		_, refusal := s.router("r1").Do(s.ctx, label("k", "lorry 7"), s.pick)
		g.Expect(refusal).To(gomega.BeNil())
		s.net.setCut("b", true)
		_, refusal = s.router("r1").Do(s.ctx, label("k2", "lorry 8"), s.pick)
		g.Expect(refusal.Code).To(gomega.Equal(types.CodeNoBackend))
		g.Expect(refusal.Outcome).To(gomega.Equal(types.OutcomeNotRun))
		g.Expect(s.service.ran("lorry 8")).To(gomega.BeZero())
	})
}

// Claims are kept for their retention and then deleted, the table doesn't fill.
func TestOldClaimsAreDeleted(t *testing.T) {
	atSite(t, func(s *site) {
		g := gomega.NewWithT(t)
		_, refusal := s.router("r1").Do(s.ctx, label("k", "lorry 7"), s.pick)
		g.Expect(refusal).To(gomega.BeNil())
		time.Sleep(claim.DefaultRetention - time.Minute)
		g.Expect(s.table.claims()).To(gomega.HaveLen(1))
		time.Sleep(24 * time.Hour)
		synctest.Wait()
		g.Expect(s.table.claims()).To(gomega.BeEmpty())
	})
}
