package generation_test

import (
	"errors"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/pearyard/pearyard/generation"
	"github.com/pearyard/pearyard/types"
)

func newLog(emitted int) *generation.Log {
	tokens := make([]types.Token, emitted)
	for i := range tokens {
		tokens[i].ID = uint32(i)
	}
	return generation.NewLog(types.NewGenerationID(1), types.Lineage{{Attempt: 1}}, tokens)
}

// An engine freezes, its generation is resumed elsewhere, and the engine then delivers
// its remaining tokens. The log must reject them, however it was ended.
func TestEndedLogRejectsTokens(t *testing.T) {
	endings := map[string]func(*generation.Log) bool{
		"finished":  func(l *generation.Log) bool { return l.Finish(types.FinishStop) },
		"lost":      func(l *generation.Log) bool { return l.Lose(errors.New("died")) },
		"cancelled": (*generation.Log).Cancel,
	}
	for name, end := range endings {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			log := newLog(2)
			changed := log.Snapshot(0).Changed
			g.Expect(end(log)).To(BeTrue())
			g.Expect(changed).To(BeClosed())
			g.Expect(log.Append(types.Token{ID: 9})).To(MatchError(generation.ErrClosed))
			g.Expect(log.Snapshot(0).Count).To(Equal(2))
			for _, again := range endings {
				g.Expect(again(log)).To(BeFalse())
			}
		})
	}
}

// A reader takes snapshots between appends, each from the index after its last token. It
// must read every token exactly once and in order, and appending must not change the
// tokens of earlier snapshots.
func TestReadersSeeEachTokenOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := newLog(rapid.IntRange(0, 5).Draw(t, "emitted"))
		next := uint32(log.Snapshot(0).Count)
		var snapshots [][]types.Token // not copied, to notice a change
		count := 0
		read := func() {
			tokens := log.Snapshot(count).Tokens
			snapshots = append(snapshots, tokens)
			count += len(tokens)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "append") {
				if err := log.Append(types.Token{ID: next}); err != nil {
					t.Fatal(err)
				}
				next++
				continue
			}
			read()
		}
		read()
		if count != int(next) {
			t.Fatalf("read %d tokens of %d", count, next)
		}
		for i, token := range slices.Concat(snapshots...) {
			if token.ID != uint32(i) {
				t.Fatalf("token %d at index %d", token.ID, i)
			}
		}
	})
}
