package memberbench

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Members over real sockets, with package peer's headers, must find each other
// from seeds and all learn of a revision, a stop and a death.
func TestSmallSite(t *testing.T) {
	g := gomega.NewWithT(t)
	var results []Result
	opts := Options{Sizes: []int{6}, Window: time.Second, Rounds: 1}
	g.Expect(Run(t.Context(), opts, func(r Result) { results = append(results, r) })).To(gomega.Succeed())
	g.Expect(results).To(gomega.HaveLen(1))
	r := results[0]
	g.Expect(r.BytesPerSecond).To(gomega.And(gomega.BeNumerically(">", 100), gomega.BeNumerically("<", 4000)))
	for _, times := range []Times{r.Death, r.Leaving, r.Revision, r.NoNewWork} {
		g.Expect(times.Samples).To(gomega.HaveLen(1))
	}
}
