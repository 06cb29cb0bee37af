package nursery

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Sizes and speeds of a stand-in server, some ten times those of a real one.
const (
	Events      = 40 // of a stream
	eventGap    = 8 * time.Millisecond
	readPrompt  = 60 * time.Millisecond
	plainWork   = 10 * time.Millisecond
	queueLength = 64
	LargeAnswer = 32 << 20 // bytes of an answer to a target below /large/
)

// Run is one run of a request on a server.
type Run struct {
	Request, Server, Target, Organisation string
	At                                    time.Time
	After                                 int // event after which it went on
}

// Ledger notes what servers ran, for the checks.
type Ledger struct {
	mu       sync.Mutex
	runs     []Run
	arrivals []Run // also those that were refused
	ends     map[string][]How
}

// How is what a server saw of a run's end.
type How string

// Ends of runs.
const (
	Whole     How = "whole"     // the answer was written to its end
	BrokeOff  How = "broke off" // the server ended it
	Abandoned How = "abandoned" // the server's caller closed the connection
)

// Ends returns how the runs of a request ended, as their servers saw it.
func (l *Ledger) Ends(request string) []How {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]How(nil), l.ends[request]...)
}

func (l *Ledger) ended(request string, how How) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ends[request] = append(l.ends[request], how)
}

// Runs returns what ran so far.
func (l *Ledger) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs...)
}

// Arrivals returns what reached servers so far.
func (l *Ledger) Arrivals() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.arrivals...)
}

// Server is one backend server at a fixed address.
type Server struct {
	Service, Zone string
	// Address is what the store lists: that of a proxy in front of it, or its own.
	Address string

	cloud *Cloud
	mu    sync.Mutex
	id    string
	born  int64 // Unix milliseconds of the present start
	http  *http.Server
	// listener is closed beside http, which doesn't know it until Serve has run.
	listener net.Listener
	busy     atomic.Int64
	// LostAnswers is the share of a thousand answers that are cut after the run.
	LostAnswers atomic.Int64
	answers     atomic.Int64
	// EventGap is the time between two events of a stream, in nanoseconds; 0: the usual.
	EventGap atomic.Int64
	listen   string
	crashed  atomic.Bool
	is       Engine
	engine   *engine // of the present start
	draining bool
	drainAt  time.Time
}

// Cloud is all servers with the store that lists them and the copies they hold.
type Cloud struct {
	Watch

	Store  *Store
	Ledger *Ledger

	mu      sync.Mutex
	copies  map[string]int        // by address/run or address/handle: events made
	held    map[string][]heldCopy // by request
	servers map[string]*Server    // by address
	next    atomic.Int64
}

// NewCloud returns a cloud over a store.
func NewCloud(store *Store) *Cloud {
	return &Cloud{
		Store: store, Ledger: &Ledger{ends: map[string][]How{}},
		copies: map[string]int{}, held: map[string][]heldCopy{}, servers: map[string]*Server{},
	}
}

// NewServer starts a server; front returns the address under which it is
// listed, given its own.
func (c *Cloud) NewServer(service, zone string, front func(own string) string) (*Server, error) {
	s := &Server{Service: service, Zone: zone, cloud: c}
	if err := s.start(net.JoinHostPort(serversIP, "0"), c.newID()); err != nil {
		return nil, err
	}
	s.Address = front(s.listen)
	c.mu.Lock()
	c.servers[s.Address] = s
	c.mu.Unlock()
	s.register()
	return s, nil
}

// serversIP is a loopback address from which nobody calls: calls have 127.0.0.1 and any
// free port as their own end, which a server that is down needs to start again.
const serversIP = "127.0.94.1"

func (c *Cloud) newID() string { return fmt.Sprintf("i-%04d", c.next.Add(1)) }

// start starts a process, which holds nothing of what one before it held.
func (s *Server) start(address, id string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listen = listener.Addr().String()
	s.id, s.born = id, max(s.born+1, time.Now().UnixMilli())
	s.draining = false
	s.crashed.Store(false)
	s.cloud.forget(s.Address)
	s.engine = newEngine(s.is)
	server := &http.Server{Handler: s.handler(s.engine, s.id, s.born)}
	s.http, s.listener = server, listener
	go func() { _ = server.Serve(listener) }()
	return nil
}

// forget drops the copies that the process at an address held.
func (c *Cloud) forget(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key := range c.copies {
		if strings.HasPrefix(key, address+"/") || strings.HasPrefix(key, address+"|") {
			delete(c.copies, key)
		}
	}
}

// SetEngine says what bounds the engine from now on, also after a restart.
func (s *Server) SetEngine(is Engine) {
	s.mu.Lock()
	s.is = is
	s.mu.Unlock()
	s.present().set(is)
}

func (s *Server) present() *engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engine
}

// Busy returns how many requests it is serving.
func (s *Server) Busy() int64 { return s.busy.Load() }

// Born returns the Unix millisecond of the present start.
func (s *Server) Born() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.born
}

// ID returns the id of the present start.
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
	id, born := s.id, s.born
	s.mu.Unlock()
	entry, _ := json.Marshal(map[string]any{
		"service": s.Service, "address": s.Address, "zone": s.Zone, "version": "v1", "slots": queueLength,
		"state": state, "coldRemainingMs": 0, "seq": 1, "born": born,
	})
	s.cloud.Store.Put("servers", id, entry)
}

// Crash ends the process with all its connections; its entry stays for a while.
func (s *Server) Crash() {
	s.mu.Lock()
	server, listener := s.http, s.listener
	s.mu.Unlock()
	s.crashed.Store(true)
	_ = listener.Close()
	_ = server.Close()
}

// Restart starts it again at the same address under another id.
func (s *Server) Restart() error {
	old := s.ID()
	if err := s.startAgain(s.cloud.newID()); err != nil {
		return err
	}
	s.cloud.Store.Remove("servers", old)
	s.register()
	return nil
}

// RestartUnderItsID starts it again at the same address under the id that it had.
func (s *Server) RestartUnderItsID() error {
	if err := s.startAgain(s.ID()); err != nil {
		return err
	}
	s.register()
	return nil
}

func (s *Server) startAgain(id string) error {
	s.mu.Lock()
	address := s.listen
	s.mu.Unlock()
	return s.start(address, id)
}

// Drain reports that it leaves; it goes on serving what comes.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining, s.drainAt = true, time.Now()
	s.mu.Unlock()
	s.register()
}

// Stay takes back that it leaves.
func (s *Server) Stay() {
	s.mu.Lock()
	s.draining = false
	s.mu.Unlock()
	s.register()
}

// DrainedFor returns for how long it has been leaving; 0: it isn't.
func (s *Server) DrainedFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.draining {
		return 0
	}
	return time.Since(s.drainAt)
}

func (s *Server) handler(e *engine, id string, born int64) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /pearyard/report", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"phase":"unified","born":%d}`, born)
	})
	mux.HandleFunc("GET /pearyard/kv-list", e.listKept)
	mux.HandleFunc("POST /pearyard/kv-move", s.move)
	mux.HandleFunc("DELETE /pearyard/kv-handle/{handle}", func(_ http.ResponseWriter, r *http.Request) {
		s.cloud.freeCopies(strings.TrimPrefix(r.PathValue("handle"), handlePrefix))
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Instance-Id", id) })
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { s.serve(e, id, w, r) })
	return mux
}

const (
	handlePrefix = "h"
	// movedTokens is what a copy that was asked for takes; the call doesn't tell.
	movedTokens = 1200
)

func (s *Server) move(w http.ResponseWriter, r *http.Request) {
	var body struct{ ID, To string }
	_ = json.NewDecoder(r.Body).Decode(&body)
	handle := handlePrefix + body.ID
	if !s.cloud.keepCopy(body.ID, body.To, body.To+"|"+s.Address+"/"+handle, movedTokens, 0) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"kvHandle": handle, "created": 0})
}

// serve answers one request as a backend server does.
func (s *Server) serve(e *engine, id string, w http.ResponseWriter, r *http.Request) {
	request := r.Header.Get("Attempt-Id")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	run := Run{Request: request, Server: id, Target: r.RequestURI, Organisation: r.Header.Get("Tenant"), At: time.Now(), After: after}
	s.cloud.Ledger.note(&s.cloud.Ledger.arrivals, run)
	w.Header().Set("Attempt-Id", request)
	if want := r.Header.Get("Target-Instance"); want != "" && want != id {
		w.Header().Set("Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	from := r.Header.Get("Kv-From")
	if from != "" && !s.cloud.holds(s.Address, from) {
		refuse(w)
		return
	}
	if s.busy.Add(1) > queueLength {
		s.busy.Add(-1)
		refuse(w)
		return
	}
	defer s.busy.Add(-1)
	if from != "" {
		s.cloud.freeCopies(request) // what it held is the run's own now
	}
	taken, ok := e.admit(tokensOf(r, after), from != "")
	if !ok {
		refuse(w)
		return
	}
	defer e.leave(taken)
	s.cloud.Ledger.note(&s.cloud.Ledger.runs, run)
	w.Header().Set("Response-Signature", id+"."+request)
	if strings.HasPrefix(r.URL.Path, "/stream/") {
		s.stream(w, r, e, taken, after)
		return
	}
	s.plain(w, r)
}

// refuse says that a request was not run.
func refuse(w http.ResponseWriter) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (l *Ledger) note(list *[]Run, run Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*list = append(*list, run)
}

func (s *Server) plain(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	time.Sleep(plainWork)
	if share := s.LostAnswers.Load(); share > 0 && s.answers.Add(1)*share%1000 < share {
		s.cloud.Ledger.ended(r.Header.Get("Attempt-Id"), BrokeOff)
		panic(http.ErrAbortHandler)
	}
	answer := PlainAnswer(r.RequestURI, body)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if _, err := io.WriteString(w, answer); err != nil {
		s.left(r)
		return
	}
	s.cloud.Ledger.ended(r.Header.Get("Attempt-Id"), Whole)
}

// PlainAnswer is what a server answers to a plain request.
func PlainAnswer(target string, body []byte) string {
	if strings.HasPrefix(target, "/large/") {
		return strings.Repeat("x", LargeAnswer)
	}
	return fmt.Sprintf("answer to %s of %d bytes", target, len(body))
}

// left notes that a stream's connection is gone.
func (s *Server) left(r *http.Request) {
	how := Abandoned
	if s.crashed.Load() {
		how = BrokeOff
	}
	s.cloud.Ledger.ended(r.Header.Get("Attempt-Id"), how)
}
