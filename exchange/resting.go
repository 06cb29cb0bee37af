package exchange

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/retry"
)

const (
	// restWaitShare of its objective is how long a request waits for the end of a server's
	// rest. What is left is enough for an answer in time.
	restWaitShare = 0.5
	// afterRestWait is how long it waits beyond that for its turn: after its rest a server
	// gets one request at a time until it has answered one.
	afterRestWait = time.Second
	// restSpread is the time over which callers come back that were refused because the
	// servers rest.
	restSpread = 800 * time.Millisecond
)

// askedForRest reports whether an attempt was turned away by a server that asked for rest but
// did not say that it has not run the request.
func askedForRest(err error) bool {
	var broken *BrokenError
	return errors.As(err, &broken) && broken.AskedForRest
}

// restQuery describes the servers that could take the stream.
func (s *stream) restQuery() directory.Query {
	return directory.Query{Service: s.req.Service, Admits: s.admits()}
}

func (s *stream) allRestUntil() (time.Time, bool) {
	return s.e.opts.Directory.AllRestUntil(s.restQuery(), time.Now())
}

// mayAwaitRest reports whether the stream may wait for the end of a rest, although enough
// servers have refused it: all of them rest, so that it is sent to none until then.
func (s *stream) mayAwaitRest() bool {
	end, rest := s.allRestUntil()
	if !rest || !s.req.canWaitUntil(end) {
		return false
	}
	s.refusedSinceEvent = 0
	return true
}

// restQuery describes the servers that could take the request.
func (c *call) restQuery() directory.Query {
	return directory.Query{Service: c.req.Service, Admits: c.versions.Admits()}
}

func (c *call) allRestUntil() (time.Time, bool) {
	return c.e.opts.Directory.AllRestUntil(c.restQuery(), time.Now())
}

// canWaitUntil reports whether the request can be answered in time if it is sent at t.
func (r *Request) canWaitUntil(t time.Time) bool {
	latest := r.Arrived.Add(time.Duration(restWaitShare * float64(r.Route.Objective)))
	return t.Before(latest) && t.Before(r.Deadline.Add(-responseMargin))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// launchFirst sends the request to its first server. While all servers rest, it waits if the
// request can still be answered in time.
func (c *call) launchFirst(ctx context.Context) error {
	giveUp := time.Now().Add(afterRestWait)
	for {
		err := c.launch(ctx)
		if !errors.Is(err, ErrServersRest) {
			return err
		}
		end, rest := c.allRestUntil()
		if rest && !c.req.canWaitUntil(end) || time.Now().After(giveUp) || retry.Wait(ctx, pickInterval) != nil {
			return err
		}
	}
}

// restRetryAfter returns when a request may come again that found no server since all rest:
// at the soonest end of a rest, spread so that callers don't come at once. It returns 0 if one
// of the servers does not rest.
func (e *Exchange) restRetryAfter(q directory.Query) time.Duration {
	end, rest := e.opts.Directory.AllRestUntil(q, time.Now())
	if !rest {
		return 0
	}
	return max(0, time.Until(end)) + time.Duration(rand.Int64N(int64(restSpread)))
}
