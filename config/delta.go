package config

import (
	"bytes"
	"crypto/sha256"

	"github.com/pkg/errors"

	configpb "github.com/pearyard/pearyard/rpc/config"
	"github.com/pearyard/pearyard/types"
)

// A text of 48,000 organisations is some megabytes even when compressed, and
// 900 changes a day of it would use up a node's whole allowance of 4 KB a
// second several times over. A change is small, so its delta is sent instead.

const (
	// deltasKept is how many revisions a process can be behind and still get deltas.
	deltasKept = 16
	// maxDeltaBytes bounds a delta that is worth keeping.
	maxDeltaBytes = 64 << 10
	// spliceOverhead is about what one splice costs beside its insert.
	spliceOverhead = 16
)

// ErrDelta reports a delta that doesn't fit the text at hand.
var ErrDelta = errors.New("config: delta does not fit")

// diffBytes returns the delta between two texts, nil if it would be large.
// What both begin and end with is copied; between, whole lines are looked up.
func diffBytes(from, to types.Revision, base, next []byte) *configpb.Delta {
	prefix := commonPrefix(base, next)
	suffix := commonSuffix(base[prefix:], next[prefix:])
	b := deltaBuilder{base: base}
	b.copyFrom(0, prefix)
	b.lines(prefix, len(base)-suffix, next[prefix:len(next)-suffix])
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

// deltaBuilder collects splices, joining neighbours.
type deltaBuilder struct {
	base    []byte
	splices []*configpb.Splice
	size    int
}

// lines encodes the middle of the new text against base[from:to] by lines.
func (b *deltaBuilder) lines(from, to int, middle []byte) {
	at := map[string]int{}
	offset := from
	for line := range bytes.Lines(b.base[from:to]) {
		at[string(line)] = offset
		offset += len(line)
	}
	for line := range bytes.Lines(middle) {
		if known, ok := at[string(line)]; ok && len(line) > spliceOverhead {
			b.copyFrom(known, len(line))
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
	if last := b.last(); last != nil && len(last.Insert) == 0 && last.CopyFrom+last.CopyLength == uint64(offset) {
		last.CopyLength += uint64(length)
		return
	}
	b.splices = append(b.splices, &configpb.Splice{CopyFrom: uint64(offset), CopyLength: uint64(length)})
	b.size += spliceOverhead
}

func (b *deltaBuilder) insert(data []byte) {
	last := b.last()
	if last == nil {
		last = &configpb.Splice{}
		b.splices = append(b.splices, last)
		b.size += spliceOverhead
	}
	last.Insert = append(last.Insert, data...)
	b.size += len(data)
}

func (b *deltaBuilder) last() *configpb.Splice {
	if len(b.splices) == 0 {
		return nil
	}
	return b.splices[len(b.splices)-1]
}

// applyDelta returns the text that the delta makes of base. The hash guards
// against a base that differs under the same revision: the result would be a
// text that nobody accepted, so the delta is refused and the full text asked for.
func applyDelta(base []byte, delta *configpb.Delta) ([]byte, error) {
	next := make([]byte, 0, len(base))
	for _, s := range delta.Splices {
		end := s.CopyFrom + s.CopyLength
		if end < s.CopyFrom || end > uint64(len(base)) || uint64(len(next))+s.CopyLength > maxTextBytes {
			return nil, ErrDelta
		}
		next = append(next, base[s.CopyFrom:end]...)
		next = append(next, s.Insert...)
	}
	if sum := sha256.Sum256(next); !bytes.Equal(sum[:], delta.Sha256) {
		return nil, ErrDelta
	}
	return next, nil
}

// deltaChain keeps the deltas that lead to the revision in force, oldest first.
type deltaChain []*configpb.Delta

func (c *deltaChain) add(old, next *Snapshot) {
	var delta *configpb.Delta
	if old != nil {
		delta = diffBytes(old.Revision, next.Revision, old.Raw, next.Raw)
	}
	if delta == nil {
		*c = nil // the chain must lead without a gap to the revision in force
		return
	}
	*c = append(*c, delta)
	if len(*c) > deltasKept {
		*c = append(deltaChain(nil), (*c)[len(*c)-deltasKept:]...)
	}
}

// since returns the deltas from a revision on, nil if the chain doesn't reach back to it.
func (c deltaChain) since(have types.Revision) []*configpb.Delta {
	for i, delta := range c {
		if delta.From == uint64(have) {
			return append([]*configpb.Delta(nil), c[i:]...)
		}
	}
	return nil
}
