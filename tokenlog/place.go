package tokenlog

import (
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/pearyard/pearyard/types"
)

// Site is a sidecar that can hold journals, and where it is.
type Site struct {
	Address string
	Zone    types.Zone
}

type placed struct {
	Site
	score uint64
}

// Place returns the addresses of up to n journal peers of a key in rendezvous
// order: the best of each availability zone first, then the second best of
// each, and so on. exclude, the runner itself, is dropped after ordering and
// peers in its zone go last, so that the loss of a zone doesn't take a runner and
// its journal together. Place(n, exclude) is always within Place(n+1, ""): a
// router that doesn't know the runner finds all peers by asking for one more.
func Place(key types.Key, members []Site, n int, exclude string) []string {
	if n <= 0 {
		return nil
	}
	want := n
	if exclude != "" {
		want++
	}
	order := interleave(bestOfZones(key, members, want), want)
	if exclude != "" {
		order = away(order, members, exclude)
	}
	out := make([]string, 0, n)
	for _, p := range order[:min(n, len(order))] {
		out = append(out, p.Address)
	}
	return out
}

// away drops the runner and moves peers of its zone behind the others.
func away(order []placed, members []Site, runner string) []placed {
	zone := zoneOf(members, runner)
	var far, near []placed
	for _, p := range order {
		switch {
		case p.Address == runner:
		case p.Zone == zone:
			near = append(near, p)
		default:
			far = append(far, p)
		}
	}
	return append(far, near...)
}

func zoneOf(members []Site, address string) types.Zone {
	for _, m := range members {
		if m.Address == address {
			return m.Zone
		}
	}
	return ""
}

// bestOfZones returns the best `want` members of each zone, best first.
func bestOfZones(key types.Key, members []Site, want int) map[types.Zone][]placed {
	zones := make(map[types.Zone][]placed)
	for _, m := range members {
		p := placed{Site: m, score: score(key, m.Address)}
		zones[m.Zone] = insert(zones[m.Zone], p, want)
	}
	return zones
}

func insert(best []placed, p placed, limit int) []placed {
	if len(best) == limit && !better(p, best[limit-1]) {
		return best
	}
	at := sort.Search(len(best), func(i int) bool { return better(p, best[i]) })
	best = append(best, placed{})
	copy(best[at+1:], best[at:])
	best[at] = p
	if len(best) > limit {
		best = best[:limit]
	}
	return best
}

// interleave takes rank 0 of all zones by score, then rank 1, up to want.
func interleave(zones map[types.Zone][]placed, want int) []placed {
	var out []placed
	for rank := 0; len(out) < want; rank++ {
		var row []placed
		for _, best := range zones {
			if rank < len(best) {
				row = append(row, best[rank])
			}
		}
		if len(row) == 0 {
			break
		}
		sort.Slice(row, func(i, j int) bool { return better(row[i], row[j]) })
		out = append(out, row...)
	}
	if len(out) > want {
		out = out[:want]
	}
	return out
}

func better(a, b placed) bool {
	if a.score != b.score {
		return a.score > b.score
	}
	return a.Address < b.Address
}

// score hashes the address and mixes the key in with splitmix64's finaliser.
func score(key types.Key, address string) uint64 {
	var k [8]byte
	binary.BigEndian.PutUint64(k[:], uint64(key))
	x := xxhash.Sum64String(address) ^ xxhash.Sum64(k[:])
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
