package config

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// Results of a poll, as they are counted in polls_total.
const (
	pollSame  = "same"
	pollNewer = "newer"
	pollOlder = "older"
	pollError = "error"
)

// pollTracker numbers the polls, which may overlap, and keeps the outcome of the
// most recently started one that has ended.
type pollTracker struct {
	mu          sync.Mutex
	lastStarted int // number of the newest poll
	lastEnded   int // number of the newest poll that has ended
	inFlight    int
	down        bool // poll number lastEnded failed
}

func (p *pollTracker) begin() (number int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastStarted++
	p.inFlight++
	return p.lastStarted
}

// end records the outcome of a poll and reports whether the store's availability
// changed with it.
//
// An older poll may time out after a later one got a response, so only the newest poll
// that has ended determines the availability.
func (p *pollTracker) end(number int, down bool) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight--
	if number < p.lastEnded {
		return false
	}
	p.lastEnded = number
	changed = down != p.down
	p.down = down
	return changed
}

// anyInFlight reports whether a poll is still running.
func (p *pollTracker) anyInFlight() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inFlight > 0
}

// pollStore fetches the newest revision from the store if it isn't in force yet. It
// does nothing without a store.
func (s *Syncer) pollStore(ctx context.Context) {
	if s.opts.Store == nil {
		return
	}
	number := s.polls.begin()
	_ = s.waitCall(ctx, func(ctx context.Context) error {
		result, err := s.fetchFromStore(ctx)
		s.metrics.polls.WithLabelValues(result).Inc()
		s.recordPoll(number, result, err)
		return err
	})
}

func (s *Syncer) fetchFromStore(ctx context.Context) (string, error) {
	start := s.opts.Holder.opts.Now()
	head, err := s.opts.Store.Head(ctx)
	var behind *BehindError
	if errors.As(err, &behind) {
		return pollOlder, err
	}
	if err != nil {
		return pollError, err
	}
	if head.Revision <= s.opts.Holder.Revision() {
		s.opts.Holder.RecordConfirmation(head.Revision, start)
		return pollSame, nil
	}
	raw, err := s.opts.Store.Load(ctx, head.Revision)
	if err != nil {
		return pollError, err
	}
	_, err = s.opts.Holder.Offer(head.Revision, raw)
	s.opts.Holder.RecordConfirmation(head.Revision, start)
	return pollNewer, err
}

// recordPoll emits an event when the store becomes unreachable or reachable again, not at
// each poll, and whenever it returns an older revision.
func (s *Syncer) recordPoll(number int, result string, err error) {
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
