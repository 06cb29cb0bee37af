package config_test

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/backing"
	"github.com/pearyard/pearyard/config"
	"github.com/pearyard/pearyard/types"
)

func TestAcceptLoadHistory(t *testing.T) {
	g := NewWithT(t)
	store := newStore(newFakeTable())
	for n := range 3 {
		rev, _, err := store.Accept(t.Context(), types.Revision(n), configOf(n), "ann", fmt.Sprintf("note %d", n))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(rev).To(Equal(types.Revision(n + 1)))
	}
	raw, err := store.Load(t.Context(), 2)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(raw).To(Equal(configOf(1)))
	history, err := store.History(t.Context(), 2)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(history).To(HaveLen(2))
	g.Expect(history[0].Revision).To(Equal(types.Revision(3)))
	g.Expect(history[0].Note).To(Equal("note 2"))
	_, _, err = store.Accept(t.Context(), 3, []byte(`{"recovery":{"retainMillis":-1}}`), "ann", "")
	g.Expect(err).To(MatchError(ContainSubstring("1:29: error: /recovery/retainMillis")))
}

// Two operators edit revision 1 and apply at the same time, so that both read the
// head before either writes. Guards against the second overwriting the first one's
// change unseen: its configuration must not take effect, and the error must tell
// who won and what changed.
func TestRaceOfTwoOperators(t *testing.T) {
	g := NewWithT(t)
	table := newFakeTable()
	ann, bob := newStore(table), newStore(table)
	_, _, err := ann.Accept(t.Context(), 0, configOf(1), "ann", "first")
	g.Expect(err).NotTo(HaveOccurred())
	table.onCommit = func(apply func() error) error {
		table.onCommit = nil // Ann commits between Bob's read and his write
		table.mu.Unlock()
		_, _, err := ann.Accept(t.Context(), 1, configOf(2), "ann", "longer")
		table.mu.Lock()
		g.Expect(err).NotTo(HaveOccurred())
		return apply()
	}
	_, _, err = bob.Accept(t.Context(), 1, configOf(3), "bob", "shorter")
	var race *config.RaceError
	g.Expect(errors.As(err, &race)).To(BeTrue(), "%v", err)
	g.Expect(race.Winner).To(Equal(types.Revision(2)))
	g.Expect(race.By).To(Equal("ann"))
	g.Expect(race.Note).To(Equal("longer"))
	g.Expect(race.Diff).To(ContainSubstring("-  \"recovery\": {\"retainMillis\": 1}\n+  \"recovery\": {\"retainMillis\": 2}"))
	raw, err := bob.Load(t.Context(), 2)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(raw).To(Equal(configOf(2)))
}

// The table service commits, but its response is lost. Guards against reporting a
// failure, after which the operator applies again and loses a race against their own
// commit. Accept must find its own commit and report it accepted, once.
func TestCommitWithLostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table := newFakeTable()
		lost := 2
		table.onCommit = func(apply func() error) error {
			err := apply()
			if lost--; lost >= 0 {
				return backing.ErrAmbiguous
			}
			return err
		}
		store := newStore(table)
		rev, _, err := store.Accept(t.Context(), 0, configOf(1), "ann", "")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(rev).To(Equal(types.Revision(1)))
		history, _ := store.History(t.Context(), 10)
		g.Expect(history).To(HaveLen(1))
	})
}

// The response to a commit is lost, and reads then come from a copy older than the
// commit, so that the conflict of the retry looks like a lost race. The outcome must
// stay unknown until the store returns data from after the commit.
func TestLostResponseAndStaleReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table := newFakeTable()
		store := newStore(table)
		_, _, err := store.Accept(t.Context(), 0, configOf(1), "ann", "")
		g.Expect(err).NotTo(HaveOccurred())
		table.freeze()
		table.onCommit = func(apply func() error) error {
			table.onCommit = nil
			_ = apply()
			return backing.ErrAmbiguous
		}
		time.AfterFunc(5*time.Second, func() { table.set(func() { table.frozen = nil }) })
		rev, _, err := store.Accept(t.Context(), 1, configOf(2), "ann", "")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(rev).To(Equal(types.Revision(2)))
	})
}

// The response to a commit is lost and the store then goes down for a long time.
// Neither "accepted" nor "refused" is known to be true, so the error must contain the
// commit id for the operator to look up.
func TestLostResponseThenOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table := newFakeTable()
		table.onCommit = func(apply func() error) error {
			_ = apply()
			table.down = true
			return backing.ErrAmbiguous
		}
		store := newStore(table)
		_, _, err := store.Accept(t.Context(), 0, configOf(1), "ann", "")
		var undecided *config.UndecidedError
		g.Expect(errors.As(err, &undecided)).To(BeTrue(), "%v", err)
		table.set(func() { table.down = false })
		history, _ := store.History(t.Context(), 1)
		g.Expect(history[0].Commit).To(Equal(undecided.Commit))
	})
}

// The store is down from the beginning. Nothing was sent, so the operator must get
// the error at once and may apply again without consulting the history.
func TestAcceptWhileStoreIsDown(t *testing.T) {
	g := NewWithT(t)
	table := newFakeTable()
	table.down = true
	_, _, err := newStore(table).Accept(t.Context(), 0, configOf(1), "ann", "")
	g.Expect(err).To(MatchError(backing.ErrUnavailable))
}

// The table service fails over to a copy without the newest revision. Guards against
// processes that poll it returning to the older configuration: Head must return an
// error, and the next accepted revision must be higher than all that were in force.
func TestStoreReturnsOlderRevision(t *testing.T) {
	g := NewWithT(t)
	table := newFakeTable()
	store := newStore(table)
	_, _, _ = store.Accept(t.Context(), 0, configOf(1), "ann", "")
	table.freeze()
	_, _, _ = store.Accept(t.Context(), 1, configOf(2), "ann", "")
	_, err := store.Head(t.Context())
	var behind *config.BehindError
	g.Expect(errors.As(err, &behind)).To(BeTrue(), "%v", err)
	g.Expect(*behind).To(Equal(config.BehindError{Answered: 1, Known: 2}))

	table.set(func() { table.rows, table.frozen = table.frozen, nil }) // only the copy remains
	rev, _, err := store.Accept(t.Context(), 2, configOf(3), "ann", "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(rev).To(Equal(types.Revision(3)))
}

// Eight operators increment one number concurrently, while responses get lost before
// and after commits take effect. Each reads, adds one and applies, and retries after
// a race. A misjudged race or lost response would lose an increment or count it
// twice.
func TestNoChangeIsLostOrDuplicated(t *testing.T) {
	const operators, additions = 8, 5
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table := newFakeTable()
		table.onCommit = func(apply func() error) error {
			switch rand.IntN(5) {
			case 0:
				return backing.ErrAmbiguous // before it took effect
			case 1:
				_ = apply()
				return backing.ErrAmbiguous
			case 2:
				return backing.ErrThrottled
			}
			return apply()
		}
		var group sync.WaitGroup
		for range operators {
			group.Go(func() {
				store := newStore(table)
				for done := 0; done < additions; {
					head, err := store.Head(t.Context())
					if err != nil {
						t.Error(err)
						return
					}
					time.Sleep(rand.N(time.Second)) // the operator edits
					_, _, err = store.Accept(t.Context(), head.Revision, configOf(int(head.Revision)+1), "op", "")
					var race *config.RaceError
					switch {
					case err == nil:
						done++
					case !errors.As(err, &race):
						t.Error(err)
						return
					}
				}
			})
		}
		group.Wait()
		history, err := newStore(table).History(t.Context(), 1000)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(history).To(HaveLen(operators * additions))
		for i, entry := range history {
			rev := types.Revision(operators*additions - i)
			g.Expect(entry.Revision).To(Equal(rev))
			g.Expect(entry.Base).To(Equal(rev - 1))
			raw, err := newStore(table).Load(t.Context(), rev)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(raw)).To(Equal(string(configOf(int(rev)))))
		}
	})
}

// bigConfig returns a configuration that hardly compresses, since most of it is hashes.
func bigConfig(organisations int) []byte {
	var b strings.Builder
	b.WriteString(`{"organisations":[`)
	for i := range organisations {
		if i > 0 {
			b.WriteString(",")
		}
		fmt.Fprintf(&b, "\n"+`{"name":"organisation-%d","keySHA256":["%x"],"weight":1}`, i, sha256.Sum256([]byte{byte(i), byte(i >> 8), byte(i >> 16)}))
	}
	b.WriteString("\n]}\n")
	return []byte(b.String())
}

func TestLargeConfigGoesToObjectStore(t *testing.T) {
	g := NewWithT(t)
	table, objects := newFakeTable(), &fakeObjects{}
	store := config.NewStore(config.StoreOptions{Table: table, Objects: objects})
	raw := bigConfig(10_000)
	rev, _, err := store.Accept(t.Context(), 0, raw, "ann", "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(objects.objects).To(HaveLen(1))
	for key, row := range table.rows {
		g.Expect(len(row.Value)).To(BeNumerically("<", 1000), key)
	}
	loaded, err := store.Load(t.Context(), rev)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(loaded) == string(raw)).To(BeTrue())
}
