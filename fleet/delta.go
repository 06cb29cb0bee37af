package fleet

import (
	"math/bits"

	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
)

const (
	// maxDeltaBytes bounds a delta that is sent to a peer. Hundreds of VMs ask a watcher
	// for it at the same time, over the link that also carries the traffic of its callers.
	maxDeltaBytes = 4 << 10
	// maxTextBytes bounds the text that a delta may expand to.
	maxTextBytes = 16 << 20
	// deltaDictionaryID is the zstd dictionary ID under which a delta refers to the text
	// that it was made from.
	deltaDictionaryID = 1
)

// makeDelta returns the delta that turns old into text.
func makeDelta(old, text []byte) ([]byte, error) {
	w, err := zstd.NewWriter(nil, zstd.WithEncoderDictRaw(deltaDictionaryID, old), zstd.WithWindowSize(windowSize(old, text)),
		zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithEncoderCRC(true))
	if err != nil {
		return nil, errors.Wrap(err, "fleet: create delta encoder")
	}
	defer w.Close()
	return w.EncodeAll(text, nil), nil
}

// windowSize returns how many bytes the encoder looks back. It covers both texts, as any
// part of the new one may be anywhere in the old one.
func windowSize(old, text []byte) int {
	both := len(old) + len(text)
	return min(max(1<<bits.Len(uint(both)), zstd.MinWindowSize), maxTextBytes)
}

// applyDelta returns the text that a delta turns old into. The checksum in the delta
// detects that it was made for another text.
func applyDelta(old, delta []byte) ([]byte, error) {
	r, err := zstd.NewReader(nil, zstd.WithDecoderDictRaw(deltaDictionaryID, old), zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxTextBytes))
	if err != nil {
		return nil, errors.Wrap(err, "fleet: create delta decoder")
	}
	defer r.Close()
	text, err := r.DecodeAll(delta, nil)
	return text, errors.Wrap(err, "fleet: apply delta")
}
