// Package lab holds small stand-ins for the review's scripts, written after the users' pages:
// the platform's store, runners and clients. Nothing of the project is imported.
package lab

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store on the wire.
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

	mu      sync.Mutex
	rows    map[string]row // by table, part and key; deleted ones stay for the feed
	version uint64
	changed chan struct{} // closed and replaced with each change
	began   time.Time
}

// NewStore starts a store on a free port of a loopback address.
func NewStore(ip string) (*Store, error) {
	l, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &Store{Address: l.Addr().String(), rows: map[string]row{}, changed: make(chan struct{}), began: time.Now()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /pearyard/rows-tx", s.tx)
	mux.HandleFunc("GET /pearyard/rows-get", s.get)
	mux.HandleFunc("GET /pearyard/rows-feed", s.feed)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

func rowKey(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

// Put writes a row, as the operator or a runner does.
func (s *Store) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.writeLocked(row{Table: table, Key: key, Value: value})
}

// Remove removes a row, as when a runner's entry expires.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.writeLocked(row{Table: table, Key: key, Deleted: true})
}

func (s *Store) writeLocked(r row) {
	r.Version = s.version
	s.rows[rowKey(r.Table, r.Part, r.Key)] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) tx(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []row `json:"expectedRevision"`
		Write    []row `json:"write"`
		Remove   []row `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(5 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range append(append([]row{}, body.Write...), body.Remove...) {
		if x.Table == "op" || x.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	var current []row
	holds := true
	for _, x := range body.Expected {
		found, ok := s.rows[rowKey(x.Table, x.Part, x.Key)]
		if !ok || found.Deleted {
			found.Version = 0
		} else {
			current = append(current, found)
		}
		holds = holds && found.Version == x.Version
	}
	if !holds {
		w.WriteHeader(http.StatusPreconditionFailed)
		s.answerLocked(w, current, false)
		return
	}
	s.version++
	for _, x := range body.Write {
		s.writeLocked(x)
	}
	for _, x := range body.Remove {
		x.Deleted, x.Value = true, nil
		s.writeLocked(x)
	}
	s.answerLocked(w, nil, false)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []row
	for _, x := range s.rows {
		if x.Table == q.Get("table") && x.Part == q.Get("part") && !x.Deleted && x.Key >= q.Get("source") && (q.Get("to") == "" || x.Key < q.Get("to")) {
			found = append(found, x)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > limit
	if more {
		found = found[:limit]
	}
	s.answerLocked(w, found, more)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("sinceRevision"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	time.Sleep(4 * time.Millisecond)
	for last := false; ; {
		s.mu.Lock()
		changed := s.changed
		var found []row
		for _, x := range s.rows {
			if x.Table == q.Get("table") && x.Version > since {
				found = append(found, x)
			}
		}
		if len(found) > 0 || last {
			sort.Slice(found, func(i, j int) bool { return found[i].Version < found[j].Version })
			s.answerLocked(w, found, false)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) answerLocked(w http.ResponseWriter, rows []row, more bool) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "hasMore": more, "rowVersion": s.version, "currentTimeMs": time.Since(s.began).Milliseconds(),
	})
}
