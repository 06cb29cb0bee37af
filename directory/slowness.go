package directory

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// readTimesKept is of how many prompts a server's time is the median. A part that is
	// cached makes one of them too short, a prompt of another process one too long.
	readTimesKept = 5
	// readTimeLife is how long a measure counts. A server without any is taken for an
	// ordinary one: one that has recovered gets prompts again.
	readTimeLife = 30 * time.Second
	// keptShare of what its server or the median one usually takes is too short for a
	// prompt to have been read: the server kept it, unknown to this process. One that
	// really reads so fast counts as an ordinary server.
	keptShare = 0.5
	// untoldKept bounds the measures that wait to be told: more go into no datagram.
	untoldKept = 160
	// leastMeasured is the shortest prompt whose time says how fast a server reads; that
	// of a shorter one goes into other things.
	leastMeasured = 1000 // prompt tokens
	// slownessFor is how long servers are compared by the same measures: a comparison
	// costs a pass over all of them.
	slownessFor = 250 * time.Millisecond
)

// ReadTime is how long one server has taken for a prompt that found nothing ahead of it.
type ReadTime struct {
	Server uint32        // hash of its start
	Token  time.Duration // a prompt token
}

// readTimes are the newest measures of one server, by whichever process.
type readTimes struct {
	mu    sync.Mutex
	list  [readTimesKept]measuredAt
	next  int
	least time.Duration // what the median server makes too short
}

type measuredAt struct {
	token time.Duration
	at    time.Time
}

// add reports whether the measure counts.
func (r *readTimes) add(token time.Duration, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if token <= max(r.least, tooShort(r.typicalLocked(now))) {
		return false
	}
	r.list[r.next] = measuredAt{token, now}
	r.next = (r.next + 1) % readTimesKept
	return true
}

// tooShort returns the longest time of a prompt token that tells of a kept prompt.
func tooShort(usual time.Duration) time.Duration { return time.Duration(keptShare * float64(usual)) }

func (r *readTimes) setLeast(least time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.least = least
}

// typical returns the median time of a prompt token, the lesser one of two; 0 without a measure.
func (r *readTimes) typical(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.typicalLocked(now)
}

func (r *readTimes) typicalLocked(now time.Time) time.Duration {
	var live []time.Duration
	for _, m := range r.list {
		if m.token > 0 && now.Sub(m.at) < readTimeLife {
			live = append(live, m.token)
		}
	}
	return median(live)
}

// median returns the lesser one of two in the middle, 0 of none.
func median(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[(len(times)-1)/2]
}

// timesOf returns the measures of the server at an address. They outlive its starts,
// which are of the same machine.
func (d *Directory) timesOf(address string) *readTimes {
	times := d.readTimes[address]
	if times == nil {
		times = &readTimes{}
		d.readTimes[address] = times
	}
	return times
}

// forgetTimes drops the measures of addresses that nothing is known of any more.
func (d *Directory) forgetTimes(next *View, now time.Time) {
	if len(d.readTimes) <= 2*next.Len() {
		return
	}
	known := make(map[string]bool, next.Len())
	for _, s := range next.byID {
		known[s.Address] = true
	}
	for address, times := range d.readTimes {
		if !known[address] && times.typical(now) == 0 {
			delete(d.readTimes, address)
		}
	}
}

// readIn notes how long a prompt took that found nothing ahead of it.
func (s *Server) readIn(tokens int64, took time.Duration) {
	if tokens < leastMeasured || took <= 0 {
		return
	}
	token := took / time.Duration(tokens)
	if s.times.add(token, time.Now()) && s.measured != nil {
		s.measured(ReadTime{Server: s.hash, Token: token})
	}
}

func (d *Directory) measuredHere(t ReadTime) {
	d.untoldMu.Lock()
	defer d.untoldMu.Unlock()
	if len(d.untold) < untoldKept {
		d.untold = append(d.untold, t)
	}
}

// UntoldReadTimes returns what this process has measured since the last call.
func (d *Directory) UntoldReadTimes() []ReadTime {
	d.untoldMu.Lock()
	defer d.untoldMu.Unlock()
	out := d.untold
	d.untold = nil
	return out
}

// MeasuredElsewhere notes what another process has measured. A start that is not known
// here is none of those that are: the word is dropped.
func (d *Directory) MeasuredElsewhere(t ReadTime, now time.Time) {
	s := d.view.Load().byHash[t.Server]
	if s == nil {
		d.dropped.Add(1)
		return
	}
	s.times.add(t.Token, now)
}

// compareSpeeds notes for each server of a service how slow it is beside the others.
func (d *Directory) compareSpeeds(service string, list []*Server, now time.Time) {
	if last, ok := d.comparedAt.Load(service); ok && now.Sub(last.(time.Time)) < slownessFor {
		return
	}
	d.comparedAt.Store(service, now)
	typical := make([]time.Duration, len(list))
	var measured []time.Duration
	for i, s := range list {
		typical[i] = s.times.typical(now)
		if typical[i] > 0 {
			measured = append(measured, typical[i])
		}
	}
	middle := median(measured)
	for i, s := range list {
		s.setSlowness(typical[i], middle)
		s.times.setLeast(tooShort(middle))
	}
}

func (s *Server) setSlowness(typical, middle time.Duration) {
	slowness := 1.0
	if typical > 0 {
		slowness = float64(typical) / float64(middle)
	}
	s.slowness.Store(math.Float64bits(slowness))
}

// Slowness returns by which factor the server takes longer than the median one of its
// service; 1 for one that is not measured.
func (s *Server) Slowness() float64 {
	bits := s.slowness.Load()
	if bits == 0 {
		return 1
	}
	return math.Float64frombits(bits)
}
