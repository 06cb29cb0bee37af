package config

import (
	"bytes"
	"crypto/sha256"

	"github.com/pkg/errors"

	configpb "github.com/pearyard/pearyard/rpc/config"
	"github.com/pearyard/pearyard/types"
)

// A configuration of 48,000 organisations is several megabytes even when
// compressed. Sending it whole for each of 900 changes a day would exceed a
// node's control traffic limit of 4 KB per second several times over. Changes
// are small, so a delta is sent instead.

const (
	// maxDeltas is the number of revisions that a process can be behind and still get deltas.
	maxDeltas = 16
	// maxDeltaBytes is the size above which a delta is not kept and the full
	// configuration is sent.
	maxDeltaBytes = 64 << 10
	// spliceOverhead is the approximate encoded size of a splice without its insert.
	spliceOverhead = 16
)

// ErrDeltaMismatch reports a delta that doesn't apply to the local configuration.
var ErrDeltaMismatch = errors.New("config: delta does not apply to the local configuration")

// makeDelta returns the delta between two configurations, nil if it would be
// larger than maxDeltaBytes. The common prefix and suffix are copied; in between,
// whole lines are looked up in the base.
func makeDelta(from, to types.Revision, base, next []byte) *configpb.Delta {
	prefix := commonPrefix(base, next)
	suffix := commonSuffix(base[prefix:], next[prefix:])
	b := deltaBuilder{base: base}
	b.copyFrom(0, prefix)
	b.encodeLines(prefix, len(base)-suffix, next[prefix:len(next)-suffix])
	b.copyFrom(len(base)-suffix, suffix)
	if b.size > maxDeltaBytes {
		return nil
	}
	sum := sha256.Sum256(next)
	return &configpb.Delta{From: uint64(from), To: uint64(to), Splices: b.splices, Sha256: sum[:]}
}

func commonPrefix(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

func commonSuffix(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[len(a)-1-i] != b[len(b)-1-i] {
			return i
		}
	}
	return n
}

// deltaBuilder collects splices and merges adjacent ones. Each splice copies a range of
// base and then inserts new bytes; either may be empty.
type deltaBuilder struct {
	base    []byte
	splices []*configpb.Splice
	size    int // approximate encoded size of the splices, in bytes
}

// encodeLines encodes the middle of the new configuration line by line: lines that
// occur in base[from:to] are copied, unless inserting them is cheaper. It stops when
// the delta is larger than maxDeltaBytes, and makeDelta discards it.
func (b *deltaBuilder) encodeLines(from, to int, middle []byte) {
	offsets := map[string]int{}
	offset := from
	for line := range bytes.Lines(b.base[from:to]) {
		offsets[string(line)] = offset
		offset += len(line)
	}
	for line := range bytes.Lines(middle) {
		if start, ok := offsets[string(line)]; ok && len(line) > spliceOverhead {
			b.copyFrom(start, len(line))
			continue
		}
		b.insert(line)
		if b.size > maxDeltaBytes {
			return
		}
	}
}

func (b *deltaBuilder) copyFrom(offset, length int) {
	if length == 0 {
		return
	}
	if last := b.lastSplice(); last != nil && len(last.Insert) == 0 && last.CopyFrom+last.CopyLength == uint64(offset) {
		last.CopyLength += uint64(length)
		return
	}
	b.splices = append(b.splices, &configpb.Splice{CopyFrom: uint64(offset), CopyLength: uint64(length)})
	b.size += spliceOverhead
}

func (b *deltaBuilder) insert(data []byte) {
	last := b.lastSplice()
	if last == nil {
		last = &configpb.Splice{}
		b.splices = append(b.splices, last)
		b.size += spliceOverhead
	}
	last.Insert = append(last.Insert, data...)
	b.size += len(data)
}

func (b *deltaBuilder) lastSplice() *configpb.Splice {
	if len(b.splices) == 0 {
		return nil
	}
	return b.splices[len(b.splices)-1]
}

// applyDelta applies a delta to base. The hash detects a base with the same
// revision but other content: the result would be a configuration that nobody
// accepted, so the delta is rejected and the caller fetches the full configuration.
func applyDelta(base []byte, delta *configpb.Delta) ([]byte, error) {
	next := make([]byte, 0, len(base))
	for _, s := range delta.Splices {
		end := s.CopyFrom + s.CopyLength
		if end < s.CopyFrom || end > uint64(len(base)) || uint64(len(next))+s.CopyLength > maxConfigBytes {
			return nil, ErrDeltaMismatch
		}
		next = append(next, base[s.CopyFrom:end]...)
		next = append(next, s.Insert...)
	}
	if sum := sha256.Sum256(next); !bytes.Equal(sum[:], delta.Sha256) {
		return nil, ErrDeltaMismatch
	}
	return next, nil
}

// deltaChain holds the latest deltas up to the revision in force, oldest first.
type deltaChain []*configpb.Delta

func (c *deltaChain) add(old, next *Snapshot) {
	var delta *configpb.Delta
	if old != nil {
		delta = makeDelta(old.Revision, next.Revision, old.Raw, next.Raw)
	}
	if delta == nil {
		*c = nil // the chain must reach the revision in force without a gap
		return
	}
	*c = append(*c, delta)
	if len(*c) > maxDeltas {
		*c = append(deltaChain(nil), (*c)[len(*c)-maxDeltas:]...)
	}
}

// since returns the deltas from a revision onwards, nil if the chain doesn't reach back to it.
func (c deltaChain) since(have types.Revision) []*configpb.Delta {
	for i, delta := range c {
		if delta.From == uint64(have) {
			return append([]*configpb.Delta(nil), c[i:]...)
		}
	}
	return nil
}
