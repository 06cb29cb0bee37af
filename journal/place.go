package journal

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
	address string
	score   uint64
}

// Place returns the addresses of up to n journal peers of a key in rendezvous
// order: the best of each availability zone first, then the second best of
// each, and so on. exclude, the runner itself, is dropped after ordering, so
// that Place(n, exclude) is always within Place(n+1, ""): a router that doesn't
// know the runner finds all peers by asking for one more.
func Place(key types.Key, members []Site, n int, exclude string) []string {
	if n <= 0 {
		return nil
	}
	want := n
	if exclude != "" {
		want++
	}
	zones := bestOfZones(key, members, want)
	out := make([]string, 0, n)
	for _, p := range interleave(zones, want) {
		if p.address != exclude && len(out) < n {
			out = append(out, p.address)
		}
	}
	return out
}

// bestOfZones returns the best `want` members of each zone, best first.
func bestOfZones(key types.Key, members []Site, want int) map[types.Zone][]placed {
	zones := make(map[types.Zone][]placed)
	for _, m := range members {
		p := placed{address: m.Address, score: score(key, m.Address)}
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
	return a.address < b.address
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
