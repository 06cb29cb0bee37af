package demo_test

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/pearyard/pearyard/demo"
)

// The demo is what a new user runs first. It must survive both kills and deliver the
// complete answer.
func TestDemoIsWhole(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	g.Expect(demo.Run(t.Context(), &out)).To(Succeed())
	g.Expect(out.String()).To(ContainSubstring("deaths survived: 2"))
	g.Expect(out.String()).To(HaveSuffix("whole: yes\n"))
}
