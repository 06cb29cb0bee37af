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

// Refusal codes, in the order in which they can arise while a request is processed.
const (
	CodeBadRequest      Code = "bad_request"
	CodeUnauthorized    Code = "unauthorized"
	CodeUnknownModel    Code = "unknown_model"
	CodeUnknownService  Code = "unknown_service"
	CodeTooLarge        Code = "body_too_large"
	CodeKeyRequired     Code = "idempotency_key_required"
	CodeKeyReused       Code = "idempotency_key_reused"
	CodeForeignEventID  Code = "foreign_event_id" // Last-Event-ID belongs to another request
	CodeFutureEventID   Code = "future_event_id"  // Last-Event-ID is beyond the end of the answer
	CodeRateLimited     Code = "rate_limited"
	CodeOverloaded      Code = "overloaded"
	CodeNoBackend       Code = "no_backend_server"
	CodeLeaving         Code = "leaving"             // the process is shutting down
	CodeNotConfigured   Code = "not_configured"      // the router has no configuration yet
	CodeStale           Code = "configuration_stale" // the router can't receive new configuration
	CodeTableDown       Code = "table_unavailable"
	CodeQuarantined     Code = "quarantined" // the request has crashed engines; see package suspect
	CodeDeadline        Code = "deadline_exceeded"
	CodeTombstone       Code = "attempt_voided"      // the attempt was voided before it arrived; see package gate
	CodeIncarnation     Code = "incarnation_changed" // the sidecar has restarted since the call was claimed
	CodeGenerationLost  Code = "generation_lost"     // the tokens that the caller has can't be continued
	CodeResumeExhausted Code = "resume_exhausted"    // the generation was lost too often
	CodeUnknownOutcome  Code = "outcome_unknown"
	CodeStillRunning    Code = "still_running"
	CodeInternal        Code = "internal"
)

// Refusal is the answer to a request that ends without a result. A router may
// retry an attempt that was refused with OutcomeNotRun (see package retry). A
// refusal that is sent to the caller is final and is sent without delay.
type Refusal struct {
	Code       Code
	Message    string
	Outcome    Outcome
	RetryAfter time.Duration // delay before the request may be sent again; 0: the same request won't succeed
	Status     int           // HTTP status code of the response
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Outcome, r.Message)
}

// NotRun returns the refusal of a request that provably did not run and may be sent
// again after retryAfter.
func NotRun(code Code, retryAfter time.Duration, format string, args ...any) *Refusal {
	status := http.StatusServiceUnavailable
	if code == CodeRateLimited {
		status = http.StatusTooManyRequests
	}
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...), Outcome: OutcomeNotRun, RetryAfter: retryAfter, Status: status}
}

// Invalid returns the refusal of a request that can't succeed without being changed.
func Invalid(status int, code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...), Outcome: OutcomeNotRun, Status: status}
}

// Unknown returns the refusal of a call that may have run and won't be run again.
func Unknown(code Code, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...), Outcome: OutcomeUnknown, RetryAfter: retryAfter, Status: http.StatusBadGateway}
}
