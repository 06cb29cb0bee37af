package httpapi

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/engine"
	"github.com/pearyard/pearyard/types"
)

// maxLineBytes bounds one line of a generation.
const maxLineBytes = 64 << 10

// line is any line of a generation; ID is nil in a finish line.
type line struct {
	ID              *uint32            `json:"id"`
	Text            string             `json:"text"`
	Finish          types.FinishReason `json:"finish"`
	PrefilledTokens int                `json:"prefilled_tokens"`
}

// readGeneration hands each token to emit until the finish line. A stream that
// ends without one is a death of the engine, however cleanly it was closed: a
// dying process closes its sockets just as a finished answer does, and taking
// that for the end would give the caller a cut answer as a whole one.
func readGeneration(body io.Reader, emit func(types.Token) error) (engine.Result, error) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		var l line
		if err := json.Unmarshal(scanner.Bytes(), &l); err != nil {
			return engine.Result{}, errors.WithMessagef(engine.ErrDied, "malformed line: %v", err)
		}
		if l.Finish != "" {
			return engine.Result{Finish: l.Finish, PrefilledTokens: l.PrefilledTokens}, nil
		}
		if l.ID == nil {
			return engine.Result{}, errors.WithMessage(engine.ErrDied, "line is neither a token nor a finish")
		}
		if err := emit(types.Token{ID: *l.ID, Text: l.Text}); err != nil {
			return engine.Result{}, err
		}
	}
	if err := scanner.Err(); err != nil {
		return engine.Result{}, errors.WithMessage(engine.ErrDied, err.Error())
	}
	return engine.Result{}, errors.WithMessage(engine.ErrDied, "stream ended without a finish line")
}
