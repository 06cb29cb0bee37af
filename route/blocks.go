package route

import "github.com/cespare/xxhash/v2"

// Block boundaries are absolute positions in the prompt, in bytes. A measure
// relative to the prompt's length would let a long unique tail hide a shared
// preamble ("Routers, KV-aware balancing, session affinity", failure 1).
const (
	// BlockBytes is the length of the first FineBlocks blocks.
	BlockBytes = 512
	// FineBlocks is how many blocks have the length BlockBytes.
	FineBlocks = 32
	// CoarseBlockBytes is the length of the blocks after them.
	CoarseBlockBytes = 4096
	// MaxBlocks bounds the number of keys of one prompt.
	MaxBlocks = 64
)

// Blocks appends the prefix keys of prompt to dst and returns it: key i is the
// hash of the prompt from its beginning to the end of block i. Only whole
// blocks have a key, so two prompts share key i exactly if they agree up to there.
func Blocks(dst []uint64, prompt string) []uint64 {
	var digest xxhash.Digest
	digest.Reset()
	at := 0
	for i := range MaxBlocks {
		size := BlockBytes
		if i >= FineBlocks {
			size = CoarseBlockBytes
		}
		if len(prompt)-at < size {
			break
		}
		_, _ = digest.WriteString(prompt[at : at+size])
		at += size
		dst = append(dst, digest.Sum64())
	}
	return dst
}

// depth is the length of a prompt's first n blocks in units of BlockBytes.
func depth(n int) int {
	if n <= FineBlocks {
		return n
	}
	return FineBlocks + (n-FineBlocks)*(CoarseBlockBytes/BlockBytes)
}
