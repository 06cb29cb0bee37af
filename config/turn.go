package config

import (
	"context"
	"net/http/httptrace"
	"time"

	"github.com/pkg/errors"
)

// errSilent reports a question from which nothing has been heard yet.
var errSilent = errors.New("config: nothing heard yet")

// inTurn asks a question and returns when it has ended, or with errSilent when
// nothing was heard for ShortTimeout. The question goes on beside those after
// it, for CallTimeout in all. One whose answer has begun keeps its turn: a full
// text on a slow link takes longer than ShortTimeout, and a second one beside it
// would make both slower.
//
// Failure it stops: a silent store and a frozen peer are waited out one after
// the other, while a sound peer names the text on every message. It shows as a
// text that is in force later than promised in processes that its push missed.
// A silent one now costs ShortTimeout of the promise of four seconds, whatever
// CallTimeout is. As long as all answer, there is one question at a time.
func (s *Spreader) inTurn(ctx context.Context, ask func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, s.opts.CallTimeout)
	heard := make(chan struct{}, 1)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() {
		select {
		case heard <- struct{}{}:
		default: // a question may be several calls
		}
	}})
	ended := make(chan error, 1)
	s.open.Go(func() {
		defer cancel()
		ended <- ask(ctx)
	})
	silent := time.NewTimer(s.opts.ShortTimeout)
	defer silent.Stop()
	for {
		select {
		case err := <-ended:
			return err
		case <-heard:
			silent.Stop()
		case <-silent.C:
			return errSilent
		}
	}
}
