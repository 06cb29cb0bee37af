package exchange

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// failure returns the outcome of a stream that can't continue.
func (s *stream) failure(ctx context.Context, err error) error {
	if ctx.Err() != nil && !timedOut(ctx) {
		return s.req.endOf(ctx)
	}
	by := s.req.failedBy(err)
	if s.lastErr != nil && !errors.Is(err, s.lastErr) {
		err = errors.Wrap(err, s.lastErr.Error())
	}
	if ctx.Err() != nil {
		return &Failure{By: s.req.endOf(ctx).By, Ran: s.inProgress || s.ran > 0, TimedOut: true, RetryAfter: retryAfter, Err: errors.Wrap(ErrTimeout, err.Error())}
	}
	after := retryAfter
	var late *LateError
	var overload *OverloadError
	switch {
	case errors.As(err, &late):
		after = late.retryAfter()
	case errors.As(err, &overload):
		after = overload.retryAfter(s.req, time.Now())
	case errors.Is(err, ErrStopping):
		after = stopRetryAfter
	case errors.Is(err, ErrQuarantined):
		after = quarantineRetryAfter
	case errors.Is(err, ErrHeld):
		after = heldRetryAfter
	case errors.Is(err, ErrVersionGone), errors.Is(err, ErrVersionExcluded), errors.Is(err, ErrVersionUnknown):
		after = versionRetryAfter
	case errors.Is(err, ErrNoMemory):
		after = noMemoryRetryAfter
	case errors.Is(err, ErrServerLimits):
		after = s.e.limitRetryAfter(s.req.Service)
	default:
		after = max(after, s.e.restRetryAfter(s.restQuery()))
	}
	return &Failure{By: by, Ran: s.inProgress || s.ran > 0, TimedOut: errors.Is(err, ErrNoTime), RetryAfter: after, Err: err}
}
