package exchange

import (
	"cmp"
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// EndedBy says which side ended a request. It is set once, where the end is decided,
// and is the same in the request's last log line, in the counters and in what package
// explain says.
//
// A change of the configuration ends no running request: a request keeps the route and
// the organisation that it started with, even if both are removed. EndedByConfiguration
// is for requests that arrive after the change.
type EndedBy string

// Reasons. EndedByCallerLink and EndedByServerLink are for ends that may be the fault of
// neither side: a reset, or a silence, which may also mean that the VM lost power.
const (
	EndedByAnswer        EndedBy = "answer"        // the complete answer was sent to the caller
	EndedByCaller        EndedBy = "caller"        // it closed its connection, or sent an invalid request
	EndedByCallerLink    EndedBy = "caller_link"   // the connection to it was reset or timed out
	EndedByServer        EndedBy = "server"        // it broke off, or answered with an error
	EndedByServerLink    EndedBy = "server_link"   // the connection to it was reset, went silent, or could not be opened
	EndedByNoServer      EndedBy = "no_server"     // all servers that were asked refused, or none is known
	EndedByDeadline      EndedBy = "deadline"      // the caller's
	EndedByRouteTimeout  EndedBy = "route_timeout" // the route's
	EndedByLimit         EndedBy = "limit"         // size of a body, retry budget, quarantine, rate limits of servers
	EndedByVersion       EndedBy = "version"       // no backend server of the version that began the stream is left or may take it, or the version isn't known
	EndedByConfiguration EndedBy = "configuration" // the current one has no such route or key
	EndedByStop          EndedBy = "stop"          // this process's planned stop
	EndedByStart         EndedBy = "start"         // this process had just started and was not ready for the request
)

// End says what ended a request whose caller can't be answered. It is also the cause
// with which the request's context is cancelled.
type End struct {
	By  EndedBy
	Err error
}

// Error implements error.
func (e *End) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *End) Unwrap() error { return e.Err }

// callerSlack is how long before a request's deadline the caller's departure still counts
// as caused by it. The caller started to wait some milliseconds before its request arrived
// here, and the end of its connection takes about as long to arrive, so it may be seen
// before the deadline passes here.
const callerSlack = 50 * time.Millisecond

// withDeadline bounds ctx by the request's deadline.
func (r *Request) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithDeadlineCause(ctx, r.Deadline, &End{By: r.deadlineBy(), Err: ErrTimeout})
}

// deadlineBy returns whose deadline the request's is.
func (r *Request) deadlineBy() EndedBy { return cmp.Or(r.DeadlineBy, EndedByDeadline) }

// endOf returns what ended the request's context. net/http cancels it without a cause
// when it reads the end of the caller's connection.
func (r *Request) endOf(ctx context.Context) *End {
	var end *End
	if errors.As(context.Cause(ctx), &end) {
		return end
	}
	return r.callerLeft(context.Cause(ctx))
}

// callerLeft returns the end of a request whose caller closed its connection.
func (r *Request) callerLeft(err error) *End {
	if r.DeadlineBy != EndedByRouteTimeout && r.DeadlineBy != EndedByStop && time.Until(r.Deadline) < callerSlack {
		return &End{By: EndedByDeadline, Err: err}
	}
	return &End{By: EndedByCaller, Err: err}
}

// writeFailed returns the end of a request whose response can't be written any more.
func (r *Request) writeFailed(ctx context.Context, err error) *End {
	switch {
	case ctx.Err() != nil:
		return r.endOf(ctx)
	case IsLinkLost(err):
		return &End{By: EndedByCallerLink, Err: err}
	default:
		return r.callerLeft(err)
	}
}

// IsLinkLost reports whether a connection ended without an orderly close by its other
// end. A reset counts: the kernel sees the same from a process that gave up and from a
// device on the path.
func IsLinkLost(err error) bool {
	for _, lost := range []error{syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ENETDOWN} {
		if errors.Is(err, lost) {
			return true
		}
	}
	return false
}

// failedBy returns the side that ended the request with an error.
func (r *Request) failedBy(err error) EndedBy {
	if errors.Is(err, ErrNoTime) {
		return r.deadlineBy()
	}
	return failedBy(err)
}

// failedBy returns the side responsible for an error of the last attempt, or for the
// error that says why there was no other attempt.
func failedBy(err error) EndedBy {
	var notRun *NotRunError
	var late *LateError
	var overload *OverloadError
	switch {
	case errors.As(err, &late), errors.As(err, &overload):
		return EndedByNoServer
	case errors.Is(err, ErrStopping), errors.Is(err, ErrStopWaiting):
		return EndedByStop
	case errors.Is(err, ErrBudget), errors.Is(err, ErrQuarantined), errors.Is(err, ErrHeld), errors.Is(err, ErrServerLimits), errors.Is(err, ErrServersRest):
		return EndedByLimit
	case errors.Is(err, ErrVersionGone), errors.Is(err, ErrVersionExcluded), errors.Is(err, ErrVersionUnknown):
		return EndedByVersion
	case errors.Is(err, ErrNoServer), errors.Is(err, ErrNoMemory), errors.Is(err, ErrPlacesTaken):
		return EndedByNoServer
	case errors.Is(err, ErrSilent), errors.Is(err, ErrServerLost):
		return EndedByServerLink
	case errors.As(err, &notRun) && notRun.Reason == Unreachable:
		return EndedByServerLink
	case errors.As(err, &notRun):
		return EndedByNoServer
	case IsLinkLost(err):
		return EndedByServerLink
	default:
		return EndedByServer
	}
}
