package config

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/pearyard/pearyard/types"
)

func FuzzDelta(f *testing.F) {
	f.Add([]byte("one line that is long enough\nsecond line, long enough too\n"), []byte("second line, long enough too\none line that is long enough\n"))
	f.Add([]byte(""), []byte("x"))
	f.Add([]byte("aaaa"), []byte("aa"))
	f.Fuzz(func(t *testing.T, base, next []byte) {
		delta := makeDelta(1, 2, base, next)
		if delta == nil {
			return
		}
		got, err := applyDelta(base, delta)
		if err != nil || !bytes.Equal(got, next) {
			t.Fatalf("%q + delta = %q, %v; want %q", base, got, err, next)
		}
	})
}

func TestDeltaChainHasNoGap(t *testing.T) {
	g := NewWithT(t)
	h := NewHolder(HolderOptions{})
	for rev := range maxDeltas + 5 {
		_, err := h.Offer(types.Revision(1+2*rev), []byte(`{"limits":{"maxTokens":`+string(rune('1'+rev%9))+`}}`))
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(h.deltas).To(HaveLen(maxDeltas))
	g.Expect(h.deltas.since(h.Revision() - 4)).To(HaveLen(2))
	g.Expect(h.deltas.since(h.Revision()-3)).To(BeNil(), "a revision that was never in force here")
	g.Expect(h.deltas.since(1)).To(BeNil())
}

func TestInflateBounds(t *testing.T) {
	g := NewWithT(t)
	packed, err := deflate(make([]byte, 1000))
	g.Expect(err).NotTo(HaveOccurred())
	for _, size := range []uint64{999, 1001, maxConfigBytes + 1} {
		_, err = inflate(packed, size)
		g.Expect(err).To(HaveOccurred(), "size %d", size)
	}
}
