package membership

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/pearyard/pearyard/types"
)

func drawRecord(t *rapid.T, label string) record {
	small := func(what string, most int) int { return rapid.IntRange(0, most).Draw(t, label+what) }
	r := record{
		ID: "m", Role: types.RoleSidecar,
		Incarnation: types.Incarnation(1 + small("incarnation", 1)),
		Counter:     uint32(small("counter", 2)),
		Condition:   condition(small("condition", 2)),
		Leaving:     small("leaving", 1) == 1,
		Revision:    types.Revision(small("revision", 2)),
	}
	if small("short", 2) > 0 {
		r.Address = fmt.Sprintf("a%d:1", small("address", 1))
		r.Zone = "z"
	}
	return r
}

// Records arrive late, repeatedly and in any order; all members must converge to
// the same state, or some would send work where others know it must not go.
func TestMergeIsASemilattice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawRecord(t, "a"), drawRecord(t, "b"), drawRecord(t, "c")
		if merge(a, b) != merge(b, a) {
			t.Fatalf("not commutative: %+v, %+v", merge(a, b), merge(b, a))
		}
		if merge(merge(a, b), c) != merge(a, merge(b, c)) {
			t.Fatalf("not associative: %+v, %+v", merge(merge(a, b), c), merge(a, merge(b, c)))
		}
		if merge(a, a) != a || merge(merge(a, b), b) != merge(a, b) {
			t.Fatalf("not idempotent: %+v, %+v", a, b)
		}
		if covers(a, b) && !equalExceptRevision(short(merge(a, b)), short(a)) {
			t.Fatalf("covers reports that %+v adds nothing to %+v, but merging changes it", b, a)
		}
		if got := decode(encode(a)); got != a {
			t.Fatalf("encoding and decoding changed %+v to %+v", a, got)
		}
	})
}

// short drops the fields that covers doesn't compare.
func short(r record) record { return decode(encodeShort(r)) }
