package nursery

import (
	"encoding/json"
	"net/http"
	"strings"
)

// keep notes that an engine has read a prompt: what follows in it need not be read
// there again. All of a prompt is kept until the server starts again.
func (e *engine) keep(prompt string) {
	if prompt == "" {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prompts[prompt] = true
}

func (e *engine) keeps(prompt string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.prompts[prompt]
}

// promptOf returns the pieces of a request's prompt as its head names them, "" if
// it doesn't.
func promptOf(r *http.Request) string { return r.Header.Get("Prefix-Hash") }

// listKept answers with the pieces of all prompts that are kept.
func (e *engine) listKept(w http.ResponseWriter, _ *http.Request) {
	held := [][]any{}
	e.mu.Lock()
	for prompt := range e.prompts {
		for piece := range strings.SplitSeq(prompt, ",") {
			id, tokens, _ := strings.Cut(piece, ":")
			held = append(held, []any{"", id, json.Number(tokens), "m"})
		}
	}
	e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"epoch": "1", "next": 1, "held": held})
}
