package suspect

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pearyard/pearyard/types"
)

// accusationWindow is how long the deaths of an accused request may excuse other requests, and
// how long a run that completed or made progress speaks for a request. An engine that dies later
// has died of something else.
const accusationWindow = 10 * time.Second

// Accusations is what the deaths of the last accusationWindow say of requests if none of them is
// excused. A request is accused if it would be quarantined then. Accusations are immutable.
//
// An excuse is worth nothing if the accused can cause it, as requests do that crash so many
// engines of a zone that the zone looks lost. So accused requests run one copy at a time,
// and if that copy's engine dies, only engines on which no accused request ran can show that
// something else caused it. For the request itself that lasts as long as its deaths are known
// (Ledger.Accused): it may come back at any time.
type Accusations struct {
	accused map[types.Fingerprint][]string // the deaths of each accused request
	ran     map[string]int                 // by death: how many accused requests ran on the engine
}

// Accused reports whether a request is accused by any deaths of the ledger's window, so that it
// runs one copy at a time, on trial. It takes no lock.
func (l *Ledger) Accused(fp types.Fingerprint) bool {
	v, ok := (*l.views.Load())[fp]
	if !ok {
		return false
	}
	now := l.opts.Now()
	return v.accused.After(now) && !l.completions.since(fp, now.Add(-accusationWindow))
}

// accusedUntil returns until when a request with these deaths is accused; zero if it isn't.
func (r *record) accusedUntil(limit int, window time.Duration) time.Time {
	if len(r.deaths) < limit {
		return time.Time{}
	}
	var times []time.Time
	for _, d := range r.deaths {
		if !d.Cleared {
			times = append(times, d.At)
		}
	}
	if len(times) < limit {
		return time.Time{}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times[len(times)-limit].Add(window)
}

// Accused reports whether a request is accused by recent deaths.
func (a *Accusations) Accused(fp types.Fingerprint) bool {
	_, ok := a.accused[fp]
	return ok
}

// Involved reports whether an accused request ran on an engine when it died.
func (a *Accusations) Involved(death string) bool { return a.ran[death] > 0 }

// AlwaysBesideOthers reports whether this request is accused and another accused one ran on
// each engine that died under it: any of them may have crashed these engines.
func (a *Accusations) AlwaysBesideOthers(fp types.Fingerprint) bool {
	for _, death := range a.accused[fp] {
		if a.ran[death] < 2 {
			return false
		}
	}
	return a.Accused(fp)
}

// Accusations returns what the deaths of the last accusationWindow say. Requests that ran
// to completion or made progress within that time are not accused.
func (l *Ledger) Accusations() *Accusations {
	now := l.opts.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	out := &Accusations{accused: map[types.Fingerprint][]string{}, ran: map[string]int{}}
	for fp, r := range l.records {
		if len(r.deaths) < l.policy.limit || l.completions.since(fp, now.Add(-accusationWindow)) {
			continue
		}
		out.add(fp, r, now, l.policy.limit)
	}
	return out
}

// add adds a request if its deaths reach the limit.
func (a *Accusations) add(fp types.Fingerprint, r *record, now time.Time, limit int) {
	var recent []string
	for id, d := range r.deaths {
		if !d.Cleared && now.Sub(d.At) <= accusationWindow {
			recent = append(recent, id)
		}
	}
	if len(recent) < limit {
		return
	}
	deaths := map[string]bool{}
	for _, id := range recent {
		deaths[strings.TrimSuffix(id, unprovenSuffix)] = true
	}
	a.accused[fp] = slices.Collect(maps.Keys(deaths))
	for death := range deaths {
		a.ran[death]++
	}
}

// RecentDeaths returns the engines that died under a request in the last accusationWindow.
func (l *Ledger) RecentDeaths(fp types.Fingerprint) map[string]bool {
	oldest := l.opts.Now().Add(-accusationWindow)
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]bool{}
	if r := l.records[fp]; r != nil {
		for id, d := range r.deaths {
			if d.At.After(oldest) {
				out[strings.TrimSuffix(id, unprovenSuffix)] = true
			}
		}
	}
	return out
}
