package router

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/text"
	"github.com/pearyard/pearyard/types"
)

// Headers of the callers' interface.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderLastEventID    = "Last-Event-ID"
	HeaderRequestID      = "Pearyard-Request-Id"
	HeaderOutcome        = "Pearyard-Outcome"
)

const (
	defaultMaxTokens    = 512
	maxIdempotencyBytes = 256
)

// ask is one caller's request for a generation, checked.
type ask struct {
	requestID    types.RequestID
	organisation *text.Organisation
	service      *text.Service
	model        string
	prompt       string
	maxTokens    int
	stream       bool
	chat         bool
	fingerprint  types.Fingerprint // of organisation, model and prompt
	key          types.Key
	explicitKey  bool           // the caller named its request
	lastEvent    *types.EventID // the caller has seen the answer up to here
}

// completionBody is the part of the OpenAI request bodies that is acted on.
type completionBody struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []chatMessage   `json:"messages"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	N                   *int            `json:"n"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// readBody reads at most limit bytes, or refuses.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *types.Refusal) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, types.Invalid(http.StatusRequestEntityTooLarge, types.CodeTooLarge, "the body is larger than %d bytes", limit)
	}
	if err != nil {
		return nil, types.Invalid(http.StatusBadRequest, types.CodeBadRequest, "the body could not be read: %v", err)
	}
	return body, nil
}

// parseAsk checks a request for a generation. What can't succeed as it is
// gets a 4xx that says what is wrong; nothing has run by then.
func parseAsk(r *http.Request, body []byte, chat bool, in *text.Config, org *text.Organisation) (*ask, *types.Refusal) {
	var req completionBody
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, badRequest("the body is not a JSON request: %v", err)
	}
	service, ok := in.ModelService(req.Model)
	if !ok || service.Kind != text.KindModel {
		return nil, types.Invalid(http.StatusNotFound, types.CodeUnknownModel, "no service has the model %q", req.Model)
	}
	prompt, refusal := promptOf(&req, chat)
	if refusal != nil {
		return nil, refusal
	}
	maxTokens, refusal := maxTokensOf(&req, in.Limits.MaxTokens)
	if refusal != nil {
		return nil, refusal
	}
	a := &ask{
		organisation: org, service: service, model: req.Model, prompt: prompt,
		maxTokens: maxTokens, stream: req.Stream, chat: chat,
	}
	if refusal := a.identify(r.Header, body); refusal != nil {
		return nil, refusal
	}
	return a, nil
}

// identify derives the request's key from its organisation, idempotency key
// and body. Since the body is part of it, two requests that share a key by
// mistake never share an answer.
func (a *ask) identify(h http.Header, body []byte) *types.Refusal {
	idempotencyKey, refusal := idempotencyKeyOf(h)
	if refusal != nil {
		return refusal
	}
	org := types.Organisation(a.organisation.Name)
	// A prompt that crashes engines crashes them with any budget, so a caller
	// that sends it again with another one is the same suspect.
	a.fingerprint = types.FingerprintOf(org, []byte(a.model+"\x00"+a.prompt))
	a.explicitKey = idempotencyKey != ""
	a.key = types.KeyOf(org, idempotencyKey+"\x00"+types.FingerprintOf(org, body).String())
	last := h.Get(HeaderLastEventID)
	if last == "" {
		return nil
	}
	id, err := types.ParseEventID(last)
	if err != nil {
		return badRequest("%s %q was not given out here", HeaderLastEventID, last)
	}
	// Failure it stops: a caller that gets the rest of somebody else's answer.
	// The generation's id carries the key of its request, so only the same
	// organisation, idempotency key and body lead to it.
	if id.Generation.Key != a.key {
		return types.Invalid(http.StatusConflict, types.CodeForeignEventID, "%s belongs to another request", HeaderLastEventID)
	}
	if id.Index >= a.maxTokens {
		return types.Invalid(http.StatusConflict, types.CodeFutureEventID, "%s lies beyond the end of the answer", HeaderLastEventID)
	}
	a.lastEvent = &id
	return nil
}

func idempotencyKeyOf(h http.Header) (string, *types.Refusal) {
	key := h.Get(HeaderIdempotencyKey)
	if len(key) > maxIdempotencyBytes {
		return "", badRequest("%s is longer than %d bytes", HeaderIdempotencyKey, maxIdempotencyBytes)
	}
	return key, nil
}

func promptOf(req *completionBody, chat bool) (string, *types.Refusal) {
	if chat {
		return chatPrompt(req.Messages)
	}
	var one string
	if json.Unmarshal(req.Prompt, &one) == nil && one != "" {
		return one, nil
	}
	var list []string
	if json.Unmarshal(req.Prompt, &list) == nil && len(list) == 1 && list[0] != "" {
		return list[0], nil
	}
	return "", badRequest("prompt must be one text that is not empty")
}

// chatPrompt joins the whole conversation: earlier turns are the prefix that a
// prefix cache can hold.
func chatPrompt(messages []chatMessage) (string, *types.Refusal) {
	if len(messages) == 0 {
		return "", badRequest("messages must not be empty")
	}
	var b strings.Builder
	for i, m := range messages {
		content, ok := messageText(m.Content)
		if !ok || m.Role == "" {
			return "", badRequest("messages[%d] needs a role and a text", i)
		}
		b.WriteString("<|" + m.Role + "|>\n" + content + "\n")
	}
	return b.String(), nil
}

func messageText(raw json.RawMessage) (string, bool) {
	var one string
	if json.Unmarshal(raw, &one) == nil {
		return one, !bytes.Equal(raw, []byte("null"))
	}
	var parts []contentPart
	if json.Unmarshal(raw, &parts) != nil {
		return "", false
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return "", false
		}
		b.WriteString(p.Text)
	}
	return b.String(), true
}

func maxTokensOf(req *completionBody, limit int) (int, *types.Refusal) {
	if req.N != nil && *req.N != 1 {
		return 0, badRequest("n must be 1")
	}
	n := min(defaultMaxTokens, limit)
	if req.MaxTokens != nil {
		n = *req.MaxTokens
	}
	if req.MaxCompletionTokens != nil {
		n = *req.MaxCompletionTokens
	}
	if n < 1 || n > limit {
		return 0, badRequest("max_tokens must be from 1 to %d", limit)
	}
	return n, nil
}

func badRequest(format string, args ...any) *types.Refusal {
	return types.Invalid(http.StatusBadRequest, types.CodeBadRequest, format, args...)
}
