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
	adminpb "github.com/pearyard/pearyard/rpc/admin"
	"github.com/pearyard/pearyard/types"
)

// Defaults and bounds.
const (
	DefaultWait     = 4 * time.Second // for a revision to be in force everywhere
	MaxWait         = 2 * time.Minute
	MaxTextBytes    = 16 << 20 // 48,000 organisations take about 5 MB
	DefaultHistory  = 20
	MaxHistory      = 1000
	DefaultTimeout  = 2 * time.Second // for one answer of one process
	DefaultParallel = 32              // processes asked at once
)

// Text is one accepted operators' text.
type Text struct {
	Revision types.Revision
	Base     types.Revision
	Who      string
	Note     string
	At       time.Time
	Raw      []byte // may be nil in a history
}

// Change is a text that an operator wants in force in place of Base.
type Change struct {
	Base types.Revision
	Raw  []byte
	Who  string
	Note string
}

var (
	// ErrNoRevision: there is no text of that revision.
	ErrNoRevision = errors.New("no such revision")
	// ErrAmbiguous: the store's answer was lost; the text may be accepted.
	ErrAmbiguous = errors.New("the text may have been accepted; read the history")
	// ErrNotFound: no process or backend server of that name is known.
	ErrNotFound = errors.New("no such process or backend server")
	// ErrNoToken: an administration API without a token is not served.
	ErrNoToken = errors.New("admin: a bearer token is required")
)

// RaceError refuses a text because another was accepted on its base first.
type RaceError struct {
	Winner Text
	Diff   string // from the loser's base to the winner; empty: the server makes it
}

// Error implements error.
func (e *RaceError) Error() string {
	return errors.Errorf("revision %d by %s was accepted first", e.Winner.Revision, e.Winner.Who).Error()
}

// Texts is the store of accepted texts. Accept returns the new revision and the
// warnings found, or *findings.ListError, *RaceError, ErrAmbiguous or another
// error, after which nothing was accepted. Load returns ErrNoRevision for an unknown
// revision. History returns the newest first and needn't fill Raw.
type Texts interface {
	Accept(ctx context.Context, change Change) (types.Revision, findings.List, error)
	Load(ctx context.Context, revision types.Revision) (Text, error)
	History(ctx context.Context, limit int) ([]Text, error)
}

// State is what the membership says of a process.
type State string

// States of a process.
const (
	StateAlive   State = "alive"
	StateSuspect State = "suspect"
	StateLeaving State = "leaving"
	StateDead    State = "dead"
	// StateAbsent: the text in force names the backend server, but no member
	// serves it.
	StateAbsent State = "absent"
)

// Member is one process as this router sees it.
type Member struct {
	Process       types.ProcessID
	Role          types.Role
	Zone          types.Zone
	Address       string // of its peer listener, host:port
	BackendServer string // beside a sidecar
	State         State
	Incarnation   types.Incarnation
	Revision      types.Revision // newest that it is known to have in force
	InFlight      int
	Load          *types.Load // nil: not known
}

// Backend is a backend server as the text in force names it.
type Backend struct {
	Name    string
	Zone    types.Zone
	Address string // of its sidecar
}

// Quarantine is one request body that is refused because it killed engines.
type Quarantine struct {
	Fingerprint  types.Fingerprint
	Organisation types.Organisation
	Deaths       int
	Until        time.Time
}

// Stopper starts a planned stop of a process and returns how many streams and
// calls it still has in flight. Asking again for a stop that runs is harmless.
type Stopper interface {
	Stop(ctx context.Context, member Member, who string) (inFlight int, err error)
}

// Options of New. All but the last ones are required.
type Options struct {
	Token       string // bearer token of operators
	Process     types.ProcessID
	Texts       Texts
	InForce     func() Text         // the text in force in this process; zero: none
	Members     func() []Member     // this process included
	Quarantines func() []Quarantine // in this process's view
	Stopper     Stopper
	Recorder    *event.Recorder
	Registerer  prometheus.Registerer

	Backends func() []Backend           // of the text in force; nil: none are known
	HTTP     *http.Client               // towards the peer listeners; nil: a plain one
	Diff     func(from, to Text) string // nil: a unified diff of lines
	Secrets  []string                   // values that a bundle must not show, besides the token
	Timeout  time.Duration              // for one answer of one process; 0: DefaultTimeout
	Parallel int                        // processes asked at once; 0: DefaultParallel
	Now      func() time.Time           // nil: time.Now
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

// New checks the options and returns a server.
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

// idleTimeout closes connections to processes soon: they are asked seldom.
const idleTimeout = 10 * time.Second

// newTransport returns a transport that never uses a proxy: peers are reached by
// their IP numbers.
func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: DefaultTimeout}).DialContext,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     idleTimeout,
	}
}

// PathBundle is where Handler serves the bundle, as a tar.gz.
const PathBundle = "/admin/bundle"

// Handler serves the API behind the bearer token.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(adminpb.CommandsPathPrefix, adminpb.NewCommandsServer(s))
	mux.Handle(adminpb.QueriesPathPrefix, adminpb.NewQueriesServer(s))
	mux.HandleFunc("GET "+PathBundle, s.serveBundle)
	return s.authorised(http.MaxBytesHandler(mux, MaxTextBytes*2))
}

// members returns the processes that there are or should be.
//
// Failure guarded against: a router that has just started, or is cut off, knows
// few members. It shows as "in force in 1 of 1 processes" while all others still
// have the old text. The text in force says which backend servers there must be;
// those that no member serves are listed as absent, asked at the address that
// the text gives, and named if they don't answer.
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

// named returns the members that a process's or backend server's name means.
func (s *Server) named(name string) []Member {
	var out []Member
	for _, m := range s.members() {
		if string(m.Process) == name || (m.BackendServer != "" && m.BackendServer == name) {
			out = append(out, m)
		}
	}
	return out
}
