package nursery

import (
	"encoding/json"
	"net/http"
	"strings"
)

// cachePrompt records that the engine has prefilled a prompt, given by its parts, so
// that a request with the same prompt needs no prefill. Prompts stay cached until the
// server restarts.
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

// promptParts returns the parts of a request's prompt as its Prefix-Hash header lists
// them, "" if there is none: "id:tokens,id:tokens".
func promptParts(r *http.Request) string { return r.Header.Get("Prefix-Hash") }

// serveCachedPrompts lists the parts of all cached prompts. An entry is the array
// ["", id, tokens, model].
func (e *engine) serveCachedPrompts(w http.ResponseWriter, _ *http.Request) {
	entries := [][]any{}
	e.mu.Lock()
	for prompt := range e.cachedPrompts {
		for part := range strings.SplitSeq(prompt, ",") {
			id, tokens, _ := strings.Cut(part, ":")
			entries = append(entries, []any{"", id, json.Number(tokens), "m"})
		}
	}
	e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"epoch": "1", "next": 1, "held": entries})
}
