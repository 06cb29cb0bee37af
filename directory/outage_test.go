package directory

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
// neither then nor after its return.
type silentStore struct {
	mu       sync.Mutex
	position types.Position
	list     []Listing
	silences int // started so far
	silent   bool
}

func (s *silentStore) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *silentStore) now() (position types.Position, list []Listing, silences int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.position, s.list, s.silences, !s.silent
}

func (s *silentStore) List(ctx context.Context) (types.Position, []Listing, error) {
	position, list, _, ok := s.now()
	if ok {
		return position, list, nil
	}
	<-ctx.Done()
	return 0, nil, ctx.Err()
}

func (s *silentStore) Changes(ctx context.Context, after types.Position, wait time.Duration) (types.Position, []Listing, []string, error) {
	_, _, silencesBefore, ok := s.now()
	for end := time.Now().Add(wait); ok; {
		position, list, silences, _ := s.now()
		if silences > silencesBefore {
			break
		}
		if position > after {
			return position, list, nil, nil
		}
		if time.Now().After(end) {
			return after, nil, nil, nil
		}
		select {
		case <-ctx.Done():
			return 0, nil, nil, ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
	<-ctx.Done()
	return 0, nil, nil, ctx.Err()
}

// leaveWithin is how soon after a leaving server's entry changes it must get no new work.
const leaveWithin = 2 * time.Second

// A server reports to the store a second after an outage that it leaves. Guards against a
// follower that waits too long for a response that was lost in the outage: entry VMs sent
// work to the server until it was gone.
func TestDrainingServerIsKnownAfterOutageOfAnyLength(t *testing.T) {
	for length := 500 * time.Millisecond; length <= 9*time.Second; length += 250 * time.Millisecond {
		t.Run(fmt.Sprint(length), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				store := &silentStore{position: 1, list: listing("a1", "b1")}
				f := &Follower{Directory: New(), Source: store, Recorder: event.Discard()}
				ctx, stop := context.WithCancel(t.Context())
				done := make(chan error, 1)
				go func() { done <- f.Run(ctx) }()
				time.Sleep(2 * time.Second)
				store.set(func() { store.silent, store.silences = true, 1 })
				time.Sleep(length)
				store.set(func() { store.silent = false })
				time.Sleep(time.Second)
				leaving := listing("a1", "b1")
				leaving[0].Draining = true
				store.set(func() { store.position, store.list = 2, leaving })
				time.Sleep(leaveWithin)
				known := f.Directory.server("a1").Draining()
				stop()
				<-done
				g.Expect(known).To(gomega.BeTrue())
			})
		})
	}
}
