package route

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pearyard/pearyard/types"
)

// Candidate is one backend server as a router sees it. Its facts don't change;
// what is measured lives in Stats.
type Candidate struct {
	ID          types.ProcessID
	Address     string
	Zone        types.Zone
	Incarnation types.Incarnation
	Capacity    int    // requests that run at once at the most; DefaultCapacity if 0
	Stats       *Stats // set by NewView

	hash   uint64 // of ID; ranks the candidate for a prefix
	handle uint32 // of ID and Incarnation; names the candidate in the prefix map
}

// DefaultCapacity is assumed of a candidate that names none.
const DefaultCapacity = 16

// View is an immutable set of the candidates of one service, by zone and ID.
// A router holds the newest one in an atomic.Pointer and builds the next with NewView.
type View struct {
	candidates []*Candidate
	zones      map[types.Zone][]*Candidate // sub-slices of candidates
	handles    map[uint32]*Candidate
	sum        summary
}

// NewView builds a view of members. Statistics of a candidate with the same ID
// and incarnation in previous (may be nil) are carried over; a candidate that
// previous lacks begins its slow start at now. In the first view nobody does:
// there the router is new, not the backend servers.
func NewView(previous *View, members []Candidate, now time.Time) *View {
	v := &View{
		candidates: make([]*Candidate, 0, len(members)),
		zones:      make(map[types.Zone][]*Candidate),
		handles:    make(map[uint32]*Candidate, len(members)),
	}
	for i := range members {
		v.candidates = append(v.candidates, adopt(previous, members[i], now))
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
	v.sum.steps = make([]int64, 0, len(members))
	return v
}

func adopt(previous *View, c Candidate, now time.Time) *Candidate {
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
	c.Stats.Started(now)
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

// Candidates returns the view's candidates by zone and ID. The slice is the
// view's own and must not be changed.
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

// Load returns the mean load of the candidates that aren't slow, in parts of
// what they can take at present, as of a policy's last renewal; 1 and more means
// that requests wait. retry.RetryAfter takes it.
func (v *View) Load() float64 { return v.sum.score.load() }

// Subset returns size of the members, chosen by rendezvous hashing of the
// router's name: it depends on nothing but its arguments, a member that comes
// or goes changes one place at the most, and each member is in about the same
// number of routers' subsets. With size 0 or no fewer members, it is all of them.
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

// summary holds what a policy needs to know of the view as a whole. It is
// renewed now and then by one of the picks, with summary.busy held.
type summary struct {
	due   atomic.Int64 // when the next renewal is due, in Unix nanoseconds
	picks atomic.Int64 // picks since the last renewal
	busy  atomic.Bool
	steps []int64 // scratch for the median, only used with busy held

	median    atomic.Int64  // of the step times, in microseconds; 0: unknown
	others    atomicFloat   // mean of what other routers have running
	score     atomicFloat   // mean score of candidates that aren't slow
	slow      atomic.Int64  // number of slow candidates
	nextProbe atomic.Int64  // when the next probe of a slow one is due
	probed    atomic.Uint64 // counts probes, to go round the slow ones
}
