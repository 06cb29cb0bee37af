// Package nursery simulates the users' platform as its documentation describes
// it: the store and the backend servers, in one process, for end-to-end tests and
// the soak test. It records what callers can't see: what ran, how often and when.
// It serves the HTTP API below /pearyard/, which package platform calls; package
// standin simulates the services behind package backing instead.
package nursery

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// StoreFault is a fault that the store applies to all calls.
type StoreFault int32

// Faults of the store.
const (
	StoreHealthy StoreFault = iota // no fault
	StoreBusy                      // answers 503
	StoreSilent                    // never answers
	StoreSlow                      // answers after slowAnswer
	StoreGarbled                   // answers with text that is no JSON
)

const (
	slowAnswer = 300 * time.Millisecond
	maxWait    = 30 * time.Second // of a feed call without changes
)

// row is a row on the wire; Deleted marks the tombstone of a deleted row.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"rowVersion"`
	Deleted bool   `json:"deleted,omitempty"`

	text string // JSON text of the row in answers, if it is not that of the fields above
}

// MarshalJSON implements json.Marshaler.
func (r row) MarshalJSON() ([]byte, error) {
	if r.text != "" {
		return []byte(r.text), nil
	}
	type fields row
	return json.Marshal(fields(r))
}

// Store is a stand-in for the platform's store.
type Store struct {
	Address string
	server  *http.Server

	mu      sync.Mutex     // guards the fields below
	rows    map[string]row // by table/key; deleted rows stay as tombstones
	version uint64         // of the newest change in any table
	dropped uint64         // changes up to this version can't be read any more
	era     uint64         // how many times the store has come back from a copy
	changed chan struct{}  // closed and replaced at each change
	fault   StoreFault

	loseAnswers int       // transactions whose answers are dropped
	startedAt   time.Time // of the store's clock
}

// NewStore starts a store on a loopback port.
func NewStore() (*Store, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return NewStoreAt(listener), nil
}

// NewStoreAt starts a store that accepts connections from a listener.
func NewStoreAt(listener net.Listener) *Store {
	s := &Store{Address: listener.Addr().String(), rows: map[string]row{}, changed: make(chan struct{}), startedAt: time.Now()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /pearyard/rows-tx", s.tx)
	mux.HandleFunc("GET /pearyard/rows-get", s.get)
	mux.HandleFunc("GET /pearyard/rows-feed", s.feed)
	s.server = &http.Server{Handler: s.withFault(mux)}
	go func() { _ = s.server.Serve(listener) }()
	return s
}

// Close stops the store.
func (s *Store) Close() { _ = s.server.Close() }

// SetFault sets the fault of all later calls.
func (s *Store) SetFault(f StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// DropHistory discards the history of changes: a read of the changes since an
// earlier revision is answered with 410.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropped = s.version
	s.notifyWatchers()
}

func (s *Store) withFault(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		fault := s.fault
		s.mu.Unlock()
		setEra(w, s.Era())
		switch fault {
		case StoreBusy:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case StoreSilent:
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		case StoreSlow:
			time.Sleep(slowAnswer)
		case StoreGarbled:
			_, _ = io.WriteString(w, `{"rows":[[[`)
			return
		case StoreHealthy:
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a row as the operator or a backend server does, regardless of the fault,
// and returns its version.
func (s *Store) Put(table, key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[table+"/"+key] = row{Table: table, Key: key, Value: value, Version: s.version}
	s.notifyWatchers()
	return s.version
}

// PutText writes a row whose JSON text in answers is given, such as one with a value that is
// not base64.
func (s *Store) PutText(table, key, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[table+"/"+key] = row{Table: table, Key: key, Version: s.version, text: text}
	s.notifyWatchers()
}

// Remove deletes a row.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[table+"/"+key] = row{Table: table, Key: key, Version: s.version, Deleted: true}
	s.notifyWatchers()
}

// Get returns the value of a row, nil if there is none.
func (s *Store) Get(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[table+"/"+key].Value
}

// LoseAnswers makes the store drop the answers to the next n transactions, which it carries
// out.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseAnswers = n
}

// tx writes rows for a caller, which may write neither the operator's table nor that of
// the backend servers, unless a row does not have its expected version.
func (s *Store) tx(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Write    []row `json:"write"`
		Remove   []row `json:"remove"`
		Expected []row `json:"expectedRevision"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, x := range body.Remove {
		x.Deleted = true
		body.Write = append(body.Write, x)
	}
	for _, write := range body.Write {
		if write.Table == "op" || write.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	if !s.writeIf(body.Expected, body.Write) {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	if s.losesAnswer() {
		panic(http.ErrAbortHandler)
	}
	s.answer(w, s.selectRows(func(row) bool { return false }))
}

// writeIf writes rows if others have their expected versions, and reports whether it did.
func (s *Store) writeIf(expected, write []row) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range expected {
		found := s.rows[x.Table+"/"+x.Key]
		if found.Deleted {
			found.Version = 0
		}
		if found.Version != x.Version {
			return false
		}
	}
	s.version++
	for _, x := range write {
		s.rows[x.Table+"/"+x.Key] = row{Table: x.Table, Key: x.Key, Value: x.Value, Version: s.version, Deleted: x.Deleted}
	}
	s.notifyWatchers()
	return true
}

func (s *Store) losesAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loseAnswers == 0 {
		return false
	}
	s.loseAnswers--
	return true
}

// get answers with the rows of a table whose keys are in a range, in the order of the keys, up
// to the caller's limit.
func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	found := s.selectRows(func(x row) bool {
		return x.Table == q.Get("table") && !x.Deleted && x.Key >= q.Get("source") && (q.Get("to") == "" || x.Key < q.Get("to"))
	})
	slices.SortFunc(found.rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	if limit, _ := strconv.Atoi(q.Get("limit")); limit > 0 && len(found.rows) > limit {
		found.rows, found.more = found.rows[:limit], true
	}
	s.answer(w, found)
}

// result is what a call reads, as of a single moment.
type result struct {
	rows         []row
	more         bool // there are further rows in the range
	version, era uint64
}

func (s *Store) selectRows(match func(row) bool) result {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := result{rows: []row{}, version: s.version, era: s.era}
	for _, x := range s.rows {
		if match(x) {
			found.rows = append(found.rows, x)
		}
	}
	return found
}

// feed answers with the rows of a table that changed after a revision, as soon as there
// are any, or with none after the caller's waiting time.
func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("sinceRevision"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(min(maxWait, time.Duration(waitMs)*time.Millisecond))
	for {
		s.mu.Lock()
		changed, dropped := s.changed, s.dropped
		s.mu.Unlock()
		found := s.selectRows(func(x row) bool { return x.Table == q.Get("table") && x.Version > since })
		// A version after the newest one was given out before the store came back from a copy.
		if since < dropped || since > found.version {
			setEra(w, found.era)
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(found.rows) > 0 {
			s.answer(w, found)
			return
		}
		select {
		case <-changed:
		case <-end:
			s.answer(w, found)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) answer(w http.ResponseWriter, found result) {
	setEra(w, found.era)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": found.rows, "hasMore": found.more, "rowVersion": found.version, "currentTimeMs": time.Since(s.startedAt).Milliseconds()})
}

// setEra names the store's era in an answer.
func setEra(w http.ResponseWriter, era uint64) {
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
}
