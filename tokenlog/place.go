package tokenlog

import (
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/pearyard/pearyard/types"
)

// Site is a sidecar that can hold journals, and its location.
type Site struct {
	Address string
	Zone    types.Zone
}

type candidate struct {
	Site
	score uint64
}

// Place returns the addresses of up to n journal peers of a key in rendezvous order: the
// highest-scoring member of each availability zone, then the second of each, and so on.
// exclude, if set, is the runner: it is removed after ordering, and peers in its zone are
// moved to the end, so that the loss of a zone doesn't take a runner and its journal
// together. Place(n, exclude) is always a subset of Place(n+1, ""), so a router that
// doesn't know the runner finds all peers by asking for one more.
func Place(key types.Key, members []Site, n int, exclude string) []string {
	if n <= 0 {
		return nil
	}
	want := n
	if exclude != "" {
		want++
	}
	order := interleave(topPerZone(key, members, want), want)
	if exclude != "" {
		order = deprioritizeZone(order, members, exclude)
	}
	out := make([]string, 0, n)
	for _, c := range order[:min(n, len(order))] {
		out = append(out, c.Address)
	}
	return out
}

// deprioritizeZone removes the runner and moves the peers of its zone to the end.
func deprioritizeZone(order []candidate, members []Site, runner string) []candidate {
	zone := zoneOf(members, runner)
	var otherZones, sameZone []candidate
	for _, c := range order {
		switch {
		case c.Address == runner:
		case c.Zone == zone:
			sameZone = append(sameZone, c)
		default:
			otherZones = append(otherZones, c)
		}
	}
	return append(otherZones, sameZone...)
}

func zoneOf(members []Site, address string) types.Zone {
	for _, m := range members {
		if m.Address == address {
			return m.Zone
		}
	}
	return ""
}

// topPerZone returns the highest-scoring want members of each zone in descending order.
func topPerZone(key types.Key, members []Site, want int) map[types.Zone][]candidate {
	zones := make(map[types.Zone][]candidate)
	for _, m := range members {
		c := candidate{Site: m, score: score(key, m.Address)}
		zones[m.Zone] = insertRanked(zones[m.Zone], c, want)
	}
	return zones
}

// insertRanked inserts c into best, which is in descending order, and keeps at most limit
// candidates.
func insertRanked(best []candidate, c candidate, limit int) []candidate {
	if len(best) == limit && !ranksBefore(c, best[limit-1]) {
		return best
	}
	at := sort.Search(len(best), func(i int) bool { return ranksBefore(c, best[i]) })
	best = append(best, candidate{})
	copy(best[at+1:], best[at:])
	best[at] = c
	if len(best) > limit {
		best = best[:limit]
	}
	return best
}

// interleave returns the members of rank 0 of all zones by score, then those of rank 1,
// until it has want of them.
func interleave(zones map[types.Zone][]candidate, want int) []candidate {
	var out []candidate
	for rank := 0; len(out) < want; rank++ {
		var ranked []candidate
		for _, best := range zones {
			if rank < len(best) {
				ranked = append(ranked, best[rank])
			}
		}
		if len(ranked) == 0 {
			break
		}
		sort.Slice(ranked, func(i, j int) bool { return ranksBefore(ranked[i], ranked[j]) })
		out = append(out, ranked...)
	}
	if len(out) > want {
		out = out[:want]
	}
	return out
}

// ranksBefore orders candidates by descending score. The address decides between equal
// scores, so that all processes compute the same order.
func ranksBefore(a, b candidate) bool {
	if a.score != b.score {
		return a.score > b.score
	}
	return a.Address < b.Address
}

// score hashes the address and the key, and mixes them with the finalizer of splitmix64.
func score(key types.Key, address string) uint64 {
	var k [8]byte
	binary.BigEndian.PutUint64(k[:], uint64(key))
	x := xxhash.Sum64String(address) ^ xxhash.Sum64(k[:])
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
