package fleet

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/types"
)

// twoRefusals returns the refusals of two VMs that reach each other while up is true.
func twoRefusals(ctx context.Context, up *atomic.Bool) (a, b *Refusals) {
	start := func(s *Socket) *Refusals {
		r := NewRefusals(s)
		go func() { _ = r.Run(ctx) }()
		return r
	}
	first, second := linkedSockets(up)
	return start(first), start(second)
}

func TestRefusedCallerIsKnownAtOtherVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		var up atomic.Bool
		up.Store(true)
		a, b := twoRefusals(t.Context(), &up)
		a.Record(7, time.Now().Add(3*time.Second))
		a.Record(8, time.Now().Add(3*time.Second))
		g.Expect(a.Returns(7)).To(gomega.BeTrue())
		time.Sleep(refusalInterval + time.Millisecond)
		g.Expect(b.Returns(7)).To(gomega.BeTrue())
		g.Expect(b.Returns(8)).To(gomega.BeTrue())
		g.Expect(b.Returns(9)).To(gomega.BeFalse())
		time.Sleep(3 * time.Second)
		g.Expect(a.Returns(7)).To(gomega.BeFalse())
		g.Expect(b.Returns(7)).To(gomega.BeFalse())
	})
}

// Guards against a lost report that more than its own callers suffer from.
func TestLostReportOfRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		var up atomic.Bool
		a, b := twoRefusals(t.Context(), &up)
		a.Record(7, time.Now().Add(time.Minute))
		time.Sleep(time.Second)
		up.Store(true)
		a.Record(8, time.Now().Add(time.Minute))
		time.Sleep(time.Second)
		g.Expect(b.Returns(7)).To(gomega.BeFalse())
		g.Expect(b.Returns(8)).To(gomega.BeTrue())
	})
}

// Guards against a report that can't be read, and against more refusals than are remembered.
func TestUnreadableAndTooManyRefusals(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, raw := range [][]byte{nil, {1}, make([]byte, refusalBytes-1), make([]byte, refusalBytes+1)} {
		_, ok := decodeRefusals(raw)
		g.Expect(ok).To(gomega.BeFalse(), "%v", raw)
	}
	r := NewRefusals(NewSocket("a", func() []string { return nil }, nil))
	now := time.Now()
	for i := range types.Fingerprint(maxRefusals) {
		r.remember(i, now.Add(time.Second), now)
	}
	r.remember(maxRefusals, now.Add(time.Second), now)
	g.Expect(r.until).To(gomega.HaveLen(maxRefusals))
	g.Expect(r.until).NotTo(gomega.HaveKey(types.Fingerprint(maxRefusals)))
	later := now.Add(2 * time.Second)
	r.remember(maxRefusals, later.Add(time.Second), later)
	g.Expect(r.until).To(gomega.HaveLen(1), "those that are over make room")
}
