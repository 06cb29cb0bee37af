package promptcache

// Part is a piece of a prompt. Requests that share it use the same id.
type Part struct {
	ID     string
	Tokens int // its length
}

// Contents is what one server has cached: tokens by part id.
type Contents map[string]int

// Prefix returns how many tokens of a prompt need not be read where these contents are
// cached. A part counts only if all parts before it are cached completely: an engine's
// state for a token depends on everything before it.
func (c Contents) Prefix(prompt []Part) int {
	cached := 0
	for _, part := range prompt {
		have := min(c[part.ID], part.Tokens)
		cached += have
		if have < part.Tokens {
			break
		}
	}
	return cached
}

// Tokens returns the length of a prompt in tokens.
func Tokens(prompt []Part) int {
	sum := 0
	for _, part := range prompt {
		sum += part.Tokens
	}
	return sum
}
