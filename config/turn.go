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
// A silent store or peer costs ShortTimeout, whatever CallTimeout is, so that a sound one is
// asked within the promised time. As long as all answer, there is one question at a time.
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
