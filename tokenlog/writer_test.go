package tokenlog

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/types"
)

const tokenGap = 40 * time.Millisecond

// appendTokens appends tokens [from, to) of attempt 1 at the pace of an engine.
func appendTokens(h *Handle, from, to int) {
	for i := from; i < to; i++ {
		h.Append(token(1, i))
		time.Sleep(tokenGap)
	}
}

func newWriter(t *testing.T, c *cluster, minAge time.Duration) *Writer {
	w := NewWriter(WriterOptions{Self: "self", Sender: c, BatchInterval: 100 * time.Millisecond, MinAge: minAge})
	t.Cleanup(w.Close)
	return w
}

func start(w *Writer, peers ...string) (*Handle, types.GenerationID) {
	id := types.NewGenerationID(1)
	return w.Start(GenerationInfo{ID: id, Lineage: lineage(1, 0), Peers: peers}), id
}

// heldBy returns the number of tokens of a generation that the store at addr holds.
func heldBy(c *cluster, addr string, id types.GenerationID) int {
	b, _ := c.stores[addr].Tokens(types.EventID{Generation: id})
	return b.Held
}

// A journal peer is replaced while a generation runs and comes back empty at the same
// address. The writer is told that tokens are missing and sends all of them again.
func TestPeerRestartsEmptyInMidGeneration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster("a", "b")
		h, id := start(newWriter(t, c, -1), "a", "b")
		defer h.Forget()
		appendTokens(h, 0, 20)
		c.restart("a")
		appendTokens(h, 20, 40)
		time.Sleep(time.Second)
		g.Expect(heldBy(c, "a", id)).To(Equal(40))
		g.Expect(heldBy(c, "b", id)).To(Equal(40))
	})
}

// A journal peer dies without notice. Its generations must have two copies again within a
// few batches: the next peer is sent everything from the start, and a router that queries
// the peers finds the longest branch.
func TestDeadPeerIsReplacedByTheNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster("a", "b", "c")
		w := newWriter(t, c, -1)
		h, id := start(w, "a", "b", "c")
		defer h.Forget()
		appendTokens(h, 0, 20)
		c.setCut("a", true)
		appendTokens(h, 20, 40)
		time.Sleep(time.Second)
		g.Expect(heldBy(c, "c", id)).To(Equal(40))
		g.Expect(w.opts.Recorder.Entries("")).To(HaveLen(1))

		c.setCut("a", false) // reachable again, with only the first half
		b, err := NewReader(ReaderOptions{Client: c}).Find(t.Context(), seenUpTo(id, 1, 5), []string{"a", "b", "c"})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(b.Tokens).To(Equal(expectedTokens(lineage(1, 0), 40)))
		g.Expect(b.Runner).To(Equal("self"))
	})
}

// All peers hang. Appending must take no time, so that the caller's tokens aren't delayed,
// and the peers catch up once they answer again.
func TestHangingPeersNeverSlowTheTokenPath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster("a", "b")
		c.delay["a"], c.delay["b"] = time.Hour, time.Hour
		h, id := start(newWriter(t, c, -1), "a", "b")
		defer h.Forget()
		began := time.Now()
		for i := range 10_000 {
			h.Append(token(1, i))
		}
		g.Expect(time.Since(began)).To(BeZero())
		time.Sleep(5 * time.Second)
		c.mu.Lock()
		c.delay["a"], c.delay["b"] = 0, 0
		c.mu.Unlock()
		time.Sleep(time.Minute)
		appendTokens(h, 10_000, 10_001)
		time.Sleep(time.Minute)
		g.Expect(heldBy(c, "a", id)).To(Equal(10_001))
	})
}

// The reply to an append is lost after the append took effect. The writer sends the same
// tokens again, and the peer must hold them once.
func TestLostReplyToAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster("a", "b")
		h, id := start(newWriter(t, c, -1), "a", "b")
		defer h.Forget()
		appendTokens(h, 0, 10)
		c.mu.Lock()
		c.loseReply["a"] = 1
		c.mu.Unlock()
		appendTokens(h, 10, 20)
		time.Sleep(time.Second)
		b, err := c.stores["a"].Tokens(seenUpTo(id, 1, 19))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(b.Tokens).To(Equal(expectedTokens(lineage(1, 0), 20)))
	})
}

// Most generations are short. They are registered, so that a second router finds the
// runner, but send no tokens, and forgetting them leaves nothing behind.
func TestShortGenerationsSendNoTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster("a", "b")
		w := newWriter(t, c, 5*time.Second)
		h, id := start(w, "a", "b")
		appendTokens(h, 0, 20)
		found, err := NewReader(ReaderOptions{Client: c}).FindKey(t.Context(), types.NewGenerationID(1), []string{"a", "b"})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(found).To(Equal(KeyResult{Generation: id, Known: true, Runner: "self"}))
		g.Expect(heldBy(c, "a", id)).To(BeZero())
		h.Finish(types.FinishStop)
		time.Sleep(time.Second)
		h.Forget()
		time.Sleep(time.Second)
		g.Expect(c.stores["a"].Dump().Entries).To(BeZero())
		g.Expect(w.Dump()).To(Equal(WriterDump{MaxBytes: DefaultWriterMaxBytes}))
	})
}

// A generation that reaches the minimum age is journalled from its first token and, once
// finished, can be read as complete even though its engine stops right afterwards.
func TestLongGenerationIsJournalledFromTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster("a", "b")
		w := newWriter(t, c, time.Second)
		h, id := start(w, "a", "b")
		appendTokens(h, 0, 20)
		g.Expect(heldBy(c, "a", id)).To(BeZero())
		appendTokens(h, 20, 40)
		h.Finish(types.FinishLength)
		h.Close()
		time.Sleep(time.Second)
		b, err := c.stores["b"].Tokens(seenUpTo(id, 1, 39))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(b.Finish).To(Equal(types.FinishLength))
		g.Expect(w.Dump().HeldBytes).To(BeZero(), "released once closed and sent")
	})
}

// The writer's memory limit is reached: later tokens aren't journalled, the generation
// itself continues, and what the peers hold remains a valid prefix.
func TestWriterLimitStopsJournallingNotTheGeneration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster("a", "b")
		w := NewWriter(WriterOptions{Self: "self", Sender: c, MinAge: -1, MaxBytes: 500})
		defer w.Close()
		h, id := start(w, "a", "b")
		appendTokens(h, 0, 100)
		h.Finish(types.FinishStop)
		time.Sleep(time.Second)
		b, err := c.stores["a"].Tokens(seenUpTo(id, 1, 0))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(b.Finish).To(BeEmpty())
		g.Expect(b.Tokens).To(Equal(expectedTokens(lineage(1, 0), b.Held)))
		g.Expect(w.Dump().HeldBytes).To(BeZero())
		h.Forget()
	})
}

// One peer lacks the memory for the generation and loses it after each append. The writer
// must not send the whole answer to it forever.
func TestPeerWithoutMemoryIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster("a", "b", "c")
		c.stores["a"] = NewStore(StoreOptions{MaxBytes: 700})
		h, id := start(newWriter(t, c, -1), "a", "b", "c")
		defer h.Forget()
		appendTokens(h, 0, 100)
		g.Expect(heldBy(c, "c", id)).To(BeNumerically(">", 90))
	})
}

// The configuration changes while a generation runs, or disables journalling: the running
// generation keeps the settings that it started with, except that the batch interval
// changes at once.
func TestRecoverySettingsApplyToNewGenerations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster("a", "b")
		w := newWriter(t, c, -1)
		h, id := start(w, "a", "b")
		w.SetBatchInterval(time.Second)
		off := w.Start(GenerationInfo{ID: types.NewGenerationID(2), Lineage: lineage(1, 0), Copies: -1, Peers: []string{"a", "b"}})
		registeredOnly := GenerationInfo{ID: types.NewGenerationID(3), Lineage: lineage(1, 0), MinAge: neverJournal, Peers: []string{"a", "b"}}
		registeredOnly.Emitted = expectedTokens(registeredOnly.Lineage, 5)
		w.Start(registeredOnly).Close()
		appendTokens(off, 0, 50)
		before := c.appendCount()
		appendTokens(h, 0, 50)
		time.Sleep(2 * time.Second)
		g.Expect(heldBy(c, "b", id)).To(Equal(50))
		g.Expect(c.appendCount()-before).To(BeNumerically("<=", 8), "two peers, one append per second")
		g.Expect(c.stores["a"].Dump().Entries).To(Equal(2))
		g.Expect(heldBy(c, "a", registeredOnly.ID)).To(BeZero(), "only its runner is registered")
		h.Forget()
		off.Forget()
		g.Expect(w.opts.Recorder.Entries("")).To(BeEmpty())
	})
}

// A caller reconnects, and the journal peers hold nothing, too few tokens or another
// attempt's tokens, or can't all be asked. Find must report which of these it is: while a
// peer is unreachable, it must not report that the generation isn't held.
func TestFindReportsWhatIsProved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster("a", "b", "c")
		r, id := NewReader(ReaderOptions{Client: c, FirstWave: 2}), types.NewGenerationID(1)
		peers := []string{"a", "b", "c"}
		_, err := r.Find(t.Context(), seenUpTo(id, 1, 3), peers)
		g.Expect(err).To(MatchError(ErrNotHeld))

		send(c.stores["a"], record(id, lineage(1, 0), 0, 3))
		send(c.stores["b"], record(id, lineage(2, 0), 0, 9))
		_, err = r.Find(t.Context(), seenUpTo(id, 1, 3), peers)
		g.Expect(err).To(MatchError(ErrTooShort))
		_, err = r.Find(t.Context(), seenUpTo(id, 3, 3), peers)
		g.Expect(err).To(MatchError(ErrDiverged))

		c.setCut("c", true)
		_, err = r.Find(t.Context(), seenUpTo(id, 1, 3), peers)
		g.Expect(err).To(MatchError(ErrInconclusive))
		c.setCut("c", false)
		send(c.stores["c"], record(id, lineage(1, 0), 0, 8))
		b, err := r.Find(t.Context(), seenUpTo(id, 1, 3), peers)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(b.Tokens).To(HaveLen(8))
	})
}

// One peer of a request is frozen. The first token must not wait for that peer's timeout,
// neither for a new request nor for one that reconnects.
func TestFrozenPeerDelaysOnlyByStragglerTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster("a", "b")
		c.delay["a"] = time.Hour
		r, id := NewReader(ReaderOptions{Client: c}), types.NewGenerationID(5)
		began := time.Now()
		found, err := r.FindKey(t.Context(), id, []string{"a", "b"})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(found.Generation).To(Equal(id))
		g.Expect(time.Since(began)).To(Equal(DefaultStragglerTimeout))

		send(c.stores["b"], record(id, lineage(1, 0), 0, 5))
		began = time.Now()
		b, err := r.Find(t.Context(), seenUpTo(id, 1, 3), []string{"a", "b"})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(b.Tokens).To(HaveLen(5))
		g.Expect(time.Since(began)).To(Equal(DefaultStragglerTimeout))
	})
}

// A caller sends its request again through another router while the first router still
// runs it. Both routers query with their own generation ID and must get the same
// generation; if a peer has restarted empty, the runner's registration on another peer
// takes precedence.
func TestSameKeyAttachesToOneGeneration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster("a", "b")
		r, peers := NewReader(ReaderOptions{Client: c}), []string{"a", "b"}
		one, two := types.NewGenerationID(5), types.NewGenerationID(5)
		found, err := r.FindKey(t.Context(), one, peers)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(found).To(Equal(KeyResult{Generation: one}))
		found, _ = r.FindKey(t.Context(), two, peers)
		g.Expect(found).To(Equal(KeyResult{Generation: one, Known: true}))

		send(c.stores["b"], record(one, lineage(1, 0), 0, 0))
		c.restart("a")
		found, _ = r.FindKey(t.Context(), two, peers)
		g.Expect(found).To(Equal(KeyResult{Generation: one, Known: true, Runner: "runner"}))
		c.setCut("a", true)
		c.setCut("b", true)
		_, err = r.FindKey(t.Context(), two, peers)
		g.Expect(err).To(MatchError(ErrNoPeers))
		_, err = c.stores["a"].Lookup(&streampb.LookupRequest{Key: 9, Reserve: one.String()})
		g.Expect(err).To(HaveOccurred(), "the reserved generation belongs to another key")
	})
}
