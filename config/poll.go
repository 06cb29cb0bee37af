package config

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// Results of a poll.
const (
	pollSame  = "same"
	pollNewer = "newer"
	pollOlder = "older"
	pollError = "error"
)

// pollOrder tells which of the polls that were open beside each other is the
// newest that has ended.
type pollOrder struct {
	mu    sync.Mutex
	begun int
	ended int // number of the newest poll that has ended
	open  int
	down  bool // the newest poll that ended had no answer
}

func (o *pollOrder) begin() (number int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.begun++
	o.open++
	return o.begun
}

// end notes how a poll ended, and reports whether that says something new of
// the store.
//
// An older question may run out of time after a later one was answered: only the newest
// poll that has ended says how the store is.
func (o *pollOrder) end(number int, down bool) (changed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.open--
	if number < o.ended {
		return false
	}
	o.ended = number
	changed = down != o.down
	o.down = down
	return changed
}

// waiting reports whether a poll is open.
func (o *pollOrder) waiting() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.open > 0
}

// poll brings in what the store has.
func (s *Spreader) poll(ctx context.Context) {
	if s.opts.Versions == nil {
		return
	}
	number := s.polls.begin()
	_ = s.inTurn(ctx, func(ctx context.Context) error {
		result, err := s.pull(ctx)
		s.metrics.polls.WithLabelValues(result).Inc()
		s.noteStore(number, result, err)
		return err
	})
}

func (s *Spreader) pull(ctx context.Context) (string, error) {
	begun := s.opts.Holder.opts.Now()
	head, err := s.opts.Versions.Head(ctx)
	var behind *BehindError
	if errors.As(err, &behind) {
		return pollOlder, err
	}
	if err != nil {
		return pollError, err
	}
	if head.Revision <= s.opts.Holder.Revision() {
		s.opts.Holder.Confirmed(head.Revision, begun)
		return pollSame, nil
	}
	raw, err := s.opts.Versions.Load(ctx, head.Revision)
	if err != nil {
		return pollError, err
	}
	_, err = s.opts.Holder.Offer(head.Revision, raw)
	s.opts.Holder.Confirmed(head.Revision, begun)
	return pollNewer, err
}

// noteStore emits an event when the store goes or comes back, not at each poll.
func (s *Spreader) noteStore(number int, result string, err error) {
	changed := s.polls.end(number, result == pollError)
	switch {
	case result == pollOlder:
		s.opts.Recorder.Emit(EventStoreBehind, "error", err)
	case changed && result == pollError:
		s.opts.Recorder.Emit(EventStoreDown, "error", err)
	case changed:
		s.opts.Recorder.Emit(EventStoreBack)
	}
}
