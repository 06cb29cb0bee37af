package nursery

import (
	"encoding/json"
	"net/http"
	"strings"
)

// cachePrompt records that the engine has prefilled a prompt, so that a request
// with the same prompt needs no prefill. Prompts stay cached until the server
// restarts.
func (e *engine) cachePrompt(prompt string) {
	if prompt == "" {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cachedPrompts[prompt] = true
}

func (e *engine) hasCached(prompt string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cachedPrompts[prompt]
}

// promptBlocks returns the block list from a request's Prefix-Hash header, "" if
// there is none.
func promptBlocks(r *http.Request) string { return r.Header.Get("Prefix-Hash") }

// serveCachedPrompts lists the blocks of all cached prompts.
func (e *engine) serveCachedPrompts(w http.ResponseWriter, _ *http.Request) {
	held := [][]any{}
	e.mu.Lock()
	for prompt := range e.cachedPrompts {
		for piece := range strings.SplitSeq(prompt, ",") {
			id, tokens, _ := strings.Cut(piece, ":")
			held = append(held, []any{"", id, json.Number(tokens), "m"})
		}
	}
	e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"epoch": "1", "next": 1, "held": held})
}
