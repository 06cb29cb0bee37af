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
	caller   *caller
	prefix   []byte // of the body, until its first line is complete
	lineRead bool   // the first line is complete and has been parsed
}

// Read implements io.Reader.
func (r *generationIDReader) Read(b []byte) (int, error) {
	n, err := r.ReadCloser.Read(b)
	if !r.lineRead {
		r.prefix = append(r.prefix, b[:n]...)
		r.parseID()
	}
	return n, err
}

// parseID parses the generation ID from the first line once it is complete.
func (r *generationIDReader) parseID() {
	line, _, complete := bytes.Cut(r.prefix, []byte("\n"))
	if !complete {
		return
	}
	r.lineRead = true
	id, isID := bytes.CutPrefix(line, eventIDLine)
	event, err := types.ParseEventID(string(id))
	if !isID || err != nil {
		return
	}
	r.caller.mu.Lock()
	defer r.caller.mu.Unlock()
	r.caller.generation = event.Generation.String()
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
