package directory

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

const (
	// hangFactor is how many times as long as usual a call takes before it counts against its
	// server. A disturbed machine takes up to four times as long, and some calls have half as
	// much more work than usual.
	hangFactor = 6
	// usualShare of the objective is what a call is taken to need until that is measured.
	usualShare = 0.2
	// hangingCalls is how many calls of all VMs without an answer show that a server hangs.
	hangingCalls = 4
	// overdueConfirmation is how long a call must still be without its answer after it has
	// become overdue: a process that was frozen finds its timers ended before it reads the
	// answers that have come meanwhile.
	overdueConfirmation = 20 * time.Millisecond
	// goodTrialWait is within which time a good answer of a server that hung is followed by more
	// trials.
	goodTrialWait = 250 * time.Millisecond
	// trustedAnswers is how many good answers in a row make a server that hung count as usable.
	trustedAnswers = 5
	// minShutOut is the shortest time for which a server counts as hanging. By then the peers
	// have forgotten the good answers from before.
	minShutOut = 200 * time.Millisecond
	// hangTrialInterval is the least time between two trials of a server that hangs. Each VM adds
	// a random part of hangTrialSpread, so that the others see the trial of the first one before
	// their turn.
	hangTrialInterval = time.Second
	hangTrialSpread   = 2 * time.Second
	// costlyTrialFactor is how many times as long a server is left alone until a call that can't
	// be repeated is used for the trial.
	costlyTrialFactor = 4
	// usualTimeGain is the weight of a new measurement of a call's time, and usualTimeClip the
	// most that it counts for, as a multiple of the usual time.
	usualTimeGain = 0.1
	usualTimeClip = 3
)

// hangingState is whether a server answers its plain calls, and what that is known from.
type hangingState struct {
	since        atomic.Int64 // Unix nanoseconds since which it counts as hanging; 0: it doesn't
	trialAt      atomic.Int64 // Unix nanoseconds of the next trial
	slow         atomic.Int64 // calls of this process that take longer than usual
	overdue      atomic.Int64 // calls of this process without an answer within the limit
	good         atomic.Int64 // good answers in a row to this process since it was found to hang
	knownGood    atomic.Int64 // good answers in a row to all processes when that was last looked at
	answeredAt   atomic.Int64 // Unix nanoseconds of its newest good answer to any process
	trustedAt    atomic.Int64 // Unix nanoseconds since which it no longer counts as hanging; 0: it never did
	peersOverdue atomic.Int64
	peersGood    atomic.Int64
}

// recordAnswerAt records the time of a good answer.
func (h *hangingState) recordAnswerAt(at time.Time) {
	for {
		known := h.answeredAt.Load()
		if at.UnixNano() <= known || h.answeredAt.CompareAndSwap(known, at.UnixNano()) {
			return
		}
	}
}

// responsiveness is what is known of a server's answers to plain calls.
type responsiveness struct {
	overdue     int           // calls of all processes without an answer for longer than limit
	sinceAnswer time.Duration // since its newest good answer to any process
	limit       time.Duration // within which a healthy server answers
	hangs       bool          // it counts as hanging
	hangsFor    time.Duration
	good        int // good answers in a row since then
}

// hangsNow reports whether the server counts as hanging from now on.
//
// It answers a server of three that accepts calls and answers none, and must not answer one
// that takes four times as long as usual: such a server has answered some of its calls within
// the time in which others became overdue. A server is trusted again only after several good
// answers in a row, since one that hangs for a part of its calls answers the others.
func (r responsiveness) hangsNow() bool {
	if r.hangs {
		return r.hangsFor < minShutOut || r.good < trustedAnswers
	}
	return r.limit > 0 && r.overdue >= hangingCalls && r.sinceAnswer >= r.limit
}

// hangLimit returns within which time a healthy server answers a call.
func hangLimit(usual, objective time.Duration) time.Duration {
	if usual == 0 {
		usual = time.Duration(usualShare * float64(objective))
	}
	return max(objective, hangFactor*usual)
}

// Hangs reports whether the server counts as one that accepts calls and doesn't answer.
func (s *Server) Hangs() bool { return s.hanging.since.Load() != 0 }

// OnHanging sets a function that is called when a server begins or ceases to count as hanging.
// It must be set before the first call.
func (d *Directory) OnHanging(f func(s *Server, hangs bool, overdue int, sinceAnswer time.Duration)) {
	d.places.onHang = f
}

// HangingServers returns the number of servers that have been found to hang and not to answer
// again, as long as they are known.
func (d *Directory) HangingServers() int {
	n := 0
	view := d.view.Load()
	d.places.services.Range(func(name, _ any) bool {
		for _, s := range view.Service(name.(string)) {
			if s.Hangs() {
				n++
			}
		}
		return true
	})
	return n
}

// judgeHanging finds out whether a server of a service hangs.
func (d *Directory) judgeHanging(p *placeService, s *Server, now time.Time) {
	h := &s.hanging
	since := h.since.Load()
	r := responsiveness{
		overdue: int(h.overdue.Load() + h.peersOverdue.Load()), sinceAnswer: now.Sub(time.Unix(0, h.answeredAt.Load())),
		limit: time.Duration(p.limit.Load()), hangs: since != 0, hangsFor: now.Sub(time.Unix(0, since)), good: int(h.good.Load() + h.peersGood.Load()),
	}
	h.scheduleTrial(r, s.peerCalls.Load() > h.peersOverdue.Load(), now)
	switch hangs := r.hangsNow(); {
	case hangs == r.hangs:
		return
	case hangs:
		if !h.since.CompareAndSwap(0, now.UnixNano()) {
			return
		}
		h.good.Store(0)
		h.postponeTrial(now)
	default:
		if !h.since.CompareAndSwap(since, 0) {
			return
		}
		h.trustedAt.Store(now.UnixNano())
	}
	d.places.onHang(s, !r.hangs, r.overdue, r.sinceAnswer)
	d.places.notify()
}

// scheduleTrial postpones the next trial while a peer tries the server, and has it follow soon
// after a good answer.
func (h *hangingState) scheduleTrial(r responsiveness, peerTries bool, now time.Time) {
	known := h.knownGood.Swap(int64(r.good))
	switch {
	case !r.hangs:
	case int64(r.good) > known:
		h.trialAt.Store(now.Add(rand.N(goodTrialWait)).UnixNano())
	case peerTries && r.good == 0:
		h.postponeTrial(now)
	}
}

// goodAnswers returns the good answers in a row that are reported to the peers, until they
// have had time to trust the server as well.
func (h *hangingState) goodAnswers(now time.Time) int {
	if h.since.Load() == 0 && now.UnixNano()-h.trustedAt.Load() > int64(placesTTL) {
		return 0
	}
	return int(h.good.Load())
}

// postponeTrial sets the time of the next trial.
func (h *hangingState) postponeTrial(now time.Time) {
	h.trialAt.Store(nextTrial(now))
}

func nextTrial(now time.Time) int64 {
	return now.Add(hangTrialInterval + rand.N(hangTrialSpread)).UnixNano()
}

// takeTrial reports whether a call may be sent to the server that hangs, and postpones the
// next trial if so. A call that can't be repeated is used only if no other has come for long.
func (h *hangingState) takeTrial(now time.Time, repeatable bool) bool {
	at := h.trialAt.Load()
	due := at
	if !repeatable {
		due += int64((costlyTrialFactor - 1) * hangTrialInterval)
	}
	return now.UnixNano() >= due && h.trialAt.CompareAndSwap(at, nextTrial(now))
}

// sharePlaces prepares a query for a plain call of a service whose places are shared. It
// excludes servers that hang while another server may be used. It returns a server that is to
// be tried again, if there is one.
func (d *Directory) sharePlaces(q *Query, list []*Server, now time.Time) *Server {
	d.refreshPlaces(now)
	q.sharesPlaces = true
	usable, hanging := false, []*Server(nil)
	for _, s := range list {
		switch {
		case !s.takesCalls(*q, now):
		case s.Hangs():
			hanging = append(hanging, s)
		default:
			usable = true
		}
	}
	if !usable || len(hanging) == 0 {
		return nil
	}
	for _, s := range hanging {
		if s.hanging.takeTrial(now, q.Repeatable) {
			return s
		}
	}
	admits := q.Admits
	q.Admits = func(s *Server) bool { return !s.Hangs() && (admits == nil || admits(s)) }
	return nil
}
