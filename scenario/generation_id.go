package scenario

import (
	"bytes"
	"io"
	"slices"

	"github.com/pearyard/pearyard/types"
)

// eventIDLine is the prefix of the line with a token's event ID.
var eventIDLine = []byte("id: ")

// generationIDReader is a response body that records the generation ID found in the first
// event. The request ID isn't sufficient: a caller may have joined the generation of
// another request.
type generationIDReader struct {
	io.ReadCloser
	caller *caller
	prefix []byte // of the body, until its first line is complete
	found  bool
}

// Read implements io.Reader.
func (e *generationIDReader) Read(b []byte) (int, error) {
	n, err := e.ReadCloser.Read(b)
	if !e.found {
		e.prefix = append(e.prefix, b[:n]...)
		e.parseID()
	}
	return n, err
}

// parseID parses the generation ID from the first line once it is complete.
func (e *generationIDReader) parseID() {
	line, _, whole := bytes.Cut(e.prefix, []byte("\n"))
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

// isServedBy reports whether a run listed by a sidecar is the one that serves the caller.
// While the caller has received no response, any run is taken for its own.
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
