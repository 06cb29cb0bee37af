package route

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pearyard/pearyard/types"
)

// Candidate is one backend server as a router sees it. Its fields are immutable;
// measurements are in Stats.
type Candidate struct {
	ID          types.ProcessID
	Address     string
	Zone        types.Zone
	Incarnation types.Incarnation
	Capacity    int    // maximum number of concurrent requests; 0: DefaultCapacity
	Stats       *Stats // set by NewView

	hash   uint64 // of ID; used for rendezvous hashing of prefixes
	handle uint32 // derived from ID and Incarnation; identifies the candidate in the prefix map
}

// DefaultCapacity is the capacity of a candidate that reports none.
const DefaultCapacity = 16

// View is an immutable set of the candidates of one service, sorted by zone and
// ID. A router keeps the newest one in an atomic.Pointer and builds the next with
// NewView.
type View struct {
	candidates []*Candidate
	zones      map[types.Zone][]*Candidate // sub-slices of candidates
	handles    map[uint32]*Candidate
	summary    summary
}

// NewView builds a view of members. Statistics of a candidate with the same ID and
// incarnation in previous (which may be nil) are kept. A candidate that is not in
// previous begins its slow start at now, except in the first view, where the
// router is new and not the backend servers.
func NewView(previous *View, members []Candidate, now time.Time) *View {
	v := &View{
		candidates: make([]*Candidate, 0, len(members)),
		zones:      make(map[types.Zone][]*Candidate),
		handles:    make(map[uint32]*Candidate, len(members)),
	}
	for i := range members {
		v.candidates = append(v.candidates, newCandidate(previous, members[i], now))
	}
	slices.SortFunc(v.candidates, compareCandidates)
	for begin := 0; begin < len(v.candidates); {
		end := zoneEnd(v.candidates, begin)
		v.zones[v.candidates[begin].Zone] = v.candidates[begin:end]
		begin = end
	}
	for _, c := range v.candidates {
		v.handles[c.handle] = c
	}
	v.summary.steps = make([]int64, 0, len(members))
	return v
}

func newCandidate(previous *View, c Candidate, now time.Time) *Candidate {
	if c.Capacity <= 0 {
		c.Capacity = DefaultCapacity
	}
	c.hash = xxhash.Sum64String(string(c.ID))
	c.handle = uint32(mix(c.hash ^ uint64(c.Incarnation)))
	c.Stats = &Stats{}
	if previous == nil || previous.Len() == 0 {
		return &c
	}
	if old, ok := previous.handles[c.handle]; ok && old.ID == c.ID {
		c.Stats = old.Stats
		return &c
	}
	c.Stats.BeginSlowStart(now)
	return &c
}

func compareCandidates(a, b *Candidate) int {
	if order := strings.Compare(string(a.Zone), string(b.Zone)); order != 0 {
		return order
	}
	return strings.Compare(string(a.ID), string(b.ID))
}

func zoneEnd(candidates []*Candidate, begin int) int {
	end := begin
	for end < len(candidates) && candidates[end].Zone == candidates[begin].Zone {
		end++
	}
	return end
}

// Candidates returns the view's candidates, sorted by zone and ID. The slice is
// shared and must not be modified.
func (v *View) Candidates() []*Candidate { return v.candidates }

// Find returns the candidate with the given ID.
func (v *View) Find(id types.ProcessID) (*Candidate, bool) {
	for _, c := range v.candidates {
		if c.ID == id {
			return c, true
		}
	}
	return nil, false
}

// Len returns the number of candidates.
func (v *View) Len() int { return len(v.candidates) }

// Load returns the mean load of the candidates that are not slow, relative to
// their effective capacity, as of the last refresh by a policy. At 1 and above,
// requests wait. It is the argument of retry.RetryAfter.
func (v *View) Load() float64 { return v.summary.score.load() }

// Subset returns size of the members, selected by rendezvous hashing with the
// router's name. The result depends only on the arguments, changes by at most one
// member when a member joins or leaves, and covers all members about equally often
// over all routers. If size is 0 or not less than the number of members, it
// returns all of them.
func Subset(router types.ProcessID, members []Candidate, size int) []Candidate {
	if size <= 0 || len(members) <= size {
		return members
	}
	seed := xxhash.Sum64String(string(router))
	rank := func(c Candidate) uint64 { return mix(seed ^ xxhash.Sum64String(string(c.ID))) }
	out := slices.Clone(members)
	slices.SortFunc(out, func(a, b Candidate) int {
		switch ra, rb := rank(a), rank(b); {
		case ra > rb:
			return -1
		case ra < rb:
			return 1
		default:
			return strings.Compare(string(a.ID), string(b.ID))
		}
	})
	return out[:size]
}

// mix spreads the bits of a hash (the finaliser of MurmurHash3).
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// summary holds what policies need to know about the view as a whole. It is
// refreshed from time to time by one of the picks, which sets refreshing meanwhile.
type summary struct {
	nextRefresh atomic.Int64 // when the next refresh is due, in Unix nanoseconds
	picks       atomic.Int64 // picks since the last refresh
	refreshing  atomic.Bool
	steps       []int64 // scratch space for the median; guarded by refreshing

	median       atomic.Int64  // median step time in microseconds; 0: unknown
	otherRouters atomicFloat   // mean number of requests of other routers per candidate
	score        atomicFloat   // mean score of candidates that are not slow
	slow         atomic.Int64  // number of slow candidates
	nextProbe    atomic.Int64  // when the next probe of a slow candidate is due, in Unix nanoseconds
	probeCount   atomic.Uint64 // number of probes, for a round robin over the slow candidates
}
