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
	"github.com/pearyard/pearyard/rollout"
	"github.com/pearyard/pearyard/site"
	"github.com/pearyard/pearyard/suspect"
	"github.com/pearyard/pearyard/types"
)

// Options configures an Exchange. Metrics, Timings, SharedBudget and Restarts are
// optional.
type Options struct {
	Zone      string
	Directory *directory.Directory
	Backend   Backend
	Services  func(name string) (site.Service, bool)
	Suspects  *suspect.Ledger
	// Grants, if set, lets requests that are accused of crashing servers run one at a time
	// among all processes.
	Grants   RunGrants
	Recorder *event.Recorder
	Metrics  prometheus.Registerer
	Timings  Timings
	// RetryWindow, RetryRatio and RetryExtra bound the retries of each service.
	// RetryExtra is this process's share of the fixed allowance.
	RetryWindow time.Duration
	RetryRatio  float64
	RetryExtra  func() float64
	// SharedBudget, if set, enforces the retry budget jointly with other processes.
	SharedBudget SharedBudget
	// ServerLimits, if set, enforces the rate limits that servers name.
	ServerLimits ServerLimits
	// Rollouts, if set, assigns requests to versions of backend servers.
	Rollouts *rollout.Controller
	// PromptPeers, if set, asks other processes for cached prompts.
	PromptPeers promptcache.Peers
	// StreamVersions, if set, knows the versions of streams that other processes began.
	StreamVersions StreamVersions
	// Refusals, if set, knows the callers that come back after a refusal.
	Refusals Refusals
	// Pressure, if set, knows the classes of streams that other processes hold back.
	Pressure Pressure
	// Running, if set, returns how many requests are in progress. They share ResponseMemory, the
	// bytes that may hold the beginnings of responses; 0: the default.
	Running        func() int64
	ResponseMemory int64
	// Restarts, if set, detects restarted servers while the store can't report them.
	Restarts *RestartDetector
}

// SharedBudget enforces the retry budget jointly with other processes.
type SharedBudget interface {
	// Allow reports whether a retry fits the budget of all processes together, and
	// counts it if so. While nothing is known of the others, the window's own bound
	// decides.
	Allow(service string, w *retry.Window) bool
	// First counts a first attempt in the window.
	First(service string, w *retry.Window)
}

// ServerLimits enforces the rate limits that servers name jointly with other processes.
type ServerLimits interface {
	// Take reports whether a request may be sent to a server now, and counts it if so.
	Take(s *directory.Server) bool
	// RetryAfter returns when a request may come again that the limits of a service's
	// servers leave no room for. Each call returns a later time, so that the callers come
	// one after the other.
	RetryAfter(service string) time.Duration
}

// Pressure knows which classes of a service's streams processes hold back: they wait for a
// server, or were refused for lack of one.
type Pressure interface {
	// HoldBack records that this process holds back a stream of a rank.
	HoldBack(service string, rank int)
	// MostUrgent returns the most urgent rank that other processes hold back; false: none.
	MostUrgent(service string) (rank int, ok bool)
}

// Refusals knows which requests were refused because they would have begun too late, by any
// process.
type Refusals interface {
	// Record records that a request was refused whose caller may come back until then.
	Record(fp types.Fingerprint, until time.Time)
	// Returns reports whether a request's caller comes back after a refusal.
	Returns(fp types.Fingerprint) bool
}

// StreamVersions knows which version of the servers' software began a stream, for callers
// that come back for its rest through any entry VM. A stream is named by
// streamversion.StreamID.
type StreamVersions interface {
	// Record records the version that began a stream, before its first event is sent to the
	// caller. It is kept until the caller has stopped to come back.
	Record(service string, stream uint64, version string, until time.Time)
	// Find returns the version that began a stream which is no older than maxAge, and how
	// that is known; false: it isn't.
	Find(ctx context.Context, service string, stream uint64, maxAge time.Duration) (version, how string, ok bool)
}

// Timings are the timeouts of an Exchange. Zero fields take the defaults.
type Timings struct {
	// Silence is how long a started stream waits for an event before its server is
	// probed. If the probe is not answered, or if pauses of this length are not usual
	// for the service, a takeover by another server is attempted. A healthy engine
	// sends an event every 30 ms, and every 150 ms while it reads other prompts.
	Silence time.Duration
	// ProbeAfter is how long a stream waits for its first event before its server is
	// probed, and again after each probe.
	ProbeAfter time.Duration
	// ProbeTimeout bounds a probe and the request that identifies the process at a
	// server's address.
	ProbeTimeout time.Duration
	// WaitForServer is how long a stream waits for a server to become available.
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
	// maxNotRunTries bounds how many servers are tried that prove not to run a request.
	// It is larger than the number of servers that a burst fills up at the same time. A
	// stream may try twice as many between two of its events.
	maxNotRunTries = 4
	// retryAfter is the Retry-After time for a request that found no server: about the
	// time until a lost server is back or the queues of a burst have shortened.
	retryAfter = 400 * time.Millisecond
	// quarantineRetryAfter is the Retry-After time for a request that crashes servers.
	quarantineRetryAfter = 30 * time.Second
	// versionRetryAfter is the Retry-After time for a stream whose version has no server left
	// or isn't known: about the time until a server that crashed is listed again, and until a
	// process that has just started knows what the others know.
	versionRetryAfter = 2 * time.Second
	// responseMargin is subtracted from the time that a server is given, so that its
	// response still reaches the caller.
	responseMargin = 20 * time.Millisecond
)

// Exchange forwards requests to backend servers and returns their responses.
type Exchange struct {
	opts    Options
	metrics *metrics
	budgets sync.Map // service -> *retry.Window
	paces   sync.Map // service -> *pace
	rooms   sync.Map // service -> *waitingRoom
	probes  prober
	zones   zoneChecker
	active  activeStreams
	prompts *promptcache.Locator
	queues  sync.Map // service -> *admission.Queue
	stop    stopSignal
}

// New returns an Exchange.
func New(opts Options) *Exchange {
	opts.Backend = sendRecorder{opts.Backend}
	if opts.ResponseMemory <= 0 {
		opts.ResponseMemory = defaultResponseMemory
	}
	t := &opts.Timings
	orDefault(&t.Silence, DefaultSilence)
	orDefault(&t.ProbeAfter, DefaultProbeAfter)
	orDefault(&t.ProbeTimeout, DefaultProbeTimeout)
	orDefault(&t.WaitForServer, DefaultWaitForServer)
	e := &Exchange{opts: opts, metrics: newMetrics(opts.Metrics, opts.Directory), active: activeStreams{streams: map[*activeStream]struct{}{}}}
	e.stop.begun = make(chan struct{})
	e.prompts = promptcache.NewLocator(e.askCached)
	if opts.PromptPeers != nil {
		e.prompts.UsePeers(opts.PromptPeers)
	}
	e.zones = zoneChecker{exchange: e, inFlight: map[zoneKey]*zoneCheck{}}
	e.probes = prober{exchange: e, inFlight: map[*directory.Server]*probe{}}
	if opts.Directory != nil {
		opts.Directory.OnHanging(e.reportHanging)
		registerHanging(opts.Metrics, opts.Directory.HangingServers)
	}
	return e
}

// Prompts returns the locator of cached prompts.
func (e *Exchange) Prompts() *promptcache.Locator { return e.prompts }

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

func (e *Exchange) paceFor(service string) *pace {
	if p, ok := e.paces.Load(service); ok {
		return p.(*pace)
	}
	p, _ := e.paces.LoadOrStore(service, &pace{})
	return p.(*pace)
}

// allowRetry takes one retry out of the service's budget and reports whether it was
// allowed.
func (e *Exchange) allowRetry(service string) bool {
	w := e.budget(service)
	w.SetLimits(e.opts.RetryRatio, e.opts.RetryExtra())
	allowed := false
	if e.opts.SharedBudget != nil {
		allowed = e.opts.SharedBudget.Allow(service, w)
	} else {
		allowed = w.Allow()
	}
	if !allowed {
		e.metrics.budgetSpent.Inc()
	}
	return allowed
}

// timeLeft returns how long a server may take for an attempt started now.
func (r *Request) timeLeft(now time.Time) time.Duration {
	return max(time.Millisecond, r.Deadline.Sub(now)-responseMargin)
}

// hasTime reports whether an attempt started now can still be answered in time.
func (r *Request) hasTime(now time.Time) bool { return r.Deadline.Sub(now) > responseMargin }

// recordFailure updates a server's state according to an attempt's error.
func (e *Exchange) recordFailure(s *directory.Server, err error) {
	now := time.Now()
	var notRun *NotRunError
	switch {
	case errors.As(err, &notRun) && notRun.Reason == Misdirected:
		e.recordLoss(s, s.MarkEnded(now), err)
	case errors.As(err, &notRun) && notRun.Reason == Refused:
		e.recordLoss(s, s.MarkRefused(now), err)
	case errors.As(err, &notRun) && notRun.Reason == WrongVersion:
	case errors.As(err, &notRun) && notRun.Reason == Unreachable:
		e.recordLoss(s, s.MarkLost(now), err)
	case s.Resting(now) && (errors.As(err, &notRun) || askedForRest(err)):
		// It gets nothing until its rest is over, and is as good as the others then.
	case errors.As(err, &notRun):
		s.RecordFault(now, busyFaultWeight)
	case errors.Is(err, ErrServerLost):
		// The loss is recorded already.
	default:
		s.RecordFault(now, 1)
	}
}

// busyFaultWeight is the weight of a refusal; that of a broken attempt is 1. A full
// server is healthy, but one that refuses although it has room will do so again.
const busyFaultWeight = 0.3

// recordLoss watches the address of a server whose loss is new information, and logs it.
func (e *Exchange) recordLoss(s *directory.Server, isNew bool, err error) {
	if isNew {
		e.opts.Restarts.watchAddress(e, s)
		e.opts.Recorder.Emit(EventServerLost, "server", s.Start, "service", s.Service, "zone", s.Zone, "err", err)
	}
}

// timedOut reports whether ctx ended by the request's own deadline, not because its
// caller left or this process stops: the caller can still be answered.
func timedOut(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.DeadlineExceeded)
}
