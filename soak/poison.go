package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pearyard/pearyard/standin/nursery"
)

const (
	// poisonedCopies is how many callers send each poisoned request again and again.
	poisonedCopies = 3
	// maxPoisoned is how many poisoned requests are sent at a time at most.
	maxPoisoned = 4
	// poisonRetryPause is the time between two tries of such a caller.
	poisonRetryPause = 50 * time.Millisecond
	// After its third crash and contactTime, a request may reach servers in
	// maxLateArrivals more tries. Nothing counts for contactTime after the restart of a VM,
	// see limitViolations.
	crashesAllowed  = 3
	contactTime     = 3 * time.Second
	maxLateArrivals = 3
)

// PoisonPlan returns a plan of requests that crash servers, several at once, beside crashes
// of servers and zones and restarts of VMs.
func PoisonPlan(size Size, seed uint64, length time.Duration) Plan {
	disruptions := []Disruption{poisonDisruption, poisonDisruption}
	others := append(slices.Clone(vmRestarts), "server crash", "zone of servers crash", "zone of servers crash and are back under their ids", "route added")
	return Plan{Size: size, Seed: seed, Disruptions: append(disruptions, disruptionsNamed(others)...), Length: length}
}

// MassPoisonPlan returns a plan of so many copies of poisoned requests that they crash whole
// zones, beside lost zones, servers that leave or rest, outages of the store and restarts of
// VMs.
func MassPoisonPlan(size Size, seed uint64, length time.Duration) Plan {
	size.ModelServers = max(size.ModelServers, massModelServers)
	disruptions := []Disruption{massPoisonDisruption, massPoisonDisruption, leavingDisruption, restDisruption}
	others := append(slices.Clone(vmRestarts), "server crash", "zone of servers crash", "zone of servers crash and are back under their ids", "store silent", "history dropped", "load")
	return Plan{Size: size, Seed: seed, Disruptions: append(disruptions, disruptionsNamed(others)...), Length: length}
}

const (
	// massModelServers is large enough for a zone in which several servers crash one after the
	// other.
	massModelServers = 12
	maxMassContents  = 6
	maxMassCopies    = 12
)

var poisonDisruption = Disruption{Name: "poisoned requests", group: noGroup, run: func(s *Site, rng *rand.Rand, duration time.Duration) {
	s.poison(rng, 1+rng.IntN(maxPoisoned), poisonedCopies, poisonTime+duration)
}}

var massPoisonDisruption = Disruption{Name: "poisoned requests that crash whole zones", group: noGroup, run: func(s *Site, rng *rand.Rand, duration time.Duration) {
	s.poison(rng, 1+rng.IntN(maxMassContents), poisonedCopies+rng.IntN(maxMassCopies), poisonTime+duration)
}}

// poison has callers send copies of some poisoned requests again and again for a time.
func (s *Site) poison(rng *rand.Rand, contents, copies int, d time.Duration) {
	var callers sync.WaitGroup
	end := time.Now().Add(d)
	for range contents {
		path := fmt.Sprintf("%s%08x", nursery.PoisonPath, rng.Uint32())
		for copy := range copies {
			callers.Go(func() { s.callers.insist(path, copy, end) })
		}
	}
	callers.Wait()
}

// poisonTime is long enough for a poisoned request to crash three servers one after the
// other, each of which is found out within a second, and to come back after
// contactTime.
const poisonTime = 7 * time.Second

// insist sends the same request to one VM after the other until a time. Its outcomes are
// not recorded: nothing is owed to it.
func (c *Callers) insist(path string, firstVM int, end time.Time) {
	for i := firstVM; time.Now().Before(end); i++ {
		c.sendPoisoned(path, c.site.VMs[i%len(c.site.VMs)], end)
		time.Sleep(poisonRetryPause)
	}
}

func (c *Callers) sendPoisoned(path string, vm *VM, end time.Time) (status int) {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+vm.CallerAddress+path, strings.NewReader("poison"))
	if err != nil {
		panic(err) // the URL is made of constants
	}
	c.setHeaders(req, fmt.Sprintf("%s%06d", poisonIDPrefix, c.nextID.Add(1)), "k0")
	resp, err := c.client.Do(req)
	if err != nil {
		return 0 // the VM is down, or has broken off the response
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// poisonIDPrefix begins the ids of poisoned requests.
const poisonIDPrefix = "poison"

// crashViolations describes the poisoned requests that reached servers too often after
// they had crashed several.
func crashViolations(crashes []nursery.Crash, arrivals []nursery.Run, timeline []Span) []string {
	count, third := map[string]int{}, map[string]time.Time{}
	for _, c := range crashes {
		if count[c.Target]++; count[c.Target] == crashesAllowed {
			third[c.Target] = c.At
		}
	}
	late := map[string]int{}
	for _, a := range arrivals {
		if at, known := third[a.Target]; known && a.At.Sub(at) > contactTime && !restartedBefore(timeline, a.At) {
			late[a.Target]++
		}
	}
	var violations []string
	for target, n := range late {
		if n > maxLateArrivals {
			violations = append(violations, fmt.Sprintf("%s reached servers %d times later than %v after it had crashed three; %d crashes in all", target, n, contactTime, count[target]))
		}
	}
	return violations
}
