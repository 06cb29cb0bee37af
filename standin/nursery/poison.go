package nursery

import (
	"net/http"
	"strings"
	"time"
)

// PoisonPath is the path prefix of streams that crash each server that runs them.
const PoisonPath = "/stream/poison"

const (
	poisonDelay    = 150 * time.Millisecond // from a poisoned request's arrival until its server crashes
	poisonDownTime = 700 * time.Millisecond // until that server is restarted
)

// Crash is the crash of a server under a poisoned request.
type Crash struct {
	Target string // request URI
	Server string // id of the incarnation
	At     time.Time
}

// crashUnder crashes the server while it runs a poisoned request, unless the run is ended
// before.
func (s *Server) crashUnder(id string, r *http.Request) {
	select {
	case <-r.Context().Done():
		return
	case <-time.After(poisonDelay):
	}
	if s.crashed.Load() || s.ID() != id {
		return
	}
	s.cloud.Ledger.recordCrash(Crash{Target: r.RequestURI, Server: id, At: time.Now()})
	s.Crash()
	time.AfterFunc(poisonDownTime, func() {
		if s.crashed.Load() {
			_ = s.Restart() // fails if a test has restarted the server meanwhile
		}
	})
}

func isPoisoned(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, PoisonPath) }

// Crashes returns all crashes under poisoned requests so far.
func (l *Ledger) Crashes() []Crash {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Crash(nil), l.crashes...)
}

func (l *Ledger) recordCrash(c Crash) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes = append(l.crashes, c)
}
