package fleet

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// twoPressures returns the Pressures of two VMs that reach each other while up is true.
func twoPressures(ctx context.Context, up *atomic.Bool) (a, b *Pressure) {
	start := func(s *Socket, peer string) *Pressure {
		p := NewPressure(s, func() []string { return []string{peer} })
		go func() { _ = p.Run(ctx) }()
		return p
	}
	first, second := linkedSockets(up)
	return start(first, "b"), start(second, "a")
}

func TestHeldBackClassIsKnownAtOtherVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		var up atomic.Bool
		up.Store(true)
		a, b := twoPressures(t.Context(), &up)
		a.HoldBack("s", 3)
		a.HoldBack("s", 1)
		a.HoldBack("s", 2)
		time.Sleep(pressureInterval + time.Millisecond) // the first one may have been sent by itself
		rank, ok := b.MostUrgent("s")
		g.Expect(ok).To(gomega.BeTrue())
		g.Expect(rank).To(gomega.Equal(1))
		_, ok = b.MostUrgent("other")
		g.Expect(ok).To(gomega.BeFalse())
		_, ok = a.MostUrgent("s")
		g.Expect(ok).To(gomega.BeFalse(), "a VM knows of its own streams")
	})
}

// Guards against less urgent streams that are held back for a VM which died or is cut off.
func TestHeldBackClassIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		var up atomic.Bool
		up.Store(true)
		a, b := twoPressures(t.Context(), &up)
		a.HoldBack("s", 0)
		synctest.Wait()
		time.Sleep(pressureTTL - time.Millisecond)
		_, ok := b.MostUrgent("s")
		g.Expect(ok).To(gomega.BeTrue())
		time.Sleep(time.Millisecond)
		_, ok = b.MostUrgent("s")
		g.Expect(ok).To(gomega.BeFalse())

		up.Store(false)
		a.HoldBack("s", 0)
		time.Sleep(3 * pressureInterval)
		up.Store(true)
		time.Sleep(time.Second)
		_, ok = b.MostUrgent("s")
		g.Expect(ok).To(gomega.BeFalse(), "an old report is not sent later")
	})
}

func TestUnreadablePressure(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, raw := range [][]byte{nil, {1}, make([]byte, pressureBytes-1), make([]byte, pressureBytes+1)} {
		_, ok := decodePressure(raw)
		g.Expect(ok).To(gomega.BeFalse(), "%v", raw)
	}
	held, ok := decodePressure(encodePressure(map[uint32]uint8{7: 3, 8: 0}).raw)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(held).To(gomega.Equal(map[uint32]uint8{7: 3, 8: 0}))
}
