package retry

import (
	"context"
	"time"

	"github.com/pearyard/pearyard/types"
)

// RetryableElsewhere reports whether a refused request may be retried at another
// backend server. The request must provably not have run, and another server must
// be able to decide differently. All other refusals are final: after an unknown
// outcome, a retry could run the request twice.
func RetryableElsewhere(r *types.Refusal) bool {
	if r == nil || r.Outcome != types.OutcomeNotRun {
		return false
	}
	switch r.Code {
	case types.CodeOverloaded, types.CodeLeaving, types.CodeNotConfigured,
		types.CodeStale, types.CodeIncarnation, types.CodeInternal:
		return true
	default:
		return false
	}
}

// FitsDeadline reports whether a request that takes need can complete before
// ctx's deadline if it is sent after wait. Sending one that can't complete in time
// would only waste capacity.
func FitsDeadline(ctx context.Context, wait, need time.Duration) bool {
	if ctx.Err() != nil {
		return false
	}
	deadline, ok := ctx.Deadline()
	return !ok || time.Until(deadline) >= wait+need
}

// Wait sleeps for d. If ctx ends first, it returns ctx's error.
//
// It creates no timer if there is nothing to wait for: Go's race detector crashes when two
// goroutines of a synctest bubble select on a timer that is already due.
func Wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// NextRetry decides whether to send retry n, counted from 1, of a request that was
// refused with r and takes need to complete. If so, it takes the retry out of
// the budget and returns the delay before it.
func (b *Budget) NextRetry(ctx context.Context, r *types.Refusal, n int, need time.Duration) (time.Duration, bool) {
	if !RetryableElsewhere(r) {
		return 0, false
	}
	wait := Backoff(n)
	if !FitsDeadline(ctx, wait, need) || !b.Allow() {
		return 0, false
	}
	return wait, true
}
