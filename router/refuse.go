package router

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/types"
)

// errorBody is the OpenAI error body with additional fields.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message   string          `json:"message"`
	Type      string          `json:"type"`
	Code      types.Code      `json:"code"`
	RequestID types.RequestID `json:"request_id"`
	Outcome   types.Outcome   `json:"outcome"`
	// RetryAfter repeats the Retry-After header, in seconds, for an answer that has
	// started and can't send the header any more. 0: none.
	RetryAfter int `json:"retry_after,omitempty"`
}

func newErrorBody(refusal *types.Refusal, id types.RequestID) errorBody {
	kind := "server_error"
	if refusal.Status < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	if refusal.Status == http.StatusTooManyRequests {
		kind = "rate_limit_error"
	}
	return errorBody{errorDetail{
		Message: refusal.Message, Type: kind, Code: refusal.Code, RequestID: id,
		Outcome: refusal.Outcome, RetryAfter: retryAfterSeconds(refusal.RetryAfter),
	}}
}

// refuse writes a refusal as a complete response.
func (r *Router) refuse(w http.ResponseWriter, id types.RequestID, refusal *types.Refusal) {
	r.countRefusal(id, refusal)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, string(refusal.Outcome))
	if refusal.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(retryAfterSeconds(refusal.RetryAfter)))
	}
	if r.draining.Load() {
		h.Set("Connection", "close")
	}
	w.WriteHeader(refusal.Status)
	_ = json.NewEncoder(w).Encode(newErrorBody(refusal, id))
}

func (r *Router) countRefusal(id types.RequestID, refusal *types.Refusal) {
	r.metrics.requests.WithLabelValues(string(refusal.Outcome), string(refusal.Code)).Inc()
	r.opts.Recorder.Emit(eventRefused, event.FieldRequest, id, "code", refusal.Code, "outcome", refusal.Outcome, "message", refusal.Message)
}

// retryAfterSeconds rounds up: a caller that retries too early is refused again.
func retryAfterSeconds(d time.Duration) int {
	return int(math.Ceil(max(d, 0).Seconds()))
}
