package nursery

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Sizes and speeds of a stand-in server, about ten times faster than a real one.
const (
	Events           = 40                    // number of events of a stream
	eventGap         = 8 * time.Millisecond  // between two events of a stream
	defaultPrefill   = 60 * time.Millisecond // of a prompt, if the engine's limits don't set it
	plainDuration    = 10 * time.Millisecond // of a request that isn't a stream
	slots            = 64                    // requests that a server runs at once; more are refused
	LargeAnswerBytes = 64 << 20              // of the response to a target below /large/; a connection may buffer 36 MB
)

// Server is one backend server at a fixed address.
type Server struct {
	Service, Zone string
	// Address is the address listed in the store: the server's own or that of a
	// proxy in front of it.
	Address string

	cloud       *Cloud
	mu          sync.Mutex // guards the fields below but the atomic ones
	id          string
	startMillis int64 // start of this incarnation, in Unix milliseconds
	http        *http.Server
	// listener is closed along with http, which doesn't know it before Serve runs.
	listener net.Listener
	active   atomic.Int64 // requests being served
	// LostAnswersPerMille is how many of a thousand plain responses are dropped after
	// the run.
	LostAnswersPerMille atomic.Int64
	plainAnswers        atomic.Int64 // plain responses while LostAnswersPerMille was set
	// EventGap is the time between two events of a stream, in nanoseconds; 0 means
	// the default.
	EventGap atomic.Int64
	version  string // of the software of the next incarnation
	// FailedPerMille is how many of a thousand requests are answered with an error, chosen
	// by the hash of the request's id. SlowFactor multiplies the time of each request; 0
	// means 1.
	FailedPerMille atomic.Int64
	SlowFactor     atomic.Int64
	rateLimit      atomic.Pointer[float64] // that its answers name; nil: none
	saysLeaving    atomic.Bool             // its answers say that it leaves
	turnsAway      atomic.Int64            // the rest that it asks for while it turns requests away, in nanoseconds; 0: it takes them
	disturbance    atomic.Int64            // see Disturb
	hangs          atomic.Bool             // see Hang
	worksOn        atomic.Int64            // see WorkOn, in nanoseconds

	ownAddress string // that the server listens on
	crashed    atomic.Bool
	limits     EngineLimits
	engine     *engine // of this incarnation
	draining   bool
	drainStart time.Time
}

// Stop stops the server without draining and removes its entry, as the platform does with
// the servers of the former version when a roll-out is completed.
func (s *Server) Stop() {
	s.Crash()
	s.cloud.Store.Remove("servers", s.ID())
}

// Cloud consists of all servers, the store that lists them and the KV copies that
// they hold.
type Cloud struct {
	StreamOptions

	Store  *Store
	Ledger *Ledger

	mu             sync.Mutex                // guards the fields below
	copies         map[string]int            // events in each KV copy when it was made, by address/request or address|source/handle
	reservedCopies map[string][]reservedCopy // by request
	servers        map[string]*Server        // by address
	lastID         atomic.Int64
}

// NewCloud returns a cloud without servers that uses the given store.
func NewCloud(store *Store) *Cloud {
	return &Cloud{
		Store: store, Ledger: &Ledger{ends: map[string][]RunEnd{}},
		copies: map[string]int{}, reservedCopies: map[string][]reservedCopy{}, servers: map[string]*Server{},
	}
}

// NewServer starts a server and lists it in the store. front maps the server's own
// address to the one that is listed.
func (c *Cloud) NewServer(service, zone string, front func(own string) string) (*Server, error) {
	return c.NewServerOfVersion(service, zone, DefaultVersion, front)
}

// DefaultVersion is the version of the software of servers.
const DefaultVersion = "v1"

// NewServerOfVersion is NewServer for a version of the server's software.
func (c *Cloud) NewServerOfVersion(service, zone, version string, front func(own string) string) (*Server, error) {
	s := &Server{Service: service, Zone: zone, version: version, cloud: c}
	if err := s.start(net.JoinHostPort(serversIP, "0"), c.newID()); err != nil {
		return nil, err
	}
	s.Address = front(s.ownAddress)
	c.mu.Lock()
	c.servers[s.Address] = s
	c.mu.Unlock()
	s.register()
	return s, nil
}

// serversIP is a loopback address that no client uses as its local address. Clients
// call from 127.0.0.1 and any free port; on that address they could take the port that
// a stopped server needs for its restart.
const serversIP = "127.0.94.1"

func (c *Cloud) newID() string { return fmt.Sprintf("i-%04d", c.lastID.Add(1)) }

// start starts a new incarnation, without the memory and KV copies of the one before.
func (s *Server) start(address, id string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ownAddress = listener.Addr().String()
	s.id, s.startMillis = id, max(s.startMillis+1, time.Now().UnixMilli())
	s.draining = false
	s.saysLeaving.Store(false)
	s.turnsAway.Store(0)
	s.hangs.Store(false)
	s.crashed.Store(false)
	s.cloud.forgetCopies(s.Address)
	s.engine = newEngine(s.limits, s.version)
	s.engine.disturbed, s.engine.onPreempt = s.disturbed, s.cloud.Ledger.recordPreemption
	server := &http.Server{Handler: s.handler(s.engine, s.id, s.startMillis)}
	s.http, s.listener = server, listener
	go func() { _ = server.Serve(listener) }()
	return nil
}

// forgetCopies drops the KV copies held at an address.
func (c *Cloud) forgetCopies(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key := range c.copies {
		if strings.HasPrefix(key, address+"/") || strings.HasPrefix(key, address+"|") {
			delete(c.copies, key)
		}
	}
}

// SetEngineLimits sets the limits of the engine; they also apply after a restart.
func (s *Server) SetEngineLimits(limits EngineLimits) {
	s.mu.Lock()
	s.limits = limits
	s.mu.Unlock()
	s.currentEngine().setLimits(limits)
}

func (s *Server) currentEngine() *engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engine
}

// SetVersion sets the version of the software of the next incarnation.
func (s *Server) SetVersion(version string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = version
}

// NameRateLimit makes the server's answers name how many requests a second it takes. A
// negative limit ends that.
func (s *Server) NameRateLimit(perSecond float64) {
	if perSecond < 0 {
		s.rateLimit.Store(nil)
		return
	}
	s.rateLimit.Store(&perSecond)
}

// SayLeaving makes all answers of this incarnation say that it leaves. Its entry stays as it
// is.
func (s *Server) SayLeaving() { s.saysLeaving.Store(true) }

// TurnAway makes the server turn requests away, each with a wish for rest. A time of 0 ends
// that.
func (s *Server) TurnAway(rest time.Duration) { s.turnsAway.Store(int64(rest)) }

// ActiveRequests returns how many requests the server is serving.
func (s *Server) ActiveRequests() int64 { return s.active.Load() }

// StartMillis returns when this incarnation started, in Unix milliseconds.
func (s *Server) StartMillis() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startMillis
}

// ID returns the id of this incarnation.
func (s *Server) ID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id
}

func (s *Server) register() {
	s.mu.Lock()
	state := "ready"
	if s.draining {
		state = "draining"
	}
	id, startMillis, version := s.id, s.startMillis, s.engine.version
	s.mu.Unlock()
	entry, _ := json.Marshal(map[string]any{
		"service": s.Service, "address": s.Address, "zone": s.Zone, "version": version, "slots": slots,
		"state": state, "coldRemainingMs": 0, "seq": 1, "born": startMillis,
	})
	s.cloud.Store.Put("servers", id, entry)
}

// Crash stops the server and closes all its connections. Its entry stays in the
// store.
func (s *Server) Crash() {
	s.mu.Lock()
	server, listener := s.http, s.listener
	s.mu.Unlock()
	s.crashed.Store(true)
	s.cloud.Ledger.endWorkAt(s.Address)
	_ = listener.Close()
	_ = server.Close()
}

// Restart starts a new incarnation at the same address under a new id.
func (s *Server) Restart() error {
	old := s.ID()
	if err := s.startAtSameAddress(s.cloud.newID()); err != nil {
		return err
	}
	s.cloud.Store.Remove("servers", old)
	s.register()
	return nil
}

// RestartWithSameID starts a new incarnation at the same address under the same id.
func (s *Server) RestartWithSameID() error {
	if err := s.startAtSameAddress(s.ID()); err != nil {
		return err
	}
	s.register()
	return nil
}

func (s *Server) startAtSameAddress(id string) error {
	s.mu.Lock()
	address := s.ownAddress
	s.mu.Unlock()
	return s.start(address, id)
}

// Drain lists the server as draining; it still serves every request.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining, s.drainStart = true, time.Now()
	s.mu.Unlock()
	s.register()
}

// CancelDrain cancels Drain.
func (s *Server) CancelDrain() {
	s.mu.Lock()
	s.draining = false
	s.mu.Unlock()
	s.register()
}

// DrainingFor returns how long the server has been draining; 0 if it isn't.
func (s *Server) DrainingFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.draining {
		return 0
	}
	return time.Since(s.drainStart)
}

func (s *Server) handler(e *engine, id string, startMillis int64) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /pearyard/report", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"phase":"unified","born":%d}`, startMillis)
	})
	mux.HandleFunc("GET /pearyard/kv-list", e.serveCachedPrompts)
	mux.HandleFunc("POST /pearyard/kv-move", s.move)
	mux.HandleFunc("DELETE /pearyard/kv-handle/{handle}", func(_ http.ResponseWriter, r *http.Request) {
		s.cloud.freeCopies(strings.TrimPrefix(r.PathValue("handle"), handlePrefix))
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Instance-Id", id)
		s.reportLoad(w, e)
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { s.serve(e, id, startMillis, w, r) })
	return s.announceLeaving(mux)
}

// announceLeaving adds to each answer that the server leaves, if it does.
func (s *Server) announceLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.saysLeaving.Load() {
			w.Header().Set("Server-Leaving", "1")
		}
		next.ServeHTTP(w, r)
	})
}

// serve handles one request as a backend server does.
func (s *Server) serve(e *engine, id string, startMillis int64, w http.ResponseWriter, r *http.Request) {
	request := r.Header.Get("Attempt-Id")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	run := Run{Request: request, Server: id, StartMillis: startMillis, Target: r.RequestURI, Organisation: r.Header.Get("Tenant"), At: time.Now(), ResumedAfter: after, RateLimit: s.rateLimit.Load(), Leaving: s.saysLeaving.Load()}
	if run.RateLimit != nil {
		w.Header().Set("Server-Limit", strconv.FormatFloat(*run.RateLimit, 'f', -1, 64))
	}
	s.cloud.Ledger.record(&s.cloud.Ledger.arrivals, run)
	w.Header().Set("Attempt-Id", request)
	if want := r.Header.Get("Target-Instance"); want != "" && want != id {
		w.Header().Set("Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if rest := time.Duration(s.turnsAway.Load()); rest > 0 {
		s.cloud.Ledger.recordRest(Rest{Request: request, Server: id, StartMillis: startMillis, At: time.Now(), For: rest})
		w.Header().Set("Retry-After", strconv.FormatFloat(rest.Seconds(), 'f', -1, 64))
		refuse(w)
		return
	}
	from := r.Header.Get("Kv-From")
	if from != "" && !s.cloud.hasCopy(s.Address, from) {
		refuse(w)
		return
	}
	if s.active.Add(1) > slots {
		s.active.Add(-1)
		refuse(w)
		return
	}
	defer s.active.Add(-1)
	if s.hangs.Load() {
		s.hang(r, run)
	}
	if from != "" {
		s.cloud.freeCopies(request) // the run's own allocation replaces them
	}
	memory, ok := s.admit(e, r, after)
	if !ok {
		s.reportLoad(w, e)
		refuse(w)
		return
	}
	defer e.release(memory)
	s.cloud.Ledger.record(&s.cloud.Ledger.runs, run)
	work := s.beginWork(run, from != "")
	defer s.cloud.Ledger.endWork(work)
	w.Header().Set("Response-Signature", id+"."+request)
	if isPoisoned(r) {
		s.crashUnder(id, r)
		panic(http.ErrAbortHandler)
	}
	if s.fails(request) {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/stream/") {
		s.stream(w, r, e, memory, work)
		return
	}
	s.plain(w, r, e)
}
