package config_test

import (
	"context"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pearyard/pearyard/config"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/retry"
	"github.com/pearyard/pearyard/types"
)

// unresponsiveStore is a store that never responds.
type unresponsiveStore struct{}

func (unresponsiveStore) Head(ctx context.Context) (config.Head, error) {
	<-ctx.Done()
	return config.Head{}, ctx.Err()
}

func (unresponsiveStore) Load(ctx context.Context, _ types.Revision) ([]byte, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// frozenAndHealthy are two peers of which one doesn't respond.
type frozenAndHealthy struct{}

func (frozenAndHealthy) Fetch(ctx context.Context, from string, _ types.Revision) (types.Revision, []byte, error) {
	if from == "frozen" {
		<-ctx.Done()
		return 0, nil, ctx.Err()
	}
	return 2, configOf(2), nil
}

func (frozenAndHealthy) Peek(context.Context, string) (types.Revision, error) { return 2, nil }

// The store stops responding just after it has accepted a revision. A process that
// is polling it learns of the revision from a peer, which freezes, and repeatedly
// from a healthy one. Guards against waiting for the timeouts of the poll, the fetch
// from the frozen peer and another poll in sequence before asking the healthy peer:
// the revision then came into force after six seconds instead of the guaranteed four.
func TestUnresponsiveStoreAndFrozenPeerDoNotDelayRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		holder := newHolder()
		offer(t, holder, 1, configOf(1))
		s := newSyncer(holder, unresponsiveStore{}, frozenAndHealthy{})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- s.Run(ctx) }()
		began := time.Now()
		time.Sleep(10 * time.Millisecond)
		s.RecordPeerRevision("frozen", 2)
		for holder.Revision() < 2 && time.Since(began) < 20*time.Second {
			time.Sleep(100 * time.Millisecond)
			s.RecordPeerRevision("healthy", 2)
		}
		took := time.Since(began)
		cancel()
		<-done
		g.Expect(took).To(BeNumerically("<=", 4*time.Second))
	})
}

// fakeSite is a store and peers, all with revision rev in force. Each responds after a
// delay. The store never responds to calls made before unresponsiveUntil, a peer never to
// fetches made while it is frozen, and the peer called gone never to Peek.
type fakeSite struct {
	rev                   atomic.Uint64
	delay                 time.Duration
	firstByteAtOnce       bool // the first byte of a response comes at once
	unresponsiveUntil     time.Time
	frozen                string    // prefix of the addresses of frozen peers
	frozenUntil           time.Time // for every peer
	heads, loads, fetches atomic.Int64
}

func (s *fakeSite) respond(ctx context.Context, unresponsive bool) error {
	if unresponsive {
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if trace := httptrace.ContextClientTrace(ctx); s.firstByteAtOnce && trace != nil {
		trace.GotFirstResponseByte()
	}
	return retry.Wait(ctx, s.delay)
}

func (s *fakeSite) current() (types.Revision, []byte) {
	return types.Revision(s.rev.Load()), configOf(int(s.rev.Load()))
}

func (s *fakeSite) Head(ctx context.Context) (config.Head, error) {
	s.heads.Add(1)
	err := s.respond(ctx, time.Now().Before(s.unresponsiveUntil))
	return config.Head{Revision: types.Revision(s.rev.Load())}, err
}

func (s *fakeSite) Load(ctx context.Context, _ types.Revision) ([]byte, error) {
	s.loads.Add(1)
	err := s.respond(ctx, time.Now().Before(s.unresponsiveUntil))
	_, raw := s.current()
	return raw, err
}

func (s *fakeSite) Fetch(ctx context.Context, from string, _ types.Revision) (types.Revision, []byte, error) {
	s.fetches.Add(1)
	err := s.respond(ctx, time.Now().Before(s.frozenUntil) || s.frozen != "" && strings.HasPrefix(from, s.frozen))
	rev, raw := s.current()
	return rev, raw, err
}

func (s *fakeSite) Peek(ctx context.Context, addr string) (types.Revision, error) {
	if err := s.respond(ctx, addr == "gone"); err != nil {
		return 0, err
	}
	return types.Revision(s.rev.Load()), nil
}

// startSyncer runs a syncer over a site until the test ends.
func (s *fakeSite) startSyncer(t *testing.T, opts config.SyncerOptions) (*config.Holder, *config.Syncer) {
	holder := newHolder()
	offer(t, holder, 1, configOf(1))
	opts.Holder, opts.Store, opts.Source = holder, s, s
	syncer := config.NewSyncer(opts)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- syncer.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return holder, syncer
}

// Calls may overlap, so that an unresponsive store or peer doesn't block others. The store
// charges per call, and a node may use 4 KB per second for control traffic: while
// all respond, each change must cost one fetch, however many peers advertise it,
// and the store must be polled once per interval.
func TestNoExtraCallsWhileAllRespond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const changes = 60
		s := &fakeSite{delay: 30 * time.Millisecond}
		s.rev.Store(1)
		holder, syncer := s.startSyncer(t, config.SyncerOptions{PollInterval: time.Hour})
		for range changes {
			time.Sleep(time.Minute / 2)
			rev := types.Revision(s.rev.Add(1))
			for range 100 {
				syncer.RecordPeerRevision("a", rev)
				syncer.RecordPeerRevision("b", rev)
				time.Sleep(time.Millisecond)
				syncer.RecordPeerRevision("c", rev)
			}
			g.Expect(holder.Revision()).To(Equal(rev))
		}
		g.Expect(s.fetches.Load()).To(Equal(int64(changes)))
		g.Expect(s.loads.Load()).To(BeZero())
		g.Expect(s.heads.Load()).To(Equal(int64(1)))
	})
}

// A router polls the store one second after the end of the previous poll. Overlapping
// polls of an unresponsive store must not raise that rate while the store responds.
func TestStoreIsPolledOncePerInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &fakeSite{delay: 30 * time.Millisecond}
		s.rev.Store(1)
		s.startSyncer(t, config.SyncerOptions{PollInterval: time.Second})
		time.Sleep(1000 * time.Second)
		g.Expect(s.heads.Load()).To(BeNumerically("~", 1000/1.03, 30))
	})
}

// A full configuration of many organisations takes 1.5 s on a 10 Mbit/s link. If a
// response in progress counted as none, the same configuration would be requested
// repeatedly over the link that is slow already.
func TestResponseInProgressIsNotRequestedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &fakeSite{delay: 1500 * time.Millisecond, firstByteAtOnce: true}
		s.rev.Store(1)
		holder, syncer := s.startSyncer(t, config.SyncerOptions{PollInterval: time.Hour})
		time.Sleep(time.Minute)
		s.rev.Store(2)
		for range 100 {
			syncer.RecordPeerRevision("a", 2)
			time.Sleep(10 * time.Millisecond)
			syncer.RecordPeerRevision("b", 2)
			time.Sleep(10 * time.Millisecond)
		}
		g.Expect(holder.Revision()).To(Equal(types.Revision(2)))
		g.Expect(s.fetches.Load()).To(Equal(int64(1)))
		g.Expect(s.heads.Load()).To(Equal(int64(1)))
	})
}

// A process freezes just after it has sent its member table with a new revision, and
// other processes keep passing that on. A healthy process advertises the revision once in
// between. Guards against the frozen one replacing it as the next to fetch from.
func TestFrozenPeerDoesNotDisplaceHealthyOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &fakeSite{frozen: "frozen", unresponsiveUntil: time.Now().Add(time.Hour)}
		s.rev.Store(2)
		holder, syncer := s.startSyncer(t, config.SyncerOptions{})
		began := time.Now()
		for holder.Revision() < 2 && time.Since(began) < 20*time.Second {
			syncer.RecordPeerRevision("frozen", 2)
			time.Sleep(2 * time.Millisecond)
			if time.Since(began) == 700*time.Millisecond {
				syncer.RecordPeerRevision("healthy", 2)
			}
		}
		g.Expect(time.Since(began)).To(BeNumerically("<=", 2*time.Second))
		g.Expect(s.fetches.Load()).To(Equal(int64(2)))
	})
}

// The only process that advertises a new revision is frozen, and the store doesn't
// respond. There must be no more than one fetch from the process at a time, and another
// one after it resumes.
func TestOnlyPeerIsAskedAgainAfterFreeze(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const frozenFor = 20 * time.Second
		s := &fakeSite{unresponsiveUntil: time.Now().Add(time.Hour), frozenUntil: time.Now().Add(frozenFor)}
		s.rev.Store(2)
		holder, syncer := s.startSyncer(t, config.SyncerOptions{})
		began := time.Now()
		for holder.Revision() < 2 && time.Since(began) < time.Minute {
			syncer.RecordPeerRevision("frozen", 2)
			time.Sleep(2 * time.Millisecond)
		}
		g.Expect(time.Since(began)).To(BeNumerically("<=", frozenFor+3*time.Second))
		g.Expect(s.fetches.Load()).To(BeNumerically("<=", frozenFor/config.DefaultCallTimeout+1))
	})
}

// A rack's switch fails, with the store behind it, just after three processes in the
// rack have advertised a new revision. Guards against polling the unresponsive store
// after the fetch from each of them, which delayed the fetch from a healthy process.
func TestFrozenRackDoesNotDelayRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &fakeSite{frozen: "frozen", unresponsiveUntil: time.Now().Add(time.Hour)}
		s.rev.Store(2)
		holder, syncer := s.startSyncer(t, config.SyncerOptions{})
		began := time.Now()
		for holder.Revision() < 2 && time.Since(began) < 20*time.Second {
			for _, addr := range []string{"frozen-1", "frozen-2", "frozen-3", "healthy"} {
				syncer.RecordPeerRevision(addr, 2)
			}
			time.Sleep(2 * time.Millisecond)
		}
		g.Expect(time.Since(began)).To(BeNumerically("<=", 3*time.Second))
	})
}

// The store recovers from an outage in which it did not respond, and a revision is
// accepted. A router that got no push polled just before the recovery, and that poll
// gets no response. Guards against waiting for its timeout and a further interval
// before the next poll.
func TestRevisionIsReadSoonAfterStoreRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		for outage := 3 * time.Second; outage < 8*time.Second; outage += 100 * time.Millisecond {
			s := &fakeSite{unresponsiveUntil: time.Now().Add(outage)}
			s.rev.Store(2)
			holder, _ := s.startSyncer(t, config.SyncerOptions{PollInterval: time.Second})
			time.Sleep(outage)
			back := time.Now()
			for holder.Revision() < 2 {
				time.Sleep(10 * time.Millisecond)
			}
			g.Expect(time.Since(back)).To(BeNumerically("<=", 2*time.Second), "outage of %s", outage)
		}
	})
}

// A poll from an outage times out after a later one succeeded. It must not emit
// config_store_unreachable, which no config_store_reachable would follow.
func TestLateTimeoutDoesNotReportStoreUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		recorder := event.Discard()
		s := &fakeSite{unresponsiveUntil: time.Now().Add(5 * time.Second)}
		s.rev.Store(2)
		s.startSyncer(t, config.SyncerOptions{PollInterval: time.Second, Recorder: recorder})
		time.Sleep(time.Minute)
		var names []string
		for _, e := range recorder.Entries("") {
			names = append(names, e.Name)
		}
		g.Expect(names).To(Equal([]string{"config_store_unreachable", "config_store_reachable"}))
	})
}

// One of three seeds is gone, and another one freezes after it has returned its
// revision. A starting process has two seconds for its seeds. Guards against spending
// them all on the frozen one and starting without the configuration that the third has.
func TestFetchNewestSkipsSeedThatFreezes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &fakeSite{frozen: "frozen"}
		s.rev.Store(2)
		holder := newHolder()
		syncer := config.NewSyncer(config.SyncerOptions{Holder: holder, Source: s})
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		g.Expect(syncer.FetchNewest(ctx, []string{"gone", "frozen", "healthy"})).To(BeTrue())
	})
}
