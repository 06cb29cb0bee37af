package config

import (
	"github.com/pkg/errors"

	configpb "github.com/pearyard/pearyard/rpc/config"
	"github.com/pearyard/pearyard/types"
)

// packed is a snapshot's text in compressed form, made once for all askers.
type packed struct {
	revision types.Revision
	data     []byte
}

// payload returns the revision in force for a process that has another one.
func (h *Holder) payload(have types.Revision) (*configpb.Payload, error) {
	current, deltas := h.withDeltas(have)
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
	full, err := h.packedText(current)
	p.Full = full
	return p, err
}

func (h *Holder) withDeltas(have types.Revision) (*Snapshot, []*configpb.Delta) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current.Load(), h.deltas.since(have)
}

// packedText compresses a snapshot once, however many processes ask for it.
func (h *Holder) packedText(s *Snapshot) ([]byte, error) {
	h.packMu.Lock()
	defer h.packMu.Unlock()
	if h.packed.revision == s.Revision {
		return h.packed.data, nil
	}
	data, err := deflate(s.Raw)
	if err != nil {
		return nil, err
	}
	h.packed = packed{revision: s.Revision, data: data}
	return data, nil
}

// ErrNoText reports a payload without a text in it.
var ErrNoText = errors.New("config: no text in the answer")

// unpack returns the text of a payload, given what is in force here.
func unpack(p *configpb.Payload, current *Snapshot) ([]byte, error) {
	if len(p.GetDeltas()) > 0 {
		return applyDeltas(p, current)
	}
	if len(p.GetFull()) == 0 {
		return nil, ErrNoText
	}
	return inflate(p.Full, p.Size)
}

func applyDeltas(p *configpb.Payload, current *Snapshot) ([]byte, error) {
	if current == nil {
		return nil, ErrDelta
	}
	raw, at := current.Raw, uint64(current.Revision)
	for _, delta := range p.Deltas {
		if delta.From != at {
			return nil, ErrDelta
		}
		next, err := applyDelta(raw, delta)
		if err != nil {
			return nil, err
		}
		raw, at = next, delta.To
	}
	if at != p.Revision {
		return nil, ErrDelta
	}
	return raw, nil
}
