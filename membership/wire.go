package membership

import (
	memberpb "github.com/pearyard/pearyard/rpc/member"
	"github.com/pearyard/pearyard/types"
)

// encode converts a record to its full wire format.
func encode(r record) *memberpb.Record {
	out := encodeShort(r)
	out.Role = encodeRole(r.Role)
	out.Address = r.Address
	out.Zone = string(r.Zone)
	out.BackendServer = r.BackendServer
	return out
}

// encodeShort omits the fields that never change within an incarnation; receivers
// that do not know the member skip such a record.
func encodeShort(r record) *memberpb.Record {
	return &memberpb.Record{
		Id: string(r.ID), Incarnation: uint64(r.Incarnation), Counter: r.Counter,
		Condition: memberpb.Condition(r.Condition), Leaving: r.Leaving, Revision: uint64(r.Revision),
	}
}

// encodeUpdate converts a change for piggybacking. Suspicions and deaths are
// short, which cuts the bytes sent on the loss of a zone to a third. Alive and
// leaving are sent in full: a receiver that skipped a short leaving record for
// lack of the address would let a later alive record add the member as one that
// takes work.
func encodeUpdate(r record) *memberpb.Record {
	if r.Condition != conditionAlive && !r.Leaving {
		return encodeShort(r)
	}
	return encode(r)
}

func encodeAll(records []record) []*memberpb.Record {
	out := make([]*memberpb.Record, len(records))
	for i, r := range records {
		out[i] = encode(r)
	}
	return out
}

// decode converts a record from its wire format. A condition that this version
// does not know is taken as dead.
func decode(p *memberpb.Record) record {
	cond := condition(conditionDead)
	if c := p.GetCondition(); c >= 0 && c <= memberpb.Condition_DEAD {
		cond = condition(c)
	}
	return record{
		ID: types.ProcessID(p.GetId()), Role: decodeRole(p.GetRole()), Address: p.GetAddress(),
		Zone: types.Zone(p.GetZone()), BackendServer: p.GetBackendServer(),
		Incarnation: types.Incarnation(p.GetIncarnation()), Counter: p.GetCounter(),
		Condition: cond, Leaving: p.GetLeaving(), Revision: types.Revision(p.GetRevision()),
	}
}

func encodeRole(r types.Role) memberpb.Role {
	switch r {
	case types.RoleRouter:
		return memberpb.Role_ROLE_ROUTER
	case types.RoleSidecar:
		return memberpb.Role_ROLE_SIDECAR
	default:
		return memberpb.Role_ROLE_UNKNOWN
	}
}

func decodeRole(r memberpb.Role) types.Role {
	switch r {
	case memberpb.Role_ROLE_ROUTER:
		return types.RoleRouter
	case memberpb.Role_ROLE_SIDECAR:
		return types.RoleSidecar
	default:
		return ""
	}
}
