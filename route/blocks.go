package route

import "github.com/cespare/xxhash/v2"

// Block boundaries are absolute byte positions in the prompt. Boundaries relative
// to the prompt's length would let a long unique tail hide a shared preamble
// ("Routers, KV-aware balancing, session affinity", failure 1).
const (
	// BlockBytes is the length of each of the first FineBlocks blocks.
	BlockBytes = 512
	// FineBlocks is the number of blocks of length BlockBytes.
	FineBlocks = 32
	// CoarseBlockBytes is the length of all later blocks.
	CoarseBlockBytes = 4096
	// MaxBlocks is the maximum number of keys of one prompt.
	MaxBlocks = 64
)

// Blocks appends the prefix keys of prompt to dst and returns it. Key i is the
// hash of the prompt from its start to the end of block i. Only complete blocks
// have a key, so two prompts share key i if and only if they agree up to there.
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

// depthInFineBlocks returns the length of a prompt's first n blocks in units of
// BlockBytes.
func depthInFineBlocks(n int) int {
	if n <= FineBlocks {
		return n
	}
	return FineBlocks + (n-FineBlocks)*(CoarseBlockBytes/BlockBytes)
}
