// Package nursery is a stand-in for the users' platform as its pages describe
// it: the store and backend servers, in one process, for end-to-end tests and
// the soak. It checks what callers can't see: what ran, how often, and when.
package nursery

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// StoreFault is how the store treats calls.
type StoreFault int32

// Faults of the store.
const (
	StoreWell   StoreFault = iota
	StoreBusy              // 503
	StoreSilent            // no answer
	StoreSlow              // each answer takes slowAnswer
)

const (
	slowAnswer = 300 * time.Millisecond
	maxWait    = 30 * time.Second
)

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"rowVersion"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Store is the platform's store.
type Store struct {
	Address string
	server  *http.Server

	mu      sync.Mutex
	rows    map[string]row // by table/key; deleted ones stay as marks
	version uint64
	dropped uint64 // history up to here is gone
	changed chan struct{}
	fault   StoreFault
}

// NewStore starts a store on loopback.
func NewStore() (*Store, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{Address: listener.Addr().String(), rows: map[string]row{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /pearyard/rows-tx", s.tx)
	mux.HandleFunc("GET /pearyard/rows-get", s.get)
	mux.HandleFunc("GET /pearyard/rows-feed", s.feed)
	s.server = &http.Server{Handler: s.faulty(mux)}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// Close stops the store.
func (s *Store) Close() { _ = s.server.Close() }

// SetFault sets how calls are treated from now on.
func (s *Store) SetFault(f StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// DropHistory forgets all changes so far.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropped = s.version
	s.wake()
}

func (s *Store) faulty(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		fault := s.fault
		s.mu.Unlock()
		switch fault {
		case StoreBusy:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case StoreSilent:
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		case StoreSlow:
			time.Sleep(slowAnswer)
		case StoreWell:
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a row as the operator or a backend server does, whatever the fault.
func (s *Store) Put(table, key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[table+"/"+key] = row{Table: table, Key: key, Value: value, Version: s.version}
	s.wake()
	return s.version
}

// Remove deletes a row.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[table+"/"+key] = row{Table: table, Key: key, Version: s.version, Deleted: true}
	s.wake()
}

func (s *Store) tx(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Write []row `json:"write"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, write := range body.Write {
		if write.Table == "op" || write.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		s.Put(write.Table, write.Key, write.Value)
	}
	s.answer(w, nil)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.answer(w, s.find(func(x row) bool {
		return x.Table == q.Get("table") && !x.Deleted && x.Key >= q.Get("source") && (q.Get("to") == "" || x.Key < q.Get("to"))
	}))
}

func (s *Store) find(match func(row) bool) []row {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []row
	for _, x := range s.rows {
		if match(x) {
			found = append(found, x)
		}
	}
	return found
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("sinceRevision"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(min(maxWait, time.Duration(waitMs)*time.Millisecond))
	for {
		s.mu.Lock()
		changed, gone := s.changed, since < s.dropped
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		rows := s.find(func(x row) bool { return x.Table == q.Get("table") && x.Version > since })
		if len(rows) > 0 {
			s.answer(w, rows)
			return
		}
		select {
		case <-changed:
		case <-end:
			s.answer(w, nil)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) answer(w http.ResponseWriter, rows []row) {
	s.mu.Lock()
	version := s.version
	s.mu.Unlock()
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "hasMore": false, "rowVersion": version, "currentTimeMs": 1})
}
