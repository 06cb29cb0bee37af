package exchange

import (
	"context"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// errNotWritten: the caller is no longer written to, though net/http has not reported
// why.
var errNotWritten = errors.New("exchange: the rest of the answer could not be written")

// trackedRest is the rest of a response that is too large to be held in memory. The
// request is in progress until all of it has been forwarded: only its end says who
// ended the request.
//
// The request's context must live until then, since the rest arrives on its connection.
type trackedRest struct {
	Body
	call   *call
	status int
	ctx    context.Context // of the request, with its deadline
	cancel context.CancelFunc
	once   sync.Once
}

// Read implements Body.
func (r *trackedRest) Read(p []byte) (int, error) {
	n, err := r.Body.Read(p)
	switch err {
	case nil:
	case io.EOF:
		r.conclude(nil)
	default:
		r.conclude(r.brokenOff(err))
	}
	return n, err
}

// Close implements Body.
func (r *trackedRest) Close() error {
	r.conclude(r.call.req.writeFailed(r.ctx, errNotWritten))
	return r.Body.Close()
}

// brokenOff returns the outcome of a request whose server broke off the rest of its
// response.
func (r *trackedRest) brokenOff(err error) error {
	switch {
	case r.ctx.Err() == nil:
		return &BrokenError{Err: err}
	case timedOut(r.ctx):
		return &Failure{By: r.call.req.endOf(r.ctx).By, Ran: true, TimedOut: true, Err: errors.Wrap(ErrTimeout, err.Error())}
	default:
		return r.call.req.endOf(r.ctx)
	}
}

func (r *trackedRest) conclude(err error) {
	r.once.Do(func() {
		r.cancel()
		r.call.conclude(r.status, err)
	})
}
