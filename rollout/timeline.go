package rollout

import "time"

// windowFraction is the part of a roll-out's duration that one window covers. Within a
// window the versions' shares of the requests hardly change.
const windowFraction = 0.25

// Timeline divides what all processes have observed of a roll-out into windows.
//
// The version on trial gets a larger share of the requests late than early. Compared over
// the whole time, a burst before the end would be found more often among its answers than
// among those of the established versions.
type Timeline struct {
	windows []Evidence // ended ones
	before  Evidence   // counts at the end of the last of them
	phase   Phase
	begun   time.Time // of the current window; zero: none has begun
	trends  Trends
}

// History is what a version is judged by.
type History struct {
	Windows []Evidence
	Trends  *Trends
}

// Observe takes the cumulative counts and returns those of each window, and their trends. A new
// window begins after a part of the duration and with a new phase.
func (t *Timeline) Observe(counts Evidence, p Phase, duration time.Duration, now time.Time) History {
	t.trends.observe(counts, now)
	if t.begun.IsZero() {
		t.phase, t.begun = p, now
	}
	current := counts.since(t.before)
	if p != t.phase || now.Sub(t.begun) >= time.Duration(windowFraction*float64(duration)) {
		t.windows = append(t.windows, current.withoutPending())
		t.before = counts
		t.phase, t.begun = p, now
		current = counts.since(t.before)
	}
	return History{Windows: append(t.windows[:len(t.windows):len(t.windows)], current), Trends: &t.trends}
}

// since returns what was counted after an earlier state. Pending attempts belong to the
// later one.
func (e Evidence) since(earlier Evidence) Evidence {
	difference := Evidence{}
	difference.Merge(e)
	for route, c := range earlier {
		if difference[route] != nil {
			difference[route].subtract(c)
		}
	}
	return difference
}

func (e Evidence) withoutPending() Evidence {
	for _, c := range e {
		c.Established.Pending, c.New.Pending = Histogram{}, Histogram{}
	}
	return e
}

func (c *Comparison) subtract(earlier *Comparison) {
	c.Established.subtract(&earlier.Established)
	c.New.subtract(&earlier.New)
}

func (s *Sample) subtract(earlier *Sample) {
	s.Ended = subtract(s.Ended, earlier.Ended)
	s.Failed = subtract(s.Failed, earlier.Failed)
	s.First.subtract(&earlier.First)
	s.Pace.subtract(&earlier.Pace)
}

func (h *Histogram) subtract(earlier *Histogram) {
	for i, n := range earlier {
		h[i] = subtract(h[i], n)
	}
}

// subtract returns the difference of two counts, at least zero: counts that come from other
// processes may be wrong.
func subtract(count, earlier uint32) uint32 { return count - min(count, earlier) }
