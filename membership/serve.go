package membership

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	memberpb "github.com/pearyard/pearyard/rpc/member"
	"github.com/pearyard/pearyard/types"
)

// service handles the calls of other members.
type service struct{ m *Membership }

// Probe implements memberpb.Members.
func (s *service) Probe(_ context.Context, req *memberpb.ProbeRequest) (*memberpb.ProbeResponse, error) {
	if req.GetFrom() == nil {
		return nil, twirp.RequiredArgumentError("from")
	}
	m := s.m
	now := time.Now()
	sender := decode(req.GetFrom())
	received := make(map[types.ProcessID]record, len(req.GetUpdates()))
	for _, u := range req.GetUpdates() {
		received[types.ProcessID(u.GetId())] = decode(u)
	}
	m.lock()
	defer m.unlock()
	m.receiveLocked(now, sender, req.GetUpdates())
	return &memberpb.ProbeResponse{From: m.ownRecord(), Updates: m.encodeUpdates(m.table.updates(sender.ID, sender.Incarnation, received))}, nil
}

// ProbeIndirect implements memberpb.Members.
func (s *service) ProbeIndirect(ctx context.Context, req *memberpb.ProbeIndirectRequest) (*memberpb.ProbeIndirectResponse, error) {
	if req.GetFrom() == nil || req.GetTarget().GetAddress() == "" {
		return nil, twirp.RequiredArgumentError("from and target")
	}
	m := s.m
	m.receive(req.GetFrom(), nil)
	target := decode(req.GetTarget())
	if m.isMember(target) {
		m.probe(ctx, target)
	}
	return m.indirectResponse(target), nil
}

// isMember reports whether target is a known member at its address. Callers must
// not be able to make this process connect to arbitrary addresses.
func (m *Membership) isMember(target record) bool {
	m.lock()
	defer m.unlock()
	e := m.table.entries[target.ID]
	return e != nil && e.Address == target.Address
}

// indirectResponse includes the target's record if the target was contacted during
// this probe.
func (m *Membership) indirectResponse(target record) *memberpb.ProbeIndirectResponse {
	m.lock()
	defer m.unlock()
	out := &memberpb.ProbeIndirectResponse{From: m.ownRecord()}
	e := m.table.entries[target.ID]
	if e != nil && e.Incarnation == target.Incarnation && time.Since(e.lastContact) <= m.opts.ProbeTimeout {
		out.Target = encode(e.record)
	}
	return out
}

// Sync implements memberpb.Members.
func (s *service) Sync(_ context.Context, req *memberpb.SyncRequest) (*memberpb.SyncResponse, error) {
	if req.GetFrom() == nil {
		return nil, twirp.RequiredArgumentError("from")
	}
	m := s.m
	now := time.Now()
	sender := decode(req.GetFrom())
	m.lock()
	defer m.unlock()
	m.receiveLocked(now, sender, req.GetRecords())
	out := &memberpb.SyncResponse{From: m.ownRecord()}
	if len(req.GetDigests()) == 0 {
		return out, nil
	}
	out.Buckets = m.table.digests.differing(req.GetDigests())
	limit := maxSyncRecords
	if req.GetJoin() {
		limit = 0
	}
	out.Records = encodeAll(m.table.records(out.Buckets, limit))
	m.metrics.records.WithLabelValues("sent").Add(float64(len(out.Records)))
	return out, nil
}
