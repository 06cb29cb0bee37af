package membership

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/pearyard/pearyard/types"
)

// Subset returns the n sidecars among members that router self works with.
// All routers that see the same members cover every sidecar equally often, up
// to one. Pass the routers and the sidecars of one pool (one model or service):
// a subset over all pools could miss a pool.
//
// Sidecars stand on a ring in the order of a hash, which mixes zones; the
// routers' arcs start at even distances. When a sidecar goes, each arc shifts
// by at most one place, when a router goes, by at most the distance of two
// starts. Suspects stay in, so that a suspicion moves nobody.
func Subset(self types.ProcessID, members []Member, n int) []Member {
	routers := ring(members, types.RoleRouter)
	sidecars := ring(members, types.RoleSidecar)
	if n >= len(sidecars) {
		return sidecars
	}
	rank := rankOf(self, routers)
	if rank < 0 || n <= 0 {
		return nil
	}
	start := rank * len(sidecars) / len(routers)
	out := make([]Member, 0, n)
	for i := range n {
		out = append(out, sidecars[(start+i)%len(sidecars)])
	}
	return out
}

// ring returns the members of a role that aren't leaving or dead by their hash.
func ring(members []Member, role types.Role) []Member {
	type placed struct {
		at uint64
		i  int
	}
	places := make([]placed, 0, len(members))
	for i := range members {
		m := &members[i]
		if m.Role == role && (m.State == StateAlive || m.State == StateSuspect) {
			places = append(places, placed{xxhash.Sum64String(string(m.ID)), i})
		}
	}
	sort.Slice(places, func(a, b int) bool { return places[a].at < places[b].at })
	out := make([]Member, len(places))
	for i, p := range places {
		out[i] = members[p.i]
	}
	return out
}

func rankOf(id types.ProcessID, ring []Member) int {
	for i := range ring {
		if ring[i].ID == id {
			return i
		}
	}
	return -1
}
