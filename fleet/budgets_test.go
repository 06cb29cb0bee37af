package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/retry"
)

const (
	budgetRatio = 0.8
	budgetExtra = 150.0
	budgetVMs   = 28
)

// budgetVM is the Budgets of one VM. The test carries the counts between VMs.
type budgetVM struct {
	*Budgets
	window *retry.Window
	seq    uint32
}

func newBudgetVM() *budgetVM {
	return &budgetVM{window: retry.NewWindow(10*time.Second, nil), Budgets: NewBudgets(BudgetsOptions{
		Socket: NewSocket("", nil, nil), CellPeers: func() []string { return nil }, Size: func() int { return budgetVMs },
		Ratio: budgetRatio, Extra: budgetExtra,
	})}
}

// retry asks for a retry as package exchange does.
func (v *budgetVM) retry() bool {
	v.window.SetLimits(budgetRatio, budgetExtra/budgetVMs)
	return v.Allow("s", v.window)
}

func (v *budgetVM) request() {
	v.window.RecordRequest()
	v.First("s", v.window)
}

func exchangeCounts(vms []*budgetVM) {
	for i, from := range vms {
		from.seq++
		raw := encodeTryCounts(from.ownCounts())
		for j, to := range vms {
			if i != j {
				to.receive(string(rune('a'+i)), header{incarnation: 1, seq: from.seq}, raw, time.Now())
			}
		}
	}
}

func newBudgetVMs() []*budgetVM {
	vms := make([]*budgetVM, budgetVMs)
	for i := range vms {
		vms[i] = newBudgetVM()
		for range 10 {
			vms[i].request()
		}
	}
	return vms
}

// A zone's loss hits three of 28 VMs with 18 streams each, more than their own parts
// allow. The other VMs' parts are free, and all streams continue within half a second.
func TestBudgetIsSharedInAMassLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		vms := newBudgetVMs()
		exchangeCounts(vms)
		for round := range 6 {
			for _, v := range vms[:3] {
				for range 3 {
					g.Expect(v.retry()).To(gomega.BeTrue(), "round %d", round)
				}
			}
			time.Sleep(60 * time.Millisecond)
			exchangeCounts(vms)
		}
	})
}

// For a while some VMs take all that they can get, then all VMs do, each time before any
// of them hears of the others' retries. Together they stay within the bound.
func TestBudgetHoldsWithConcurrentRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		vms := newBudgetVMs()
		for round := range 10 {
			exchangeCounts(vms)
			asking := vms
			if round < 5 {
				asking = vms[:3]
			}
			for _, v := range asking {
				for v.retry() {
				}
			}
			total := 0.0
			for _, v := range vms {
				_, retries := v.window.Counts()
				total += retries
			}
			g.Expect(total).To(gomega.BeNumerically("<=", budgetRatio*10*budgetVMs+budgetExtra))
			time.Sleep(maxPropagation + time.Millisecond)
		}
	})
}

// A VM that receives no reports has its own part and no more.
func TestIsolatedVMUsesOnlyItsOwnBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		vms := newBudgetVMs()
		exchangeCounts(vms)
		time.Sleep(countsTTL + time.Second)
		n := 0
		for vms[0].retry() {
			n++
		}
		g.Expect(n).To(gomega.BeNumerically("<=", budgetRatio*10+budgetExtra/budgetVMs))
	})
}

func FuzzDecodeBudget(f *testing.F) {
	f.Add(encodeTryCounts([]tryCounts{{1, 2, 3}}))
	f.Add([]byte{1})
	f.Fuzz(func(t *testing.T, raw []byte) {
		if list, ok := decodeTryCounts(raw); ok && len(raw) < maxDatagram-headerBytes && string(encodeTryCounts(list)) != string(raw) {
			t.Fatalf("%x became %x", raw, encodeTryCounts(list))
		}
	})
}

// Guards against fixed retries that are used again after a restart. All VMs are killed twice
// during a mass loss, after they have used their fixed retries, and know nothing of these
// when they are back. When the fixed retries returned little by little with the age of the
// process, backend servers got 653 retries in ten seconds where 639 were allowed. They may
// return only when the whole window lies after the start.
func TestFixedRetriesAreNotReusedAfterRestart(t *testing.T) {
	const (
		window     = 10 * time.Second
		entryShare = 0.85 // of the whole budget; the rest is kept back
	)
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		start := func() *budgetVM {
			w := retry.NewWindow(window, nil)
			return &budgetVM{window: w, Budgets: NewBudgets(BudgetsOptions{
				Socket: NewSocket("", nil, nil), CellPeers: func() []string { return nil }, Size: func() int { return 1 },
				Ratio: budgetRatio, Extra: budgetExtra, Window: window,
			})}
		}
		var taken []time.Time
		vm := start()
		time.Sleep(window)
		for step := range 80 {
			if step == 4 || step == 20 {
				vm = start()
			}
			vm.window.SetLimits(budgetRatio, entryShare*budgetExtra*FixedShare(vm.started, window)) // as package entry does
			for vm.Allow("s", vm.window) {
				taken = append(taken, time.Now())
			}
			time.Sleep(maxPropagation + 50*time.Millisecond)
		}
		most := 0
		for i, at := range taken {
			n := i
			for n < len(taken) && taken[n].Sub(at) <= window {
				n++
			}
			most = max(most, n-i)
		}
		g.Expect(most).To(gomega.BeNumerically("<=", budgetExtra))
		g.Expect(len(taken)).To(gomega.BeNumerically(">", budgetExtra), "the fixed retries return")
	})
}

// The fixed retries return once a window has passed since the start. Until then there are
// a few: a stream or two whose server fails must continue even if hardly any first tries
// allow retries.
func TestFixedRetriesReturnAfterOneWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		started := time.Now()
		g.Expect(FixedShare(started, 10*time.Second)).To(gomega.Equal(startupShare))
		time.Sleep(9900 * time.Millisecond)
		g.Expect(FixedShare(started, 10*time.Second)).To(gomega.Equal(startupShare))
		time.Sleep(100 * time.Millisecond)
		g.Expect(FixedShare(started, 10*time.Second)).To(gomega.BeEquivalentTo(1))
		g.Expect(FixedShare(time.Now(), 0)).To(gomega.BeEquivalentTo(1))
	})
}

// Guards against fixed retries that other VMs use after the VM that took them has
// restarted. In a mass loss all VMs have used their fixed retries. Half of them are killed
// and restart; their counts no longer include the retries that they sent before. The VMs
// that were not killed took these retries as free within the same window.
func TestForgottenRetriesAreNotUsedByOthers(t *testing.T) {
	const (
		window     = 10 * time.Second
		entryShare = 0.85
		size       = 10
	)
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		start := func() *budgetVM {
			return &budgetVM{window: retry.NewWindow(window, nil), Budgets: NewBudgets(BudgetsOptions{
				Socket: NewSocket("", nil, nil), CellPeers: func() []string { return nil }, Size: func() int { return size },
				Ratio: entryShare * budgetRatio, Extra: entryShare * budgetExtra, Window: window,
			})}
		}
		vms := make([]*budgetVM, size)
		for i := range vms {
			vms[i] = start()
		}
		time.Sleep(window)
		firsts, total := 0, 0
		request := func() {
			for _, v := range vms {
				v.request()
				firsts++
			}
		}
		request()
		incarnation := uint64(1)
		exchangeCounts := func() {
			for i, from := range vms {
				from.seq++
				raw := encodeTryCounts(from.ownCounts())
				for j, to := range vms {
					if i != j {
						to.receive(string(rune('a'+i)), header{incarnation: incarnation, seq: from.seq}, raw, time.Now())
					}
				}
			}
		}
		useRetries := func() {
			for range 6 {
				exchangeCounts()
				for _, v := range vms {
					v.window.SetLimits(entryShare*budgetRatio, entryShare*budgetExtra*FixedShare(v.started, window)/size)
					for v.Allow("s", v.window) {
						total++
					}
				}
				time.Sleep(maxPropagation + time.Millisecond)
			}
		}
		useRetries()
		before := total
		for i := range size / 2 {
			vms[i] = start() // killed and restarted within a second
		}
		incarnation++
		time.Sleep(600 * time.Millisecond)
		request()
		useRetries()
		allowed := budgetRatio*float64(firsts) + budgetExtra
		t.Logf("first tries %d, allowed %.0f, retries before the kill %d, after %d, all within %v", firsts, allowed, before, total, window)
		g.Expect(float64(total)).To(gomega.BeNumerically("<=", allowed))
	})
}
