package entry

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/exchange"
	"github.com/pearyard/pearyard/inbound"
)

// sink writes a stream's answer.
type sink struct {
	w     http.ResponseWriter
	flush *http.ResponseController
}

// Begin implements exchange.Sink.
func (s *sink) Begin(status int, header http.Header) error {
	copyHeader(s.w, header)
	s.w.WriteHeader(status)
	return nil
}

// Event implements exchange.Sink.
func (s *sink) Event(raw []byte) error {
	if _, err := s.w.Write(raw); err != nil {
		return err
	}
	return s.flush.Flush()
}

// endWrites ends writes to a caller once its request has been ended by its
// leaving or by this process's stop; the function returned calls that off.
//
// A write to a caller that has stopped reading would never end, and neither would its
// request.
func endWrites(w http.ResponseWriter, r *http.Request) (stop func() bool) {
	control := http.NewResponseController(w)
	return context.AfterFunc(r.Context(), func() {
		deadline := time.Now()
		if errors.Is(context.Cause(r.Context()), errGraceOver) {
			deadline = deadline.Add(sayTime)
		}
		// Without support for deadlines, as in tests, there is no connection either.
		_ = control.SetWriteDeadline(deadline)
	})
}

// copyHeader hands a backend server's headers on. net/http would guess a
// content type where the server named none.
func copyHeader(w http.ResponseWriter, from http.Header) {
	to := w.Header()
	for name, values := range from {
		to[name] = values
	}
	if _, named := from["Content-Type"]; !named {
		to["Content-Type"] = nil
	}
}

func setLength(w http.ResponseWriter, n int) {
	w.Header().Set("Content-Length", strconv.Itoa(n))
}

// passRest copies the rest of a large answer, unless its beginning could not be
// written; a break in it must not look like an end.
func passRest(w http.ResponseWriter, r *http.Request, rest exchange.Body, err error) {
	defer rest.Close()
	if err == nil {
		_, err = io.Copy(w, rest)
	}
	if err != nil {
		cut(r)
	}
}

// cut ends an answer that has begun so that it doesn't look whole. It doesn't return.
//
// To a caller of HTTP/1.0 an answer without a length ends with its connection: closed in
// order, half an answer would look whole.
func cut(r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		inbound.ResetAtClose(r)
	}
	panic(http.ErrAbortHandler)
}
