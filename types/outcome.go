package types

import (
	"fmt"
	"net/http"
	"time"
)

// Outcome tells a caller whether its call ran (header Pearyard-Outcome).
type Outcome string

const (
	// OutcomeCompleted means that the call ran and the response is its result.
	OutcomeCompleted Outcome = "completed"
	// OutcomeNotRun means that the call provably did not run and never will.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the call may have run and won't be run again.
	OutcomeUnknown Outcome = "unknown"
)

// Code identifies the reason of a refusal. Codes are stable, so that callers'
// programs can depend on them.
type Code string

// Refusal codes, in the order in which a request can meet them.
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

// Refusal is a final answer to a request that has no result. It is sent to the
// caller immediately.
type Refusal struct {
	Code       Code
	Message    string
	Outcome    Outcome
	RetryAfter time.Duration // 0: retrying the same request won't succeed
	Status     int           // HTTP status code of the response
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Outcome, r.Message)
}

// NotRun returns a refusal of a request that provably did not run and may be sent
// again after retryAfter.
func NotRun(code Code, retryAfter time.Duration, format string, args ...any) *Refusal {
	status := http.StatusServiceUnavailable
	if code == CodeRateLimited {
		status = http.StatusTooManyRequests
	}
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...), Outcome: OutcomeNotRun, RetryAfter: retryAfter, Status: status}
}

// Invalid returns a refusal of a request that can't succeed without being changed.
func Invalid(status int, code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...), Outcome: OutcomeNotRun, Status: status}
}

// Unknown returns the refusal for a call that may have run and won't be run again.
func Unknown(code Code, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...), Outcome: OutcomeUnknown, RetryAfter: retryAfter, Status: http.StatusBadGateway}
}
