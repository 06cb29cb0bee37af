package router_test

import (
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/pearyard/pearyard/standin"
)

// The API must work with OpenAI's own client library.
func TestOpenAIClient(t *testing.T) {
	g := NewWithT(t)
	cl := newCluster(t)
	api := openai.NewClient(option.WithBaseURL(cl.url+"/v1/"), option.WithAPIKey("key"), option.WithMaxRetries(0))

	stream := api.Chat.Completions.NewStreaming(t.Context(), openai.ChatCompletionNewParams{
		Model:               "pear",
		Messages:            []openai.ChatCompletionMessageParamUnion{openai.UserMessage("which trees are left")},
		MaxCompletionTokens: openai.Int(20),
	})
	var texts []string
	for stream.Next() {
		if chunk := stream.Current(); chunk.Choices[0].Delta.Content != "" {
			texts = append(texts, chunk.Choices[0].Delta.Content)
		}
	}
	g.Expect(stream.Err()).NotTo(HaveOccurred())
	g.Expect(texts).To(HaveLen(20))
	g.Expect(standin.CheckAnswer("<|user|>\nwhich trees are left\n", texts)).To(Succeed())

	whole, err := api.Completions.New(t.Context(), openai.CompletionNewParams{
		Model: "pear", MaxTokens: openai.Int(10),
		Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("lifting plan")},
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(whole.Usage.CompletionTokens).To(BeEquivalentTo(10))
	g.Expect(standin.CheckAnswer("lifting plan", standin.SplitText(whole.Choices[0].Text))).To(Succeed())

	models, err := api.Models.List(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(models.Data).To(HaveLen(1))
}

// A request that can't succeed as it is gets a 4xx status that says why, with the
// outcome "not-run" and the request id.
func TestInvalidRequestsAreRefused(t *testing.T) {
	const good = `{"model":"pear","prompt":"p","max_tokens":5}`
	tooLarge := `{"model":"pear","prompt":"` + strings.Repeat("x", 9<<20) + `"}`
	foreign := "0123456789abcdef-00000001-00000002.7"
	cases := []struct {
		name, body, key, lastEvent string
		status                     int
		code                       string
	}{
		{"not JSON", `{`, "key", "", 400, "bad_request"},
		{"wrong type", `{"model":5}`, "key", "", 400, "bad_request"},
		{"unknown model", `{"model":"plum","prompt":"p"}`, "key", "", 404, "unknown_model"},
		{"no prompt", `{"model":"pear"}`, "key", "", 400, "bad_request"},
		{"negative max_tokens", `{"model":"pear","prompt":"p","max_tokens":-1}`, "key", "", 400, "bad_request"},
		{"too large", tooLarge, "key", "", 413, "body_too_large"},
		{"no key", good, "", "", 401, "unauthorized"},
		{"wrong key", good, "wrong", "", 401, "unauthorized"},
		{"malformed event id", good, "key", "x", 400, "bad_request"},
		{"foreign event id", good, "key", foreign, 409, "foreign_event_id"},
	}
	cl := newCluster(t)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			req, _ := http.NewRequest(http.MethodPost, cl.url+"/v1/completions", strings.NewReader(c.body))
			if c.key != "" {
				req.Header.Set("Authorization", "Bearer "+c.key)
			}
			if c.lastEvent != "" {
				req.Header.Set("Last-Event-ID", c.lastEvent)
			}
			resp, err := http.DefaultClient.Do(req)
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = resp.Body.Close() }()
			g.Expect(resp.StatusCode).To(Equal(c.status))
			g.Expect(resp.Header.Get("Pearyard-Outcome")).To(Equal("not-run"))
			g.Expect(resp.Header.Get("Pearyard-Request-Id")).NotTo(BeEmpty())
			g.Expect(bodyOf(resp)).To(ContainSubstring(`"code":"` + c.code + `"`))
			g.Expect(cl.requests()).To(BeZero())
		})
	}
}
