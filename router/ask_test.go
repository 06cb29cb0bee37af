package router

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/pearyard/pearyard/text"
	"github.com/pearyard/pearyard/types"
)

const fuzzText = `{"services":[{"name":"m","kind":"model","dependsOn":[{"model":"pear","version":"1"}],
"backendServers":[{"name":"a","zone":"z","sidecar":"127.0.0.1:1"}]}],"models":[{"name":"pear","version":"1"}],
"organisations":[{"name":"o","keySHA256":["2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683"]}]}`

// Whatever a caller sends is either refused with a 4xx as not run, or is a
// request within the text's limits.
func FuzzParseAsk(f *testing.F) {
	in, found := text.Parse([]byte(fuzzText))
	if found.HasErrors() {
		f.Fatal(found)
	}
	org, _ := in.Organisation("o")
	f.Add([]byte(`{"model":"pear","prompt":"p","max_tokens":5}`), "", "", false)
	f.Add([]byte(`{"model":"pear","messages":[{"role":"user","content":"p"}]}`), "k", "", true)
	f.Add([]byte(`{"model":"pear","messages":[{"role":"user","content":[{"type":"text","text":"p"}]}]}`), "", "", true)
	f.Add([]byte(`{"model":"pear","prompt":["p"],"max_tokens":-5}`), "", "0123456789abcdef-00000001-00000002.7", false)
	f.Add([]byte(`{"model":"pear","prompt":"p","n":2}`), "", "x", false)
	f.Add([]byte(`[`), "", "", false)
	f.Fuzz(func(t *testing.T, body []byte, key, last string, chat bool) {
		req := httptest.NewRequest(http.MethodPost, "/v1/completions", nil)
		req.Header.Set(HeaderIdempotencyKey, key)
		req.Header.Set(HeaderLastEventID, last)
		a, refusal := parseAsk(req, body, chat, in, org)
		if refusal != nil {
			if refusal.Status < 400 || refusal.Status > 499 || refusal.Outcome != types.OutcomeNotRun || refusal.Message == "" {
				t.Fatalf("refused as %+v", refusal)
			}
			return
		}
		if a.prompt == "" || a.maxTokens < 1 || a.maxTokens > in.Limits.MaxTokens || a.service.Name != "m" {
			t.Fatalf("accepted %+v", a)
		}
		if a.lastEvent != nil && a.lastEvent.Generation.Key != a.key {
			t.Fatalf("a foreign event id was accepted: %+v", a.lastEvent)
		}
	})
}
