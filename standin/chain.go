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
	tokenPrefix     = " w"
	tokenTextBytes  = len(tokenPrefix) + 8 // the ID as eight hexadecimal digits
	maxGapTokens    = 4096                 // how many tokens to search ahead to tell a gap from a mixture
	chainMultiplier = 0x9e3779b97f4a7c15   // odd, so that the multiplication is invertible
)

// chain is the running hash of a prompt and all token IDs after it. The next ID
// depends on every ID before, so a token that is missing, repeated or from
// another generation changes all that follow it.
type chain uint64

func newChain(prompt string) chain { return chain(xxhash.Sum64String(prompt)) }

func (c chain) add(id uint32) chain {
	return chain(bits.RotateLeft64((uint64(c)^uint64(id))*chainMultiplier, 29))
}

func (c chain) next() uint32 { return uint32(uint64(c) * chainMultiplier >> 32) }

// randomTokenID returns a random ID for the first token of a generation. Two runs
// of one prompt therefore differ, as they do on an engine that samples.
func randomTokenID() uint32 { return rand.Uint32() }

// TokenText returns the text of a token ID.
func TokenText(id uint32) string { return fmt.Sprintf("%s%08x", tokenPrefix, id) }

// TokenID is the inverse of TokenText.
func TokenID(text string) (uint32, error) {
	digits, ok := strings.CutPrefix(text, tokenPrefix)
	if !ok || len(text) != tokenTextBytes {
		return 0, errors.Errorf("%q is not a token of a stand-in engine", text)
	}
	id, err := strconv.ParseUint(digits, 16, 32)
	if err != nil {
		return 0, errors.Errorf("%q is not a token of a stand-in engine", text)
	}
	return uint32(id), nil
}

// SplitText splits the text of an answer into the texts of its tokens.
func SplitText(answer string) []string {
	texts := make([]string, 0, len(answer)/tokenTextBytes+1)
	for len(answer) > tokenTextBytes {
		texts = append(texts, answer[:tokenTextBytes])
		answer = answer[tokenTextBytes:]
	}
	if answer != "" {
		texts = append(texts, answer)
	}
	return texts
}

// Fault is a kind of defect of an answer.
type Fault string

// Faults that CheckAnswer tells apart.
const (
	FaultGap     Fault = "gap"     // tokens are missing before Index
	FaultRepeat  Fault = "repeat"  // the token at Index occurs earlier in the answer
	FaultMixture Fault = "mixture" // the token at Index is from another generation or prompt
	FaultForeign Fault = "foreign" // the text at Index is not a token
)

// AnswerError reports the first token at which an answer is not one unbroken
// generation.
type AnswerError struct {
	Fault Fault
	Index int
	Text  string
}

// Error implements error.
func (e *AnswerError) Error() string {
	return fmt.Sprintf("%s at token %d (%q)", e.Fault, e.Index, e.Text)
}

// CheckAnswer returns nil if the texts are those of one unbroken generation of
// prompt, with any first token, and *AnswerError otherwise. It can't detect tokens
// that are missing at the end.
func CheckAnswer(prompt string, texts []string) error {
	seen := make(map[uint32]bool, len(texts))
	state := newChain(prompt)
	for i, text := range texts {
		id, err := TokenID(text)
		if err != nil {
			return &AnswerError{Fault: FaultForeign, Index: i, Text: text}
		}
		if i > 0 && id != state.next() {
			return &AnswerError{Fault: classifyFault(state, id, seen), Index: i, Text: text}
		}
		seen[id] = true
		state = state.add(id)
	}
	return nil
}

func classifyFault(state chain, id uint32, seen map[uint32]bool) Fault {
	if seen[id] {
		return FaultRepeat
	}
	for range maxGapTokens {
		state = state.add(state.next())
		if state.next() == id {
			return FaultGap
		}
	}
	return FaultMixture
}

// chainAfter returns the chain of a prompt and the tokens emitted so far.
func chainAfter(prompt string, emitted []types.Token) chain {
	state := newChain(prompt)
	for _, token := range emitted {
		state = state.add(token.ID)
	}
	return state
}
