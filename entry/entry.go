package entry

import (
	"context"
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
	"github.com/pearyard/pearyard/inspect"
	"github.com/pearyard/pearyard/platform"
	suspectpb "github.com/pearyard/pearyard/rpc/suspect"
	"github.com/pearyard/pearyard/site"
	"github.com/pearyard/pearyard/suspect"
	"github.com/pearyard/pearyard/types"
)

const (
	// ringSize keeps the newest events for a state dump; at most 1 MB.
	ringSize = 1024
	// memoryShare of the process's limit is what the garbage collector keeps to.
	memoryShare = 0.7
	// crashLimit is how many backend servers one request may crash.
	crashLimit = 3
	// crashWindow is how long a crash is held against a request.
	crashWindow = 2 * time.Minute
	// quarantine is how long a request that crashed that many is refused.
	quarantine = 10 * time.Minute
	// retryShare is the part of the retry budget that is used: the first tries
	// and retries of a moment may fall into different spans when counted.
	retryShare = 0.85
	// idleTimeout and headerTimeout hold for connections that the configuration's
	// limits don't bound: of other processes, and of callers while there is none.
	// They are longer than any limit that operators set.
	idleTimeout   = 2 * time.Minute
	headerTimeout = 10 * time.Second
	maxHeader     = 64 << 10
	peerTimeout   = 2 * time.Second
	pruneEvery    = time.Second
	keepIdle      = 1500 * time.Millisecond
)

// Options of an Entry.
type Options struct {
	Settings platform.Settings
	Logger   log.Logger
	Dropped  func() int64 // log lines dropped so far; may be nil
}

// Entry is the program on an entry VM.
type Entry struct {
	settings  platform.Settings
	recorder  *event.Recorder
	registry  *prometheus.Registry
	holder    *site.Holder
	directory *directory.Directory
	config    *site.Follower
	servers   *directory.Follower
	fleet     *fleet.Fleet
	socket    *fleet.Socket
	loads     *fleet.Loads
	readTimes *fleet.ReadTimes
	election  *fleet.Election
	budgets   *fleet.Budgets
	suspects  *suspect.Ledger
	news      *suspect.Spreader
	exchange  *exchange.Exchange
	pool      *httpconn.Pool
	inspect   *inspect.Registry
	started   time.Time
	stop      *stopping
	cutter    *cutter
	ready     atomic.Bool
	running   atomic.Int64
}

// New assembles an Entry.
func New(opts Options) (*Entry, error) {
	s := opts.Settings
	if s.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryLimit)))
	}
	e := &Entry{settings: s, registry: prometheus.NewRegistry(), started: time.Now(), stop: newStopping(), cutter: newCutter(), holder: site.NewHolder(), directory: directory.New()}
	e.recorder = event.NewRecorder(log.With(opts.Logger, "ts", log.DefaultTimestampUTC, "process", s.Name), ringSize)
	store := platform.NewStore(s.Store, e.registry)
	e.config = &site.Follower{Holder: e.holder, Source: store, Recorder: e.recorder, OnFailure: e.askPeers}
	e.servers = &directory.Follower{Directory: e.directory, Source: store, Recorder: e.recorder, OnFailure: e.askPeers}
	client := &http.Client{Timeout: peerTimeout}
	e.newFleet(store, client)
	e.newLoads()
	e.newSuspects(client)
	e.newExchange()
	e.newGauges(opts.Dropped)
	return e, e.newInspect()
}

// newGauges exports how old what is known here is, and how much of the log is missing.
func (e *Entry) newGauges(dropped func() int64) {
	gauge := func(name, help string, value func() float64) {
		e.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	gauge("pearyard_config_age_seconds", "Time since the store or a reader confirmed the configuration, seconds.",
		func() float64 { return e.config.Age().Seconds() })
	gauge("pearyard_server_list_age_seconds", "Time since the store or a reader confirmed the list of backend servers, seconds.",
		func() float64 { return e.servers.Age().Seconds() })
	gauge("pearyard_config_position", "Place of the configuration in force in the store's history.",
		func() float64 { return float64(e.holder.Position()) })
	e.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "pearyard_server_words_dropped_total",
		Help: "Entries of backend servers and losses told of them that were dropped, as another start is the known one.",
	}, func() float64 { return float64(e.directory.DroppedReports()) }))
	gauge("pearyard_servers_invalid", "Entries of the list of backend servers that name no server.",
		func() float64 { return float64(e.directory.View().Invalid()) })
	if dropped != nil {
		gauge("pearyard_log_lines_dropped", "Log lines dropped because nobody read the output.", func() float64 { return float64(dropped()) })
	}
}

func (e *Entry) newFleet(store *platform.Store, client *http.Client) {
	e.fleet = fleet.New(fleet.Options{
		Name: e.settings.Name, Address: e.settings.Peers, Seeds: e.settings.Seeds, Registry: store,
		Holder: e.holder, Directory: e.directory, Decode: platform.DecodeConfig,
		OfferConfig: e.config.Offer, OfferList: e.servers.ApplyPeerList, OfferChanges: e.servers.ApplyPeerChanges, Settled: e.servers.Settled, Client: client, Recorder: e.recorder,
	})
}

// newLoads ties this process to the other entry VMs: what they know of load, and
// who of them reads the store for all.
func (e *Entry) newLoads() {
	e.socket = fleet.NewSocket(e.settings.Peers, e.fleet.Peers, e.registry)
	e.socket.Report(e.recorder)
	e.loads = fleet.NewLoads(fleet.LoadsOptions{Socket: e.socket, Near: e.fleet.Near, Directory: e.directory})
	e.readTimes = fleet.NewReadTimes(e.socket, e.fleet.Near, e.directory)
	e.election = fleet.NewElection(fleet.ElectionOptions{
		Address: e.settings.Peers, Socket: e.socket, Position: e.position, Reached: e.reached, Size: e.fleet.Size, Fetch: e.fleet.AskChanges, Recorder: e.recorder,
	})
	e.budgets = fleet.NewBudgets(fleet.BudgetsOptions{
		Socket: e.socket, Near: e.fleet.Near, Size: e.fleet.Size,
		Ratio: retryShare * e.settings.RetryRatio, Extra: retryShare * e.settings.RetryExtra, Window: e.settings.RetryWindow,
	})
	e.fleet.UseElection(e.election)
	e.config.OnApplied = e.fleet.Applied
	turns := follow.NewProbeGroup()
	e.config.ProbeGroup, e.servers.ProbeGroup = turns, turns
	e.config.Share, e.servers.Share = e.election.For(fleet.Config), e.election.For(fleet.List)
}

func (e *Entry) position(s fleet.Subject) uint64 {
	if s == fleet.Config {
		return e.holder.Position()
	}
	return e.directory.View().UnchangedSince
}

// reached returns the place in the store's history up to which there is nothing newer.
func (e *Entry) reached(s fleet.Subject) uint64 {
	if s == fleet.Config {
		return e.holder.Position()
	}
	return e.servers.Reached()
}

func (e *Entry) newSuspects(client *http.Client) {
	e.suspects = suspect.New(suspect.Options{
		Self: types.ProcessID(e.settings.Name), Limit: crashLimit, Quarantine: quarantine, Window: crashWindow,
		Recorder: e.recorder, Registerer: e.registry,
	})
	e.news = suspect.NewSpreader(e.suspects, suspect.SpreaderOptions{
		Self: e.settings.Peers, Peers: e.fleet.Peers,
		Dial: func(peer string) suspectpb.Suspects {
			return suspectpb.NewSuspectsProtobufClient("http://"+peer, client)
		},
	})
}

func (e *Entry) newExchange() {
	e.pool = httpconn.NewPool(httpconn.Options{MaxIdle: keepIdle})
	s := e.settings
	backend := platform.NewBackend(e.pool)
	e.exchange = exchange.New(exchange.Options{
		Restarts: e.restarts(backend), Lender: e.budgets,
		Zone: s.Zone, Directory: e.directory, Backend: &guardedBackend{backend, e.recorder}, Services: e.service,
		Suspects: e.suspects, Recorder: e.recorder, Metrics: e.registry,
		RetryWindow: s.RetryWindow, RetryRatio: retryShare * s.RetryRatio,
		RetryExtra: func() float64 {
			return retryShare * s.RetryExtra * fleet.FixedShare(e.started, s.RetryWindow) / float64(e.fleet.Size())
		},
	})
}

// restarts finds backend servers that come back while the store is away.
func (e *Entry) restarts(backend *platform.Backend) *exchange.Restarts {
	found := fleet.NewRestarts(e.socket, e.directory)
	return &exchange.Restarts{
		Reuse: e.settings.AddressReuse, Away: e.servers.Failing, Found: found.Found,
		Identify: func(ctx context.Context, s *directory.Server) (directory.Start, error) {
			service, ok := e.service(s.Service)
			if !ok || service.HealthPath == "" {
				return directory.Start{}, errors.Errorf("entry: service %q has no health path", s.Service)
			}
			return backend.Identify(ctx, s, service.HealthPath)
		},
	}
}

func (e *Entry) service(name string) (site.Service, bool) {
	config := e.holder.Config()
	if config == nil {
		return site.Service{}, false
	}
	s, ok := config.Services[name]
	return s, ok
}

func (e *Entry) newInspect() error {
	registry, err := inspect.New(inspect.Options{
		Identity: inspect.Identity{Process: types.ProcessID(e.settings.Name), Role: types.RoleRouter, Zone: types.Zone(e.settings.Zone)},
		Revision: func() types.Revision { return types.Revision(e.holder.Position()) }, Recorder: e.recorder, Gatherer: e.registry, Registerer: e.registry,
	})
	if err != nil {
		return errors.Wrap(err, "entry: inspect")
	}
	e.inspect = registry
	return nil
}

// askPeers is called when the store doesn't answer.
func (e *Entry) askPeers(ctx context.Context) { e.fleet.Ask(ctx) }

// Run serves until ctx ends, then drains and returns.
func (e *Entry) Run(ctx context.Context) error {
	s := e.settings
	e.recorder.Emit(EventStarted, "callers", s.Callers, "ready", s.Ready, "peers", s.Peers, "store", s.Store,
		"zone", s.Zone, "grace", s.Grace, "leave_within", s.LeaveWithin, "config_within", s.ConfigWithin)
	var group run.Group
	background(&group, e.config.Run)
	background(&group, e.servers.Run)
	background(&group, e.fleet.Run)
	background(&group, e.socket.Run)
	background(&group, e.loads.Run)
	background(&group, e.readTimes.Run)
	background(&group, e.election.Run)
	background(&group, e.budgets.Run)
	background(&group, e.suspects.Run)
	background(&group, e.news.Run)
	background(&group, e.exchange.TellRunning)
	background(&group, e.prune)
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

// background adds a function that runs until its context ends.
func background(group *run.Group, f func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error {
		if err := f(ctx); ctx.Err() == nil {
			return err
		}
		return nil
	}, func(error) { cancel() })
}

func (e *Entry) prune(ctx context.Context) error {
	tick := time.NewTicker(pruneEvery)
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
