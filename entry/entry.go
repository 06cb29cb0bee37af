package entry

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/oklog/run"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/exchange"
	"github.com/pearyard/pearyard/fleet"
	"github.com/pearyard/pearyard/follow"
	"github.com/pearyard/pearyard/httpconn"
	"github.com/pearyard/pearyard/httpwire"
	"github.com/pearyard/pearyard/inspect"
	"github.com/pearyard/pearyard/platform"
	"github.com/pearyard/pearyard/retry"
	"github.com/pearyard/pearyard/rollout"
	suspectpb "github.com/pearyard/pearyard/rpc/suspect"
	"github.com/pearyard/pearyard/site"
	"github.com/pearyard/pearyard/suspect"
	"github.com/pearyard/pearyard/types"
)

const (
	// eventRingSize is how many of the newest events a state dump has; at most 1 MB.
	eventRingSize = 1024
	// memoryLimitRatio is the fraction of the process's memory limit that is set as the
	// garbage collector's soft limit.
	memoryLimitRatio = 0.7
	// responseMemoryDivisor is the part of the process's memory limit that the beginnings of
	// responses may take, which are held until a response is known to be whole.
	responseMemoryDivisor = 16
	// crashLimit is how many backend servers a request may crash before it is
	// quarantined. A server that had sent a part of the response counts half.
	crashLimit = 3
	// quarantineTime is how long a request that reached crashLimit is refused.
	quarantineTime = 10 * time.Minute
	// invalidLimitInterval is the shortest time between two log lines on invalid limits, as
	// each answer may hold one.
	invalidLimitInterval = time.Second
	// invalidEraInterval is the shortest time between two log lines on eras of the store
	// that are not used, as each answer may have one.
	invalidEraInterval = 10 * time.Second
	// retryBudgetShare is the fraction of the retry budget that is used. The rest is a
	// margin: whoever counts retries may assign a retry and the first tries that
	// allowed it to different windows.
	retryBudgetShare = 0.85
	// idleTimeout and headerTimeout apply to connections without a configured limit:
	// those of other processes, and callers' until a configuration sets limits. They
	// are longer than any limit that operators set.
	idleTimeout   = 2 * time.Minute
	headerTimeout = 10 * time.Second
	// idleMargin covers a shortened limit that a caller doesn't know yet, and a stall of
	// this process, which is below half a second where limits are applied at all.
	idleMargin     = time.Second
	maxHeaderBytes = 64 << 10        // of a caller's request
	peerTimeout    = 2 * time.Second // of a call to another entry VM
	// peerIdleTimeout is longer than the pauses between calls to other entry VMs.
	peerIdleTimeout = 90 * time.Second
	pruneInterval   = time.Second
	// maxConnIdle is how long a connection to a backend server may be idle and still be
	// reused.
	maxConnIdle = 1500 * time.Millisecond
	// startPollInterval is how often a process that starts checks whether it can serve.
	startPollInterval = 2 * time.Millisecond
)

// Options configure an Entry.
type Options struct {
	Settings platform.Settings
	Callers  net.Listener // for callers; nil: the process listens at the address in the settings
	Logger   log.Logger
	Dropped  func() int64 // log lines dropped so far; may be nil
}

// Entry is the entry process: it serves callers on an entry VM.
type Entry struct {
	settings        platform.Settings
	callers         net.Listener  // may be nil, see Options
	serving         chan struct{} // closed when there are a configuration and servers
	recorder        *event.Recorder
	registry        *prometheus.Registry
	configHolder    *site.Holder
	directory       *directory.Directory
	configFollower  *site.Follower
	serverFollower  *directory.Follower
	fleet           *fleet.Fleet
	socket          *fleet.Socket
	loads           *fleet.Loads
	memory          *fleet.Memory
	readTimes       *fleet.PrefillTimes
	places          *fleet.Places
	disturbances    *fleet.Disturbances
	election        *fleet.Election
	budgets         *fleet.Budgets
	serverLimits    *fleet.ServerLimits
	leaving         *fleet.Leaving
	refusals        *fleet.Refusals
	pressure        *fleet.Pressure
	suspects        *suspect.Ledger
	suspectGossiper *suspect.Gossiper
	rollouts        *rollout.Controller
	rolloutMessages *fleet.Rollouts
	baselines       *fleet.Baselines
	decider         *rollout.Decider
	prompts         *fleet.Prompts
	streamVersions  *fleet.StreamVersions
	exchange        *exchange.Exchange
	pool            *httpconn.Pool
	inspect         *inspect.Registry
	startedAt       time.Time
	shutdown        *shutdownState
	canceller       *requestCanceller
	invalidLimitAt  atomic.Int64 // Unix nanoseconds of the newest log line on an invalid limit
	invalidHeaderAt atomic.Int64 // the same on another invalid header of an answer
	invalidEraAt    atomic.Int64 // the same on an era of the store that is not used
	wasReady        atomic.Bool
	runningRequests atomic.Int64
}

// New assembles an Entry.
func New(opts Options) (*Entry, error) {
	s := opts.Settings
	if s.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(s.MemoryLimit)))
	}
	e := &Entry{settings: s, callers: opts.Callers, serving: make(chan struct{}), registry: prometheus.NewRegistry(), startedAt: time.Now(), shutdown: newShutdownState(), canceller: newRequestCanceller(), configHolder: site.NewHolder(), directory: directory.New()}
	e.recorder = event.NewRecorder(log.With(opts.Logger, "ts", log.DefaultTimestampUTC, "process", s.Name), eventRingSize)
	store := platform.NewStore(s.Store, e.registry)
	store.OnEra(e.reportEra, e.reportInvalidEra)
	e.configFollower = &site.Follower{Holder: e.configHolder, Source: store, Recorder: e.recorder, OnFailure: e.askPeers}
	e.serverFollower = &directory.Follower{Directory: e.directory, Source: store, Recorder: e.recorder, OnFailure: e.askPeers}
	client := newPeerClient()
	e.newFleet(store, client)
	e.newPeerState(store)
	e.newSuspects(store, client)
	e.newRolloutMessages(store)
	e.newExchange()
	e.registerGauges(opts.Dropped)
	return e, e.newInspect()
}

// newPeerClient returns the client for calls to other entry VMs.
func newPeerClient() *http.Client {
	transport := httpwire.NewTransport(peerTimeout)
	transport.IdleConnTimeout = peerIdleTimeout
	return &http.Client{Timeout: peerTimeout, Transport: transport}
}

// registerGauges registers metrics of how stale the configuration and the server list
// are, of entries dropped or invalid, and of log lines dropped.
func (e *Entry) registerGauges(dropped func() int64) {
	gauge := func(name, help string, value func() float64) {
		e.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	gauge("pearyard_config_age_seconds", "Time since the store or a reader confirmed the configuration, seconds.",
		func() float64 { return e.configFollower.Age().Seconds() })
	gauge("pearyard_server_list_age_seconds", "Time since the store or a reader confirmed the list of backend servers, seconds.",
		func() float64 { return e.serverFollower.Age().Seconds() })
	gauge("pearyard_config_position", "Place of the configuration in force in the store's history.",
		func() float64 { return float64(e.configHolder.Position().Revision()) })
	e.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "pearyard_server_words_dropped_total",
		Help: "Entries of backend servers and losses told of them that were dropped, as another start is the known one.",
	}, func() float64 { return float64(e.directory.DroppedReports()) }))
	gauge("pearyard_servers_invalid", "Entries of the list of backend servers that name no server.",
		func() float64 { return float64(e.directory.View().InvalidCount()) })
	if dropped != nil {
		gauge("pearyard_log_lines_dropped", "Log lines dropped because the output was not read, or could not be written.", func() float64 { return float64(dropped()) })
	}
}

// newFleet connects the configuration and the server list to the other entry VMs.
func (e *Entry) newFleet(store *platform.Store, client *http.Client) {
	e.fleet = fleet.New(fleet.Options{
		Name: e.settings.Name, Address: e.settings.Peers, Seeds: e.settings.Seeds, Registry: store,
		Holder: e.configHolder, Directory: e.directory, Decode: platform.DecodeConfig,
		OfferConfig: e.configFollower.Offer, OfferList: e.serverFollower.ApplyPeerList, OfferChanges: e.serverFollower.ApplyPeerChanges, Settled: e.serverFollower.Settled, Dial: fleet.DialHTTP(client), Recorder: e.recorder,
	})
}

// newPeerState sets up what entry VMs exchange by datagrams: the load of backend
// servers and how fast they read prompts, retry budgets, and the election of the VM
// that reads the store for all.
func (e *Entry) newPeerState(store *platform.Store) {
	e.socket = fleet.NewSocket(e.settings.Peers, e.fleet.Peers, e.registry)
	e.socket.SetRecorder(e.recorder)
	e.loads = fleet.NewLoads(fleet.LoadsOptions{Socket: e.socket, CellPeers: e.fleet.CellPeers, Directory: e.directory})
	e.prompts = fleet.NewPrompts(fleet.PromptsOptions{Socket: e.socket, Known: e.fleet.Known(), OtherCells: e.fleet.OtherCells, Directory: e.directory})
	e.memory = fleet.NewMemory(fleet.MemoryOptions{Socket: e.socket, CellPeers: e.fleet.CellPeers, Peers: e.fleet.Peers, Directory: e.directory})
	e.readTimes = fleet.NewPrefillTimes(e.socket, e.fleet.CellPeers, e.directory)
	e.places = fleet.NewPlaces(e.socket, e.fleet.CellPeers, e.directory)
	e.directory.OnDisturbanceReported(e.directory.SharePlaces)
	e.disturbances = fleet.NewDisturbances(fleet.DisturbancesOptions{Socket: e.socket, CellPeers: e.fleet.CellPeers, Directory: e.directory, Recorder: e.recorder, Metrics: e.registry})
	e.election = fleet.NewElection(fleet.ElectionOptions{
		Address: e.settings.Peers, Socket: e.socket, Mark: e.mark, Reached: e.checkedPosition, Size: e.fleet.Size, Fetch: e.fleet.Fetch, Recorder: e.recorder,
	})
	e.budgets = fleet.NewBudgets(fleet.BudgetsOptions{
		Socket: e.socket, CellPeers: e.fleet.CellPeers, Size: e.fleet.Size,
		Ratio: retryBudgetShare * e.settings.RetryRatio, Extra: retryBudgetShare * e.settings.RetryExtra, Window: e.settings.RetryWindow,
	})
	e.serverLimits = fleet.NewServerLimits(fleet.ServerLimitsOptions{
		Socket: e.socket, Peers: e.fleet.Peers, Size: e.fleet.Size, Directory: e.directory, Recorder: e.recorder,
	})
	e.leaving = fleet.NewLeaving(fleet.LeavingOptions{Socket: e.socket, Directory: e.directory, Recorder: e.recorder})
	e.refusals = fleet.NewRefusals(e.socket)
	e.pressure = fleet.NewPressure(e.socket, e.fleet.CellPeers)
	e.rollouts = rollout.New(rollout.Options{
		AllowUnordered: e.settings.AllowUnordered, Share: e.settings.RolloutShare, Tolerance: e.settings.RolloutExtra, Size: e.fleet.Size,
		Directory: e.directory, Recorder: e.recorder, Metrics: e.registry,
	})
	e.baselines = fleet.NewBaselines(e.socket, e.fleet.Peers, e.rollouts)
	e.streamVersions = fleet.NewStreamVersions(fleet.StreamVersionsOptions{
		Address: e.settings.Peers, Socket: e.socket, Peers: e.fleet.Peers, Known: e.fleet.Known(), AddedAround: e.fleet.AddedAround, Directory: e.directory, Baselines: e.baselines,
		ReadList: e.serverFollower.Refresh, Store: platform.NewStreamVersionRows(store), Recorder: e.recorder, Metrics: e.registry,
	})
	e.fleet.UseElection(e.election)
	e.configFollower.OnApplied = e.configApplied
	probes := follow.NewProbeGroup()
	e.configFollower.ProbeGroup, e.serverFollower.ProbeGroup = probes, probes
	e.configFollower.Share, e.serverFollower.Share = e.election.For(fleet.Config), e.election.For(fleet.List)
}

// mark returns the mark of what is known of a subject.
func (e *Entry) mark(s fleet.Subject) fleet.Mark {
	if s == fleet.Config {
		return fleet.ConfigMark(e.configHolder.Current())
	}
	return fleet.Mark{Position: e.directory.View().UnchangedSince}
}

// checkedPosition returns the position in the store's history up to which a subject is known
// to have no newer version.
func (e *Entry) checkedPosition(s fleet.Subject) types.Position {
	if s == fleet.Config {
		return e.configHolder.Position()
	}
	return e.directory.Reached()
}

// newSuspects sets up the ledger of requests that crash backend servers, and its
// distribution to the other entry VMs.
func (e *Entry) newSuspects(store *platform.Store, client *http.Client) {
	e.suspects = suspect.New(suspect.Options{
		Self: types.ProcessID(e.settings.Name), Limit: suspect.LedgerLimit(crashLimit), Quarantine: quarantineTime,
		Recorder: e.recorder, Registerer: e.registry, Table: platform.NewSuspectTable(store), QuarantinesOnly: true, HoldAccused: true, Adopts: e.election.IsWatcher,
		OnQuarantine: func(fp types.Fingerprint, _ suspect.Verdict) { e.exchange.EndQuarantined(fp) },
	})
	e.suspectGossiper = suspect.NewGossiper(e.suspects, suspect.GossiperOptions{
		Self: e.settings.Peers, Peers: e.fleet.Peers,
		Dial: func(peer string) suspectpb.Suspects {
			return suspectpb.NewSuspectsProtobufClient("http://"+peer, client)
		},
	})
}

// newRolloutMessages sets up how entry VMs judge together the roll-outs that the configuration
// in force orders.
func (e *Entry) newRolloutMessages(store *platform.Store) {
	e.rolloutMessages = fleet.NewRollouts(e.socket, e.election, e.rollouts)
	e.decider = rollout.NewDecider(rollout.DeciderOptions{
		Controller: e.rollouts, Store: platform.NewRolloutRecords(store), Rank: e.election.DeciderRank, Recorder: e.recorder,
	})
}

// configApplied is called with each configuration that comes into force.
func (e *Entry) configApplied(v *site.Versioned) {
	e.fleet.Applied(v)
	e.rollouts.ApplyConfig(v)
	e.directory.SharePlacesOfAll(v.Config.Contended())
}

func (e *Entry) newExchange() {
	e.pool = httpconn.NewPool(httpconn.Options{MaxIdle: maxConnIdle})
	s := e.settings
	backend := platform.NewBackend(e.pool)
	backend.OnInvalidLimit = e.reportInvalidLimit
	backend.OnInvalidHeader = e.reportInvalidHeader
	backend.OnRest = func(s *directory.Server, asked, granted time.Duration) {
		e.recorder.Emit(EventServerRests, "server", s.Start, "service", s.Service, "zone", s.Zone, "asked", asked, "granted", granted)
	}
	e.exchange = exchange.New(exchange.Options{
		Running: e.runningRequests.Load, ResponseMemory: s.MemoryLimit / responseMemoryDivisor,
		Restarts: e.newRestartDetector(backend), SharedBudget: e.budgets, ServerLimits: e.serverLimits, Rollouts: e.rollouts, PromptPeers: e.prompts, Refusals: e.refusals, Pressure: e.pressure, StreamVersions: e.streamVersions,
		Zone: s.Zone, Directory: e.directory, Backend: &guardedBackend{backend, e.recorder}, Services: e.findService,
		Suspects: e.suspects, Grants: e.suspectGossiper, Recorder: e.recorder, Metrics: e.registry,
		RetryWindow: s.RetryWindow, RetryRatio: retryBudgetShare * s.RetryRatio,
		RetryExtra: func() float64 {
			return retryBudgetShare * s.RetryExtra * fleet.FixedShare(e.startedAt, s.RetryWindow) / float64(e.fleet.Size())
		},
	})
	e.prompts.UseLocator(e.exchange.Prompts())
}

// awaitServing closes serving once this process can serve.
func (e *Entry) awaitServing(ctx context.Context) error {
	for !e.anyServerListed() {
		if err := retry.Wait(ctx, startPollInterval); err != nil {
			return err
		}
	}
	if e.rollouts.HasMixedService() {
		e.streamVersions.AwaitLoaded(ctx) // which brings the versions that need no order
	}
	close(e.serving)
	<-ctx.Done()
	return ctx.Err()
}

// newRestartDetector returns the detector of backend servers that restart while the
// store is unreachable.
func (e *Entry) newRestartDetector(backend *platform.Backend) *exchange.RestartDetector {
	restarts := fleet.NewRestarts(e.socket, e.directory)
	return &exchange.RestartDetector{
		Reuse: e.settings.AddressReuse, StoreUnavailable: e.serverFollower.Failing, Found: restarts.Announce,
		Identify: func(ctx context.Context, s *directory.Server) (directory.Start, error) {
			service, ok := e.findService(s.Service)
			if !ok || service.HealthPath == "" {
				return directory.Start{}, errors.Errorf("entry: service %q has no health path", s.Service)
			}
			return backend.Identify(ctx, s, service.HealthPath)
		},
	}
}

// findService returns a service of the configuration in force.
func (e *Entry) findService(name string) (site.Service, bool) {
	config := e.configHolder.Config()
	if config == nil {
		return site.Service{}, false
	}
	s, ok := config.Services[name]
	return s, ok
}

func (e *Entry) newInspect() error {
	registry, err := inspect.New(inspect.Options{
		Identity: inspect.Identity{Process: types.ProcessID(e.settings.Name), Role: types.RoleRouter, Zone: types.Zone(e.settings.Zone)},
		Revision: func() types.Revision { return types.Revision(e.configHolder.Position().Revision()) }, Recorder: e.recorder, Gatherer: e.registry, Registerer: e.registry,
	})
	if err != nil {
		return errors.Wrap(err, "entry: inspect")
	}
	registry.Add("admission", func() any { return e.exchange.Waiting() })
	e.inspect = registry
	return nil
}

// askPeers fetches what is newer from the other entry VMs; it is called when the
// store doesn't answer.
func (e *Entry) askPeers(ctx context.Context) { e.fleet.FetchNewest(ctx) }

// Run serves until ctx ends, then drains and returns. All parts end together: if
// one fails, the others are stopped.
func (e *Entry) Run(ctx context.Context) error {
	s := e.settings
	e.recorder.Emit(EventStarted, "callers", s.Callers, "ready", s.Ready, "peers", s.Peers, "store", s.Store,
		"zone", s.Zone, "grace", s.Grace, "leave_within", s.LeaveWithin, "config_within", s.ConfigWithin)
	var group run.Group
	addBackground(&group, e.configFollower.Run)
	addBackground(&group, e.serverFollower.Run)
	addBackground(&group, e.fleet.Run)
	addBackground(&group, e.fleet.CatchUpWithPeers)
	addBackground(&group, e.followEras)
	addBackground(&group, e.socket.Run)
	addBackground(&group, e.loads.Run)
	addBackground(&group, e.memory.Run)
	addBackground(&group, e.readTimes.Run)
	addBackground(&group, e.places.Run)
	addBackground(&group, e.disturbances.Run)
	addBackground(&group, e.prompts.Run)
	addBackground(&group, e.streamVersions.Run)
	addBackground(&group, e.awaitServing)
	addBackground(&group, e.election.Run)
	addBackground(&group, e.budgets.Run)
	addBackground(&group, e.serverLimits.Run)
	addBackground(&group, e.leaving.Run)
	addBackground(&group, e.refusals.Run)
	addBackground(&group, e.pressure.Run)
	addBackground(&group, e.rolloutMessages.Run)
	addBackground(&group, e.baselines.Run)
	addBackground(&group, e.decider.Run)
	addBackground(&group, e.suspects.Run)
	addBackground(&group, e.suspectGossiper.Run)
	addBackground(&group, e.exchange.LogRunning)
	addBackground(&group, e.prunePool)
	if err := e.serveReady(&group); err != nil {
		return err
	}
	if err := e.servePeers(&group); err != nil {
		return err
	}
	if err := e.serveMetrics(&group); err != nil {
		return err
	}
	if err := e.serveCallers(ctx, &group); err != nil {
		return err
	}
	return group.Run()
}

// addBackground adds a function to the group that runs until its context ends.
func addBackground(group *run.Group, f func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error {
		if err := f(ctx); ctx.Err() == nil {
			return err
		}
		return nil
	}, func(error) { cancel() })
}

// prunePool closes expired connections to backend servers from time to time.
func (e *Entry) prunePool(ctx context.Context) error {
	tick := time.NewTicker(pruneInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			e.pool.Prune()
		}
	}
}
