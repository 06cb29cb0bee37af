package admin

import (
	"context"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/findings"
	"github.com/pearyard/pearyard/httpwire"
	adminpb "github.com/pearyard/pearyard/rpc/admin"
	"github.com/pearyard/pearyard/types"
)

// Defaults and bounds.
const (
	DefaultWait     = 4 * time.Second // until a revision is in force everywhere
	MaxWait         = 2 * time.Minute
	MaxConfigBytes  = 16 << 20 // 48,000 organisations take about 5 MB
	DefaultHistory  = 20
	MaxHistory      = 1000
	DefaultTimeout  = 2 * time.Second // for one response of one process
	DefaultParallel = 32              // processes queried at once
)

// ConfigRevision is one accepted revision of the configuration.
type ConfigRevision struct {
	Revision types.Revision
	Base     types.Revision
	Who      string
	Note     string
	At       time.Time
	Raw      []byte // the configuration; may be nil in a history
}

// Change is a configuration that an operator submits to replace revision Base.
type Change struct {
	Base types.Revision
	Raw  []byte
	Who  string
	Note string
}

var (
	// ErrNoRevision: the revision does not exist.
	ErrNoRevision = errors.New("no such revision")
	// ErrAmbiguous: the store's response was lost; the change may have been accepted.
	ErrAmbiguous = errors.New("the text may have been accepted; read the history")
	// ErrNotFound: no process or backend server of that name is known.
	ErrNotFound = errors.New("no such process or backend server")
	// ErrNoToken: the administration API is not served without a token.
	ErrNoToken = errors.New("admin: a bearer token is required")
)

// RaceError refuses a change because another one was accepted on the same base first.
type RaceError struct {
	Winner ConfigRevision
	Diff   string // from the base to the winner; empty: the server computes it
}

// Error implements error.
func (e *RaceError) Error() string {
	return errors.Errorf("revision %d by %s was accepted first", e.Winner.Revision, e.Winner.Who).Error()
}

// ConfigStore stores the accepted configurations. Accept returns the new revision
// and the warnings found, or *findings.ListError, *RaceError, ErrAmbiguous or another
// error. Except for ErrAmbiguous, an error means that nothing was accepted. Load
// returns ErrNoRevision for an unknown revision. History returns the newest first and
// needn't fill Raw.
type ConfigStore interface {
	Accept(ctx context.Context, change Change) (types.Revision, findings.List, error)
	Load(ctx context.Context, revision types.Revision) (ConfigRevision, error)
	History(ctx context.Context, limit int) ([]ConfigRevision, error)
}

// State is the state of a process according to the membership.
type State string

// States of a process.
const (
	StateAlive   State = "alive"
	StateSuspect State = "suspect"
	StateLeaving State = "leaving"
	StateDead    State = "dead"
	// StateAbsent: the configuration in force lists the backend server, but there is
	// no member for it.
	StateAbsent State = "absent"
)

// Member is one process as this router sees it.
type Member struct {
	Process       types.ProcessID
	Role          types.Role
	Zone          types.Zone
	Address       string // of its peer listener, host:port
	BackendServer string // that the sidecar belongs to
	State         State
	Incarnation   types.Incarnation
	Revision      types.Revision // newest that it is known to have in force
	InFlight      int
	Load          *types.Load // nil: unknown
}

// Backend is a backend server listed in the configuration in force.
type Backend struct {
	Name    string
	Zone    types.Zone
	Address string // of its sidecar
}

// Quarantine is a request body that is refused because it crashed engines.
type Quarantine struct {
	Fingerprint  types.Fingerprint
	Organisation types.Organisation
	Deaths       int // engines that it crashed
	Until        time.Time
}

// Stopper starts a planned stop of a process and returns how many streams and calls
// it still has in flight. It is idempotent.
type Stopper interface {
	Stop(ctx context.Context, member Member, who string) (inFlight int, err error)
}

// Options of New. A field is required unless its comment says what its zero value
// means.
type Options struct {
	Token       string // bearer token of operators
	Process     types.ProcessID
	Store       ConfigStore
	InForce     func() ConfigRevision // what is in force in this process; zero: nothing
	Members     func() []Member       // including this process
	Quarantines func() []Quarantine   // known to this process; nil: none
	Stopper     Stopper
	Recorder    *event.Recorder       // nil: events are discarded
	Registerer  prometheus.Registerer // nil: metrics are not registered

	Backends func() []Backend                     // of the configuration in force; nil: none are known
	HTTP     *http.Client                         // for requests to the peer listeners; nil: a default client
	Diff     func(from, to ConfigRevision) string // nil: a unified diff of lines
	Secrets  []string                             // values that a bundle must not contain, besides the token
	Timeout  time.Duration                        // for one response of one process; 0: DefaultTimeout
	Parallel int                                  // processes queried at once; 0: DefaultParallel
	Now      func() time.Time                     // nil: time.Now
}

// Server implements the twirp services Commands and Queries and the bundle.
type Server struct {
	opts    Options
	peers   *peers
	metrics *metrics
}

var (
	_ adminpb.Commands = (*Server)(nil)
	_ adminpb.Queries  = (*Server)(nil)
)

// New returns a server, or ErrNoToken if there is no token.
func New(opts Options) (*Server, error) {
	if opts.Token == "" {
		return nil, ErrNoToken
	}
	if opts.HTTP == nil {
		opts.HTTP = &http.Client{Transport: newTransport()}
	}
	if opts.Diff == nil {
		opts.Diff = lineDiff
	}
	if opts.Timeout <= 0 {
		opts.Timeout = DefaultTimeout
	}
	if opts.Parallel <= 0 {
		opts.Parallel = DefaultParallel
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Recorder == nil {
		opts.Recorder = event.Discard()
	}
	if opts.Backends == nil {
		opts.Backends = func() []Backend { return nil }
	}
	if opts.Quarantines == nil {
		opts.Quarantines = func() []Quarantine { return nil }
	}
	return &Server{
		opts:    opts,
		peers:   &peers{client: opts.HTTP, timeout: opts.Timeout, parallel: opts.Parallel, now: opts.Now},
		metrics: newMetrics(opts.Registerer),
	}, nil
}

// idleTimeout limits how long an idle connection to a process is kept. It is short
// because processes are queried seldom.
const idleTimeout = 10 * time.Second

// newTransport returns a transport that never uses a proxy: peers are addressed by
// IP.
func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         httpwire.Dial((&net.Dialer{Timeout: DefaultTimeout}).DialContext),
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     idleTimeout,
	}
}

// PathBundle is where Handler serves the bundle, as a tar.gz.
const PathBundle = "/admin/bundle"

// Handler serves the API to clients with the bearer token.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(adminpb.CommandsPathPrefix, adminpb.NewCommandsServer(s))
	mux.Handle(adminpb.QueriesPathPrefix, adminpb.NewQueriesServer(s))
	mux.HandleFunc("GET "+PathBundle, s.serveBundle)
	return s.requireToken(http.MaxBytesHandler(mux, MaxConfigBytes*2))
}

// members returns the processes that exist or should exist.
//
// Failure guarded against: a router that has just started, or is partitioned, knows
// few members. It would report "in force in 1 of 1 processes" while all others still
// have the old configuration. The configuration in force lists the backend servers
// that must exist; those without a member are added as absent, queried at the
// configured address, and reported if they don't respond.
func (s *Server) members() []Member {
	members := slices.Clone(s.opts.Members())
	served := make(map[string]bool, len(members))
	for i, m := range members {
		served[m.Address] = true
		if m.Process == s.opts.Process {
			members[i].Revision = max(m.Revision, s.opts.InForce().Revision)
		}
	}
	for _, b := range s.opts.Backends() {
		if !served[b.Address] {
			members = append(members, Member{
				Process: types.ProcessID(b.Name), Role: types.RoleSidecar, Zone: b.Zone,
				Address: b.Address, BackendServer: b.Name, State: StateAbsent,
			})
		}
	}
	return members
}

// membersNamed returns the members with that process name or backend server name.
func (s *Server) membersNamed(name string) []Member {
	var out []Member
	for _, m := range s.members() {
		if string(m.Process) == name || (m.BackendServer != "" && m.BackendServer == name) {
			out = append(out, m)
		}
	}
	return out
}
