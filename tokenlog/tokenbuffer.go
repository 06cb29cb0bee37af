package tokenlog

import (
	"github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/types"
)

// tokenBuffer stores tokens in three flat slices. A token takes 8 bytes plus its text, and
// there are no pointers for the garbage collector to trace.
type tokenBuffer struct {
	ids  []uint32
	ends []uint32 // end offset of each token's text
	text []byte
}

// bytesPerToken is the memory of a token besides its text.
const bytesPerToken = 8

func (b *tokenBuffer) len() int   { return len(b.ids) }
func (b *tokenBuffer) bytes() int { return bytesPerToken*len(b.ids) + len(b.text) }

func (b *tokenBuffer) add(id uint32, text string) {
	b.ids = append(b.ids, id)
	b.text = append(b.text, text...)
	b.ends = append(b.ends, uint32(len(b.text)))
}

func (b *tokenBuffer) at(i int) (id uint32, text []byte) {
	start := uint32(0)
	if i > 0 {
		start = b.ends[i-1]
	}
	return b.ids[i], b.text[start:b.ends[i]]
}

func (b *tokenBuffer) matches(i int, id uint32, text string) bool {
	heldID, heldText := b.at(i)
	return heldID == id && string(heldText) == text
}

// prefix returns a copy of the first n tokens.
func (b *tokenBuffer) prefix(n int) tokenBuffer {
	if n == 0 {
		return tokenBuffer{}
	}
	return tokenBuffer{
		ids:  append([]uint32(nil), b.ids[:n]...),
		ends: append([]uint32(nil), b.ends[:n]...),
		text: append([]byte(nil), b.text[:b.ends[n-1]]...),
	}
}

// toWire returns the tokens from index from on, limited to limit bytes but at least one
// token.
func (b *tokenBuffer) toWire(from, limit int) []*streampb.Token {
	var out []*streampb.Token
	for i := from; i < b.len(); i++ {
		id, text := b.at(i)
		limit -= len(text) + bytesPerToken
		if limit < 0 && len(out) > 0 {
			break
		}
		out = append(out, &streampb.Token{Id: id, Text: string(text)})
	}
	return out
}

func (b *tokenBuffer) tokens() []types.Token {
	out := make([]types.Token, b.len())
	for i := range out {
		id, text := b.at(i)
		out[i] = types.Token{ID: id, Text: string(text)}
	}
	return out
}
