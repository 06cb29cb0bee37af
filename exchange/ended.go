package exchange

import (
	"cmp"
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// EndedBy says which side ended a request. It is set once, where the end is
// decided, and is the same in the request's last log line, in the counters and
// in what package explain says.
//
// A configuration that is changed ends nothing that runs: a request keeps the
// route and the organisation that it began with, also when both are removed.
// EndedByConfiguration is for requests that come after the change.
type EndedBy string

// Reasons. Those of a link are for what neither end did: a reset or a silence
// that may as well be that of a VM that lost power.
const (
	EndedByAnswer        EndedBy = "answer"        // the whole answer was handed to the caller
	EndedByCaller        EndedBy = "caller"        // it closed its connection, or sent what nobody can take
	EndedByCallerLink    EndedBy = "caller_link"   // the connection to it was reset or went dead
	EndedByServer        EndedBy = "server"        // it broke off, or failed by its own word
	EndedByServerLink    EndedBy = "server_link"   // the connection to it was reset or went silent, or there was none
	EndedByNoServer      EndedBy = "no_server"     // all that were asked refused, or none is known
	EndedByDeadline      EndedBy = "deadline"      // the caller's own
	EndedByRouteTimeout  EndedBy = "route_timeout" // that of the operators' route
	EndedByLimit         EndedBy = "limit"         // size of a body, retry budget, quarantine
	EndedByConfiguration EndedBy = "configuration" // that in force has no such route or key
	EndedByStop          EndedBy = "stop"          // this process's planned stop
	EndedByStart         EndedBy = "start"         // this process had just started and lacked what it needs
)

// End is what ended a request whose caller can't be told, and the cause with
// which its context is cancelled.
type End struct {
	By  EndedBy
	Err error
}

// Error implements error.
func (e *End) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *End) Unwrap() error { return e.Err }

// callerSlack is how long before its deadline passes here a caller may leave
// because of it: its clock began before the request arrived, by a way of some
// milliseconds, and its connection's end takes as long.
const callerSlack = 50 * time.Millisecond

// within bounds ctx to the request's time.
func (r *Request) within(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithDeadlineCause(ctx, r.Until, &End{By: r.untilBy(), Err: ErrTimeout})
}

// untilBy returns whose time the request's is.
func (r *Request) untilBy() EndedBy { return cmp.Or(r.UntilBy, EndedByDeadline) }

// endOf returns what ended the request's context. net/http cancels it without a
// cause when it reads the end of the caller's connection.
func (r *Request) endOf(ctx context.Context) *End {
	var end *End
	if errors.As(context.Cause(ctx), &end) {
		return end
	}
	return r.callerLeft(context.Cause(ctx))
}

// callerLeft returns the end of a request whose caller closed its connection.
func (r *Request) callerLeft(err error) *End {
	if r.UntilBy != EndedByRouteTimeout && r.UntilBy != EndedByStop && time.Until(r.Until) < callerSlack {
		return &End{By: EndedByDeadline, Err: err}
	}
	return &End{By: EndedByCaller, Err: err}
}

// unwritten returns the end of a request whose answer can't be written any more.
func (r *Request) unwritten(ctx context.Context, err error) *End {
	switch {
	case ctx.Err() != nil:
		return r.endOf(ctx)
	case IsLinkLost(err):
		return &End{By: EndedByCallerLink, Err: err}
	default:
		return r.callerLeft(err)
	}
}

// IsLinkLost tells whether a connection ended by no orderly act of its other
// end. A reset is one of these: this end's kernel gets it from a process that
// gave up and from a device on the way alike.
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
		return r.untilBy()
	}
	return failedBy(err)
}

// failedBy returns the side that an error of the last attempt, or what forbids
// another one, stands for.
func failedBy(err error) EndedBy {
	var notRun *NotRunError
	var late *LateError
	switch {
	case errors.As(err, &late):
		return EndedByNoServer
	case errors.Is(err, ErrBudget), errors.Is(err, ErrQuarantined):
		return EndedByLimit
	case errors.Is(err, ErrNoServer):
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
