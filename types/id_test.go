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
			t.Fatalf("%q was read as %v, then as %v (%v)", s, id, again, err)
		}
	})
}

// A generation resumes several times, at falling and rising indexes, since a
// router may know fewer tokens than the one before it. Each index must have one
// producer, and it must be the newest attempt that began at or before it.
func TestLineageNamesOneProducer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var lineage types.Lineage
		const most = 40
		producers := make([]types.AttemptTag, most)
		for attempt := types.AttemptTag(1); attempt <= 6; attempt++ {
			from := rapid.IntRange(0, most-1).Draw(t, "from")
			if attempt == 1 {
				from = 0
			}
			lineage = lineage.Extend(attempt, from)
			for i := from; i < most; i++ {
				producers[i] = attempt
			}
			for i, want := range producers {
				if got := lineage.At(i); got != want || !lineage.Produced(want, i) {
					t.Fatalf("index %d: producer %d, want %d in %v", i, got, want, lineage)
				}
			}
			if lineage.Last() != attempt {
				t.Fatalf("last is %d, want %d", lineage.Last(), attempt)
			}
		}
	})
}

// A caller sends the same body under another organisation's or its own other
// key. The requests must not share a generation.
func TestKeysAreApart(t *testing.T) {
	g := NewWithT(t)
	g.Expect(types.KeyOf("a", "bc")).NotTo(Equal(types.KeyOf("ab", "c")))
	g.Expect(types.FingerprintOf("a", []byte("x"))).NotTo(Equal(types.FingerprintOf("b", []byte("x"))))
	g.Expect(types.NewGenerationID(1)).NotTo(Equal(types.NewGenerationID(1)))
}
