package router

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/pearyard/pearyard/text"
	"github.com/pearyard/pearyard/types"
)

const fuzzConfig = `{"services":[{"name":"m","kind":"model","dependsOn":[{"model":"pear","version":"1"}],
"backendServers":[{"name":"a","zone":"z","sidecar":"127.0.0.1:1"}]}],"models":[{"name":"pear","version":"1"}],
"organisations":[{"name":"o","keySHA256":["2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683"]}]}`

// Any input is either refused with a 4xx as not run, or gives a request within the
// configured limits.
func FuzzParseGenerationRequest(f *testing.F) {
	conf, found := text.Parse([]byte(fuzzConfig))
	if found.HasErrors() {
		f.Fatal(found)
	}
	org, _ := conf.Organisation("o")
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
		gr, refusal := parseGenerationRequest(req, body, chat, conf, org)
		if refusal != nil {
			if refusal.Status < 400 || refusal.Status > 499 || refusal.Outcome != types.OutcomeNotRun || refusal.Message == "" {
				t.Fatalf("refused as %+v", refusal)
			}
			return
		}
		if gr.prompt == "" || gr.maxTokens < 1 || gr.maxTokens > conf.Limits.MaxTokens || gr.service.Name != "m" {
			t.Fatalf("accepted %+v", gr)
		}
		if gr.lastEvent != nil && gr.lastEvent.Generation.Key != gr.key {
			t.Fatalf("a foreign event id was accepted: %+v", gr.lastEvent)
		}
	})
}
