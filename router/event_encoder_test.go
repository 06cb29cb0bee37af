package router

import (
	"testing"
	"unicode/utf8"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/pearyard/pearyard/types"
)

// Events are assembled from parts. They must be byte for byte what marshalling the
// whole gives: an unescaped quote, control character or non-ASCII text would be
// rejected by the caller's JSON decoder, or differ from the engine's token.
func TestEventEncoderMatchesMarshal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		gr := &generationRequest{model: rapid.String().Filter(utf8.ValidString).Draw(t, "model"), chat: rapid.Bool().Draw(t, "chat")}
		builder := bodyBuilder{req: gr, id: types.NewGenerationID(types.Key(rapid.Uint64().Draw(t, "key"))), created: 7}
		e := newEventEncoder(&builder)
		for i := range 3 {
			text := rapid.OneOf(rapid.String(), rapid.SampledFrom([]string{"", `":""`, "<a&b>", "\u2028", "\xff", " w00ff"})).Draw(t, "text")
			id := types.EventID{Generation: builder.id, Attempt: types.AttemptTag(rapid.Uint32Min(1).Draw(t, "attempt")), Index: i}
			want := (&streamAnswer{}).appendData([]byte("id: "+id.String()+"\n"), builder.chunk(text, nil))
			g.Expect(string(e.append(nil, id, text))).To(Equal(string(want)))
		}
	})
}

func BenchmarkEvent(b *testing.B) {
	builder := bodyBuilder{req: &generationRequest{model: "pear-draft"}, id: types.NewGenerationID(1), created: 7}
	e := newEventEncoder(&builder)
	var buf []byte
	b.ReportAllocs()
	for i := range b.N {
		buf = e.append(buf[:0], types.EventID{Generation: builder.id, Attempt: 9, Index: i}, " w01234567")
	}
}
