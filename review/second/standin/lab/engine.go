package lab

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Engine is a model runner that streams events. A request for a path below CrashPath crashes
// it as soon as it begins to run it.
type Engine struct {
	Service, Zone, Address string
	EventFirst             bool // it sends one event before a request crashes it

	store  *Store
	record *Record
	down   time.Duration // how long it is down after a crash

	mu      sync.Mutex
	name    string
	starts  int
	id      string
	server  *http.Server
	crashed bool
}

const (
	// CrashPath begins the paths of requests that crash each engine that begins to run them.
	CrashPath = "/draft/crash"
	// Events is the number of events of a stream.
	Events    = 20
	eventGap  = 20 * time.Millisecond
	perMs     = 8 // prompt tokens that an engine reads in a millisecond
	heartbeat = 1200 * time.Millisecond
)

// NewEngine starts an engine and registers it.
func NewEngine(store *Store, record *Record, ip, name, service, zone string, down time.Duration) (*Engine, error) {
	e := &Engine{Service: service, Zone: zone, Address: net.JoinHostPort(ip, "0"), store: store, record: record, down: down, name: name}
	return e, e.start()
}

// start begins a new incarnation at the engine's address.
func (e *Engine) start() error {
	l, err := net.Listen("tcp4", e.Address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Address, e.crashed = l.Addr().String(), false
	e.starts++
	id := fmt.Sprintf("i-%s-%d", e.name, e.starts)
	e.id = id
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Instance-Id", id) })
	mux.HandleFunc("GET /pearyard/report", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"phase":"unified","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":0,"queued":0,"active":0,"kvUsedTokens":0,"kvTotalTokens":88000,"kvHandles":0}`)
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { e.serve(id, w, r) })
	server := &http.Server{Handler: mux, IdleTimeout: 20 * time.Second}
	e.server = server
	go func() { _ = server.Serve(l) }()
	value, _ := json.Marshal(map[string]any{
		"service": e.Service, "address": e.Address, "zone": e.Zone, "version": "v1", "slots": 64, "state": "ready", "coldRemainingMs": 0, "seq": 1,
	})
	e.store.Put("servers", id, value)
	return nil
}

// crash ends the incarnation with all its connections. Its entry is removed after three
// heartbeats, and a new incarnation starts after the engine's down time.
func (e *Engine) crash(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed || e.id != id {
		return
	}
	e.crashed = true
	e.record.Add("crash", id)
	_ = e.server.Close()
	time.AfterFunc(3*heartbeat, func() { e.store.Remove("servers", id) })
	time.AfterFunc(e.down, func() {
		if err := e.start(); err != nil {
			e.record.Add("engine can't start:", err.Error())
		}
	})
}

func (e *Engine) serve(id string, w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	if want := r.Header.Get("Target-Instance"); want != "" && want != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.ReadAll(r.Body)
	e.record.Add("reaches", attempt, id, r.RequestURI)
	prompt, _, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	tokens, _ := strconv.Atoi(prompt)
	select {
	case <-time.After(time.Duration(tokens/perMs) * time.Millisecond):
	case <-r.Context().Done():
		return
	}
	e.record.Add("run", attempt, id, r.RequestURI)
	crashes := strings.HasPrefix(r.URL.Path, CrashPath)
	if crashes && !e.EventFirst {
		e.crash(id)
		panic(http.ErrAbortHandler)
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Response-Signature", id+"."+attempt)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := after + 1; n <= Events; n++ {
		if crashes && n == after+2 {
			e.crash(id)
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, strings.Repeat("x", 30)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(eventGap):
		case <-r.Context().Done():
			return
		}
	}
}
