package exchange

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/directory"
)

const (
	// maxInRest is how many requests of one VM may reach a server in a rest that it has asked
	// that VM for, from restNotice after the answer: they may have been under way.
	maxInRest  = 2
	restNotice = 500 * time.Millisecond
)

// restingEngines turn requests away, each for a while, and record what reaches them in their
// rests.
type restingEngines struct {
	rest time.Duration

	mu       sync.Mutex
	busy     map[string]bool                   // by id of the server: it turns requests away
	rests    map[*directory.Server][]time.Time // by VM and server: when it asked for rest
	arrivals map[*directory.Server][]time.Time // by VM and server
}

func newRestingEngines(rest time.Duration, busy ...string) *restingEngines {
	r := &restingEngines{rest: rest, busy: map[string]bool{}, rests: map[*directory.Server][]time.Time{}, arrivals: map[*directory.Server][]time.Time{}}
	for _, id := range busy {
		r.busy[id] = true
	}
	return r
}

// turnsAway reports whether a server turns a request away, and has it ask for rest if so.
func (r *restingEngines) turnsAway(s *directory.Server) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.arrivals[s] = append(r.arrivals[s], now)
	if !r.busy[s.ID] {
		return false
	}
	r.rests[s] = append(r.rests[s], now)
	s.ReportRest(r.rest, now)
	return true
}

func (r *restingEngines) recover() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.busy)
}

// mostInRest returns the most requests of a VM that reached a server in a rest.
func (r *restingEngines) mostInRest() (most int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for s, rests := range r.rests {
		for _, at := range rests {
			n := 0
			for _, a := range r.arrivals[s] {
				if a.After(at.Add(restNotice)) && a.Before(at.Add(r.rest)) {
					n++
				}
			}
			most = max(most, n)
		}
	}
	return most
}

// arrivedBetween returns how many requests of all VMs reached servers in a time.
func (r *restingEngines) arrivedBetween(from, to time.Time, ids ...string) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for s, list := range r.arrivals {
		for _, at := range list {
			for _, id := range ids {
				if s.ID == id && at.After(from) && at.Before(to) {
					n++
				}
			}
		}
	}
	return n
}

// Guards against streams that reach servers in the rest that these have asked for, under a
// load that the other servers can take, and against servers that stay idle afterwards or get
// all that has waited at once.
func TestServersThatRestGetNothingUntilTheRestIsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		m := newCrashModel(t, 16, modelCrashDelay)
		busy := m.ids[:6]
		engines := newRestingEngines(3*time.Second, busy...)
		m.engines.turnsAway = engines.turnsAway
		began := time.Now()
		time.AfterFunc(10*time.Second, engines.recover)
		_, failed := m.playSound(t, every(80*time.Millisecond, 200))
		g.Expect(engines.mostInRest()).To(gomega.BeNumerically("<=", maxInRest))
		g.Expect(failed).To(gomega.BeZero(), "of 200")
		g.Expect(engines.arrivedBetween(began.Add(13500*time.Millisecond), began.Add(16*time.Second), busy...)).To(gomega.BeNumerically(">=", 6), "they are used again")
	})
}

// Guards against callers that are refused, or come back too soon, while all servers rest for
// a moment.
func TestCallersWaitForTheEndOfAShortRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		m := newCrashModel(t, 8, modelCrashDelay)
		engines := newRestingEngines(time.Second, m.ids...)
		m.engines.turnsAway = engines.turnsAway
		time.AfterFunc(300*time.Millisecond, engines.recover)
		var arrivals []time.Duration
		for i := range 40 {
			arrivals = append(arrivals, time.Duration(i)*20*time.Millisecond)
		}
		_, failed := m.playSound(t, arrivals)
		g.Expect(engines.mostInRest()).To(gomega.BeNumerically("<=", maxInRest))
		g.Expect(failed).To(gomega.BeZero(), "of 40")
		for s, list := range engines.arrivals {
			for i := 1; i < len(list); i++ {
				g.Expect(list[i].Equal(list[i-1])).To(gomega.BeFalse(), fmt.Sprint(s.ID, " got two requests of a VM at once"))
			}
		}
	})
}
