package httpanswer

import (
	"io"
	"net/http"
)

// Writer is a response writer that tracks whether the header has been written.
type Writer struct {
	http.ResponseWriter
	HeaderWritten bool
}

// WriteHeader implements http.ResponseWriter.
func (w *Writer) WriteHeader(status int) {
	w.ResponseWriter.WriteHeader(status)
	w.HeaderWritten = true
}

// Write implements http.ResponseWriter. The first call writes the header.
func (w *Writer) Write(p []byte) (int, error) {
	w.HeaderWritten = true
	return w.ResponseWriter.Write(p)
}

// Unwrap supports http.ResponseController.
func (w *Writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// ReadFrom implements io.ReaderFrom with the implementation of the wrapped writer, which
// reuses buffers.
func (w *Writer) ReadFrom(from io.Reader) (int64, error) {
	w.HeaderWritten = true
	return io.Copy(w.ResponseWriter, from)
}
