package router

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/pearyard/pearyard/types"
)

// answerWriter writes one generation to its caller.
type answerWriter interface {
	// writeTokens writes the tokens [first, first+len(tokens)) of the answer; lineage says which attempt produced each.
	writeTokens(first int, lineage types.Lineage, tokens []types.Token) error
	// finish completes the answer; total counts all of its tokens.
	finish(reason types.FinishReason, total int) error
	// started reports whether the status line has been sent.
	started() bool
	// fail ends a started answer with an error.
	fail(refusal *types.Refusal) error
}

// bodyBuilder builds OpenAI response bodies for one request.
type bodyBuilder struct {
	req     *generationRequest
	id      types.GenerationID
	created int64
}

type choice struct {
	Index        int                 `json:"index"`
	Text         *string             `json:"text,omitempty"`
	Delta        *message            `json:"delta,omitempty"`
	Message      *message            `json:"message,omitempty"`
	FinishReason *types.FinishReason `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (b *bodyBuilder) chunk(text string, reason *types.FinishReason) completion {
	c := choice{FinishReason: reason}
	object, prefix := "text_completion", "cmpl-"
	if b.req.chat {
		object, prefix = "chat.completion.chunk", "chatcmpl-"
		c.Delta = &message{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	return completion{ID: prefix + b.id.String(), Object: object, Created: b.created, Model: b.req.model, Choices: []choice{c}}
}

func (b *bodyBuilder) whole(text string, reason types.FinishReason, total int) completion {
	body := b.chunk(text, &reason)
	if b.req.chat {
		body.Object = "chat.completion"
		body.Choices[0].Message, body.Choices[0].Delta = body.Choices[0].Delta, nil
	}
	body.Usage = &usage{CompletionTokens: total, TotalTokens: total}
	return body
}

// streamAnswer writes server-sent events, one per token.
type streamAnswer struct {
	bodyBuilder
	w       http.ResponseWriter
	control *http.ResponseController
	begun   bool
	events  eventEncoder
	buf     []byte
}

func (a *streamAnswer) started() bool { return a.begun }

func (a *streamAnswer) begin() {
	if a.begun {
		return
	}
	a.begun = true
	h := a.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set(HeaderOutcome, string(types.OutcomeCompleted))
	a.w.WriteHeader(http.StatusOK)
}

func (a *streamAnswer) writeTokens(first int, lineage types.Lineage, tokens []types.Token) error {
	a.begin()
	a.buf = a.buf[:0]
	for i, t := range tokens {
		id := types.EventID{Generation: a.id, Attempt: lineage.At(first + i), Index: first + i}
		a.buf = a.events.append(a.buf, id, t.Text)
	}
	return a.flush()
}

func (a *streamAnswer) finish(reason types.FinishReason, _ int) error {
	a.begin()
	a.buf = a.appendData(a.buf[:0], a.chunk("", &reason))
	a.buf = append(a.buf, "data: [DONE]\n\n"...)
	return a.flush()
}

func (a *streamAnswer) fail(refusal *types.Refusal) error {
	a.buf = a.appendData(a.buf[:0], newErrorBody(refusal, a.req.requestID))
	return a.flush()
}

func (a *streamAnswer) appendData(buf []byte, body any) []byte {
	buf = append(buf, "data: "...)
	encoded, _ := json.Marshal(body)
	buf = append(buf, encoded...)
	return append(buf, "\n\n"...)
}

func (a *streamAnswer) flush() error {
	if _, err := a.w.Write(a.buf); err != nil {
		return err
	}
	return a.control.Flush()
}

// collectedAnswer collects the tokens and writes one JSON body at the end.
type collectedAnswer struct {
	bodyBuilder
	w    http.ResponseWriter
	text strings.Builder
}

func (a *collectedAnswer) started() bool { return false }

func (a *collectedAnswer) writeTokens(_ int, _ types.Lineage, tokens []types.Token) error {
	for _, t := range tokens {
		a.text.WriteString(t.Text)
	}
	return nil
}

func (a *collectedAnswer) finish(reason types.FinishReason, total int) error {
	a.w.Header().Set("Content-Type", "application/json")
	a.w.Header().Set(HeaderOutcome, string(types.OutcomeCompleted))
	return json.NewEncoder(a.w).Encode(a.whole(a.text.String(), reason, total))
}

func (a *collectedAnswer) fail(*types.Refusal) error { return nil }

func newAnswer(w http.ResponseWriter, gr *generationRequest, id types.GenerationID) answerWriter {
	builder := bodyBuilder{req: gr, id: id, created: time.Now().Unix()}
	if gr.stream {
		return &streamAnswer{bodyBuilder: builder, w: w, control: http.NewResponseController(w), events: newEventEncoder(&builder)}
	}
	return &collectedAnswer{bodyBuilder: builder, w: w}
}
