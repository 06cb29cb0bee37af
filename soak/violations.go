package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pearyard/pearyard/standin/nursery"
)

const (
	// maxDrainDelay is how long after its drain began a server may still get new work. It
	// equals the VMs' setting drainTimeoutMs.
	maxDrainDelay = 2 * time.Second
	// In any window of retryWindow the servers of a service run at most retryRatio
	// times its requests plus retryExtra retries. The VMs' settings have the same values.
	retryWindow = 10 * time.Second
	retryRatio  = 0.8
	retryExtra  = 150
)

// Violations returns a description of each violation of a guarantee that callers' calls
// and the servers' runs show.
func Violations(calls []Call, runs []nursery.Run) []string {
	var violations []string
	ran := map[string][]nursery.Run{}
	for _, r := range runs {
		ran[r.Request] = append(ran[r.Request], r)
	}
	seen := map[string]bool{}
	for _, c := range calls {
		seen[c.ID] = true
		violations = append(violations, checkCall(c, ran[c.ID])...)
	}
	for id, list := range ran {
		if strings.HasPrefix(id, poisonIDPrefix) || strings.HasPrefix(id, probeIDPrefix) {
			continue // checked by crashViolations and copyViolations
		}
		if !seen[id] {
			violations = append(violations, fmt.Sprintf("a server ran request %q, target %s, which no caller sent", id, list[0].Target))
		}
		violations = append(violations, checkRuns(id, list)...)
	}
	return violations
}

// checkCall returns the violations that one call and its runs show. Idempotent requests
// (/any/) may be refused after a run.
func checkCall(c Call, runs []nursery.Run) []string {
	var violations []string
	add := func(format string, args ...any) {
		violations = append(violations, fmt.Sprintf("%s %s at %s: ", c.ID, c.Path, c.VM)+fmt.Sprintf(format, args...))
	}
	if c.Mismatch != "" {
		add("%s", c.Mismatch)
	}
	if c.Status == 200 && c.Complete && len(runs) == 0 {
		add("answered 200 but no server ran it")
	}
	if notRun(c.Status) && len(runs) > 0 && !strings.HasPrefix(c.Path, "/any/") {
		add("answered %d although a server ran it", c.Status)
	}
	if c.Status == 400 || c.Status == 401 || c.Status == 404 {
		add("answered %d although the request is valid", c.Status)
	}
	if c.Status == 200 && !c.Complete && !strings.HasPrefix(c.Path, "/stream/") {
		add("the answer is truncated")
	}
	return violations
}

// notRun reports whether a status says that no server has run the request.
func notRun(status int) bool { return status == 429 || status == 503 || status == 408 || status == 421 }

// checkRuns returns the violations that the runs of one request show.
func checkRuns(id string, runs []nursery.Run) []string {
	var violations []string
	for _, r := range runs {
		if !strings.HasSuffix(r.Target, id) {
			violations = append(violations, fmt.Sprintf("%s ran with target %s, which does not end in its id", id, r.Target))
		}
		if want := organisationOf(id); r.Organisation != want {
			violations = append(violations, fmt.Sprintf("%s ran for organisation %q, expected %q", id, r.Organisation, want))
		}
	}
	if len(runs) > 1 && strings.HasPrefix(runs[0].Target, "/once/") {
		violations = append(violations, fmt.Sprintf("%s ran %d times, at most once is allowed", id, len(runs)))
	}
	return violations
}

// LateArrivals returns the arrivals at a server more than maxDrainDelay after it began to drain.
func LateArrivals(arrivals []nursery.Run, server string, drainStart time.Time) []nursery.Run {
	var late []nursery.Run
	for _, a := range arrivals {
		if a.Server == server && a.At.After(drainStart.Add(maxDrainDelay)) {
			late = append(late, a)
		}
	}
	return late
}

// retryBudgetViolations describes the first window, of the streams and of the other
// requests, with more retries than the retry budget allows. Without the budget, the loss
// of many servers would overload the others.
func retryBudgetViolations(calls []Call, runs []nursery.Run) []string {
	retries := map[bool][]time.Time{} // by whether the request is a stream
	seen := map[string]bool{}
	for _, r := range runs {
		if seen[r.Request] {
			stream := strings.HasPrefix(r.Target, "/stream/")
			retries[stream] = append(retries[stream], r.At)
		}
		seen[r.Request] = true
	}
	var violations []string
	for stream, times := range retries {
		slices.SortFunc(times, time.Time.Compare)
		for i, at := range times {
			n, _ := slices.BinarySearchFunc(times, at.Add(retryWindow), time.Time.Compare)
			allowed := retryRatio*float64(countRequests(calls, stream, at)) + retryExtra
			if float64(n-i) > allowed {
				violations = append(violations, fmt.Sprintf("%d retries within %v, %.0f allowed (streams: %v)", n-i, retryWindow, allowed, stream))
				break
			}
		}
	}
	return violations
}

// countRequests counts the requests of the window that begins at from, or of the one
// before it if that has more: requests retried in a window may have been sent before it.
func countRequests(calls []Call, stream bool, from time.Time) int {
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
