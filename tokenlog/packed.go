package tokenlog

import (
	"github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/types"
)

// packed keeps tokens in three flat slices: 8 bytes and its text for a token,
// and nothing for the garbage collector to follow.
type packed struct {
	ids  []uint32
	ends []uint32 // end of each token's text
	text []byte
}

// bytesPerToken is what packed keeps for a token besides its text.
const bytesPerToken = 8

func (p *packed) len() int   { return len(p.ids) }
func (p *packed) bytes() int { return bytesPerToken*len(p.ids) + len(p.text) }

func (p *packed) add(id uint32, text string) {
	p.ids = append(p.ids, id)
	p.text = append(p.text, text...)
	p.ends = append(p.ends, uint32(len(p.text)))
}

func (p *packed) at(i int) (id uint32, text []byte) {
	start := uint32(0)
	if i > 0 {
		start = p.ends[i-1]
	}
	return p.ids[i], p.text[start:p.ends[i]]
}

func (p *packed) same(i int, id uint32, text string) bool {
	heldID, heldText := p.at(i)
	return heldID == id && string(heldText) == text
}

// prefix returns a copy of the first n tokens.
func (p *packed) prefix(n int) packed {
	if n == 0 {
		return packed{}
	}
	return packed{
		ids:  append([]uint32(nil), p.ids[:n]...),
		ends: append([]uint32(nil), p.ends[:n]...),
		text: append([]byte(nil), p.text[:p.ends[n-1]]...),
	}
}

// wire returns tokens from index `from` on, at most limit bytes of them but
// at least one.
func (p *packed) wire(from, limit int) []*streampb.Token {
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

func (p *packed) tokens() []types.Token {
	out := make([]types.Token, p.len())
	for i := range out {
		id, text := p.at(i)
		out[i] = types.Token{ID: id, Text: string(text)}
	}
	return out
}
