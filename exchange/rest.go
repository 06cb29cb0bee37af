package exchange

import (
	"context"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// errNotTaken: the caller was written to no longer, though net/http has not
// said why.
var errNotTaken = errors.New("exchange: the rest of the answer could not be written")

// rest is what follows in an answer too large to be held. The request is on its
// way until all of it has been handed on: only its end says who ended it.
//
// The request's context must live until then: the rest comes on its connection.
type rest struct {
	Body
	call   *call
	status int
	ctx    context.Context // of the request, until its time is up
	cancel context.CancelFunc
	once   sync.Once
}

// Read implements Body.
func (r *rest) Read(p []byte) (int, error) {
	n, err := r.Body.Read(p)
	switch err {
	case nil:
	case io.EOF:
		r.conclude(nil)
	default:
		r.conclude(r.broken(err))
	}
	return n, err
}

// Close implements Body.
func (r *rest) Close() error {
	r.conclude(r.call.req.unwritten(r.ctx, errNotTaken))
	return r.Body.Close()
}

// broken is the end of a request whose server's connection ended early.
func (r *rest) broken(err error) error {
	switch {
	case r.ctx.Err() == nil:
		return &BrokenError{Err: err}
	case timedOut(r.ctx):
		return &Failure{By: r.call.req.endOf(r.ctx).By, Ran: true, TimedOut: true, Err: errors.Wrap(ErrTimeout, err.Error())}
	default:
		return r.call.req.endOf(r.ctx)
	}
}

func (r *rest) conclude(err error) {
	r.once.Do(func() {
		r.cancel()
		r.call.conclude(r.status, err)
	})
}
