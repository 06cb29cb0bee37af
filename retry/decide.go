package retry

import (
	"context"
	"time"

	"github.com/pearyard/pearyard/types"
)

// Elsewhere tells whether a refusal may be met by trying another backend
// server. It must be proved that the request did not run; a refusal that would
// be the same anywhere isn't worth a try. Everything else is final: after an
// unknown outcome a second try could run the request twice.
func Elsewhere(r *types.Refusal) bool {
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

// FitsDeadline tells whether need still fits before ctx's deadline after
// waiting for wait. A try that can't end in time only takes capacity.
func FitsDeadline(ctx context.Context, wait, need time.Duration) bool {
	if ctx.Err() != nil {
		return false
	}
	deadline, ok := ctx.Deadline()
	return !ok || time.Until(deadline) >= wait+need
}

// Wait sleeps for d unless ctx ends before; it returns ctx's error then.
func Wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Next decides on retry number n (from 1) of a request that was refused with r.
// It returns the time to wait for, and takes the retry out of the budget.
func (b *Budget) Next(ctx context.Context, r *types.Refusal, n int, need time.Duration) (time.Duration, bool) {
	if !Elsewhere(r) {
		return 0, false
	}
	wait := Backoff(n)
	if !FitsDeadline(ctx, wait, need) || !b.Allow() {
		return 0, false
	}
	return wait, true
}
