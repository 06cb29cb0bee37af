package claim_test

import (
	"flag"
	"fmt"
	"hash/maphash"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// deep adds searches with larger bounds, which take minutes.
var deep = flag.Bool("deep", false, "search larger worlds, for minutes")

// search visits every reachable state of the model, depth first.
type search struct {
	bounds  bounds
	only    string              // the violation searched for; empty: any
	visited map[uint64]struct{} // hashes of visited states; among a million states, any two collide with a probability of about 1 in 10^7
	seed    maphash.Seed
	path    []string
	found   string // the first violation, with the steps that led to it
}

func run(b bounds, only string) *search {
	x := &search{bounds: b, only: only, visited: map[uint64]struct{}{}, seed: maphash.MakeSeed()}
	first := modelState{nextTag: 1}
	for i := range first.sidecars {
		first.sidecars[i].inc = 1
	}
	x.visit(first)
	return x
}

func (x *search) visit(m modelState) {
	if x.found != "" {
		return
	}
	key := maphash.Comparable(x.seed, m)
	if _, ok := x.visited[key]; ok {
		return
	}
	x.visited[key] = struct{}{}
	if wrong := m.violation(); wrong != "" && (x.only == "" || x.only == wrong) {
		x.found = wrong + ": " + strings.Join(x.path, "; ")
		return
	}
	m.transitions(x.bounds, func(name string, next modelState) {
		x.path = append(x.path, name)
		x.visit(next)
		x.path = x.path[:len(x.path)-1]
	})
}

// Searches all interleavings of routers that pause, callers that retry, sidecars
// that restart and answers that are lost: in none of them may the call run twice,
// or a request be told "not run" although it ran.
func TestNoOrderOfEventsRunsACallTwice(t *testing.T) {
	searches := []bounds{
		{requests: 2, sidecars: 1, tags: 2, restarts: 1, ticks: 1},
		{requests: 2, sidecars: 2, tags: 2, restarts: 1, ticks: 0},
		{requests: 2, sidecars: 1, tags: 3, restarts: 0, ticks: 0},
	}
	if *deep {
		searches = append(searches,
			bounds{requests: 3, sidecars: 1, tags: 2, restarts: 1, ticks: 0},
			bounds{requests: 2, sidecars: 1, tags: 3, restarts: 1, ticks: 0},
			bounds{requests: 2, sidecars: 1, tags: 3, restarts: 0, ticks: 1},
			bounds{requests: 2, sidecars: 1, tags: 2, restarts: 2, ticks: 1},
		)
	}
	for _, s := range searches {
		t.Run(fmt.Sprintf("%+v", s), func(t *testing.T) {
			t.Parallel()
			start := time.Now()
			x := run(s, "")
			gomega.NewWithT(t).Expect(x.found).To(gomega.BeEmpty())
			t.Logf("%d states, %v", len(x.visited), time.Since(start).Round(time.Millisecond))
		})
	}
}

// Each guard prevents some sequence of events: without it the search must find a
// call that runs twice.
func TestEachGuardIsNeeded(t *testing.T) {
	for _, off := range []guard{
		tombstoneOff, callIncOff, voidIncOff, deadlineOff, forgottenOff, forgottenCall,
		fullOff, casOff, readBackOff, newAttemptOff, sameAttemptOff, oneTagOff, savedAttemptOff,
	} {
		t.Run(string(off), func(t *testing.T) {
			t.Parallel()
			s := bounds{requests: 2, sidecars: 1, tags: 2, restarts: 1, ticks: 1, disabled: off}
			if off == savedAttemptOff { // needs three attempts: one voided, one running, one claimed wrongly
				s = bounds{requests: 2, sidecars: 1, tags: 3, disabled: off}
			}
			x := run(s, ranTwice)
			t.Logf("%d states; %s", len(x.visited), x.found)
			gomega.NewWithT(t).Expect(x.found).NotTo(gomega.BeEmpty())
		})
	}
}
