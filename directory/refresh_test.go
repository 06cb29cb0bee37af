package directory

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/types"
)

// heldSource is a list whose answers may be held up on the way.
type heldSource struct {
	mu       sync.Mutex
	list     []Listing
	hold     time.Duration // of each answer, after it is formed
	away     bool
	requests atomic.Int32
}

func (s *heldSource) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *heldSource) answer(ctx context.Context) (types.Position, []Listing, error) {
	s.requests.Add(1)
	s.mu.Lock()
	position, list, hold, away := types.Position(len(s.list)), s.list, s.hold, s.away
	s.mu.Unlock()
	if away {
		hold = time.Hour
	}
	select {
	case <-time.After(hold):
		return position, list, nil
	case <-ctx.Done():
		return 0, nil, ctx.Err()
	}
}

// List implements Source.
func (s *heldSource) List(ctx context.Context) (types.Position, []Listing, error) {
	return s.answer(ctx)
}

// Changes implements Source.
func (s *heldSource) Changes(ctx context.Context, _ types.Position, wait time.Duration) (types.Position, []Listing, []string, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return 0, nil, nil, ctx.Err()
	}
	position, list, err := s.answer(ctx)
	return position, list, nil, err
}

// playRefresh plays with a follower that has read a list of one server of v1.
func playRefresh(t *testing.T, play func(ctx context.Context, g gomega.Gomega, f *Follower, s *heldSource)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		s := &heldSource{list: []Listing{versionListing("a1", 100, "v1")}}
		f := &Follower{Directory: New(), Source: s, Recorder: event.Discard()}
		go func() { _ = f.Run(ctx) }()
		time.Sleep(10 * time.Millisecond)
		play(ctx, gomega.NewWithT(t), f, s)
		stop()
		time.Sleep(time.Minute)
	})
}

func (s *heldSource) addV2() { s.list = append(s.list, versionListing("a2", 100, "v2")) }

// An answer formed before the call is read after it, as the process stood still or the link was cut.
func TestRefreshDoesNotCountAnAnswerOfAnEarlierRequest(t *testing.T) {
	for name, heldUp := range map[string]time.Duration{"just sent": 0, "within the time of a read": 100 * time.Millisecond, "for seconds": 3 * time.Second} {
		t.Run(name, func(t *testing.T) {
			playRefresh(t, func(ctx context.Context, g gomega.Gomega, f *Follower, s *heldSource) {
				s.set(func() { s.hold = heldUp })
				early := make(chan struct{})
				go func() {
					_ = f.Refresh(ctx)
					close(early)
				}()
				time.Sleep(longPoll) // the follower's own request is answered too
				s.set(func() { s.addV2(); s.hold = 0 })
				g.Expect(f.Refresh(ctx)).To(gomega.Succeed())
				g.Expect(f.Directory.View().Versions("s")).To(gomega.Equal([]string{"v1", "v2"}))
				<-early
				time.Sleep(5 * time.Second)
				g.Expect(f.Directory.View().Versions("s")).To(gomega.Equal([]string{"v1", "v2"}), "an older answer came later")
			})
		})
	}
}

// A second caller is served by the request of the first one, sent before it came back.
func TestRefreshThatJoinsARunningOneReadsAgain(t *testing.T) {
	playRefresh(t, func(ctx context.Context, g gomega.Gomega, f *Follower, s *heldSource) {
		s.set(func() { s.hold = 50 * time.Millisecond })
		go func() { _ = f.Refresh(ctx) }()
		time.Sleep(10 * time.Millisecond)
		s.set(s.addV2)
		g.Expect(f.Refresh(ctx)).To(gomega.Succeed())
		g.Expect(f.Directory.View().Versions("s")).To(gomega.Equal([]string{"v1", "v2"}))
	})
}

// Callers whose VM was killed come back by the hundred, and each reads the list by itself.
func TestRefreshesAtTheSameTimeShareRequests(t *testing.T) {
	playRefresh(t, func(ctx context.Context, g gomega.Gomega, f *Follower, s *heldSource) {
		s.set(func() { s.hold = 4 * time.Millisecond })
		before := s.requests.Load()
		var callers sync.WaitGroup
		for range 300 {
			callers.Go(func() { _ = f.Refresh(ctx) })
		}
		callers.Wait()
		g.Expect(s.requests.Load() - before).To(gomega.BeNumerically("<=", 2))
	})
}

// A list that could not be read counts as current.
func TestRefreshFailsWithoutAnAnswer(t *testing.T) {
	playRefresh(t, func(ctx context.Context, g gomega.Gomega, f *Follower, s *heldSource) {
		s.set(func() { s.away = true })
		began := time.Now()
		g.Expect(f.Refresh(ctx)).NotTo(gomega.Succeed())
		g.Expect(time.Since(began)).To(gomega.BeNumerically("<=", refreshTimeout))
		f = &Follower{Directory: New(), Source: s, Recorder: event.Discard()}
		g.Expect(f.Refresh(ctx)).To(gomega.MatchError(errNoList))
	})
}
