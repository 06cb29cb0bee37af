package standin

import (
	"fmt"
	"math/bits"
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/types"
)

const (
	tokenPrefix   = " w"
	tokenTextLen  = len(tokenPrefix) + 8
	gapSearch     = 4096               // tokens looked ahead to tell a gap from a mixture
	chainMultiply = 0x9e3779b97f4a7c15 // odd, so that no bit of the state is lost
)

// chain is the running hash of a prompt and all token ids after it. The next id
// depends on every id before, so a token that is missing, repeated or from
// another generation changes all that follow it.
type chain uint64

func newChain(prompt string) chain { return chain(xxhash.Sum64String(prompt)) }

func (c chain) add(id uint32) chain {
	return chain(bits.RotateLeft64((uint64(c)^uint64(id))*chainMultiply, 29))
}

func (c chain) next() uint32 { return uint32(uint64(c) * chainMultiply >> 32) }

// firstID draws the id that opens a generation; two runs of one prompt differ
// from here on, as those of a sampling engine do.
func firstID() uint32 { return rand.Uint32() }

// TokenText is the text of a token id.
func TokenText(id uint32) string { return fmt.Sprintf("%s%08x", tokenPrefix, id) }

// TokenID is the inverse of TokenText.
func TokenID(text string) (uint32, error) {
	digits, ok := strings.CutPrefix(text, tokenPrefix)
	if !ok || len(text) != tokenTextLen {
		return 0, errors.Errorf("%q is no token of a stand-in engine", text)
	}
	id, err := strconv.ParseUint(digits, 16, 32)
	if err != nil {
		return 0, errors.Errorf("%q is no token of a stand-in engine", text)
	}
	return uint32(id), nil
}

// SplitText cuts a joined answer into the texts of its tokens.
func SplitText(answer string) []string {
	texts := make([]string, 0, len(answer)/tokenTextLen+1)
	for len(answer) > tokenTextLen {
		texts = append(texts, answer[:tokenTextLen])
		answer = answer[tokenTextLen:]
	}
	if answer != "" {
		texts = append(texts, answer)
	}
	return texts
}

// Fault names what is wrong with an answer.
type Fault string

// Faults that CheckAnswer tells apart.
const (
	FaultGap     Fault = "gap"     // tokens are missing before Index
	FaultRepeat  Fault = "repeat"  // the token at Index stood in the answer before
	FaultMixture Fault = "mixture" // the token at Index is from another generation or prompt
	FaultForeign Fault = "foreign" // the text at Index is no token at all
)

// AnswerError says where an answer stops being one whole generation.
type AnswerError struct {
	Fault Fault
	Index int
	Text  string
}

// Error implements error.
func (e *AnswerError) Error() string {
	return fmt.Sprintf("%s at token %d (%q)", e.Fault, e.Index, e.Text)
}

// CheckAnswer accepts the texts of one unspliced generation of prompt, whatever
// its first token, and returns *AnswerError for anything else.
func CheckAnswer(prompt string, texts []string) error {
	seen := make(map[uint32]bool, len(texts))
	state := newChain(prompt)
	for i, text := range texts {
		id, err := TokenID(text)
		if err != nil {
			return &AnswerError{Fault: FaultForeign, Index: i, Text: text}
		}
		if i > 0 && id != state.next() {
			return &AnswerError{Fault: nameFault(state, id, seen), Index: i, Text: text}
		}
		seen[id] = true
		state = state.add(id)
	}
	return nil
}

func nameFault(state chain, id uint32, seen map[uint32]bool) Fault {
	if seen[id] {
		return FaultRepeat
	}
	for range gapSearch {
		state = state.add(state.next())
		if state.next() == id {
			return FaultGap
		}
	}
	return FaultMixture
}

// chainOf continues a prompt after the tokens emitted so far.
func chainOf(prompt string, emitted []types.Token) chain {
	state := newChain(prompt)
	for _, token := range emitted {
		state = state.add(token.ID)
	}
	return state
}
