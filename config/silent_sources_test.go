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
	"github.com/pearyard/pearyard/types"
)

// silentVersions is a store that answers nothing.
type silentVersions struct{}

func (silentVersions) Head(ctx context.Context) (config.Head, error) {
	<-ctx.Done()
	return config.Head{}, ctx.Err()
}

func (silentVersions) Load(ctx context.Context, _ types.Revision) ([]byte, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// frozenAndSound are two peers of which one does not answer.
type frozenAndSound struct{}

func (frozenAndSound) Fetch(ctx context.Context, from string, _ types.Revision) (types.Revision, []byte, error) {
	if from == "frozen" {
		<-ctx.Done()
		return 0, nil, ctx.Err()
	}
	return 2, textOf(2), nil
}

func (frozenAndSound) Peek(context.Context, string) (types.Revision, error) { return 2, nil }

// The store falls silent just after it has accepted a text. A process that is
// polling it hears of the text from a peer, which freezes, and all the while from
// another one. The poll, the question to the frozen peer and another poll are
// waited out one after the other before the sound peer is asked: the text is in
// force six seconds after it was accepted, where four are promised.
func TestSilentStoreAndFrozenPeerDoNotHoldATextUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		holder := newHolder()
		offer(t, holder, 1, textOf(1))
		s := spreader(holder, silentVersions{}, frozenAndSound{})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- s.Run(ctx) }()
		began := time.Now()
		time.Sleep(10 * time.Millisecond)
		s.Seen("frozen", 2)
		for holder.Revision() < 2 && time.Since(began) < 20*time.Second {
			time.Sleep(100 * time.Millisecond)
			s.Seen("sound", 2)
		}
		took := time.Since(began)
		cancel()
		<-done
		g.Expect(took).To(BeNumerically("<=", 4*time.Second))
	})
}

// site is a store and its peers, all with revision rev in force. Each answers
// after a delay, or nothing before silentUntil or when it is frozen.
type site struct {
	rev                   atomic.Uint64
	delay                 time.Duration
	heard                 bool // the first byte of an answer comes at once
	silentUntil           time.Time
	frozen                string    // prefix of the addresses of frozen peers
	frozenUntil           time.Time // for every peer
	heads, loads, fetches atomic.Int64
}

func (s *site) answer(ctx context.Context, silent bool) error {
	if silent {
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if trace := httptrace.ContextClientTrace(ctx); s.heard && trace != nil {
		trace.GotFirstResponseByte()
	}
	select {
	case <-time.After(s.delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *site) now() (types.Revision, []byte) {
	return types.Revision(s.rev.Load()), textOf(int(s.rev.Load()))
}

func (s *site) Head(ctx context.Context) (config.Head, error) {
	s.heads.Add(1)
	err := s.answer(ctx, time.Now().Before(s.silentUntil))
	return config.Head{Revision: types.Revision(s.rev.Load())}, err
}

func (s *site) Load(ctx context.Context, _ types.Revision) ([]byte, error) {
	s.loads.Add(1)
	err := s.answer(ctx, time.Now().Before(s.silentUntil))
	_, raw := s.now()
	return raw, err
}

func (s *site) Fetch(ctx context.Context, from string, _ types.Revision) (types.Revision, []byte, error) {
	s.fetches.Add(1)
	err := s.answer(ctx, time.Now().Before(s.frozenUntil) || s.frozen != "" && strings.HasPrefix(from, s.frozen))
	rev, raw := s.now()
	return rev, raw, err
}

func (s *site) Peek(ctx context.Context, addr string) (types.Revision, error) {
	if err := s.answer(ctx, addr == "gone"); err != nil {
		return 0, err
	}
	return types.Revision(s.rev.Load()), nil
}

// follower runs a spreader over a site until the test ends.
func (s *site) follower(t *testing.T, opts config.SpreaderOptions) (*config.Holder, *config.Spreader) {
	holder := newHolder()
	offer(t, holder, 1, textOf(1))
	opts.Holder, opts.Versions, opts.Source = holder, s, s
	spreader := config.NewSpreader(opts)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- spreader.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return holder, spreader
}

// The mend of silent sources puts questions beside each other. Calls to the
// store are counted in its price, and a node may use 4 KB a second for control:
// while all answer, each change has to cost one fetch however many peers name
// it, and the store has to be asked once an interval.
func TestOrdinaryTimesTakeNoMoreCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const changes = 60
		s := &site{delay: 30 * time.Millisecond}
		s.rev.Store(1)
		holder, spreader := s.follower(t, config.SpreaderOptions{Interval: time.Hour})
		for range changes {
			time.Sleep(time.Minute / 2)
			rev := types.Revision(s.rev.Add(1))
			for range 100 {
				spreader.Seen("a", rev)
				spreader.Seen("b", rev)
				time.Sleep(time.Millisecond)
				spreader.Seen("c", rev)
			}
			g.Expect(holder.Revision()).To(Equal(rev))
		}
		g.Expect(s.fetches.Load()).To(Equal(int64(changes)))
		g.Expect(s.loads.Load()).To(BeZero())
		g.Expect(s.heads.Load()).To(Equal(int64(1)))
	})
}

// A router asks the store each second, from the end of one question to the next.
// Silent questions beside each other must not raise that rate while all answer.
func TestStoreIsAskedOnceAnInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &site{delay: 30 * time.Millisecond}
		s.rev.Store(1)
		s.follower(t, config.SpreaderOptions{Interval: time.Second})
		time.Sleep(1000 * time.Second)
		g.Expect(s.heads.Load()).To(BeNumerically("~", 1000/1.03, 30))
	})
}

// A full text of many organisations takes 1.5 s on a link of 10 Mbit/s. Were its
// answer, which is coming, taken for silence, the same text would be asked for
// again and again on the link that is slow already.
func TestAnswerThatIsComingIsNotAskedForBeside(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &site{delay: 1500 * time.Millisecond, heard: true}
		s.rev.Store(1)
		holder, spreader := s.follower(t, config.SpreaderOptions{Interval: time.Hour})
		time.Sleep(time.Minute)
		s.rev.Store(2)
		for range 100 {
			spreader.Seen("a", 2)
			time.Sleep(10 * time.Millisecond)
			spreader.Seen("b", 2)
			time.Sleep(10 * time.Millisecond)
		}
		g.Expect(holder.Revision()).To(Equal(types.Revision(2)))
		g.Expect(s.fetches.Load()).To(Equal(int64(1)))
		g.Expect(s.heads.Load()).To(Equal(int64(1)))
	})
}

// A process is frozen just after it has sent its table of members with a new
// text's revision, and other processes go on handing that on. A sound process
// names the text once, between two of those, and must be asked all the same.
func TestFrozenPeerThatIsNamedOnTakesNoPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &site{frozen: "frozen", silentUntil: time.Now().Add(time.Hour)}
		s.rev.Store(2)
		holder, spreader := s.follower(t, config.SpreaderOptions{})
		began := time.Now()
		for holder.Revision() < 2 && time.Since(began) < 20*time.Second {
			spreader.Seen("frozen", 2)
			time.Sleep(2 * time.Millisecond)
			if time.Since(began) == 700*time.Millisecond {
				spreader.Seen("sound", 2)
			}
		}
		g.Expect(time.Since(began)).To(BeNumerically("<=", 2*time.Second))
		g.Expect(s.fetches.Load()).To(Equal(int64(2)))
	})
}

// The only process that names a new text is frozen, and the store is silent. It
// must be asked one question at a time, and again when it has come to itself.
func TestLonelyFrozenPeerIsAskedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const frozenFor = 20 * time.Second
		s := &site{silentUntil: time.Now().Add(time.Hour), frozenUntil: time.Now().Add(frozenFor)}
		s.rev.Store(2)
		holder, spreader := s.follower(t, config.SpreaderOptions{})
		began := time.Now()
		for holder.Revision() < 2 && time.Since(began) < time.Minute {
			spreader.Seen("frozen", 2)
			time.Sleep(2 * time.Millisecond)
		}
		g.Expect(time.Since(began)).To(BeNumerically("<=", frozenFor+3*time.Second))
		g.Expect(s.fetches.Load()).To(BeNumerically("<=", frozenFor/config.DefaultCallTimeout+1))
	})
}

// A rack's switch fails with the store behind it, just after three processes
// there have named a new text. Between the questions to them the silent store
// was asked each time, and the sound process that names the text too came last.
func TestFrozenRackDoesNotHoldATextUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &site{frozen: "frozen", silentUntil: time.Now().Add(time.Hour)}
		s.rev.Store(2)
		holder, spreader := s.follower(t, config.SpreaderOptions{})
		began := time.Now()
		for holder.Revision() < 2 && time.Since(began) < 20*time.Second {
			for _, addr := range []string{"frozen-1", "frozen-2", "frozen-3", "sound"} {
				spreader.Seen(addr, 2)
			}
			time.Sleep(2 * time.Millisecond)
		}
		g.Expect(time.Since(began)).To(BeNumerically("<=", 3*time.Second))
	})
}

// The store comes back after an outage in which it answered nothing, and a text
// is accepted. A router that no push reached asked just before, and that question
// is swallowed: it was waited for until it ran out of time, and the next came an
// interval later.
func TestTextIsReadSoonAfterTheStoresReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		for outage := 3 * time.Second; outage < 8*time.Second; outage += 100 * time.Millisecond {
			s := &site{silentUntil: time.Now().Add(outage)}
			s.rev.Store(2)
			holder, _ := s.follower(t, config.SpreaderOptions{Interval: time.Second})
			time.Sleep(outage)
			back := time.Now()
			for holder.Revision() < 2 {
				time.Sleep(10 * time.Millisecond)
			}
			g.Expect(time.Since(back)).To(BeNumerically("<=", 2*time.Second), "outage of %s", outage)
		}
	})
}

// A question of an outage runs out of time after a later one was answered. It
// must not tell operators that the store is lost, with nothing to follow.
func TestSwallowedQuestionTellsOfNoLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		recorder := event.Discard()
		s := &site{silentUntil: time.Now().Add(5 * time.Second)}
		s.rev.Store(2)
		s.follower(t, config.SpreaderOptions{Interval: time.Second, Recorder: recorder})
		time.Sleep(time.Minute)
		var told []string
		for _, e := range recorder.Entries("") {
			told = append(told, e.Name)
		}
		g.Expect(told).To(Equal([]string{"config_store_unreachable", "config_store_reachable"}))
	})
}

// One of three seeds is gone, and another one freezes after it has answered the
// question for its revision. A process that starts has two seconds for asking; it
// spent them all there, and came up without a text although the third seed had it.
func TestAskPastASeedThatFreezes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &site{frozen: "frozen"}
		s.rev.Store(2)
		holder := newHolder()
		spreader := config.NewSpreader(config.SpreaderOptions{Holder: holder, Source: s})
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		g.Expect(spreader.Ask(ctx, []string{"gone", "frozen", "sound"})).To(BeTrue())
	})
}
