package exchange

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// NotRunReason says why an attempt provably did not run.
type NotRunReason string

// Reasons.
const (
	Unreachable NotRunReason = "unreachable" // nothing was sent
	Refused     NotRunReason = "refused"     // its address takes no connections: the process has ended
	Busy        NotRunReason = "busy"        // the server had no room, or no such copy
	Misdirected NotRunReason = "misdirected" // another server has the address now
)

// NotRunError says that the server proved not to have run the attempt.
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

// BrokenError says that the attempt was sent and has no whole answer: it may have run.
type BrokenError struct{ Err error }

// Error implements error.
func (e *BrokenError) Error() string { return "exchange: broken: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }

var (
	// ErrSilent: a server sent nothing for longer than a sound one takes.
	ErrSilent = errors.New("exchange: the backend server fell silent")
	// ErrServerLost: others found the server lost while its answer was awaited.
	ErrServerLost = errors.New("exchange: the backend server is lost")
	// ErrOtherStart: another process has the server's address, so the server has ended.
	ErrOtherStart = errors.New("exchange: another start of the backend server answers")
	// ErrOrder: an event was missing or came twice.
	ErrOrder = errors.New("exchange: events out of order")
	// ErrCut: a stream ended in the middle.
	ErrCut = errors.New("exchange: the stream ended in its middle")
	// ErrBudget: the retry budget of the service is spent.
	ErrBudget = errors.New("exchange: retry budget spent")
	// ErrNoServer: no backend server takes the request.
	ErrNoServer = errors.New("exchange: no backend server takes the request")
	// ErrTimeout: the caller's or the route's time is up.
	ErrTimeout = errors.New("exchange: time is up")
	// ErrNoTime: no attempt could be answered in the time that is left.
	ErrNoTime = errors.New("exchange: too little time is left to send the request to a backend server")
	// ErrQuarantined: the same request crashed too many servers.
	ErrQuarantined = errors.New("exchange: the request crashed several backend servers")
)

// Unreached tells whether an attempt never reached its server.
func (e *NotRunError) Unreached() bool { return e.Reason == Unreachable || e.Reason == Refused }

// SilentError is ErrSilent with what it was decided by.
type SilentError struct {
	Silence time.Duration // since the last event
	Alive   bool          // the server gave a sign of life meanwhile
	Unread  int64         // prompt tokens that lay ahead there, as far as this process knows
}

// Error implements error.
func (e *SilentError) Error() string {
	return fmt.Sprintf("%v (for %v, alive=%v, %d prompt tokens ahead)", ErrSilent, e.Silence, e.Alive, e.Unread)
}

// Unwrap returns the cause.
func (e *SilentError) Unwrap() error { return ErrSilent }

// Failure is the final answer to a request that can't be served.
type Failure struct {
	// Ran is false only if it is proved that no backend server runs the
	// request or ever will.
	Ran        bool
	TimedOut   bool
	By         EndedBy
	RetryAfter time.Duration // when the caller may come back; set if it has not run
	Err        error
}

// Error implements error.
func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }
