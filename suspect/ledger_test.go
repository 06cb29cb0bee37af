package suspect

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/pearyard/pearyard/types"
)

const (
	poison    = types.Fingerprint(1)
	neighbour = types.Fingerprint(2)
)

// A poisoned request crashes engine a and, when it is resumed, engine b. Each
// engine runs seven neighbours when it dies. Only the poisoned request may be
// quarantined; neighbours may run and are clear again once they complete.
func TestPoisonIsQuarantinedAndNeighboursAreNot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		l := New(Options{})
		for i, engine := range []string{"a/1", "b/1"} {
			ran := []types.Fingerprint{poison}
			for n := range 7 {
				ran = append(ran, types.Fingerprint(100*(i+1)+n))
			}
			l.RecordDeath(engine, ran)
			l.RecordDeath(engine, ran) // the same death is reported by a second router
		}
		g.Expect(l.Verdict(poison).State).To(gomega.Equal(Quarantined))
		g.Expect(l.Verdict(poison).RetryAfter(time.Now())).To(gomega.Equal(DefaultQuarantine))
		for n := range 7 {
			g.Expect(l.Verdict(types.Fingerprint(100 + n))).To(gomega.Equal(Verdict{State: Suspect, Deaths: 1}))
			l.RecordCompletion(types.Fingerprint(100 + n))
			g.Expect(l.Verdict(types.Fingerprint(100 + n)).State).To(gomega.Equal(Clear))
		}
		time.Sleep(DefaultQuarantine + time.Second)
		g.Expect(l.Verdict(poison).State).To(gomega.Equal(Suspect))
		l.RecordDeath("c/1", []types.Fingerprint{poison}) // one more death suffices and doubles the quarantine
		g.Expect(l.Verdict(poison).RetryAfter(time.Now())).To(gomega.Equal(2 * DefaultQuarantine))
		time.Sleep(DefaultWindow + time.Minute)
		l.expire()
		g.Expect(l.Dump().Entries).To(gomega.BeEmpty())
	})
}

// A copy of a suspect completes at router A while, unknown to A, another copy
// crashes a second engine at router B. Clearing at A must not clear the death that
// A doesn't know of, nor lift the quarantine at B.
func TestClearingKeepsUnknownDeathsAndQuarantine(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := New(Options{}), New(Options{})
	exchange := func(from, to *Ledger) {
		entries, _ := from.Deltas(0)
		to.Merge(entries)
	}
	a.RecordDeath("x/1", []types.Fingerprint{poison, neighbour})
	exchange(a, b)
	b.RecordDeath("y/1", []types.Fingerprint{poison})
	a.RecordCompletion(poison)
	a.RecordCompletion(neighbour)
	exchange(a, b)
	exchange(b, a)
	for _, l := range []*Ledger{a, b} {
		g.Expect(l.Verdict(poison).State).To(gomega.Equal(Quarantined))
		g.Expect(l.Verdict(neighbour).State).To(gomega.Equal(Clear))
	}
	a.RecordCompletion(poison) // another copy completes after the quarantine began
	g.Expect(a.Verdict(poison).State).To(gomega.Equal(Quarantined))
	a.RecordDeath("z/1", []types.Fingerprint{neighbour})
	g.Expect(a.Verdict(neighbour)).To(gomega.Equal(Verdict{State: Suspect, Deaths: 1}))
}

// Two suspects on one backend server would both be quarantined if it died, though
// only one crashes engines. A second copy of one suspect could crash a third
// engine. Both must be held back.
func TestSuspectsRunOnceAndOnSeparateServers(t *testing.T) {
	g := gomega.NewWithT(t)
	l := New(Options{})
	other := types.Fingerprint(9)
	g.Expect(l.BeginRun(poison, "a")).To(gomega.BeTrue())
	g.Expect(l.BeginRun(poison, "b")).To(gomega.BeTrue()) // clear requests aren't restricted
	l.RecordDeath("a/1", []types.Fingerprint{poison, neighbour})
	l.EndRun(poison, "a")
	g.Expect(l.BeginRun(poison, "c")).To(gomega.BeFalse(), "the copy on b still runs")
	g.Expect(l.BeginRun(neighbour, "b")).To(gomega.BeFalse(), "b has a suspect")
	g.Expect(l.BeginRun(neighbour, "c")).To(gomega.BeTrue())
	g.Expect(l.BeginRun(other, "b")).To(gomega.BeTrue())
	g.Expect(l.SuspectsOn()).To(gomega.Equal(map[string]int{"b": 1, "c": 1}))
	l.EndRun(poison, "b")
	g.Expect(l.BeginRun(poison, "b")).To(gomega.BeTrue())
}

// Engines die while they run a long generation that was proven on each, and a
// request that had not produced a token. The latter is quarantined after two
// deaths, the former after four.
func TestWeakEvidenceWeighsHalf(t *testing.T) {
	g := gomega.NewWithT(t)
	l := New(Options{})
	l.Configure(2, DefaultQuarantine)
	for i, state := range []State{Suspect, Suspect, Suspect, Quarantined} {
		death := fmt.Sprint("engine-", i)
		l.RecordWeightedDeath(death, neighbour, true)
		l.RecordWeightedDeath(death, neighbour, true) // reported by both the router and the sidecar
		g.Expect(l.Verdict(neighbour).State).To(gomega.Equal(state))
	}
	l.RecordWeightedDeath("x", poison, false)
	g.Expect(l.Verdict(poison).StrongEvidence()).To(gomega.BeTrue())
	l.RecordWeightedDeath("y", poison, false)
	g.Expect(l.Verdict(poison).State).To(gomega.Equal(Quarantined))
}

// A full ledger must evict other suspects before a quarantined request, which could
// otherwise crash more engines at once.
func TestFullLedgerKeepsQuarantinedEntries(t *testing.T) {
	g := gomega.NewWithT(t)
	l := New(Options{Max: 3})
	l.RecordDeath("a", []types.Fingerprint{poison})
	l.RecordDeath("b", []types.Fingerprint{poison})
	l.RecordDeath("c", []types.Fingerprint{10, 11, 12, 13})
	g.Expect(l.Dump().Entries).To(gomega.HaveLen(3))
	g.Expect(l.Verdict(poison).State).To(gomega.Equal(Quarantined))
	g.Expect(l.Verdict(13).State).To(gomega.Equal(Suspect))
}

// Property: merging is commutative and idempotent. Ledgers that receive the same
// entries in any order, some of them twice, are equal after they exchanged all
// entries, and merging a ledger's own entries changes nothing.
func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	start := time.Now()
	entry := rapid.Custom(func(t *rapid.T) Entry {
		e := Entry{Fingerprint: types.Fingerprint(rapid.IntRange(1, 3).Draw(t, "fp"))}
		for range rapid.IntRange(0, 3).Draw(t, "deaths") {
			e.Deaths = append(e.Deaths, Death{
				ID:      fmt.Sprint(rapid.IntRange(1, 4).Draw(t, "death")),
				At:      start.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "at")) * time.Second),
				Cleared: rapid.Bool().Draw(t, "cleared"),
				Excuse:  rapid.SampledFrom([]Excuse{NoExcuse, ExcusePending, ExcuseDraining, ExcuseOther, ExcuseZoneLoss}).Draw(t, "excuse"),
			})
		}
		return e
	})
	now := func() time.Time { return start.Add(time.Minute) }
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		entries := rapid.SliceOfN(entry, 0, 8).Draw(t, "entries")
		ledgers := make([]*Ledger, 3)
		for i := range ledgers {
			ledgers[i] = New(Options{Now: now})
			for _, e := range rapid.Permutation(entries).Draw(t, "order") {
				ledgers[i].Merge([]Entry{e})
				if rapid.Bool().Draw(t, "twice") {
					ledgers[i].Merge([]Entry{e})
				}
			}
		}
		for range 2 {
			for _, from := range ledgers {
				entries, _ := from.Deltas(0)
				for _, to := range ledgers {
					to.Merge(entries)
				}
			}
		}
		for _, l := range ledgers[1:] {
			g.Expect(l.Dump()).To(gomega.BeComparableTo(ledgers[0].Dump(), ignoreUnsaved))
		}
		before := ledgers[0].Dump()
		own, _ := ledgers[0].Deltas(0)
		g.Expect(ledgers[0].Merge(own)).To(gomega.BeFalse(), "merging is idempotent")
		g.Expect(ledgers[0].Dump()).To(gomega.Equal(before))
	})
}

func BenchmarkVerdict(b *testing.B) {
	l := New(Options{})
	l.RecordDeath("a", []types.Fingerprint{poison})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			l.Verdict(neighbour)
		}
	})
}

func BenchmarkBeginEndRun(b *testing.B) {
	l := New(Options{})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		fp := types.FingerprintOf("o", []byte(fmt.Sprint(time.Now().UnixNano())))
		for pb.Next() {
			fp++
			l.BeginRun(fp, "a")
			l.EndRun(fp, "a")
		}
	})
}
