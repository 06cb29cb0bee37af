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

// Headers of the API.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderLastEventID    = "Last-Event-ID"
	HeaderRequestID      = "Pearyard-Request-Id"
	HeaderOutcome        = "Pearyard-Outcome"
)

const (
	defaultMaxTokens       = 512
	maxIdempotencyKeyBytes = 256
)

// generationRequest is a validated request for a generation.
type generationRequest struct {
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
	explicitKey  bool           // the caller sent an idempotency key
	lastEvent    *types.EventID // the last event that the caller has received; may be nil
}

// completionBody has the fields of the OpenAI request bodies that are used.
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

// readBody reads a body of at most limit bytes.
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

// parseGenerationRequest validates a request for a generation. A request that can't
// succeed as it is gets a 4xx status with the reason; nothing has run by then.
func parseGenerationRequest(r *http.Request, body []byte, chat bool, conf *text.Config, org *text.Organisation) (*generationRequest, *types.Refusal) {
	var req completionBody
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, badRequest("the body is not a JSON request: %v", err)
	}
	service, ok := conf.ModelService(req.Model)
	if !ok || service.Kind != text.KindModel {
		return nil, types.Invalid(http.StatusNotFound, types.CodeUnknownModel, "no service has the model %q", req.Model)
	}
	prompt, refusal := parsePrompt(&req, chat)
	if refusal != nil {
		return nil, refusal
	}
	maxTokens, refusal := parseMaxTokens(&req, conf.Limits.MaxTokens)
	if refusal != nil {
		return nil, refusal
	}
	gr := &generationRequest{
		organisation: org, service: service, model: req.Model, prompt: prompt,
		maxTokens: maxTokens, stream: req.Stream, chat: chat,
	}
	if refusal := gr.deriveKey(r.Header, body); refusal != nil {
		return nil, refusal
	}
	return gr, nil
}

// deriveKey sets the request's key from its organisation, idempotency key and body,
// and checks the caller's last event id against it. Since the body is part of the
// key, two requests that use the same idempotency key by mistake never share an
// answer.
func (gr *generationRequest) deriveKey(h http.Header, body []byte) *types.Refusal {
	idempotencyKey, refusal := parseIdempotencyKey(h)
	if refusal != nil {
		return refusal
	}
	org := types.Organisation(gr.organisation.Name)
	// A prompt that crashes engines does so with any max_tokens. The fingerprint leaves
	// max_tokens out, so that a prompt that is sent again with another value is still
	// recognised as one that crashed engines.
	gr.fingerprint = types.FingerprintOf(org, []byte(gr.model+"\x00"+gr.prompt))
	gr.explicitKey = idempotencyKey != ""
	gr.key = types.KeyOf(org, idempotencyKey+"\x00"+types.FingerprintOf(org, body).String())
	last := h.Get(HeaderLastEventID)
	if last == "" {
		return nil
	}
	id, err := types.ParseEventID(last)
	if err != nil {
		return badRequest("%s %q was not given out here", HeaderLastEventID, last)
	}
	// A caller must not get the rest of another caller's answer.
	// The id of a generation contains the key of its request, so only the same
	// organisation, idempotency key and body lead to it.
	if id.Generation.Key != gr.key {
		return types.Invalid(http.StatusConflict, types.CodeForeignEventID, "%s belongs to another request", HeaderLastEventID)
	}
	if id.Index >= gr.maxTokens {
		return types.Invalid(http.StatusConflict, types.CodeFutureEventID, "%s lies beyond the end of the answer", HeaderLastEventID)
	}
	gr.lastEvent = &id
	return nil
}

func parseIdempotencyKey(h http.Header) (string, *types.Refusal) {
	key := h.Get(HeaderIdempotencyKey)
	if len(key) > maxIdempotencyKeyBytes {
		return "", badRequest("%s is longer than %d bytes", HeaderIdempotencyKey, maxIdempotencyKeyBytes)
	}
	return key, nil
}

func parsePrompt(req *completionBody, chat bool) (string, *types.Refusal) {
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

// chatPrompt joins the whole conversation, so that earlier turns form a prefix that
// a prefix cache can hold.
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

func parseMaxTokens(req *completionBody, limit int) (int, *types.Refusal) {
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
