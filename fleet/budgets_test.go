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

// budgetVM is one VM's part; the test carries words between them.
type budgetVM struct {
	*Budgets
	window *retry.Window
	seq    uint32
}

func newBudgetVM() *budgetVM {
	return &budgetVM{window: retry.NewWindow(10*time.Second, nil), Budgets: NewBudgets(BudgetsOptions{
		Socket: NewSocket("", nil, nil), Near: func() []string { return nil }, Size: func() int { return budgetVMs },
		Ratio: budgetRatio, Extra: budgetExtra,
	})}
}

// again asks for a retry as package exchange does.
func (v *budgetVM) again() bool {
	v.window.SetLimits(budgetRatio, budgetExtra/budgetVMs)
	return v.Allow("s", v.window)
}

func (v *budgetVM) request() {
	v.window.RecordRequest()
	v.First("s", v.window)
}

func tellAll(vms []*budgetVM) {
	for i, from := range vms {
		from.seq++
		raw := encodeBudget(from.counted()).raw
		for j, to := range vms {
			if i != j {
				to.take(string(rune('a'+i)), head{life: 1, seq: from.seq}, raw, time.Now())
			}
		}
	}
}

func site28() []*budgetVM {
	vms := make([]*budgetVM, budgetVMs)
	for i := range vms {
		vms[i] = newBudgetVM()
		for range 10 {
			vms[i].request()
		}
	}
	return vms
}

// A zone's loss hits three of 28 VMs with 18 streams each, more than their own
// parts allow; the others' are free, and the streams go on within half a second.
func TestBudgetIsSharedInAMassLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		vms := site28()
		tellAll(vms)
		for round := range 6 {
			for _, v := range vms[:3] {
				for range 3 {
					g.Expect(v.again()).To(gomega.BeTrue(), "round %d", round)
				}
			}
			time.Sleep(60 * time.Millisecond)
			tellAll(vms)
		}
	})
}

// Some VMs take all that they can get for a while, then all do, each time before
// any of them hears of the others'. Together they stay within the bound.
func TestBudgetHoldsHoweverManyAskAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		vms := site28()
		for round := range 10 {
			tellAll(vms)
			asking := vms
			if round < 5 {
				asking = vms[:3]
			}
			for _, v := range asking {
				for v.again() {
				}
			}
			total := 0.0
			for _, v := range vms {
				_, again := v.window.Counts()
				total += again
			}
			g.Expect(total).To(gomega.BeNumerically("<=", budgetRatio*10*budgetVMs+budgetExtra))
			time.Sleep(unknownFor + time.Millisecond)
		}
	})
}

// A VM that hears nobody has its own part and no more.
func TestBudgetOfAVMThatIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		vms := site28()
		tellAll(vms)
		time.Sleep(budgetLife + time.Second)
		n := 0
		for vms[0].again() {
			n++
		}
		g.Expect(n).To(gomega.BeNumerically("<=", budgetRatio*10+budgetExtra/budgetVMs))
	})
}

func FuzzDecodeBudget(f *testing.F) {
	f.Add(encodeBudget([]spent{{1, 2, 3}}).raw)
	f.Add([]byte{1})
	f.Fuzz(func(t *testing.T, raw []byte) {
		if list, ok := decodeBudget(raw); ok && len(raw) < maxDatagram-headBytes && string(encodeBudget(list).raw) != string(raw) {
			t.Fatalf("%x", raw)
		}
	})
}

// All VMs are killed twice in the middle of a mass loss, after they have sent
// again what is allowed beside the share of first tries. Those that start again
// know nothing of it, and what came back to them with their age was used beside
// it: backend servers got 653 repeats in ten seconds where 639 were allowed. The
// fixed retries are there again when the window is all the process's own.
func TestFixedRetriesAreNotUsedTwiceOverARestart(t *testing.T) {
	const (
		window     = 10 * time.Second
		entryShare = 0.85 // of the whole; the rest is kept back
	)
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		start := func() *budgetVM {
			w := retry.NewWindow(window, nil)
			return &budgetVM{window: w, Budgets: NewBudgets(BudgetsOptions{
				Socket: NewSocket("", nil, nil), Near: func() []string { return nil }, Size: func() int { return 1 },
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
			time.Sleep(unknownFor + 50*time.Millisecond)
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
		g.Expect(len(taken)).To(gomega.BeNumerically(">", budgetExtra), "they come back")
	})
}

// The fixed retries come back when a window has passed since the start. Until
// then there are a few: a stream or two whose server dies must go on also where
// hardly any first tries pay for it.
func TestFixedRetriesComeBackByAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		started := time.Now()
		g.Expect(FixedShare(started, 10*time.Second)).To(gomega.Equal(youngShare))
		time.Sleep(9900 * time.Millisecond)
		g.Expect(FixedShare(started, 10*time.Second)).To(gomega.Equal(youngShare))
		time.Sleep(100 * time.Millisecond)
		g.Expect(FixedShare(started, 10*time.Second)).To(gomega.BeEquivalentTo(1))
		g.Expect(FixedShare(time.Now(), 0)).To(gomega.BeEquivalentTo(1))
	})
}

// In a mass loss all VMs have used their fixed retries. Half of them are killed
// and start again; they have forgotten what they sent again, and say so by their
// counts. Those that were not killed took the killed ones' retries as free, in
// the same window: the fixed retries were used again, not by the young processes
// but by the old ones.
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
				Socket: NewSocket("", nil, nil), Near: func() []string { return nil }, Size: func() int { return size },
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
		life := uint64(1)
		tell := func() {
			for i, from := range vms {
				from.seq++
				raw := encodeBudget(from.counted()).raw
				for j, to := range vms {
					if i != j {
						to.take(string(rune('a'+i)), head{life: life, seq: from.seq}, raw, time.Now())
					}
				}
			}
		}
		use := func() {
			for range 6 {
				tell()
				for _, v := range vms {
					v.window.SetLimits(entryShare*budgetRatio, entryShare*budgetExtra*FixedShare(v.started, window)/size)
					for v.Allow("s", v.window) {
						total++
					}
				}
				time.Sleep(unknownFor + time.Millisecond)
			}
		}
		use()
		before := total
		for i := range size / 2 {
			vms[i] = start() // killed and started again within a second
		}
		life++
		time.Sleep(600 * time.Millisecond)
		request()
		use()
		allowed := budgetRatio*float64(firsts) + budgetExtra
		t.Logf("first tries %d, allowed %.0f, repeats before the kill %d, after %d, all within %v", firsts, allowed, before, total, window)
		g.Expect(float64(total)).To(gomega.BeNumerically("<=", allowed))
	})
}
