package exchange

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
)

const (
	// placeCheckInterval is how often waiting calls look for places that the servers' other
	// users have left. It is about the time until VMs know of each other's calls: a shorter one
	// would send several calls to the same place.
	placeCheckInterval = 20 * time.Millisecond
	// maxWaitingCalls bounds the calls of a service that wait here; beyond it they are refused
	// at once.
	maxWaitingCalls = 256
	// lateRounds is how many calls may be ahead of a late one at its server, as a multiple of
	// the server's places: it must not make the calls behind it late as well.
	lateRounds = 2.0
	// lateYield is the part of its objective for which the calls that wait at other VMs may need
	// the places if a late call goes before them: with more, they would be late as well.
	lateYield = 1.0 / 3
)

var (
	// ErrPlacesTaken is returned when all places of the service's backend servers are taken and
	// none became free in time.
	ErrPlacesTaken = errors.New("exchange: all places of the backend servers are taken")
	// errWaitEnded is returned when the request ended while the call waited for a place.
	errWaitEnded = errors.New("exchange: the request ended while it waited for a place")
	// ErrStopWaiting is returned when the call waited for a place as this process began to stop.
	ErrStopWaiting = errors.New("exchange: all places of the backend servers are taken and this process stops")
)

// placeDemand is what is known of the places of a service when its waiting calls are looked at.
type placeDemand struct {
	free         int // calls that the servers can be sent
	released     int // places that calls of this process have left since the last look
	waiting      int // calls that wait here
	peersWaiting int // calls that wait at other processes
}

// going returns how many of the waiting calls go now.
//
// It answers thirty VMs and a server that has just become free: each sees the same place, and
// on average as many calls go as there are places. A place that a call of this process has left
// goes to the next one here, since the others don't know of it yet.
func (d placeDemand) going(random func() float64) int {
	n := min(d.waiting, d.free, d.released)
	others := d.free - n
	if others <= 0 || n == d.waiting {
		return n
	}
	share := float64(others) / float64(d.waiting-n+d.peersWaiting)
	for range d.waiting - n {
		if random() < share {
			n++
		}
	}
	return min(n, d.free)
}

// lateCall is what is known of a call that has waited for as long as its objective allows.
type lateCall struct {
	places    directory.Places
	inTime    int           // calls that wait here and may still be answered in time
	left      time.Duration // until its deadline
	objective time.Duration // of its route
}

// maySend reports whether the call is sent although it will be late: its server's queue serves
// it before its deadline, and it delays no call that may still be in time.
//
// It answers servers whose places are all taken for longer than the objective. If late calls
// went first whenever there are more calls than places, all of them would be late.
func (l lateCall) maySend() bool {
	if l.places.AheadPlaces == 0 || l.inTime > 0 {
		return false
	}
	peersWait := float64(l.places.PeersWaiting) / float64(l.places.Total) * float64(l.places.UsualTime)
	if peersWait > lateYield*float64(l.objective) {
		return false
	}
	rounds := float64(l.places.Ahead-l.places.AheadPlaces+1) / float64(l.places.AheadPlaces)
	if rounds > lateRounds {
		return false
	}
	return time.Duration((1+max(0, rounds))*float64(l.places.UsualTime)) < l.left
}

// latestStart returns until when a call may wait for a place: one that starts then is usually
// answered within its objective, and before its deadline.
func (r *Request) latestStart(usual time.Duration) time.Time {
	limit := r.Deadline
	if r.Route.Objective > 0 && r.Arrived.Add(r.Route.Objective).Before(limit) {
		limit = r.Arrived.Add(r.Route.Objective)
	}
	return limit.Add(-responseMargin - usual)
}

// awaitPlace waits until a place at a server of the service is believed to be free for the
// call. It returns nil at once if the places of the service aren't shared, or no server may be
// used.
func (c *call) awaitPlace(ctx context.Context) error {
	d := c.e.opts.Directory
	if c.pending > 0 || !d.SharesPlaces(c.req.Service) {
		return nil
	}
	now := time.Now()
	places := d.Places(directory.Query{Service: c.req.Service, Admits: c.versions.Admits(), Exclude: c.tried}, now)
	demand := placeDemand{free: places.Free, waiting: places.Waiting + 1, peersWaiting: places.PeersWaiting}
	if places.Servers == 0 || (places.Waiting == 0 && demand.going(rand.Float64) > 0) {
		return nil
	}
	if d.Stopping() {
		return ErrStopWaiting
	}
	w := &waiter{urgency: c.req.Urgency, deadline: c.req.Deadline, latest: c.req.latestStart(places.UsualTime), objective: c.req.Route.Objective, ready: make(chan error, 1)}
	room := c.e.waitingRoom(c.req.Service)
	err := ErrPlacesTaken
	if room.join(w, now) {
		err = room.await(ctx, w)
		c.e.metrics.placeWait.Observe(time.Since(now).Seconds())
	}
	if errors.Is(err, ErrPlacesTaken) {
		c.e.metrics.placesRefused.Inc()
	}
	return err
}

// beginCall counts an attempt at a server until the returned function is called with the
// status of its answer, 0 without one.
func (c *call) beginCall(s *directory.Server) (end func(status int)) {
	if !c.e.opts.Directory.SharesPlaces(c.req.Service) {
		done := s.BeginCall()
		return func(int) { done() }
	}
	use := c.e.opts.Directory.BeginPlace(s, c.req.Route.Objective)
	return func(status int) {
		use.End(status > 0 && status < http.StatusInternalServerError)
		if status > 0 {
			c.e.waitingRoom(c.req.Service).release()
		}
	}
}

// placeRetryAfter returns when a caller may come again whose call found no place: when the
// calls before it have been served, at the rate at which places become free here, spread so
// that callers don't come at once.
func (e *Exchange) placeRetryAfter(service string, objective time.Duration) time.Duration {
	wait := e.waitingRoom(service).expectedWait(time.Now())
	wait = min(max(wait, objective, minPlaceRetry), maxPlaceRetry)
	return wait + rand.N(wait)
}

// Bounds of the Retry-After of a call that found no place, before it is spread.
const (
	minPlaceRetry = 100 * time.Millisecond
	maxPlaceRetry = 2 * time.Second
)

// reportHanging logs that a server begins or ceases to count as one that doesn't answer.
func (e *Exchange) reportHanging(s *directory.Server, hangs bool, overdue int, sinceAnswer time.Duration) {
	kind := EventServerAnswers
	if hangs {
		kind = EventServerHangs
	}
	e.opts.Recorder.Emit(kind, "server", s.Start, "service", s.Service, "zone", s.Zone, "overdue", overdue, "since_answer", sinceAnswer.Round(time.Millisecond))
}

// Events of the places of backend servers.
var (
	EventServerHangs = event.Define(2797, "exchange_server_hangs", event.Warn,
		"a backend server accepts calls and answers none; it gets no further calls, except single trials, while another server may be used", "check the server; its health check may be good")
	EventServerAnswers = event.Define(2798, "exchange_server_answers", event.Info,
		"a backend server that hung has answered several calls in a row and is used again", "nothing")
)
