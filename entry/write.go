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

// streamWriter writes the response of a stream.
type streamWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
}

// Begin implements exchange.Sink.
func (s *streamWriter) Begin(status int, header http.Header) error {
	copyHeader(s.w, header)
	s.w.WriteHeader(status)
	return nil
}

// Event implements exchange.Sink.
func (s *streamWriter) Event(raw []byte) error {
	if _, err := s.w.Write(raw); err != nil {
		return err
	}
	return s.controller.Flush()
}

// stopWritesOnCancel sets a write deadline as soon as the request's context ends because the
// caller left or this process stops. The function returned revokes that.
//
// Otherwise a write to a caller that has stopped reading would block forever, and its
// request with it.
func stopWritesOnCancel(w http.ResponseWriter, r *http.Request) (stop func() bool) {
	control := http.NewResponseController(w)
	return context.AfterFunc(r.Context(), func() {
		deadline := time.Now()
		if errors.Is(context.Cause(r.Context()), errGraceOver) {
			deadline = deadline.Add(finalWriteTimeout)
		}
		// Writers without deadlines occur only in tests, without a connection.
		_ = control.SetWriteDeadline(deadline)
	})
}

// copyHeader copies a backend server's header. A nil Content-Type keeps net/http from
// guessing one if the server sent none.
func copyHeader(w http.ResponseWriter, from http.Header) {
	to := w.Header()
	for name, values := range from {
		to[name] = values
	}
	if _, named := from["Content-Type"]; !named {
		to["Content-Type"] = nil
	}
}

func setContentLength(w http.ResponseWriter, n int) {
	w.Header().Set("Content-Length", strconv.Itoa(n))
}

// copyRest copies the rest of a large response, unless its beginning could not be
// written. If it breaks off, the response is aborted so that it doesn't look complete.
func copyRest(w http.ResponseWriter, r *http.Request, rest exchange.Body, err error) {
	defer rest.Close()
	if err == nil {
		_, err = io.Copy(w, rest)
	}
	if err != nil {
		abortResponse(r)
	}
}

// abortResponse aborts a response that has begun so that it doesn't look complete. It
// panics with http.ErrAbortHandler and doesn't return.
//
// In HTTP/1.0 the end of the connection ends a response without a length; if the
// connection were closed normally, half a response would look complete.
func abortResponse(r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		inbound.ResetAtClose(r)
	}
	panic(http.ErrAbortHandler)
}
