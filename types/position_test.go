package types

import (
	"math"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against a position of an earlier era that counts as a later one since its revision
// is higher.
func TestPositionsOfLaterErasComeLater(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(NewPosition(2, 1) > NewPosition(1, 1000)).To(gomega.BeTrue())
	g.Expect(NewPosition(1, 2) > NewPosition(1, 1)).To(gomega.BeTrue())
	g.Expect(NewPosition(0, 7)).To(gomega.Equal(Position(7)))
	p := NewPosition(3, 53)
	g.Expect([]uint64{p.Era(), p.Revision()}).To(gomega.Equal([]uint64{3, 53}))
	g.Expect(p.String()).To(gomega.Equal("3.53"))
	g.Expect(Position(53).String()).To(gomega.Equal("53"))
}

func TestPositionKeepsItsPartsApartBeyondTheirRange(t *testing.T) {
	g := gomega.NewWithT(t)
	p := NewPosition(1, math.MaxUint64)
	g.Expect(p.Era()).To(gomega.Equal(uint64(1)))
	g.Expect(p < NewPosition(2, 0)).To(gomega.BeTrue())
	g.Expect(NewPosition(math.MaxUint64, 5).Revision()).To(gomega.Equal(uint64(5)))
}
