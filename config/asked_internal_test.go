package config

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Two hundred processes are replaced a day, each with an address of its own.
// What is remembered of those asked in vain must end with the next text.
func TestAskedInVainAreForgotten(t *testing.T) {
	g := NewWithT(t)
	var a asked
	a.begin("gone", 2)()
	gone, fresh := &hint{"gone", 2}, &hint{"fresh", 2}
	g.Expect(a.better(fresh, gone)).To(BeTrue())
	g.Expect(a.better(gone, fresh)).To(BeFalse())
	g.Expect(a.better(&hint{"gone", 3}, fresh)).To(BeTrue())
	a.forget()
	a.byAddress.Range(func(any, any) bool { t.Error("still remembered"); return false })
}
