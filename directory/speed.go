package directory

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// speedShare is the weight of a new measure of a server's speed: a server that
	// turns slow or fast is known as such after three prompts.
	speedShare = 0.3
	// unreadFactor is how much longer than it waited a prompt is taken to need that
	// was not read when its stream ended. The wait alone would always look as if
	// the next one might just be in time.
	unreadFactor = 1.5
	// dutySpan is the time over which the share spent with reading is taken. It is
	// about what a stream lasts at a busy server: shorter, the estimate of one
	// would follow single prompts; much longer, a burst would tell too late.
	dutySpan = 10 * time.Second
	// medianFor is how long the median speed of a service is used before it is
	// taken anew: it costs a pass over all servers.
	medianFor = 250 * time.Millisecond
	// speedTrust is how long an idle server's measure holds without a new one, and
	// how often one that is held too slow gets a prompt on trial. Each trial may
	// make a stream late; a shorter time would risk more of them while servers are
	// slow, a longer one leaves servers idle that have recovered.
	speedTrust = 10 * time.Second
)

// reading measures how fast a server reads prompts and what share of its time
// goes into that, from what this process sees and others tell of their prompts.
type reading struct {
	mu       sync.Mutex
	token    float64 // seconds a prompt token; 0: not measured
	busy     bool    // prompts are unread
	duty     float64 // share of the time with unread prompts, as of changed
	changed  time.Time
	provenAt time.Time // of the newest measure, or of the newest trial
}

// measured notes that tokens were read within d. The mean is of times, not of
// speeds: a prompt whose parts the server still kept takes no time at all, and a
// single one would make the server seem ten times as fast for many prompts.
func (r *reading) measured(tokens int64, d time.Duration) {
	if tokens <= 0 || d <= 0 {
		return
	}
	token := d.Seconds() / float64(tokens)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.provenAt = time.Now()
	if r.token == 0 {
		r.token = token
		return
	}
	r.token += speedShare * (token - r.token)
}

// notMeasured notes that tokens were not read within d. It says something only
// if they should have been: streams end early for many reasons.
func (r *reading) notMeasured(tokens int64, d time.Duration) {
	if tokens <= 0 {
		return
	}
	atLeast := time.Duration(unreadFactor * float64(d))
	r.mu.Lock()
	news := atLeast.Seconds()/float64(tokens) > r.token
	r.mu.Unlock()
	if news {
		r.measured(tokens, atLeast)
	}
}

// unread notes whether prompts are unread from now on.
func (r *reading) unread(busy bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy == busy {
		return
	}
	r.duty = r.dutyLocked(now)
	r.busy, r.changed = busy, now
}

func (r *reading) dutyLocked(now time.Time) float64 {
	kept := math.Exp(-float64(now.Sub(r.changed)) / float64(dutySpan))
	target := 0.0
	if r.busy {
		target = 1
	}
	return target + (r.duty-target)*kept
}

// Unread returns the prompt tokens that are ahead of a new prompt there.
func (s *Server) Unread() int64 {
	return max(0, s.prefill.Load()) + max(0, s.otherPrefill.Load())
}

// noteUnread brings the share of time spent with reading up to date.
func (s *Server) noteUnread() { s.reading.unread(s.Unread() > 0, time.Now()) }

// Duty returns which share of its time the server has lately spent with reading
// prompts, from 0 to 1.
func (s *Server) Duty(now time.Time) float64 {
	s.reading.mu.Lock()
	defer s.reading.mu.Unlock()
	return s.reading.dutyLocked(now)
}

func (s *Server) ownSpeed() float64 {
	s.reading.mu.Lock()
	defer s.reading.mu.Unlock()
	if s.reading.token == 0 {
		return 0
	}
	return 1 / s.reading.token
}

// MayProve takes the right to send a prompt on trial to a server that is held too
// slow for it.
//
// Measures come from a server's own answers alone: without a trial one that has recovered
// would stay idle.
func (s *Server) MayProve(now time.Time) bool {
	if s.Unread() > 0 {
		return false
	}
	s.reading.mu.Lock()
	defer s.reading.mu.Unlock()
	if now.Sub(s.reading.provenAt) < speedTrust {
		return false
	}
	s.reading.provenAt = now
	return true
}

// ReadSpeed returns how many prompt tokens a server reads a second: as measured there
// by any process, or else by this one behind other prompts, or else the median of its
// service's measured servers, 0 without any.
func (d *Directory) ReadSpeed(s *Server, now time.Time) float64 {
	if token := s.times.typical(now); token > 0 {
		return 1 / token.Seconds()
	}
	if speed := s.ownSpeed(); speed > 0 {
		return speed
	}
	return d.medianSpeed(s.Service, now)
}

// speedAt is a median as of at.
type speedAt struct {
	speed float64
	at    time.Time
}

func (d *Directory) medianSpeed(service string, now time.Time) float64 {
	if m, ok := d.medians.Load(service); ok && now.Sub(m.(speedAt).at) < medianFor {
		return m.(speedAt).speed
	}
	var speeds []float64
	for _, s := range d.view.Load().Service(service) {
		if speed := s.ownSpeed(); speed > 0 {
			speeds = append(speeds, speed)
		}
	}
	m := speedAt{at: now}
	if len(speeds) > 0 {
		slices.Sort(speeds)
		m.speed = speeds[len(speeds)/2]
	}
	d.medians.Store(service, m)
	return m.speed
}

// Soonest returns the sound server of this process's cell for which end is
// least, nil without one. Servers of other cells are left out: nobody tells of
// their load, and all processes would take them for idle.
func (d *Directory) Soonest(service string, avoid map[Start]bool, now time.Time, end func(*Server) time.Duration) *Server {
	list := d.view.Load().Service(service)
	zones := lossesOf(list, now)
	var found *Server
	var least time.Duration
	for _, s := range d.ownCell(list) {
		if avoid[s.Start] || s.Draining() || s.IsDown(now) || zones.doubted(s) || s.Faults(now) > maxFaults {
			continue
		}
		if t := end(s); found == nil || t < least {
			found, least = s, t
		}
	}
	return found
}
