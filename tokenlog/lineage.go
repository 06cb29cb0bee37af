package tokenlog

import (
	"slices"

	"github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/types"
)

// maxIndex limits token indexes received from other processes.
const maxIndex = 1 << 24

// segmentsBefore returns the segments of a lineage that produced its first n tokens.
func segmentsBefore(l types.Lineage, n int) types.Lineage {
	for i, s := range l {
		if s.From >= n {
			return l[:i]
		}
	}
	return l
}

// sameUpTo reports whether two lineages share their first n tokens.
func sameUpTo(a, b types.Lineage, n int) bool {
	return slices.Equal(segmentsBefore(a, n), segmentsBefore(b, n))
}

// validLineage reports whether a lineage starts at 0, has increasing start indexes, and
// names an attempt in each segment.
func validLineage(l types.Lineage) bool {
	if len(l) == 0 || l[0].From != 0 {
		return false
	}
	for i, s := range l {
		if s.Attempt == 0 || s.From > maxIndex || (i > 0 && s.From <= l[i-1].From) {
			return false
		}
	}
	return true
}

func lineageToWire(l types.Lineage) []*streampb.Segment {
	out := make([]*streampb.Segment, len(l))
	for i, s := range l {
		out[i] = &streampb.Segment{Attempt: uint32(s.Attempt), From: uint32(s.From)}
	}
	return out
}

func lineageFromWire(segments []*streampb.Segment) types.Lineage {
	out := make(types.Lineage, len(segments))
	for i, s := range segments {
		out[i] = types.Segment{Attempt: types.AttemptTag(s.GetAttempt()), From: int(s.GetFrom())}
	}
	return out
}

func tokensFromWire(tokens []*streampb.Token) []types.Token {
	out := make([]types.Token, len(tokens))
	for i, t := range tokens {
		out[i] = types.Token{ID: t.GetId(), Text: t.GetText()}
	}
	return out
}
