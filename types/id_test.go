package types_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/pearyard/pearyard/types"
)

func FuzzParseEventID(f *testing.F) {
	f.Add("0123456789abcdef-00000001-00000002.7")
	f.Add("x")
	f.Add("0123456789abcdef-00000001-00000000.7")
	f.Add("-.")
	f.Add("0123456789abcdef-00000001-00000002.99999999999")
	f.Fuzz(func(t *testing.T, s string) {
		id, err := types.ParseEventID(s)
		if err != nil {
			return
		}
		again, err := types.ParseEventID(id.String())
		if err != nil || again != id || id.Index < 0 || id.Attempt == 0 {
			t.Fatalf("%q was parsed as %v, whose String was parsed as %v (%v)", s, id, again, err)
		}
	})
}

// Property: a generation may resume at lower and higher indexes, because a router
// may know fewer tokens than the previous one. Each index must have exactly one
// producer, the newest attempt that began at or before it.
func TestLineageHasOneProducerPerIndex(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var lineage types.Lineage
		const tokens = 40
		producers := make([]types.AttemptTag, tokens)
		for attempt := types.AttemptTag(1); attempt <= 6; attempt++ {
			from := rapid.IntRange(0, tokens-1).Draw(t, "from")
			if attempt == 1 {
				from = 0
			}
			lineage = lineage.Extend(attempt, from)
			for i := from; i < tokens; i++ {
				producers[i] = attempt
			}
			for i, want := range producers {
				if got := lineage.At(i); got != want || !lineage.Produced(want, i) {
					t.Fatalf("index %d: At returned attempt %d, want %d, which Produced must confirm; lineage %v", i, got, want, lineage)
				}
			}
			if lineage.Last() != attempt {
				t.Fatalf("Last returned attempt %d, want %d", lineage.Last(), attempt)
			}
		}
	})
}

// Requests of different organisations, or under different idempotency keys, must
// not share a key, a fingerprint or a generation. Concatenating the two parts of
// a hash without a separator would let "a"+"bc" collide with "ab"+"c".
func TestIdentifiersAreDistinct(t *testing.T) {
	g := NewWithT(t)
	g.Expect(types.KeyOf("a", "bc")).NotTo(Equal(types.KeyOf("ab", "c")))
	g.Expect(types.FingerprintOf("a", []byte("x"))).NotTo(Equal(types.FingerprintOf("b", []byte("x"))))
	g.Expect(types.NewGenerationID(1)).NotTo(Equal(types.NewGenerationID(1)))
}
