package fleet

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/rollout"
	"github.com/pearyard/pearyard/types"
)

func randomReport(rng *rand.Rand) rollout.Report {
	r := rollout.Report{Service: rng.Uint32(), Position: types.Position(rng.Uint64()), Stopped: rng.IntN(2) == 0, Evidence: rollout.Evidence{}}
	for range rng.IntN(6) {
		c := &rollout.Comparison{}
		for _, s := range []*rollout.Sample{&c.Established, &c.New} {
			s.Ended = uint32(rng.IntN(1000))
			s.Failed = uint32(rng.IntN(int(s.Ended) + 1))
			for _, h := range []*rollout.Histogram{&s.First, &s.Pace, &s.Pending} {
				h[rng.IntN(len(h))] = uint32(rng.IntN(1000))
			}
		}
		r.Evidence[rng.Uint32()] = c
	}
	return r
}

func TestRolloutReportRoundTrip(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 500 {
		g := gomega.NewWithT(t)
		sent := randomReport(rng)
		encoded := encodeReport(sent)
		g.Expect(len(encoded.raw)).To(gomega.BeNumerically("<=", maxDatagram-headerBytes))
		got, ok := decodeReport(encoded.raw)
		g.Expect(ok).To(gomega.BeTrue())
		g.Expect(got).To(gomega.Equal(sent))
	}
}

func TestRolloutNoticeRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	sent := []rollout.Notice{{Service: 7, Position: 1 << 40, Phase: rollout.Stopped}, {Service: 8, Position: 9, Phase: rollout.Trial}}
	got, ok := decodeNotices(encodeNotices(sent).raw)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(got).To(gomega.Equal(sent))
	_, ok = decodeNotices([]byte{1, 2, 3})
	g.Expect(ok).To(gomega.BeFalse())
}

// Any program may send to the port: what can't be read must be dropped, not crash.
func FuzzDecodeRolloutReport(f *testing.F) {
	f.Add(encodeReport(randomReport(rand.New(rand.NewPCG(3, 4)))).raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		r, ok := decodeReport(raw)
		if !ok {
			return
		}
		for _, c := range r.Evidence {
			if c.New.Failed > c.New.Ended {
				t.Fatal("more failures than answers")
			}
		}
		var timeline rollout.Timeline
		for i := range 3 {
			rollout.Judge(timeline.Observe(r.Evidence, rollout.Trial, time.Minute, time.Unix(int64(i), 0)))
		}
	})
}
