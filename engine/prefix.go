package engine

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/pearyard/pearyard/types"
)

const (
	// BlockTokens is the number of tokens in one block of a prefix cache.
	BlockTokens = 16
	// maxTokenBytes is the length of the longest piece of a word that counts as one
	// token.
	maxTokenBytes = 4
)

// Prefix identifies a prompt and the tokens emitted so far in a prefix cache.
type Prefix struct {
	Tokens int      // number of tokens, including those of an incomplete last block
	Blocks []uint64 // chained hash of each whole block, as in CacheEvent.Block
}

// PrefixOf splits a prompt into tokens (each word into pieces of four bytes; each
// emitted token counts as one) and hashes them block by block. Every hash also
// covers all earlier blocks, so that equal hashes mean equal prefixes.
func PrefixOf(prompt string, emitted []types.Token) Prefix {
	var p prefixHash
	for word := range strings.FieldsSeq(prompt) {
		for len(word) > maxTokenBytes {
			p.add(word[:maxTokenBytes])
			word = word[maxTokenBytes:]
		}
		p.add(word)
	}
	for _, token := range emitted {
		p.add(token.Text)
	}
	return p.prefix
}

type prefixHash struct {
	prefix Prefix
	chain  uint64
	digest xxhash.Digest
}

func (p *prefixHash) add(token string) {
	if p.prefix.Tokens%BlockTokens == 0 {
		p.beginBlock()
	}
	_, _ = p.digest.WriteString(token)
	_, _ = p.digest.Write([]byte{0})
	p.prefix.Tokens++
	if p.prefix.Tokens%BlockTokens == 0 {
		p.chain = p.digest.Sum64()
		p.prefix.Blocks = append(p.prefix.Blocks, p.chain)
	}
}

func (p *prefixHash) beginBlock() {
	p.digest.Reset()
	var before [8]byte
	binary.LittleEndian.PutUint64(before[:], p.chain)
	_, _ = p.digest.Write(before[:])
}
