package tokenlog

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"pgregory.net/rapid"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/types"
)

// A caller's router and runner both die, and it comes back having seen token 9 while the
// journal peer holds only tokens 0-6. Resuming from 7 would send 7-9 twice or, sampled
// again, differently: the store must report that it holds too few tokens.
func TestFewerTokensHeldThanTheCallerHasSeen(t *testing.T) {
	g := NewWithT(t)
	s, id := NewStore(StoreOptions{}), types.NewGenerationID(1)
	g.Expect(send(s, record(id, lineage(1, 0), 0, 7))).To(BeEmpty())

	b, err := s.Tokens(seenUpTo(id, 1, 9))
	g.Expect(err).To(MatchError(ErrTooShort))
	g.Expect(b.Runner).To(Equal("runner"), "the runner may still live and hold more")
	g.Expect(b.Tokens).To(BeEmpty())

	b, err = s.Tokens(seenUpTo(id, 1, 6))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(b.Tokens).To(Equal(expectedTokens(lineage(1, 0), 7)))
}

// Two routers consider the same generation lost and resume it concurrently from token 5,
// as attempts 2 and 3, and both journal to the same peer. Each caller must continue with
// the attempt whose tokens it has seen, and none may get a mixture.
func TestTwoRoutersResumeAtOnce(t *testing.T) {
	g := NewWithT(t)
	s, id := NewStore(StoreOptions{}), types.NewGenerationID(1)
	two, three := lineage(1, 0, 2, 5), lineage(1, 0, 3, 5)
	send(s, record(id, lineage(1, 0), 0, 7))
	g.Expect(send(s, record(id, two, 5, 3), record(id, three, 5, 4))).To(BeEmpty())

	b, err := s.Tokens(seenUpTo(id, 2, 6))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(b.Tokens).To(Equal(expectedTokens(two, 8)))
	b, err = s.Tokens(seenUpTo(id, 3, 6))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(b.Tokens).To(Equal(expectedTokens(three, 9)))
	b, err = s.Tokens(seenUpTo(id, 1, 6))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(b.Tokens).To(Equal(expectedTokens(lineage(1, 0), 7)))
	_, err = s.Tokens(seenUpTo(id, 4, 6))
	g.Expect(err).To(MatchError(ErrDiverged))
}

// Records of concurrent attempts arrive in any order, repeated or lost, with the peer
// possibly restarting empty in between. A reader must always get a prefix of one attempt's
// answer that contains the caller's last token.
func TestAnyInterleavingReadsAsOneAttemptsPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := types.NewGenerationID(7)
		f, f2 := rapid.IntRange(1, 8).Draw(t, "f"), rapid.IntRange(1, 12).Draw(t, "f2")
		lineages := []types.Lineage{
			lineage(1, 0), lineage(1, 0).Extend(2, f), lineage(1, 0).Extend(3, f2),
			lineage(1, 0).Extend(2, f).Extend(4, f2), lineage(5, 0),
		}
		s := NewStore(StoreOptions{})
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			l := rapid.SampledFrom(lineages).Draw(t, "lineage")
			first, n := rapid.IntRange(0, 14).Draw(t, "first"), rapid.IntRange(0, 6).Draw(t, "n")
			switch rapid.IntRange(0, 9).Draw(t, "op") {
			case 0:
				s = NewStore(StoreOptions{})
			case 1:
				r := record(id, l, first, n)
				r.Forget = true
				send(s, r)
			case 2:
				r := record(id, l, first, n)
				r.Finish = "stop"
				send(s, r)
			default:
				send(s, record(id, l, first, n))
			}
			checkReads(t, s, id, lineages)
		}
	})
}

func checkReads(t *rapid.T, s *Store, id types.GenerationID, lineages []types.Lineage) {
	for _, l := range lineages {
		for i := range 20 {
			b, err := s.Tokens(seenUpTo(id, producer(l, i), i))
			if err != nil {
				continue
			}
			if len(b.Tokens) <= i {
				t.Fatalf("caller saw token %d, got %d", i, len(b.Tokens))
			}
			for j, want := range expectedTokens(b.Lineage, len(b.Tokens)) {
				if b.Tokens[j] != want {
					t.Fatalf("token %d of lineage %v is %v", j, b.Lineage, b.Tokens[j])
				}
			}
			if !sameUpTo(b.Lineage, l, i+1) {
				t.Fatalf("caller of %v at %d was given %v", l, i, b.Lineage)
			}
		}
	}
}

// A record that skips tokens (the peer restarted empty) or contradicts the held ones (a
// bug in a writer) must leave the branch unchanged.
func TestGapsAndContradictionsAreNotTaken(t *testing.T) {
	g := NewWithT(t)
	s, id := NewStore(StoreOptions{}), types.NewGenerationID(1)
	l := lineage(1, 0)
	g.Expect(send(s, record(id, l, 3, 2))).To(Equal([]string{id.String()}))
	g.Expect(send(s, record(id, l, 0, 5))).To(BeEmpty())
	g.Expect(send(s, record(id, l, 2, 5))).To(BeEmpty(), "an exact repeat that adds tokens is accepted")

	bad := record(id, l, 5, 4)
	bad.Tokens[0].Text = "other"
	g.Expect(send(s, bad)).To(Equal([]string{id.String()}))
	for _, broken := range []types.Lineage{nil, lineage(1, 2), lineage(1, 0, 2, 0), lineage(0, 0)} {
		g.Expect(send(s, record(id, broken, 0, 0))).To(HaveLen(1))
	}
	b, err := s.Tokens(seenUpTo(id, 1, 0))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(b.Tokens).To(Equal(expectedTokens(l, 7)))
	g.Expect(s.opts.Recorder.Entries("")).To(HaveLen(5))
}

// An answer is reported as finished only if all its tokens are held: a short generation
// ends before its tokens were journalled, and its peer must not report "stop" as if the
// answer were empty.
func TestFinishIsShownOnlyWithTheWholeAnswer(t *testing.T) {
	g := NewWithT(t)
	s, id := NewStore(StoreOptions{}), types.NewGenerationID(1)
	end := record(id, lineage(1, 0), 6, 0)
	end.Finish = "stop"
	g.Expect(send(s, end)).To(BeEmpty())
	b, err := s.Tokens(types.EventID{Generation: id})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(b.Finish).To(BeEmpty())

	send(s, record(id, lineage(1, 0), 0, 6))
	b, _ = s.Tokens(types.EventID{Generation: id})
	g.Expect(b.Finish).To(Equal(types.FinishStop))
}

// A store runs out of space. Complete answers are evicted first, since their runner still
// has them; a running one is evicted only when nothing else is left, and the operator is
// told how many tokens lost their protection.
func TestEvictionUnderPressure(t *testing.T) {
	g := NewWithT(t)
	reg := prometheus.NewRegistry()
	s := NewStore(StoreOptions{MaxEntries: 3, Registerer: reg, Recorder: event.Discard()})
	add := func(key types.Key, finish string) types.GenerationID {
		id := types.NewGenerationID(key)
		r := record(id, lineage(1, 0), 0, 4)
		r.Finish = finish
		send(s, r)
		return id
	}
	first := add(1, "")
	done := add(2, "stop")
	add(3, "")
	add(4, "")
	_, err := s.Tokens(types.EventID{Generation: done})
	g.Expect(err).To(MatchError(ErrNotHeld))
	g.Expect(s.opts.Recorder.Entries("")).To(BeEmpty())

	add(5, "")
	_, err = s.Tokens(types.EventID{Generation: first})
	g.Expect(err).To(MatchError(ErrNotHeld), "the least recently updated")
	events := s.opts.Recorder.Entries("")
	g.Expect(events).To(HaveLen(1))
	g.Expect(events[0].Fields).To(HaveKeyWithValue("tokens", "4"))
	var evicted dto.Metric
	g.Expect(s.metrics.evictions.WithLabelValues("running").Write(&evicted)).To(Succeed())
	g.Expect(evicted.GetCounter().GetValue()).To(Equal(1.0))
	g.Expect(s.Dump().Entries).To(Equal(3))
}

// When records exceed the byte limit, the held bytes stay within it, and all are released
// when the generations are forgotten.
func TestBytesAreBoundedAndReturned(t *testing.T) {
	g := NewWithT(t)
	s := NewStore(StoreOptions{MaxBytes: 100_000})
	var ids []types.GenerationID
	for key := range types.Key(50) {
		ids = append(ids, types.NewGenerationID(key))
		send(s, record(ids[key], lineage(1, 0), 0, 400))
		g.Expect(s.Dump().Bytes).To(BeNumerically("<=", 100_000))
	}
	for _, id := range ids {
		r := record(id, lineage(1, 0), 0, 0)
		r.Forget = true
		send(s, r)
	}
	g.Expect(s.Dump()).To(Equal(StoreDump{MaxBytes: 100_000}))
}

// Finished answers, reservations and generations whose runner fell silent expire after
// their own retention times.
func TestExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := NewStore(StoreOptions{})
		finished, running := types.NewGenerationID(1), types.NewGenerationID(2)
		r := record(finished, lineage(1, 0), 0, 4)
		r.Finish = "stop"
		send(s, r, record(running, lineage(1, 0), 0, 4))
		_, _ = s.Lookup(&streampb.LookupRequest{Key: 3, Reserve: types.NewGenerationID(3).String()})
		held := func() int { s.Sweep(); return s.Dump().Entries }

		time.Sleep(DefaultReservationTimeout - time.Second)
		g.Expect(held()).To(Equal(3))
		time.Sleep(2 * time.Second)
		g.Expect(held()).To(Equal(2))
		time.Sleep(DefaultRetention)
		g.Expect(held()).To(Equal(1))
		time.Sleep(DefaultAbandonTimeout)
		g.Expect(held()).To(Equal(0))
	})
}
