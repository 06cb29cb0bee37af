package fleet

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// limitCases are sites with servers that name limits: a small site as in the record, with
// part and all of its servers limited, below one request a second, and larger ones.
var limitCases = []struct {
	vms, servers, limited int
	limit, perSecond      float64
}{
	{4, 4, 2, 2.6, 36},
	{4, 4, 4, 2.6, 36},
	{4, 4, 2, 0.5, 36},
	{3, 24, 24, 0.4, 30},
	{31, 4, 2, 8, 115},
	{31, 4, 4, 0.3, 115},
	{300, 40, 20, 3, 400},
}

// Guards against servers that get more than the limit that they name, by the VMs together.
func TestLimitThatServersNameHolds(t *testing.T) {
	for _, c := range limitCases {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				m := newLimitSite(t, c.vms, c.servers)
				m.call(t, c.perSecond, 3*time.Second)
				for _, id := range m.ids[:c.limited] {
					m.servers[id].nameLimit(c.limit)
				}
				m.call(t, c.perSecond, 12*time.Second)
				for _, id := range m.ids[:c.limited] {
					s := m.servers[id]
					g.Expect(float64(s.mostInSpan())).To(gomega.BeNumerically("<=", s.allowedInSpan()), id)
				}
			})
		})
	}
}
