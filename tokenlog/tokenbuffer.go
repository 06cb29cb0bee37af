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

func (p *tokenBuffer) len() int   { return len(p.ids) }
func (p *tokenBuffer) bytes() int { return bytesPerToken*len(p.ids) + len(p.text) }

func (p *tokenBuffer) add(id uint32, text string) {
	p.ids = append(p.ids, id)
	p.text = append(p.text, text...)
	p.ends = append(p.ends, uint32(len(p.text)))
}

func (p *tokenBuffer) at(i int) (id uint32, text []byte) {
	start := uint32(0)
	if i > 0 {
		start = p.ends[i-1]
	}
	return p.ids[i], p.text[start:p.ends[i]]
}

func (p *tokenBuffer) matches(i int, id uint32, text string) bool {
	heldID, heldText := p.at(i)
	return heldID == id && string(heldText) == text
}

// prefix returns a copy of the first n tokens.
func (p *tokenBuffer) prefix(n int) tokenBuffer {
	if n == 0 {
		return tokenBuffer{}
	}
	return tokenBuffer{
		ids:  append([]uint32(nil), p.ids[:n]...),
		ends: append([]uint32(nil), p.ends[:n]...),
		text: append([]byte(nil), p.text[:p.ends[n-1]]...),
	}
}

// toWire returns the tokens from index from on, limited to limit bytes but at least one
// token.
func (p *tokenBuffer) toWire(from, limit int) []*streampb.Token {
	var out []*streampb.Token
	for i := from; i < p.len(); i++ {
		id, text := p.at(i)
		limit -= len(text) + bytesPerToken
		if limit < 0 && len(out) > 0 {
			break
		}
		out = append(out, &streampb.Token{Id: id, Text: string(text)})
	}
	return out
}

func (p *tokenBuffer) tokens() []types.Token {
	out := make([]types.Token, p.len())
	for i := range out {
		id, text := p.at(i)
		out[i] = types.Token{ID: id, Text: string(text)}
	}
	return out
}
