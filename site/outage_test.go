package site

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/types"
)

// silentStore drops requests that arrive or wait while it is silent: it responds to them
// neither then nor after its return, as if their packets were lost.
type silentStore struct {
	mu       sync.Mutex
	version  uint64
	silences int // started so far
	silent   bool
	slow     time.Duration // time that each response takes
	requests int
}

func (s *silentStore) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// newest returns the version and the number of silences so far; ok is false while the
// store is silent.
func (s *silentStore) newest() (version uint64, silences int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version, s.silences, !s.silent
}

func (s *silentStore) Read(ctx context.Context) (*Versioned, types.Position, error) {
	s.set(func() { s.requests++ })
	version, _, ok := s.newest()
	if !ok {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	select {
	case <-time.After(s.slow):
		return versionAt(types.Position(version), version), types.Position(version), nil
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

func (s *silentStore) Next(ctx context.Context, after types.Position, wait time.Duration) (*Versioned, types.Position, error) {
	s.set(func() { s.requests++ })
	_, silencesBefore, ok := s.newest()
	for end := time.Now().Add(wait + s.slow); ok; {
		version, silences, _ := s.newest()
		if silences > silencesBefore {
			break
		}
		if types.Position(version) > after {
			return versionAt(types.Position(version), version), types.Position(version), nil
		}
		if time.Now().After(end) {
			return nil, after, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// applyWithin is how soon after the store has a change it must be in force.
const applyWithin = 2 * time.Second

// Operators add a route a second after the end of an outage. Guards against a timeout
// that doubles with each failure: the fourth request was sent just before the store's
// return and waited four seconds for a response that was lost in the outage, with no
// other request beside it. Callers of the route got 404 from every entry VM for two more
// seconds.
func TestChangeIsInForceAfterAnOutageOfAnyLength(t *testing.T) {
	for length := 500 * time.Millisecond; length <= 9*time.Second; length += 250 * time.Millisecond {
		t.Run(fmt.Sprint(length), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				store := &silentStore{version: 1}
				f := &Follower{Holder: NewHolder(), Source: store, Recorder: event.Discard()}
				ctx, stop := context.WithCancel(t.Context())
				done := make(chan error, 1)
				go func() { done <- f.Run(ctx) }()
				time.Sleep(2 * time.Second)
				store.set(func() { store.silent, store.silences = true, 1 })
				time.Sleep(length)
				store.set(func() { store.silent = false })
				time.Sleep(time.Second)
				store.set(func() { store.version = 2 })
				time.Sleep(applyWithin)
				position := f.Holder.Position()
				stop()
				<-done
				g.Expect(position).To(gomega.BeNumerically("==", 2))
			})
		})
	}
}

// The store responds, but takes two seconds each time. Its content must still get
// through, with a limited number of requests, since each call is charged.
func TestSlowStoreIsStillRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		store := &silentStore{version: 1, slow: 2 * time.Second}
		f := &Follower{Holder: NewHolder(), Source: store, Recorder: event.Discard()}
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		time.Sleep(8 * time.Second)
		first := f.Holder.Position()
		store.set(func() { store.version = 2 })
		time.Sleep(6 * time.Second)
		second := f.Holder.Position()
		stop()
		<-done
		g.Expect(first).To(gomega.BeNumerically("==", 1))
		g.Expect(second).To(gomega.BeNumerically("==", 2))
		g.Expect(store.requests).To(gomega.BeNumerically("<", 30))
	})
}
