package config

import (
	"github.com/pkg/errors"

	configpb "github.com/pearyard/pearyard/rpc/config"
	"github.com/pearyard/pearyard/types"
)

// compressedConfig caches a snapshot's compressed configuration.
type compressedConfig struct {
	revision types.Revision
	data     []byte
}

// payload returns the revision in force for a process that has revision have: as
// deltas if possible, else in full. If it isn't newer than have, the payload has
// only its number and size.
func (h *Holder) payload(have types.Revision) (*configpb.Payload, error) {
	current, deltas := h.currentWithDeltas(have)
	if current == nil {
		return &configpb.Payload{}, nil
	}
	p := &configpb.Payload{Revision: uint64(current.Revision), Size: uint64(len(current.Raw))}
	if have >= current.Revision {
		return p, nil
	}
	if len(deltas) > 0 {
		p.Deltas = deltas
		return p, nil
	}
	full, err := h.compressed(current)
	p.Full = full
	return p, err
}

func (h *Holder) currentWithDeltas(have types.Revision) (*Snapshot, []*configpb.Delta) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current.Load(), h.deltas.since(have)
}

// compressed returns the compressed snapshot. Each snapshot is compressed only
// once, however many processes ask for it.
func (h *Holder) compressed(s *Snapshot) ([]byte, error) {
	h.compressedMu.Lock()
	defer h.compressedMu.Unlock()
	if h.compressedCache.revision == s.Revision {
		return h.compressedCache.data, nil
	}
	data, err := deflate(s.Raw)
	if err != nil {
		return nil, err
	}
	h.compressedCache = compressedConfig{revision: s.Revision, data: data}
	return data, nil
}

// ErrEmptyPayload reports a payload without a configuration.
var ErrEmptyPayload = errors.New("config: no configuration in the payload")

// decodePayload returns the configuration in a payload; deltas are applied to current.
func decodePayload(p *configpb.Payload, current *Snapshot) ([]byte, error) {
	if len(p.GetDeltas()) > 0 {
		return applyDeltas(p, current)
	}
	if len(p.GetFull()) == 0 {
		return nil, ErrEmptyPayload
	}
	return inflate(p.Full, p.Size)
}

func applyDeltas(p *configpb.Payload, current *Snapshot) ([]byte, error) {
	if current == nil {
		return nil, ErrDeltaMismatch
	}
	raw, at := current.Raw, uint64(current.Revision)
	for _, delta := range p.Deltas {
		if delta.From != at {
			return nil, ErrDeltaMismatch
		}
		next, err := applyDelta(raw, delta)
		if err != nil {
			return nil, err
		}
		raw, at = next, delta.To
	}
	if at != p.Revision {
		return nil, ErrDeltaMismatch
	}
	return raw, nil
}
