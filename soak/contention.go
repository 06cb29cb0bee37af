package soak

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/standin/nursery"
)

// contendedPaths are the path prefixes of the stream routes of a contended site, the most
// urgent first.
var contendedPaths = []string{streamPath, "/stream/1/", "/stream/2/"}

// streamObjectives are the objectives of these routes: the most urgent callers are those that
// can wait least.
var streamObjectives = []time.Duration{inTime, inTime * 5 / 4, inTime * 5 / 2}

const (
	// The second organisation of a contended site comes after the first one. The ids of its
	// requests have a prefix of their own.
	secondOrganisation = "second"
	secondKey          = "second0"
	secondIDPrefix     = "second"

	maxBurst     = 4 // largest load in a burst, as a multiple of the usual callers
	burstStretch = 3 // a long burst lasts so many times as long as a short one

	disturbanceInterval = 20 * time.Millisecond // between two changes of a disturbed server
	maxDisturbance      = 400                   // percent, how long its work takes at most

	// Of leaverShare callers for a stream one leaves within maxPatience.
	leaverShare = 8
	maxPatience = 1500 * time.Millisecond
	// reconnectPause is the pause of a caller whose VM was down.
	reconnectPause = 200 * time.Millisecond

	// inTime is how soon a stream must begin; it is the objective of the most urgent route.
	inTime = time.Second
	// minCompared is the number of streams of either kind from which on kinds are compared.
	minCompared = 30
	// urgencyMargin is by how many standard errors the share of the more urgent streams that
	// are served in time may lie below that of the less urgent ones. What is promised is a
	// share at least as large; disruptions hit both kinds by chance. Four errors occur in one
	// of thirty thousand runs.
	urgencyMargin = 4
	// emptyQueuesTime is how soon after the last caller has left no queue may hold anybody.
	emptyQueuesTime = 2 * time.Second
)

// Limits of a contended site while disruptions go on. Model servers have memory for the
// prompts of four streams and for three whole streams, plain servers a place and a short
// queue.
var (
	contendedEngine = nursery.EngineLimits{MinPrefill: 50 * time.Millisecond, MaxPrefill: 400 * time.Millisecond, Memory: 4150, Queue: 4}
	contendedPlain  = nursery.EngineLimits{Places: 1, Queue: 2}
)

// ContentionPlan returns a plan of callers of different urgency that compete for servers with
// little memory and few places, in bursts, beside servers that are disturbed, hang or crash
// and restarts of VMs.
func ContentionPlan(size Size, seed uint64, length time.Duration) Plan {
	size.Contended, size.Engine, size.Plain = true, contendedEngine, contendedPlain
	disruptions := []Disruption{burstDisruption, burstDisruption, burstDisruption, disturbedDisruption, disturbedDisruption, hangDisruption}
	others := append(slices.Clone(vmRestarts), "VM paused", "VM cut from the store", "server crash", "server crashes and is back under its id", "server silent", "route added")
	return Plan{Size: size, Seed: seed, Disruptions: append(disruptions, disruptionsNamed(others)...), Length: length}
}

var burstDisruption = Disruption{Name: "burst", Kind: Planned, group: noGroup, run: func(s *Site, rng *rand.Rand, duration time.Duration) {
	if rng.IntN(2) == 0 {
		duration *= burstStretch
	}
	s.callers.generateLoadFor(duration, (1+rng.IntN(maxBurst-1))*callersPerVM*s.size.VMs)
}}

var disturbedDisruption = Disruption{Name: "servers' machines disturbed", Kind: Planned, group: noGroup, run: func(s *Site, rng *rand.Rand, duration time.Duration) {
	servers := s.someServers(rng, 2)
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(disturbanceInterval) {
		for _, server := range servers {
			server.Disturb(100 + rng.Int64N(maxDisturbance-100))
		}
	}
	for _, server := range servers {
		server.Disturb(0)
	}
}}

var hangDisruption = Disruption{Name: "plain server hangs", run: func(s *Site, rng *rand.Rand, duration time.Duration) {
	server := s.Servers[s.size.ModelServers+rng.IntN(s.size.PlainServers)]
	server.Hang(true)
	time.Sleep(duration)
	server.Hang(false)
}}

// contendedCall returns a call of a random organisation for a random route, a stream in three
// of five cases, and its key.
func (c *Callers) contendedCall() (call Call, key string) {
	call, key = Call{ID: fmt.Sprintf("r%06d", c.nextID.Add(1))}, "k0"
	if c.randIntN(2) == 0 {
		call.ID, key = secondIDPrefix+call.ID, secondKey
	}
	paths := slices.Concat(contendedPaths, []string{"/once/", "/any/"})
	i := c.randIntN(len(paths))
	call.Path = paths[i] + call.ID
	if i < len(contendedPaths) && c.randIntN(leaverShare) == 0 {
		call.patience = time.Duration(1 + c.randIntN(int(maxPatience)))
	}
	return call, key
}

// pauseAfter returns for how long a caller stays away after a call: as the response asks, at
// most a third of the time that the caller had.
func pauseAfter(c Call) time.Duration {
	if c.Status == 0 {
		return reconnectPause
	}
	return min(c.retryAfter(), callTimeout/3)
}

// retryAfter returns the Retry-After time of the response, 0 if it names none.
func (c *Call) retryAfter() time.Duration {
	seconds, err := strconv.ParseFloat(c.RetryAfter, 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// organisationOf returns the organisation of a request.
func organisationOf(id string) string {
	if strings.HasPrefix(id, secondIDPrefix) {
		return secondOrganisation
	}
	return "org"
}

// streamShare counts the streams of a kind, those of them that were served in time, and
// those that were served within the objective of their own route.
type streamShare struct{ sent, served, withinOwn int }

func (s streamShare) value() float64 { return float64(s.served) / float64(max(1, s.sent)) }

func (s streamShare) String() string {
	return fmt.Sprintf("%.2f (own objective %.2f) of %d", s.value(), streamShare{s.sent, s.withinOwn, 0}.value(), s.sent)
}

// urgencyShares are the shares of the most and the least urgent streams of a contended site,
// by route and by organisation.
type urgencyShares struct{ firstRoute, lastRoute, firstOrganisation, lastOrganisation streamShare }

// answeredByVM reports whether a call was answered, or was not for all the time that its
// caller had. All others met a VM that was down.
func (c *Call) answeredByVM() bool {
	return c.Status != 0 || errors.Is(c.Err, context.DeadlineExceeded)
}

// countByUrgency counts the streams that were sent before a time and met a running VM.
func countByUrgency(calls []Call, before time.Time) urgencyShares {
	var shares urgencyShares
	for _, c := range calls {
		if !strings.HasPrefix(c.Path, streamPath) || c.left() || !c.answeredByVM() || !c.Sent.Before(before) {
			continue
		}
		priority := routePriority(c.Path)
		route, organisation := []*streamShare{&shares.firstRoute, {}, &shares.lastRoute}[priority], &shares.firstOrganisation
		if organisationOf(c.ID) == secondOrganisation {
			organisation = &shares.lastOrganisation
		}
		for _, share := range []*streamShare{route, organisation} {
			share.add(c, streamObjectives[priority])
		}
	}
	return shares
}

func (u urgencyShares) String() string {
	return fmt.Sprintf("streams in time, first and last route: %v, %v; first and last organisation: %v, %v", u.firstRoute, u.lastRoute, u.firstOrganisation, u.lastOrganisation)
}

// routePriority returns the priority of the stream route of a path.
func routePriority(path string) int {
	for priority, prefix := range slices.Backward(contendedPaths) {
		if strings.HasPrefix(path, prefix) {
			return priority
		}
	}
	return 0
}

// add counts a call to a route with an objective.
func (s *streamShare) add(c Call, objective time.Duration) {
	s.sent++
	if c.Status != 200 || !c.Complete {
		return
	}
	if c.Begun.Sub(c.Sent) <= inTime {
		s.served++
	}
	if c.Begun.Sub(c.Sent) <= objective {
		s.withinOwn++
	}
}

// violations returns a violation for each kind that was served worse than a less urgent one.
func (u urgencyShares) violations() []string {
	var violations []string
	for _, pair := range [][2]streamShare{{u.firstRoute, u.lastRoute}, {u.firstOrganisation, u.lastOrganisation}} {
		first, last := pair[0], pair[1]
		if min(first.sent, last.sent) < minCompared {
			continue
		}
		all := streamShare{first.sent + last.sent, first.served + last.served, 0}.value()
		standardError := math.Sqrt(all * (1 - all) * (1/float64(first.sent) + 1/float64(last.sent)))
		if first.value() < last.value()-urgencyMargin*standardError {
			violations = append(violations, fmt.Sprintf("more urgent streams were served worse: %v in time, %v of the less urgent ones", first, last))
		}
	}
	return violations
}

// refusalViolations describes refusals that don't say when to come back.
func refusalViolations(calls []Call) []string {
	var violations []string
	for _, c := range calls {
		if c.Status != http.StatusServiceUnavailable && c.Status != http.StatusTooManyRequests {
			continue
		}
		if c.retryAfter() <= 0 {
			violations = append(violations, fmt.Sprintf("%s %s at %s: refused with %d and Retry-After %q", c.ID, c.Path, c.VM, c.Status, c.RetryAfter))
		}
	}
	return violations
}

// queueGauge matches gauges of requests that wait at an entry VM.
var queueGauge = regexp.MustCompile(`(?m)^# TYPE (pearyard_\w*(?:waiting|queue|in_flight|in_progress)\w*) gauge$`)

// queueViolations describes the queues of VMs that hold requests although all callers have
// left.
func (s *Site) queueViolations() []string {
	var violations []string
	for end := time.Now().Add(emptyQueuesTime); ; time.Sleep(readyPollInterval) {
		violations = nil
		for _, vm := range s.VMs {
			violations = append(violations, heldBy(vm.Name, vm.metrics())...)
		}
		if len(violations) == 0 || time.Now().After(end) {
			return violations
		}
	}
}

// heldBy describes the gauges of waiting requests that aren't 0.
func heldBy(vm, metrics string) []string {
	var held []string
	for _, gauge := range queueGauge.FindAllStringSubmatch(metrics, -1) {
		for line := range strings.Lines(metrics) {
			name, value, _ := strings.Cut(strings.TrimSpace(line), " ")
			family, _, _ := strings.Cut(name, "{")
			if family == gauge[1] && value != "0" {
				held = append(held, fmt.Sprintf("%s: %s is %s without callers", vm, name, value))
			}
		}
	}
	return held
}

// patienceOr returns how long a caller waits at most.
func (c *Call) patienceOr(d time.Duration) time.Duration { return cmp.Or(c.patience, d) }
