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

// errGraceOver is why a planned stop cuts what still runs.
var errGraceOver = errors.New("entry: the grace period of a planned stop is over")

const (
	// cutTime is how long the requests that a stop cuts may take to say so; a
	// third of graceMargin.
	cutTime = 100 * time.Millisecond
	cutLook = 2 * time.Millisecond
	// sayTime is how long a write to the caller of such a request may take, less
	// than cutTime, so that its last line is written too.
	sayTime = 50 * time.Millisecond
)

// cutter ends what still runs at the end of a planned stop, in the stop's name.
//
// The server's own Close would look to each request as if its caller had left, and would
// not wait for their last lines.
type cutter struct {
	all context.Context // of all callers' requests
	end context.CancelCauseFunc
}

func newCutter() *cutter {
	c := &cutter{}
	c.all, c.end = context.WithCancelCause(context.Background())
	return c
}

// base is the callers' server's BaseContext hook.
func (c *cutter) base(net.Listener) context.Context { return c.all }

// cut ends all requests, waits until they have ended, and returns how many there were.
func (c *cutter) cut(running *atomic.Int64) int64 {
	n := running.Load()
	c.end(&exchange.End{By: exchange.EndedByStop, Err: errGraceOver})
	ctx, cancel := context.WithTimeout(context.Background(), cutTime)
	defer cancel()
	for running.Load() > 0 && retry.Wait(ctx, cutLook) == nil {
	}
	return n
}
