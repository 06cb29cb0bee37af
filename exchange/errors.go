package exchange

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// NotRunReason says why an attempt provably did not run.
type NotRunReason string

// Reasons of a NotRunError.
const (
	Unreachable NotRunReason = "unreachable" // nothing was sent
	Refused     NotRunReason = "refused"     // its address refuses connections: the process has probably ended
	Busy        NotRunReason = "busy"        // the server had no room, or not the copy to resume from
	Misdirected NotRunReason = "misdirected" // another server has the address now
	// WrongVersion: the request asks for a version of the weights that the server doesn't have. That
	// says nothing of the server.
	WrongVersion NotRunReason = "wrong_version"
)

// NotRunError says that the attempt provably did not run.
type NotRunError struct {
	Reason NotRunReason
	Err    error
}

// Error implements error.
func (e *NotRunError) Error() string {
	return fmt.Sprintf("exchange: not run: %s: %v", e.Reason, e.Err)
}

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Err }

// BrokenError says that the attempt was sent but got no complete response: it may have
// run.
type BrokenError struct {
	Err error
	// AskedForRest is set if the server turned the request away and asked for rest, but did
	// not say that it has not run it.
	AskedForRest bool
}

// Error implements error.
func (e *BrokenError) Error() string { return "exchange: broken: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }

var (
	// ErrSilent: a server sent nothing for longer than a healthy one pauses.
	ErrSilent = errors.New("exchange: the backend server fell silent")
	// ErrServerLost: the server was found lost, by another request or process, while
	// its response was awaited.
	ErrServerLost = errors.New("exchange: the backend server is lost")
	// ErrOtherStart: another process answers at the server's address, so the server has
	// ended.
	ErrOtherStart = errors.New("exchange: another start of the backend server answers")
	// ErrOrder: an event was missing or came twice.
	ErrOrder = errors.New("exchange: events out of order")
	// ErrCut: a stream ended before it was complete.
	ErrCut = errors.New("exchange: the stream ended in its middle")
	// ErrBudget: the service's retry budget is spent.
	ErrBudget = errors.New("exchange: retry budget spent")
	// ErrNoServer: no backend server is available for the request.
	ErrNoServer = errors.New("exchange: no backend server takes the request")
	// ErrNoMemory: no backend server has memory for the stream beside what it holds.
	ErrNoMemory = errors.New("exchange: no backend server has memory for the stream")
	// ErrServersRest: all backend servers of the service have asked this process for rest.
	ErrServersRest = errors.New("exchange: the backend servers have asked for rest")
	// ErrServerLimits: the rate limits that the backend servers have named leave no room.
	ErrServerLimits = errors.New("exchange: the backend servers are at the rate limits that they have named")
	// ErrVersionGone: of the version that began a stream no backend server is left.
	ErrVersionGone = errors.New("exchange: no backend server of the version that began the stream is left")
	// ErrVersionExcluded: a roll-out lets no backend server of the version that began a stream
	// take it, though some are listed.
	ErrVersionExcluded = errors.New("exchange: a roll-out lets no backend server of the version that began the stream take it")
	// ErrVersionUnknown: it isn't known which version began the stream of a caller that came
	// back, and several have served.
	ErrVersionUnknown = errors.New("exchange: it is not known which version of the backend servers began the stream")
	// ErrStopping: the stream waited for its turn when this process's planned stop began.
	ErrStopping = errors.New("exchange: this process is about to stop, and the stream has waited for its turn")
	// ErrTimeout: the deadline of the caller or of the route has passed.
	ErrTimeout = errors.New("exchange: time is up")
	// ErrNoTime: too little time is left for an attempt to be answered.
	ErrNoTime = errors.New("exchange: too little time is left to send the request to a backend server")
	// ErrQuarantined: the same request crashed too many servers.
	ErrQuarantined = errors.New("exchange: the request crashed several backend servers")
	// ErrHeld: the same request may have crashed several servers, and only one copy of it
	// may run until that is known.
	ErrHeld = errors.New("exchange: the request may have crashed several backend servers, and another copy of it runs")
)

// Unreached reports whether the attempt never reached its server.
func (e *NotRunError) Unreached() bool { return e.Reason == Unreachable || e.Reason == Refused }

// SilentError is ErrSilent with the facts that it was decided on.
type SilentError struct {
	Silence time.Duration // since the last event
	Alive   bool          // nothing but its silence suggests that the server is lost
	Unread  int64         // prompt tokens queued at the server, as far as this process knows
}

// Error implements error.
func (e *SilentError) Error() string {
	return fmt.Sprintf("%v (for %v, alive=%v, %d prompt tokens ahead)", ErrSilent, e.Silence, e.Alive, e.Unread)
}

// Unwrap returns the cause.
func (e *SilentError) Unwrap() error { return ErrSilent }

// Failure is the final outcome of a request that can't be served.
type Failure struct {
	// Ran is false only if it is proven that no backend server runs the request or ever
	// will.
	Ran        bool
	TimedOut   bool
	By         EndedBy
	RetryAfter time.Duration // when the caller may try again; set if the request has not run
	Err        error
}

// Error implements error.
func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// isAlive reports whether an attempt was ended for its silence although its server answers
// probes.
func isAlive(err error) bool {
	var silent *SilentError
	return errors.As(err, &silent) && silent.Alive
}
