package exchange

import (
	"time"

	"github.com/pearyard/pearyard/directory"
)

// maxLimitedTries bounds how many servers at their limits are passed over for a request. At
// a large service a choice looks at hundreds of servers.
const maxLimitedTries = 8

// takeLimit reports whether a server's rate limit leaves room for a request, and whether it
// is the request's turn if the server's rest is just over. It counts the request if so.
func (e *Exchange) takeLimit(s *directory.Server) bool {
	if !s.TakeTurn(time.Now()) {
		return false
	}
	if e.opts.ServerLimits == nil || e.opts.ServerLimits.Take(s) {
		return true
	}
	e.metrics.limitHeld.Inc()
	return false
}

// pickWithinLimit returns a server from choose whose rate limit leaves room for the request.
// exclude is called for each server that is passed over. It returns ErrServerLimits if there
// are only such servers.
func (e *Exchange) pickWithinLimit(choose func() (*directory.Server, error), exclude func(*directory.Server)) (*directory.Server, error) {
	for tries := range maxLimitedTries {
		s, err := choose()
		if err != nil {
			return nil, err
		}
		if s == nil {
			if tries > 0 {
				err = ErrServerLimits
			}
			return nil, err
		}
		if e.takeLimit(s) {
			return s, nil
		}
		exclude(s)
	}
	return nil, ErrServerLimits
}

// limitRetryAfter returns the Retry-After of a request that was refused because of servers'
// rate limits.
func (e *Exchange) limitRetryAfter(service string) time.Duration {
	if e.opts.ServerLimits == nil {
		return retryAfter
	}
	return max(retryAfter, e.opts.ServerLimits.RetryAfter(service))
}
