package promptcache

// Part is a piece of a prompt. Requests that share a piece name it alike.
type Part struct {
	ID     string
	Tokens int
}

// Contents is what one server keeps: tokens by the id of their piece.
type Contents map[string]int

// Prefix returns how many tokens of a prompt need not be read where these
// contents are kept. A piece counts only if all pieces before it are kept whole:
// what a token means to an engine depends on everything before it.
func (c Contents) Prefix(prompt []Part) int {
	kept := 0
	for _, part := range prompt {
		have := min(c[part.ID], part.Tokens)
		kept += have
		if have < part.Tokens {
			break
		}
	}
	return kept
}

// Tokens returns the length of a prompt.
func Tokens(prompt []Part) int {
	sum := 0
	for _, part := range prompt {
		sum += part.Tokens
	}
	return sum
}
