package scenario

import (
	"bytes"
	"io"
	"slices"

	"github.com/pearyard/pearyard/types"
)

// eventIDLine begins the line of a token's event id.
var eventIDLine = []byte("id: ")

// eventBody reads the generation's id off the first event of an answer. The
// request's own id won't do: a caller may have joined another one's generation.
type eventBody struct {
	io.ReadCloser
	caller *caller
	head   []byte // of the answer, until the id is found
	found  bool
}

// Read implements io.Reader.
func (e *eventBody) Read(b []byte) (int, error) {
	n, err := e.ReadCloser.Read(b)
	if !e.found {
		e.head = append(e.head, b[:n]...)
		e.find()
	}
	return n, err
}

func (e *eventBody) find() {
	line, _, whole := bytes.Cut(e.head, []byte("\n"))
	if !whole {
		return
	}
	e.found = true
	id, isID := bytes.CutPrefix(line, eventIDLine)
	event, err := types.ParseEventID(string(id))
	if !isID || err != nil {
		return
	}
	e.caller.mu.Lock()
	defer e.caller.mu.Unlock()
	e.caller.generation = event.Generation.String()
}

// isServedBy reports whether a run of a sidecar is the one that answers the
// caller. One that has got nothing yet takes whatever runs for its own.
func (c *caller) isServedBy(request types.RequestID, generation string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.generation != "":
		return c.generation == generation
	case len(c.requests) > 0:
		return slices.Contains(c.requests, request)
	}
	return true
}
