package follow

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/retry"
)

const (
	// responseTimeout is how long a response of the store may take, in addition to the
	// request's wait there, before another request is sent beside the open one.
	responseTimeout = 500 * time.Millisecond
	// pageTimeout is how long the next page of a response that has begun to arrive may
	// take, even over a congested link. Together with the delay before the next request it
	// must be less than the two seconds within which a change must be in force.
	pageTimeout = 1200 * time.Millisecond
	// minRetryDelay is the shortest delay after a failure; it grows, with jitter, up to
	// minRetryDelay + maxExtraDelay. Together with responseTimeout it limits how late the
	// store's return is noticed, which must be well below the two seconds within which a
	// change must be in force.
	minRetryDelay = 150 * time.Millisecond
	maxExtraDelay = 400 * time.Millisecond
	// failuresUntilLost is the number of consecutive failures after which the store is
	// reported lost: a single one may be a connection that has gone silent.
	failuresUntilLost = 2
)

// Share gives access to what other processes have read.
type Share interface {
	// Delegated returns for how long other processes read on behalf of this one; 0 if they
	// don't.
	Delegated() time.Duration
	// Updates returns a channel that holds a token after another process has read
	// something newer.
	Updates() <-chan struct{}
	// Wait returns how long a request waits at the store; alone is the time for a process
	// that reads by itself.
	Wait(alone time.Duration) time.Duration
	// Pause returns the delay after a failure, given the default d; others is set if
	// another loop of this process probes the same store.
	Pause(d time.Duration, others bool) time.Duration
	// Read records a response whose content is at most as old as age.
	Read(age time.Duration)
	// Failed records a request that failed or got no response in time.
	Failed()
}

// Outage describes a period without responses of the store, reported at its end.
type Outage struct {
	Failures    int           // consecutive failures
	Duration    time.Duration // since the subject was last confirmed, by the store or by other processes
	LongestWait time.Duration // longest time that Run waited for a response before a failure
}

// ErrNoResponse is the failure of a request that got no response in time. The request
// stays open: its response is still accepted if it arrives later.
var ErrNoResponse = errors.New("follow: no response from the store in time")

// Loop follows one subject. If a request gets no response in time it stays open, and
// another one is sent beside it. Timeouts therefore need not grow: a slow store responds
// to the older request, a store that is back responds to the newest.
//
// All functions but Read and Next may be nil, and so may Share and ProbeGroup.
type Loop struct {
	// Read reads the whole subject; Next waits up to wait for a change. Several calls may
	// run at once. Only Run calls the updates that they return.
	Read func(ctx context.Context) (Update, error)
	Next func(ctx context.Context, wait time.Duration) (Update, error)
	// MustRead reports whether waiting for changes could miss one.
	MustRead func() bool

	// MayDelegate reports whether a confirmation by other processes can replace a request
	// of this process.
	MayDelegate func() bool

	// LongPoll is how long a request waits at the store for changes. A connection that went
	// silent is detected after at most this time plus responseTimeout.
	LongPoll time.Duration
	// MinInterval is the shortest time between two requests.
	MinInterval time.Duration

	Share      Share
	ProbeGroup *ProbeGroup // shared by all loops with the same store
	// OnFailure is called after each failure in a goroutine of its own; it may ask peers.
	OnFailure func(ctx context.Context)
	// OnLost and OnRegained report the loss and return of the store.
	OnLost     func(err error)
	OnRegained func(o Outage)

	confirmedAt atomic.Int64 // Unix nanoseconds of the newest response or confirmation by others
	failing     atomic.Bool
	failedAt    atomic.Int64  // Unix nanoseconds of the newest failure; 0: none
	failures    int           // since the newest response
	longestWait time.Duration // see Outage; since the newest response
	group       *requestGroup // the requests that may still get a response
	started     bool          // there has been a response
	behind      bool          // other processes may have read something newer
}

// Run follows the subject until ctx ends.
func (l *Loop) Run(ctx context.Context) error {
	l.group = newRequestGroup(ctx)
	for ctx.Err() == nil {
		if l.waitDelegated(ctx) {
			continue
		}
		began := time.Now()
		err := l.step(ctx)
		if err != nil {
			l.fail(ctx, err, time.Since(began))
			continue
		}
		_ = retry.Wait(ctx, l.MinInterval-time.Since(began))
	}
	return ctx.Err()
}

// step sends a request and waits for a response, to it or to an earlier one.
func (l *Loop) step(ctx context.Context) error {
	req, timeout := l.send()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-req.firstByte:
			timer.Reset(pageTimeout)
		case <-timer.C:
			return ErrNoResponse
		case resp := <-l.group.responses:
			l.group.remove(resp.request)
			if resp.err == nil {
				l.accept(resp)
				return nil
			}
			if resp.request == req {
				return resp.err
			}
		}
	}
}

// Age returns the time since the subject was last confirmed by the store or by others. It
// is safe for concurrent use.
func (l *Loop) Age() time.Duration { return time.Since(time.Unix(0, l.confirmedAt.Load())) }

// Failing reports whether the newest request failed. It is safe for concurrent use.
func (l *Loop) Failing() bool { return l.failing.Load() }

// FailedWithin reports whether the newest request failed, or any request did at most d
// ago. It is safe for concurrent use.
func (l *Loop) FailedWithin(d time.Duration) bool {
	at := l.failedAt.Load()
	return l.Failing() || (at != 0 && time.Since(time.Unix(0, at)) < d)
}

// waitDelegated waits while other processes read on behalf of this one, until they have
// read something newer. It returns false at once if they don't read for this one.
func (l *Loop) waitDelegated(ctx context.Context) bool {
	if l.Share == nil || !l.started || (l.MayDelegate != nil && !l.MayDelegate()) {
		return false
	}
	wait := l.Share.Delegated()
	if wait <= 0 {
		return false
	}
	l.ProbeGroup.leave(l)
	l.behind = true
	l.confirmedAt.Store(time.Now().UnixNano())
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-l.Share.Updates():
	}
	return true
}

// send sends the next request and returns how long to wait for it. The whole subject is
// read where waiting for changes could miss one: at the start, after a failure, and after
// others have read.
func (l *Loop) send() (req *request, timeout time.Duration) {
	if !l.started || l.behind || l.failures > 0 || (l.MustRead != nil && l.MustRead()) {
		return l.group.send(0, l.Read), responseTimeout
	}
	wait := l.LongPoll
	if l.Share != nil {
		wait = l.Share.Wait(wait)
	}
	next := func(ctx context.Context) (Update, error) { return l.Next(ctx, wait) }
	return l.group.send(wait, next), wait + responseTimeout
}

// accept applies a response and cancels the other open requests.
func (l *Loop) accept(resp response) {
	l.group = l.group.renew()
	l.ProbeGroup.responded()
	resp.update()
	if l.failures >= failuresUntilLost && l.OnRegained != nil {
		l.OnRegained(Outage{Failures: l.failures, Duration: l.Age(), LongestWait: l.longestWait})
	}
	l.failing.Store(false)
	l.confirmedAt.Store(time.Now().UnixNano())
	l.failures, l.longestWait, l.started, l.behind = 0, 0, true, false
	if l.Share != nil {
		l.Share.Read(resp.request.age(time.Now()))
	}
}

// fail records that a request failed or got no response in time, and waits before the
// next one.
func (l *Loop) fail(ctx context.Context, err error, waited time.Duration) {
	if ctx.Err() != nil {
		return
	}
	l.failing.Store(true)
	l.failures++
	l.longestWait = max(l.longestWait, waited)
	l.failedAt.Store(time.Now().UnixNano())
	if l.failures == failuresUntilLost && l.OnLost != nil {
		l.OnLost(err)
	}
	if l.Share != nil {
		l.Share.Failed()
	}
	if l.OnFailure != nil {
		// Run does not wait for it: peers that don't respond must not hold up the next
		// request.
		go l.OnFailure(ctx)
	}
	l.delay(ctx, retry.BackoffBetween(minRetryDelay, maxExtraDelay, l.failures))
}

// delay waits before the next request: for d, or as long as the Share and ProbeGroup ask
// for. It ends early if a request that is still open gets a response, other processes have
// read something newer, or another loop that probes the same store is done.
func (l *Loop) delay(ctx context.Context, d time.Duration) {
	probed := l.ProbeGroup.join(l)
	switch {
	case probed != nil:
		d = probeTimeout
	case l.ProbeGroup != nil:
		d = min(d, maxProbeDelay)
	}
	var updates <-chan struct{}
	if l.Share != nil {
		d, updates = l.Share.Pause(d, probed != nil), l.Share.Updates()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-probed:
			return
		case <-updates:
			return
		case resp := <-l.group.responses:
			l.group.remove(resp.request)
			if resp.err == nil {
				l.accept(resp)
				_ = retry.Wait(ctx, l.MinInterval)
				return
			}
		}
	}
}
