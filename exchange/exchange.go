package exchange

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/promptcache"
	"github.com/pearyard/pearyard/retry"
	"github.com/pearyard/pearyard/site"
	"github.com/pearyard/pearyard/suspect"
	"github.com/pearyard/pearyard/types"
)

// Options of an Exchange; all but the timings are needed.
type Options struct {
	Zone      string
	Directory *directory.Directory
	Backend   Backend
	Services  func(name string) (site.Service, bool)
	Suspects  *suspect.Ledger
	Recorder  *event.Recorder
	Metrics   prometheus.Registerer
	Timings   Timings
	// RetryWindow, RetryRatio and RetryExtra bound the retries of each
	// service; RetryExtra is this process's part.
	RetryWindow time.Duration
	RetryRatio  float64
	RetryExtra  func() float64
	// Lender, if set, shares the retry budget with other processes.
	Lender Lender
	// Restarts, if set, finds servers that were started again while the store
	// doesn't tell of them.
	Restarts *Restarts
}

// Lender shares the retry budget among processes.
type Lender interface {
	// Allow counts a retry if all processes together have room for it. Without
	// word of the others the window's own bound decides.
	Allow(service string, w *retry.Window) bool
	// First notes a first try in the window.
	First(service string, w *retry.Window)
}

// Timings of an Exchange; zero fields take the defaults.
type Timings struct {
	// Silence is how long a running stream may send nothing before its server
	// is held lost. A sound engine sends an event each 30 ms, and each 150 ms
	// while it reads others' prompts.
	Silence time.Duration
	// ProbeAfter is how long a stream waits for its first event before its
	// server is asked for a sign of life, and again after each answer.
	ProbeAfter time.Duration
	// ProbeTimeout is what that sign may take.
	ProbeTimeout time.Duration
	// WaitForServer is how long a stream waits for a server to turn up.
	WaitForServer time.Duration
}

// Defaults of Timings.
const (
	DefaultSilence       = 350 * time.Millisecond
	DefaultProbeAfter    = 400 * time.Millisecond
	DefaultProbeTimeout  = 250 * time.Millisecond
	DefaultWaitForServer = 400 * time.Millisecond
)

const (
	// notRunTries bounds how many servers are tried that prove not to run a
	// request. It is above the number that a burst fills at the same time.
	notRunTries = 4
	// retryAfter is what a caller is told whose request found no place: about
	// the time in which a lost server is back or a burst's queue moves on.
	retryAfter = 400 * time.Millisecond
	// quarantineRetryAfter is told to callers of a request that crashes servers.
	quarantineRetryAfter = 30 * time.Second
	// leftMargin is kept back from the time that a server is given, so that its
	// answer still reaches the caller.
	leftMargin = 20 * time.Millisecond
)

// Exchange carries requests.
type Exchange struct {
	opts    Options
	metrics *metrics
	budgets sync.Map // service -> *retry.Window
	paces   sync.Map // service -> *pace
	probes  prober
	running running
	prompts *promptcache.Locator
}

// New returns an Exchange.
func New(opts Options) *Exchange {
	t := &opts.Timings
	orDefault(&t.Silence, DefaultSilence)
	orDefault(&t.ProbeAfter, DefaultProbeAfter)
	orDefault(&t.ProbeTimeout, DefaultProbeTimeout)
	orDefault(&t.WaitForServer, DefaultWaitForServer)
	e := &Exchange{opts: opts, metrics: newMetrics(opts.Metrics), running: running{streams: map[*onItsWay]struct{}{}}}
	e.prompts = promptcache.NewLocator(e.askKept)
	e.probes = prober{exchange: e, running: map[*directory.Server]*question{}}
	return e
}

func orDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

func (e *Exchange) budget(service string) *retry.Window {
	if w, ok := e.budgets.Load(service); ok {
		return w.(*retry.Window)
	}
	w, _ := e.budgets.LoadOrStore(service, retry.NewWindow(e.opts.RetryWindow, nil))
	return w.(*retry.Window)
}

func (e *Exchange) paceOf(service string) *pace {
	if p, ok := e.paces.Load(service); ok {
		return p.(*pace)
	}
	p, _ := e.paces.LoadOrStore(service, &pace{})
	return p.(*pace)
}

// allowRetry takes one more sending out of the service's budget.
func (e *Exchange) allowRetry(service string) bool {
	w := e.budget(service)
	w.Bound(e.opts.RetryRatio, e.opts.RetryExtra())
	allowed := false
	if e.opts.Lender != nil {
		allowed = e.opts.Lender.Allow(service, w)
	} else {
		allowed = w.Allow()
	}
	if !allowed {
		e.metrics.budgetSpent.Inc()
	}
	return allowed
}

// begin counts a request and refuses one that is known to crash servers.
func (e *Exchange) begin(req *Request) *Failure {
	w := e.budget(req.Service)
	w.First()
	if e.opts.Lender != nil {
		e.opts.Lender.First(req.Service, w)
	}
	if e.opts.Suspects.Verdict(req.Fingerprint()).State != suspect.Quarantined {
		return nil
	}
	e.metrics.ended(req.Route.Kind.String(), outcomeRefused, EndedByLimit)
	e.opts.Recorder.Emit(EventQuarantined, event.FieldRequest, req.ID, "route", req.Route.Name, "fingerprint", req.Fingerprint(), event.FieldEndedBy, EndedByLimit)
	return &Failure{By: EndedByLimit, Err: ErrQuarantined, RetryAfter: quarantineRetryAfter}
}

// left returns the time that a server may take for an attempt begun now.
func (r *Request) left(now time.Time) time.Duration {
	return max(time.Millisecond, r.Until.Sub(now)-leftMargin)
}

// hasTime tells whether an attempt begun now may still be answered in time.
func (r *Request) hasTime(now time.Time) bool { return r.Until.Sub(now) > leftMargin }

// failed notes what an attempt's error says about its server.
func (e *Exchange) failed(s *directory.Server, err error) {
	now := time.Now()
	var notRun *NotRunError
	switch {
	case errors.As(err, &notRun) && (notRun.Reason == Misdirected || notRun.Reason == Refused):
		e.ended(s, err)
	case errors.As(err, &notRun) && notRun.Reason == Unreachable:
		e.lost(s, err)
	case errors.As(err, &notRun):
		s.RecordFault(now, busyFault)
	case errors.Is(err, ErrServerLost):
	default:
		s.RecordFault(now, 1)
	}
}

// mayHaveCrashed notes that a server broke off while it ran a request. Whether
// the server died of it shows a moment later: it is asked for a sign of life.
// A zone that fails as a whole takes many servers at once and says nothing
// about the requests that they ran.
func (e *Exchange) mayHaveCrashed(req *Request, s *directory.Server) {
	go func() {
		<-e.probes.ask(s).done
		if !s.IsDown(time.Now()) {
			return
		}
		time.Sleep(crashAlone)
		if e.opts.Directory.OtherLossesInZone(s, time.Now(), crashBeside) > 0 {
			return
		}
		e.opts.Suspects.Death(s.String(), []types.Fingerprint{req.Fingerprint()})
		e.opts.Recorder.Emit(EventCrashNoted, event.FieldRequest, req.ID, "server", s.Start, "zone", s.Zone, "fingerprint", req.Fingerprint())
	}()
}

const (
	// crashAlone is how long other losses of the zone are waited for: the time
	// in which several entry VMs notice and tell theirs.
	crashAlone = 600 * time.Millisecond
	// crashBeside is how close in time two losses count as one failure.
	crashBeside = 2 * time.Second
)

// busyFault is the weight of a refusal: a full server is sound, but one that
// refuses while it has room does so again.
const busyFault = 0.3

// ended notes that a server's process has ended.
func (e *Exchange) ended(s *directory.Server, err error) {
	if s.MarkEnded(time.Now()) {
		e.opts.Restarts.lookFor(e, s)
		e.opts.Recorder.Emit(EventServerLost, "server", s.Start, "service", s.Service, "zone", s.Zone, "err", err)
	}
}

func (e *Exchange) lost(s *directory.Server, err error) {
	if s.MarkLost(time.Now()) {
		e.opts.Restarts.lookFor(e, s)
		e.opts.Recorder.Emit(EventServerLost, "server", s.Start, "service", s.Service, "zone", s.Zone, "err", err)
	}
}

// timedOut tells whether the request's own time ended ctx, not its caller or
// this process: the caller is still there to be answered.
func timedOut(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.DeadlineExceeded)
}
