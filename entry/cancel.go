package entry

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/exchange"
	"github.com/pearyard/pearyard/retry"
)

// errGraceOver is the cause when a planned stop cancels running requests.
var errGraceOver = errors.New("entry: the grace period of a planned stop is over")

const (
	// cancelTimeout is how long requests cancelled by a stop may take to end; a third of
	// graceMargin.
	cancelTimeout      = 100 * time.Millisecond
	cancelPollInterval = 2 * time.Millisecond
	// finalWriteTimeout is how long a write to the caller of such a request may take. It is
	// less than cancelTimeout, so that the request's last log line is written too.
	finalWriteTimeout = 50 * time.Millisecond
)

// requestCanceller cancels the requests that still run at the end of a planned stop, with
// the stop as the cause.
//
// To a request, http.Server.Close would look as if its caller had left, and it would not
// wait for the requests' last log lines.
type requestCanceller struct {
	ctx    context.Context // parent of the contexts of all callers' requests
	cancel context.CancelCauseFunc
}

func newRequestCanceller() *requestCanceller {
	c := &requestCanceller{}
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	return c
}

// baseContext is the BaseContext of the server for callers.
func (c *requestCanceller) baseContext(net.Listener) context.Context { return c.ctx }

// cancelAll cancels all requests, waits up to cancelTimeout until they have ended, and
// returns how many there were.
func (c *requestCanceller) cancelAll(running *atomic.Int64) int64 {
	n := running.Load()
	c.cancel(&exchange.End{By: exchange.EndedByStop, Err: errGraceOver})
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	for running.Load() > 0 && retry.Wait(ctx, cancelPollInterval) == nil {
	}
	return n
}
