package follow

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// Update puts the content of a response in force.
type Update func()

const (
	// requestLifetime is how long a request stays open after the last sign of a response,
	// in addition to its wait at the store. It allows for a store that is slow but
	// responds.
	requestLifetime = 4 * time.Second
	// maxOpenRequests is the number of requests that may be open at a time: one whose
	// response may be arriving, and one to find out whether that is lost. More would
	// share a congested link until no response arrives whole: with another request each
	// half second, none of a list's copies that take 0.7 s a page alone was complete
	// after 30 s.
	maxOpenRequests = 2
	// responseBuffer exceeds the number of requests that end before Run looks: they are
	// cancelled one at a time.
	responseBuffer = 8
)

// request is one call to the store, or several that read one subject.
type request struct {
	sentAt    time.Time
	wait      time.Duration
	firstByte chan struct{} // holds a token after the first byte of a response
	arriving  atomic.Bool   // a response has begun to arrive
	cancel    context.CancelFunc
}

// age returns how old the content of a response may be. While a request waits, the store
// responds with its current state; after that the response was on its way. Both the
// monotonic and the wall clock are used: the monotonic one stands still while this VM is
// suspended.
func (req *request) age(now time.Time) time.Duration {
	taken := max(now.Sub(req.sentAt), now.Round(0).Sub(req.sentAt.Round(0)))
	return max(0, taken-req.wait)
}

// response is the result of a request.
type response struct {
	request *request
	update  Update
	err     error
}

// requestGroup holds requests of which one response is enough. Only Run uses it.
type requestGroup struct {
	parent    context.Context
	ctx       context.Context
	cancel    context.CancelFunc
	open      []*request // oldest first
	responses chan response
}

func newRequestGroup(parent context.Context) *requestGroup {
	r := &requestGroup{parent: parent, responses: make(chan response, responseBuffer)}
	r.ctx, r.cancel = context.WithCancel(parent)
	return r
}

// renew cancels the open requests and returns an empty group.
func (r *requestGroup) renew() *requestGroup {
	r.cancel()
	return newRequestGroup(r.parent)
}

// remove removes a request that has ended from the open ones.
func (r *requestGroup) remove(req *request) {
	for i, open := range r.open {
		if open == req {
			r.open = append(r.open[:i], r.open[i+1:]...)
			return
		}
	}
}

// makeRoom cancels a request if there are too many: the newest, unless its response is
// arriving and the oldest one's is not.
func (r *requestGroup) makeRoom() {
	if len(r.open) < maxOpenRequests {
		return
	}
	oldest, newest := r.open[0], r.open[len(r.open)-1]
	evicted := newest
	if newest.arriving.Load() && !oldest.arriving.Load() {
		evicted = oldest
	}
	evicted.cancel()
	r.remove(evicted)
}

// send starts a request that waits up to wait at the store.
func (r *requestGroup) send(wait time.Duration, call func(context.Context) (Update, error)) *request {
	r.makeRoom()
	req := &request{sentAt: time.Now(), wait: wait, firstByte: make(chan struct{}, 1)}
	ctx, cancel := context.WithCancel(r.ctx)
	req.cancel = cancel
	lifetime := time.AfterFunc(wait+requestLifetime, cancel)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() {
		lifetime.Reset(requestLifetime)
		req.arriving.Store(true)
		select {
		case req.firstByte <- struct{}{}:
		default:
		}
	}})
	r.open = append(r.open, req)
	go func() {
		update, err := call(ctx)
		lifetime.Stop()
		cancel()
		select {
		case r.responses <- response{req, update, err}:
		case <-r.ctx.Done():
		}
	}()
	return req
}
