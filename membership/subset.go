package membership

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/pearyard/pearyard/types"
)

// Subset returns the n sidecars among members that the router self works with.
// Routers that see the same members cover all sidecars evenly, up to a difference
// of one. Pass the routers and sidecars of one pool (one model or service): a
// subset over all pools could miss a pool.
//
// Sidecars are arranged on a ring by hash, which mixes zones; the routers' arcs
// start at even distances. When a sidecar goes, each arc shifts by at most one
// position; when a router goes, by at most the distance between two starts.
// Suspects are included, so that a suspicion moves no arc.
func Subset(self types.ProcessID, members []Member, n int) []Member {
	routers := hashRing(members, types.RoleRouter)
	sidecars := hashRing(members, types.RoleSidecar)
	if n >= len(sidecars) {
		return sidecars
	}
	rank := indexOf(self, routers)
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

// hashRing returns the members of a role that are alive or suspect, in the order
// of their hashes.
func hashRing(members []Member, role types.Role) []Member {
	type position struct {
		at uint64
		i  int
	}
	positions := make([]position, 0, len(members))
	for i := range members {
		m := &members[i]
		if m.Role == role && (m.State == StateAlive || m.State == StateSuspect) {
			positions = append(positions, position{xxhash.Sum64String(string(m.ID)), i})
		}
	}
	sort.Slice(positions, func(a, b int) bool { return positions[a].at < positions[b].at })
	out := make([]Member, len(positions))
	for i, p := range positions {
		out[i] = members[p.i]
	}
	return out
}

func indexOf(id types.ProcessID, members []Member) int {
	for i := range members {
		if members[i].ID == id {
			return i
		}
	}
	return -1
}
