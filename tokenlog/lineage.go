package tokenlog

import (
	"slices"

	"github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/types"
)

// maxIndex bounds token indexes taken from the wire.
const maxIndex = 1 << 24

// agreed returns the part of a lineage that decides the first n tokens.
func agreed(l types.Lineage, n int) types.Lineage {
	for i, s := range l {
		if s.From >= n {
			return l[:i]
		}
	}
	return l
}

// sameUpTo reports whether two lineages have the same first n tokens.
func sameUpTo(a, b types.Lineage, n int) bool {
	return slices.Equal(agreed(a, n), agreed(b, n))
}

// validLineage: it starts at 0, grows, and names an attempt in each segment.
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
