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
	v.window.Bound(budgetRatio, budgetExtra/budgetVMs)
	return v.Allow("s", v.window)
}

func (v *budgetVM) request() {
	v.window.First()
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

// All VMs are killed in the middle of a mass loss, after they have used what is
// allowed beside the share of first tries. Those that start again know nothing
// of it; they must not use it all once more within the same window.
func TestFixedRetriesComeBackByAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		started := time.Now()
		g.Expect(Grown(started, 10*time.Second)).To(gomega.BeZero())
		time.Sleep(5 * time.Second)
		g.Expect(Grown(started, 10*time.Second)).To(gomega.BeNumerically("~", 0.5))
		time.Sleep(time.Minute)
		g.Expect(Grown(started, 10*time.Second)).To(gomega.BeEquivalentTo(1))
		g.Expect(Grown(time.Now(), 0)).To(gomega.BeEquivalentTo(1))
	})
}
