package fleet

import (
	"math/bits"

	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
)

const (
	// maxDelta bounds a delta that is handed on, in bytes: some hundred VMs ask a
	// watcher for it at once, whose link is its callers' as well.
	maxDelta = 4 << 10
	// maxText bounds what a delta may become, in bytes.
	maxText = 16 << 20
	// deltaDictionary is the number by which a delta names the text that it is for.
	deltaDictionary = 1
)

// deltaOf returns what turns one text into another.
func deltaOf(old, text []byte) ([]byte, error) {
	w, err := zstd.NewWriter(nil, zstd.WithEncoderDictRaw(deltaDictionary, old), zstd.WithWindowSize(windowFor(old, text)),
		zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithEncoderCRC(true))
	if err != nil {
		return nil, errors.Wrap(err, "fleet: delta")
	}
	defer w.Close()
	return w.EncodeAll(text, nil), nil
}

// windowFor returns the bytes that a writer looks back over: both texts, as each part
// of the new one may be anywhere in the old one.
func windowFor(old, text []byte) int {
	both := len(old) + len(text)
	return min(max(1<<bits.Len(uint(both)), zstd.MinWindowSize), maxText)
}

// applyDelta returns what a delta turns a text into. The delta's checksum shows if
// it was made for another text.
func applyDelta(old, delta []byte) ([]byte, error) {
	r, err := zstd.NewReader(nil, zstd.WithDecoderDictRaw(deltaDictionary, old), zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxText))
	if err != nil {
		return nil, errors.Wrap(err, "fleet: delta")
	}
	defer r.Close()
	text, err := r.DecodeAll(delta, nil)
	return text, errors.Wrap(err, "fleet: delta")
}
