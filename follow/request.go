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
	// half second, no response was complete after 30 s if a page took 0.7 s with the link
	// to itself.
	maxOpenRequests = 2
	// responseBuffer lets requests end without waiting for Run to receive their responses.
	// It exceeds the number of those that end in between, since each new request cancels
	// at most one.
	responseBuffer = 8
)

// request is one read of the subject or one wait for changes: a call to the store, or
// several if the response has several pages.
type request struct {
	sentAt    time.Time
	wait      time.Duration // how long it may wait at the store
	firstByte chan struct{} // holds a token after the first byte of each page
	arriving  atomic.Bool   // a response has begun to arrive
	cancel    context.CancelFunc
}

// age returns how old the content of a response may be at most. The store may have waited
// with it for the request's wait and then responds with its current state; the rest of the
// time it may have been on its way. Both the monotonic and the wall clock are used: the
// monotonic one stands still while this VM is suspended.
func (req *request) age(now time.Time) time.Duration {
	taken := max(now.Sub(req.sentAt), now.Round(0).Sub(req.sentAt.Round(0)))
	return max(0, taken-req.wait)
}

// response is the result of a request, also of one that failed.
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
	g := &requestGroup{parent: parent, responses: make(chan response, responseBuffer)}
	g.ctx, g.cancel = context.WithCancel(parent)
	return g
}

// renew cancels the open requests and returns an empty group.
func (g *requestGroup) renew() *requestGroup {
	g.cancel()
	return newRequestGroup(g.parent)
}

// remove removes a request that has ended from the open ones.
func (g *requestGroup) remove(req *request) {
	for i, open := range g.open {
		if open == req {
			g.open = append(g.open[:i], g.open[i+1:]...)
			return
		}
	}
}

// makeRoom cancels a request if there are too many: the newest, unless its response is
// arriving and the oldest one's is not.
func (g *requestGroup) makeRoom() {
	if len(g.open) < maxOpenRequests {
		return
	}
	oldest, newest := g.open[0], g.open[len(g.open)-1]
	evicted := newest
	if newest.arriving.Load() && !oldest.arriving.Load() {
		evicted = oldest
	}
	evicted.cancel()
	g.remove(evicted)
}

// send starts a request that waits up to wait at the store, and returns at once.
func (g *requestGroup) send(wait time.Duration, call func(context.Context) (Update, error)) *request {
	g.makeRoom()
	req := &request{sentAt: time.Now(), wait: wait, firstByte: make(chan struct{}, 1)}
	ctx, cancel := context.WithCancel(g.ctx)
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
	g.open = append(g.open, req)
	go func() {
		update, err := call(ctx)
		lifetime.Stop()
		cancel()
		select {
		case g.responses <- response{req, update, err}:
		case <-g.ctx.Done():
		}
	}()
	return req
}
