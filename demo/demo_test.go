package demo_test

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/pearyard/pearyard/demo"
)

// What a newcomer runs first must work: two deaths survived, the answer whole.
func TestDemoIsWhole(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	g.Expect(demo.Run(t.Context(), &out)).To(Succeed())
	g.Expect(out.String()).To(ContainSubstring("deaths survived: 2"))
	g.Expect(out.String()).To(HaveSuffix("whole: yes\n"))
}
