package types

import (
	"fmt"
	"net/http"
	"time"
)

// Outcome says what is known about the run of a call (Pearyard-Outcome).
type Outcome string

const (
	// OutcomeCompleted: the call ran and its answer is this one.
	OutcomeCompleted Outcome = "completed"
	// OutcomeNotRun: it is proved that the call ran nowhere and never will.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown: the call may have run; it will not be run again.
	OutcomeUnknown Outcome = "unknown"
)

// Code names the reason of a refusal, stable for callers' programs.
type Code string

// Codes of refusals, in the order in which a request can meet them.
const (
	CodeBadRequest      Code = "bad_request"
	CodeUnauthorized    Code = "unauthorized"
	CodeUnknownModel    Code = "unknown_model"
	CodeUnknownService  Code = "unknown_service"
	CodeTooLarge        Code = "body_too_large"
	CodeKeyRequired     Code = "idempotency_key_required"
	CodeKeyReused       Code = "idempotency_key_reused"
	CodeForeignEventID  Code = "foreign_event_id"
	CodeFutureEventID   Code = "future_event_id"
	CodeRateLimited     Code = "rate_limited"
	CodeOverloaded      Code = "overloaded"
	CodeNoBackend       Code = "no_backend_server"
	CodeLeaving         Code = "leaving"
	CodeNotConfigured   Code = "not_configured"
	CodeStale           Code = "configuration_stale"
	CodeTableDown       Code = "table_unavailable"
	CodeQuarantined     Code = "quarantined"
	CodeDeadline        Code = "deadline_exceeded"
	CodeTombstone       Code = "attempt_voided"
	CodeIncarnation     Code = "incarnation_changed"
	CodeGenerationLost  Code = "generation_lost"
	CodeResumeExhausted Code = "resume_exhausted"
	CodeUnknownOutcome  Code = "outcome_unknown"
	CodeStillRunning    Code = "still_running"
	CodeInternal        Code = "internal"
)

// Refusal is a final answer without a result. It is sent at once, never held back.
type Refusal struct {
	Code       Code
	Message    string
	Outcome    Outcome
	RetryAfter time.Duration // 0: no use in coming back with the same request
	Status     int           // HTTP status towards the caller
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Outcome, r.Message)
}

// NotRun builds a refusal of a request that provably ran nowhere and may be
// sent again after retryAfter.
func NotRun(code Code, retryAfter time.Duration, format string, args ...any) *Refusal {
	status := http.StatusServiceUnavailable
	if code == CodeRateLimited {
		status = http.StatusTooManyRequests
	}
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...), Outcome: OutcomeNotRun, RetryAfter: retryAfter, Status: status}
}

// Invalid builds a refusal of a request that can't succeed as it is.
func Invalid(status int, code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...), Outcome: OutcomeNotRun, Status: status}
}

// Unknown builds the answer to a call that may have run and won't be run again.
func Unknown(code Code, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...), Outcome: OutcomeUnknown, RetryAfter: retryAfter, Status: http.StatusBadGateway}
}
