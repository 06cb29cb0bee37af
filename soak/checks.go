package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pearyard/pearyard/standin/nursery"
)

const (
	// leaveWithin is when a leaving server must get no new work any more.
	leaveWithin = 2 * time.Second
	// In any span of retryWindow the servers of a service run no more repeats
	// than retryRatio of its requests plus retryExtra.
	retryWindow = 10 * time.Second
	retryRatio  = 0.8
	retryExtra  = 150
)

// Broken returns each promise that was broken, in words.
func Broken(calls []Call, runs []nursery.Run) []string {
	var broken []string
	ran := map[string][]nursery.Run{}
	for _, r := range runs {
		ran[r.Request] = append(ran[r.Request], r)
	}
	seen := map[string]bool{}
	for _, c := range calls {
		seen[c.ID] = true
		broken = append(broken, checkCall(c, ran[c.ID])...)
	}
	for id, list := range ran {
		if !seen[id] {
			broken = append(broken, fmt.Sprintf("a server ran a request that nobody sent: %q, target %s", id, list[0].Target))
		}
		broken = append(broken, checkRuns(id, list)...)
	}
	return broken
}

func checkCall(c Call, runs []nursery.Run) []string {
	var broken []string
	say := func(format string, args ...any) {
		broken = append(broken, fmt.Sprintf("%s %s at %s: ", c.ID, c.Path, c.VM)+fmt.Sprintf(format, args...))
	}
	if c.Wrong != "" {
		say("%s", c.Wrong)
	}
	if c.Status == 200 && c.Whole && len(runs) == 0 {
		say("answered without a run")
	}
	if notRun(c.Status) && len(runs) > 0 && !strings.HasPrefix(c.Path, "/any/") {
		say("answered %d though it has run", c.Status)
	}
	if c.Status == 400 || c.Status == 401 || c.Status == 404 {
		say("answered %d though it is allowed", c.Status)
	}
	if c.Status == 200 && !c.Whole && !strings.HasPrefix(c.Path, "/stream/") {
		say("the answer is cut")
	}
	return broken
}

func notRun(status int) bool { return status == 429 || status == 503 || status == 408 || status == 421 }

func checkRuns(id string, runs []nursery.Run) []string {
	var broken []string
	for _, r := range runs {
		if !strings.HasSuffix(r.Target, id) {
			broken = append(broken, fmt.Sprintf("%s ran with target %s", id, r.Target))
		}
		if r.Organisation != "org" {
			broken = append(broken, fmt.Sprintf("%s ran for organisation %q", id, r.Organisation))
		}
	}
	if len(runs) > 1 && strings.HasPrefix(runs[0].Target, "/once/") {
		broken = append(broken, fmt.Sprintf("%s ran %d times, at most once allowed", id, len(runs)))
	}
	return broken
}

// Late returns arrivals at a server later than allowed after it said that it leaves.
func Late(arrivals []nursery.Run, server string, left time.Time) []nursery.Run {
	var late []nursery.Run
	for _, a := range arrivals {
		if a.Server == server && a.At.After(left.Add(leaveWithin)) {
			late = append(late, a)
		}
	}
	return late
}

// overBudget tells of spans in which more was run again than the retry budget
// allows: a loss of many servers would overload the others.
func overBudget(calls []Call, runs []nursery.Run) []string {
	again := map[bool][]time.Time{} // by whether they are streams
	seen := map[string]bool{}
	for _, r := range runs {
		if seen[r.Request] {
			stream := strings.HasPrefix(r.Target, "/stream/")
			again[stream] = append(again[stream], r.At)
		}
		seen[r.Request] = true
	}
	var broken []string
	for stream, times := range again {
		slices.SortFunc(times, time.Time.Compare)
		for i, at := range times {
			n, _ := slices.BinarySearchFunc(times, at.Add(retryWindow), time.Time.Compare)
			allowed := retryRatio*float64(firstTries(calls, stream, at)) + retryExtra
			if float64(n-i) > allowed {
				broken = append(broken, fmt.Sprintf("%d runs again within %v, %.0f allowed (streams: %v)", n-i, retryWindow, allowed, stream))
				break
			}
		}
	}
	return broken
}

// firstTries counts the requests in the span from a time on, or in the one
// before if that had more: what is run again may have been sent there.
func firstTries(calls []Call, stream bool, from time.Time) int {
	within, before := 0, 0
	for _, c := range calls {
		if strings.HasPrefix(c.Path, "/stream/") != stream {
			continue
		}
		switch after := c.Sent.Sub(from); {
		case after >= 0 && after < retryWindow:
			within++
		case after < 0 && after >= -retryWindow:
			before++
		}
	}
	return max(within, before)
}
