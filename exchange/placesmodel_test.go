package exchange

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/site"
	"github.com/pearyard/pearyard/suspect"
)

// Parameters of the model of a service with few places.
const (
	fewPlaces    = 6
	fewQueue     = 24 // calls that a server queues beyond its places
	fewWork      = 30 * time.Millisecond
	fewObjective = 150 * time.Millisecond
	fewDeadline  = 1200 * time.Millisecond
	fewLoad      = 280.0 // calls a second
	fewVMs       = 30
	linkDelay    = time.Millisecond
)

// placeServer is a server that runs some calls at a time, queues some and sheds the others.
type placeServer struct {
	mu       sync.Mutex
	slowness float64 // how many times as long work takes
	hangs    bool
	hangPart float64 // of its calls that get no answer
	running  int
	queue    []chan struct{}
	shed     int
	arrived  int
	ids      map[string]int // calls that it has run, by id
	cut      chan struct{}  // closed to end the work of all calls
}

// placeBackend is a set of such servers in virtual time.
type placeBackend struct {
	Backend
	servers map[string]*placeServer
}

// Open implements Backend.
func (b *placeBackend) Open(ctx context.Context, a *Attempt) (*Answer, error) {
	e := b.servers[a.Server.ID]
	time.Sleep(linkDelay)
	if !e.enter(ctx) {
		e.report(a.Server)
		time.Sleep(linkDelay)
		if ctx.Err() != nil {
			return nil, &BrokenError{Err: ctx.Err()}
		}
		return nil, &NotRunError{Reason: Busy, Err: errors.New("the server answered 503")}
	}
	done := e.run(ctx, a.Request.ID)
	e.exit()
	if !done {
		return nil, &BrokenError{Err: ctx.Err()}
	}
	e.report(a.Server)
	time.Sleep(linkDelay)
	return &Answer{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(bytes.NewBufferString("ok"))}, nil
}

// enter waits for a place. It returns false if the queue is full or the caller has left.
func (e *placeServer) enter(ctx context.Context) bool {
	e.mu.Lock()
	e.arrived++
	if e.running < fewPlaces {
		e.running++
		e.mu.Unlock()
		return true
	}
	if len(e.queue) >= fewQueue {
		e.shed++
		e.mu.Unlock()
		return false
	}
	turn := make(chan struct{})
	e.queue = append(e.queue, turn)
	e.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, other := range e.queue {
		if other == turn {
			e.queue = append(e.queue[:i], e.queue[i+1:]...)
			return false
		}
	}
	e.leave() // its turn came at the same moment
	return false
}

func (e *placeServer) exit() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leave()
}

// leave passes the place on; mu must be held.
func (e *placeServer) leave() {
	if len(e.queue) > 0 {
		close(e.queue[0])
		e.queue = e.queue[1:]
		return
	}
	e.running--
}

// run works on a call. It returns false if the caller has left.
func (e *placeServer) run(ctx context.Context, id string) bool {
	e.mu.Lock()
	e.ids[id]++
	work := time.Duration(float64(fewWork) * e.slowness * math.Exp(0.4*rand.NormFloat64()-0.08))
	hangs, cut := e.hangs || rand.Float64() < e.hangPart, e.cut
	e.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return false
	}
	select {
	case <-time.After(work):
		return true
	case <-cut:
		return true
	case <-ctx.Done():
		return false
	}
}

func (e *placeServer) report(s *directory.Server) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.RecordReportedLoad(time.Now(), e.running, len(e.queue))
}

func (e *placeServer) set(slowness float64, hangs bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowness, e.hangs = slowness, hangs
}

// placeSite is some VMs before servers with few places.
type placeSite struct {
	servers map[string]*placeServer
	vms     []*placeVM
	ctx     context.Context
	cancel  context.CancelFunc
	dead    int          // VMs, the first ones, that callers no longer reach
	loss    atomic.Int64 // percentage of reports that are lost

	mu         sync.Mutex
	outcomes   []placeOutcome
	repeatable map[string]bool // ids of calls that may run twice
	callers    sync.WaitGroup
}

type placeVM struct {
	*Exchange
	dir     *directory.Directory
	backend *placeBackend
	gone    atomic.Bool // its reports are no longer sent
}

type placeOutcome struct {
	id      string
	at      time.Time
	took    time.Duration
	err     error
	ran     bool
	retryIn time.Duration
}

func newPlaceSite(t *testing.T, shared bool, vms, servers int) *placeSite {
	ctx, cancel := context.WithCancel(t.Context())
	m := &placeSite{servers: map[string]*placeServer{}, ctx: ctx, repeatable: map[string]bool{}}
	m.cancel = cancel
	var list []directory.Listing
	for i := range servers {
		id := fmt.Sprint("s", i)
		m.servers[id] = &placeServer{slowness: 1, ids: map[string]int{}, cut: make(chan struct{})}
		list = append(list, directory.Listing{ID: id, Service: "s", Zone: "a", Address: id, Slots: fewPlaces})
	}
	for range vms {
		dir := directory.New()
		dir.Apply(1, list, false, time.Now())
		if shared {
			dir.SharePlaces("s")
		}
		vm := &placeVM{dir: dir, backend: &placeBackend{servers: m.servers}}
		vm.Exchange = New(Options{
			Zone: "a", Directory: dir, Backend: vm.backend, Recorder: event.Discard(),
			Suspects:    suspect.New(suspect.Options{Limit: suspect.LedgerLimit(3), Quarantine: time.Minute, Window: time.Minute}),
			Services:    func(string) (site.Service, bool) { return site.Service{Name: "s"}, true },
			RetryWindow: 10 * time.Second, RetryRatio: 0.8, RetryExtra: func() float64 { return 5 },
		})
		m.vms = append(m.vms, vm)
	}
	for i, vm := range m.vms {
		if shared {
			go m.report(i, vm)
		}
	}
	return m
}

// close ends the VMs.
func (m *placeSite) close() {
	m.cancel()
	time.Sleep(time.Second)
}

// report sends a VM's reports to the others as package fleet does.
func (m *placeSite) report(from int, vm *placeVM) {
	ticker := time.NewTicker(250 * time.Millisecond)
	defer ticker.Stop()
	for m.ctx.Err() == nil {
		select {
		case <-m.ctx.Done():
			return
		case <-vm.dir.PlacesChanged():
			time.Sleep(2 * time.Millisecond)
		case <-ticker.C:
		}
		own := vm.dir.OwnPlaces(time.Now())
		if vm.gone.Load() {
			return
		}
		time.AfterFunc(linkDelay, func() {
			for to, other := range m.vms {
				if to != from && rand.Int64N(100) >= m.loss.Load() {
					other.dir.SetPeerPlaces(fmt.Sprint("vm", from), own, time.Now())
				}
			}
		})
		if vm.dir.PlacesTight(time.Now()) {
			time.Sleep(18 * time.Millisecond)
		} else {
			time.Sleep(58 * time.Millisecond)
		}
	}
}

// call sends one call through a VM.
func (m *placeSite) call(vm *placeVM, id string, kind site.Kind, urgency int) {
	m.mu.Lock()
	m.repeatable[id] = kind == site.Idempotent
	m.mu.Unlock()
	m.callers.Go(func() {
		req := &Request{
			ID: id, Method: http.MethodPost, Target: "/x/" + id, Header: http.Header{}, Service: "s", Arrived: time.Now(), Deadline: time.Now().Add(fewDeadline),
			Urgency: site.Urgency{Route: urgency},
			Route:   &site.Route{Name: "r", Kind: kind, MaxAttempts: 2, Objective: fewObjective, Timeout: fewDeadline},
		}
		_, err := vm.Call(m.ctx, req)
		o := placeOutcome{id: id, at: req.Arrived, took: time.Since(req.Arrived), err: err}
		var failure *Failure
		if errors.As(err, &failure) {
			o.ran, o.retryIn = failure.Ran, failure.RetryAfter
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		m.outcomes = append(m.outcomes, o)
	})
}

// load sends calls at a rate a second through random VMs for some time; four of five must not
// be sent twice.
func (m *placeSite) load(name string, rate float64, during time.Duration) {
	end := time.Now().Add(during)
	for i := 0; time.Now().Before(end); i++ {
		kind := site.AtMostOnce
		if i%5 == 0 {
			kind = site.Idempotent
		}
		m.call(m.vms[m.dead+rand.IntN(len(m.vms)-m.dead)], fmt.Sprint(name, i), kind, 0)
		time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
	}
}

// placeResult counts what callers got, as shares of all calls.
type placeResult struct {
	all                           int
	inTime, late, refused, failed float64
	shed                          int // by servers
}

// result waits for the callers and counts what those got that came since a time.
func (m *placeSite) result(since time.Time) placeResult {
	m.callers.Wait()
	var r placeResult
	for _, o := range m.outcomes {
		if o.at.Before(since) {
			continue
		}
		r.all++
		switch {
		case o.err == nil && o.took <= fewObjective:
			r.inTime++
		case o.err == nil:
			r.late++
		case !o.ran:
			r.refused++
		default:
			r.failed++
		}
	}
	for _, share := range []*float64{&r.inTime, &r.late, &r.refused, &r.failed} {
		*share /= float64(max(1, r.all))
	}
	for _, s := range m.servers {
		r.shed += s.shed
	}
	return r
}

// free ends the work of all calls that run at the server.
func (e *placeServer) free() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.cut)
	e.cut = make(chan struct{})
}

func (e *placeServer) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.arrived
}

// held returns the number of calls that run or are queued.
func (e *placeServer) held() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running + len(e.queue)
}

// runTwice returns the calls that may run once and have run more often.
func (m *placeSite) runTwice() []string {
	runs := map[string]int{}
	for _, s := range m.servers {
		s.mu.Lock()
		for id, n := range s.ids {
			runs[id] += n
		}
		s.mu.Unlock()
	}
	var twice []string
	for id, n := range runs {
		if n > 1 && !m.repeatable[id] {
			twice = append(twice, id)
		}
	}
	return twice
}
