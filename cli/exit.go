package cli

import (
	"fmt"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"
)

// Exit codes; docs/operations/command-line.md lists them for operators.
const (
	ExitOK           = 0
	ExitInternal     = 1
	ExitUsage        = 2
	ExitFindings     = 3
	ExitRace         = 4
	ExitUnreachable  = 5
	ExitNotInForce   = 6
	ExitUnknown      = 7
	ExitUnauthorized = 8
	ExitNotFound     = 9
)

// exitError is an error with an exit code for scripts.
type exitError struct {
	code    int
	message string
}

// Error implements error.
func (e *exitError) Error() string { return e.message }

func exitErrorf(code int, format string, args ...any) error {
	return &exitError{code: code, message: fmt.Sprintf(format, args...)}
}

func usageErrorf(format string, args ...any) error {
	return exitErrorf(ExitUsage, format, args...)
}

// exitCode returns the exit code of an error.
func exitCode(err error) int {
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	var answer twirp.Error
	if !errors.As(err, &answer) {
		return ExitInternal
	}
	switch answer.Code() {
	case twirp.Unauthenticated, twirp.PermissionDenied:
		return ExitUnauthorized
	case twirp.NotFound:
		return ExitNotFound
	case twirp.InvalidArgument, twirp.Malformed, twirp.FailedPrecondition:
		return ExitUsage
	case twirp.Unavailable, twirp.DeadlineExceeded, twirp.Canceled, twirp.Internal, twirp.BadRoute:
		return ExitUnreachable
	case twirp.Unknown:
		return ExitUnknown
	default:
		return ExitInternal
	}
}
