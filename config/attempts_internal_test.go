package config

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Two hundred processes are replaced a day, each with a new address. Records of
// failed fetches must be dropped when a newer revision is in force, or they
// would accumulate.
func TestResetForgetsAttempts(t *testing.T) {
	g := NewWithT(t)
	var a fetchAttempts
	a.begin("gone", 2)()
	gone, fresh := &hint{"gone", 2}, &hint{"fresh", 2}
	g.Expect(a.prefer(fresh, gone)).To(BeTrue())
	g.Expect(a.prefer(gone, fresh)).To(BeFalse())
	g.Expect(a.prefer(&hint{"gone", 3}, fresh)).To(BeTrue())
	a.reset()
	a.byAddr.Range(func(any, any) bool { t.Error("attempt still recorded"); return false })
}
