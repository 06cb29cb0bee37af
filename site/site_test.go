package site

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/types"
)

func versionAt(position types.Position, version uint64) *Versioned {
	return &Versioned{Config: New(version, nil, nil, nil, ClientLimits{}), Position: position}
}

// A late response of the store must not restore a revoked key.
func TestHolderNeverGoesBack(t *testing.T) {
	g := gomega.NewWithT(t)
	h := NewHolder()
	g.Expect(h.Config()).To(gomega.BeNil())
	g.Expect(h.Offer(versionAt(5, 3))).To(gomega.BeTrue())
	g.Expect(h.Offer(versionAt(4, 2))).To(gomega.BeFalse())
	g.Expect(h.Offer(versionAt(5, 3))).To(gomega.BeFalse())
	g.Expect(h.Offer(versionAt(6, 2))).To(gomega.BeFalse(), "an older version at a later position")
	g.Expect(h.Offer(versionAt(9, 7))).To(gomega.BeTrue())
	g.Expect(h.Position()).To(gomega.BeNumerically("==", 9))
}

// Concurrent offers leave the newest version in force.
func TestHolderKeepsNewestOfConcurrentOffers(t *testing.T) {
	g := gomega.NewWithT(t)
	h := NewHolder()
	var wg sync.WaitGroup
	for i := uint64(1); i <= 100; i++ {
		wg.Go(func() { h.Offer(versionAt(types.Position(i), i)) })
	}
	wg.Wait()
	g.Expect(h.Position()).To(gomega.BeNumerically("==", 100))
}

// hungSource is a store whose connection can go silent: Next then gets no response until
// a Read opens a new connection.
type hungSource struct {
	mu           sync.Mutex
	version      uint64
	silent       bool
	err          error
	historyStart types.Position // the history up to this position is gone
	reads        int
}

func (s *hungSource) historyStartNow() types.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.historyStart
}

func (s *hungSource) now() *Versioned { return versionAt(types.Position(s.version), s.version) }

func (s *hungSource) Read(context.Context) (*Versioned, types.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.err != nil {
		return nil, 0, s.err
	}
	s.silent = false
	return s.now(), max(types.Position(s.version), s.historyStart), nil
}

func (s *hungSource) Next(ctx context.Context, after types.Position, wait time.Duration) (*Versioned, types.Position, error) {
	if after < s.historyStartNow() {
		return s.Read(ctx)
	}
	end := time.After(wait)
	for {
		s.mu.Lock()
		silent, v, err := s.silent, s.now(), s.err
		s.mu.Unlock()
		if err != nil {
			return nil, 0, err
		}
		if !silent && v.Position > after {
			return v, v.Position, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-end:
			if !silent {
				return nil, after, nil
			}
			end = nil
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func (s *hungSource) set(version uint64, silent bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.silent, s.err = version, silent, err
}

func startFollower(t *testing.T, source Source, onFailure func(context.Context)) *Holder {
	f := &Follower{Holder: NewHolder(), Source: source, Recorder: event.Discard(), OnFailure: onFailure}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
	return f.Holder
}

// The connection to the store goes silent without a reset, and a change is made at that
// very moment. It is in force within the three seconds after which a process whose
// connections went silent must have the newest configuration again.
func TestSilentConnectionToTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		source := &hungSource{version: 1}
		h := startFollower(t, source, nil)
		time.Sleep(100 * time.Millisecond)
		g.Expect(h.Position()).To(gomega.BeNumerically("==", 1))
		source.set(2, true, nil)
		time.Sleep(3 * time.Second)
		g.Expect(h.Position()).To(gomega.BeNumerically("==", 2))
	})
}

// The store is down: peers are asked, the version in force stays, and the store isn't
// called in a tight loop, since each call is charged.
func TestStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		source := &hungSource{version: 4}
		var failures atomic.Int32
		h := startFollower(t, source, func(context.Context) { failures.Add(1) })
		time.Sleep(100 * time.Millisecond)
		source.set(4, false, errors.New("away"))
		time.Sleep(10 * time.Second)
		g.Expect(h.Position()).To(gomega.BeNumerically("==", 4))
		g.Expect(failures.Load()).To(gomega.And(gomega.BeNumerically(">", 10), gomega.BeNumerically("<", 60)))
		source.set(5, false, nil)
		time.Sleep(time.Second)
		g.Expect(h.Position()).To(gomega.BeNumerically("==", 5))
	})
}

// The store drops its history, and the configuration was written long before. Guards
// against waits for changes that end at once and are each followed by a read, 600 times a
// second: the store limits the rate of calls, and each call is charged.
func TestDroppedHistoryIsNotRequestedAgainAndAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		source := &hungSource{version: 4, historyStart: 90}
		h := startFollower(t, source, nil)
		time.Sleep(10 * time.Second)
		g.Expect(h.Position()).To(gomega.BeNumerically("==", 4))
		source.mu.Lock()
		defer source.mu.Unlock()
		g.Expect(source.reads).To(gomega.BeNumerically("<=", 2))
	})
}

// This release can't read an operator's version. The last good one stays in force, one
// line says so, and the store is not asked for it again and again.
func TestUnreadableVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		source := &hungSource{version: 4}
		recorder := event.Discard()
		f := &Follower{Holder: NewHolder(), Source: source, Recorder: recorder}
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		time.Sleep(100 * time.Millisecond)
		source.set(4, false, &UnreadableError{Position: 9, Err: errors.New("unknown kind")})
		time.Sleep(2 * time.Second)
		g.Expect(f.Holder.Position()).To(gomega.BeNumerically("==", 4))
		source.set(12, false, nil)
		time.Sleep(2 * time.Second)
		g.Expect(f.Holder.Position()).To(gomega.BeNumerically("==", 12))
		stop()
		<-done
		unreadable := 0
		for _, e := range recorder.Entries("") {
			if e.ID == EventUnreadable.ID() {
				unreadable++
			}
			g.Expect(e.ID).NotTo(gomega.Equal(EventStoreLost.ID()))
		}
		g.Expect(unreadable).To(gomega.Equal(1))
	})
}

// A process starts while the newest version can't be read. It has no configuration and
// asks its peers, which may have the previous version; one line says at once why it
// serves nobody. Guards against a log that only reports a lost store.
func TestUnreadableNewestVersionAtStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		source := &hungSource{}
		source.set(0, false, &UnreadableError{Position: 9, Err: errors.New("unknown kind")})
		recorder := event.Discard()
		f := &Follower{Holder: NewHolder(), Source: source, Recorder: recorder}
		peersRespond := atomic.Bool{}
		f.OnFailure = func(context.Context) {
			if peersRespond.Load() {
				f.Offer(versionAt(4, 4), "peer")
			}
		}
		unreadable := func() (n int) {
			for _, e := range recorder.Entries("") {
				if e.ID == EventUnreadable.ID() {
					n++
				}
			}
			return n
		}
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		time.Sleep(100 * time.Millisecond)
		g.Expect(unreadable()).To(gomega.Equal(1))
		peersRespond.Store(true)
		time.Sleep(5 * time.Second)
		g.Expect(f.Holder.Position()).To(gomega.BeNumerically("==", 4))
		stop()
		<-done
		g.Expect(unreadable()).To(gomega.Equal(1))
	})
}
