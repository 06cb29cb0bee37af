package config

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
)

// maxConfigBytes bounds a configuration, and with it the memory that a corrupt
// or malicious message can make a process allocate.
const maxConfigBytes = 64 << 20

// ErrTooLarge reports a configuration larger than maxConfigBytes.
var ErrTooLarge = errors.New("config: text too large")

// deflate compresses a configuration.
func deflate(raw []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if _, err := w.Write(raw); err != nil {
		return nil, errors.WithStack(err)
	}
	if err := w.Close(); err != nil {
		return nil, errors.WithStack(err)
	}
	return b.Bytes(), nil
}

// inflate is the inverse of deflate; size is the uncompressed size according to the sender.
func inflate(packed []byte, size uint64) ([]byte, error) {
	if size > maxConfigBytes {
		return nil, ErrTooLarge
	}
	raw := make([]byte, size)
	r := flate.NewReader(bytes.NewReader(packed))
	if _, err := io.ReadFull(r, raw); err != nil {
		return nil, errors.Wrap(err, "config: damaged text")
	}
	if n, _ := r.Read(make([]byte, 1)); n != 0 {
		return nil, errors.New("config: text longer than announced")
	}
	return raw, nil
}
