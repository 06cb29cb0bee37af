package config

import (
	"context"
	"net/http/httptrace"
	"time"

	"github.com/pkg/errors"
)

// errNoResponse reports a call that has not received any response yet.
var errNoResponse = errors.New("config: no response yet")

// waitCall starts a call and waits until it has ended, or returns errNoResponse if
// no response arrived within ShortTimeout. The call then continues in the
// background for up to CallTimeout in all. Once its response has begun, it is
// waited for: a full configuration on a slow link takes longer than ShortTimeout,
// and a second transfer beside it would slow both down.
//
// An unresponsive store or peer thus delays the next call by ShortTimeout, whatever
// CallTimeout is, and a revision from a healthy one is in force within the guaranteed
// four seconds. While all respond, one call runs at a time.
func (s *Syncer) waitCall(ctx context.Context, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, s.opts.CallTimeout)
	responded := make(chan struct{}, 1)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() {
		select {
		case responded <- struct{}{}:
		default: // there may be several HTTP requests in one call
		}
	}})
	ended := make(chan error, 1)
	s.inFlight.Go(func() {
		defer cancel()
		ended <- call(ctx)
	})
	timer := time.NewTimer(s.opts.ShortTimeout)
	defer timer.Stop()
	for {
		select {
		case err := <-ended:
			return err
		case <-responded:
			timer.Stop()
		case <-timer.C:
			return errNoResponse
		}
	}
}
