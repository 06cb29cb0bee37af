package httpapi

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/engine"
	"github.com/pearyard/pearyard/types"
)

// maxLineBytes bounds the length of one line of a generation.
const maxLineBytes = 64 << 10

// line is a TokenLine or a FinishLine; ID is nil in a finish line.
type line struct {
	ID              *uint32            `json:"id"`
	Text            string             `json:"text"`
	Finish          types.FinishReason `json:"finish"`
	PrefilledTokens int                `json:"prefilled_tokens"`
}

// readGeneration passes each token to emit until the finish line. A stream that
// ends without one counts as a crash of the engine, even if it was closed cleanly:
// the kernel closes the sockets of a crashed process in the same way, and the caller
// would otherwise get a truncated answer as a complete one.
func readGeneration(body io.Reader, emit func(types.Token) error) (engine.Result, error) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		var l line
		if err := json.Unmarshal(scanner.Bytes(), &l); err != nil {
			return engine.Result{}, errors.WithMessagef(engine.ErrConnectionLost, "malformed line: %v", err)
		}
		if l.Finish != "" {
			return engine.Result{Finish: l.Finish, PrefilledTokens: l.PrefilledTokens}, nil
		}
		if l.ID == nil {
			return engine.Result{}, errors.WithMessage(engine.ErrConnectionLost, "line is neither a token nor a finish")
		}
		if err := emit(types.Token{ID: *l.ID, Text: l.Text}); err != nil {
			return engine.Result{}, err
		}
	}
	if err := scanner.Err(); err != nil {
		return engine.Result{}, errors.WithMessage(engine.ErrConnectionLost, err.Error())
	}
	return engine.Result{}, errors.WithMessage(engine.ErrConnectionLost, "stream ended without a finish line")
}
