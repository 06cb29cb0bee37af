package standin

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/pearyard/pearyard/backing"
	platformapi "github.com/pearyard/pearyard/backing/httpapi"
)

const pathSetVMs = "/vms"

// serviceID numbers the platform's services.
type serviceID int

const (
	tableService serviceID = iota
	objectService
	vmService
	weightService
	services
)

// service carries the faults of one of the platform's services.
type service struct {
	mu          sync.Mutex // guards all below
	down        bool
	slow        time.Duration
	stale       time.Duration
	loseCalls   int
	loseAnswers int
}

func (s *service) apply(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	set(&s.down, f.Down)
	set(&s.loseCalls, f.LoseCalls)
	set(&s.loseAnswers, f.LoseAnswers)
	if f.SlowMS != nil {
		s.slow = time.Duration(*f.SlowMS) * time.Millisecond
	}
	if f.StaleMS != nil {
		s.stale = time.Duration(*f.StaleMS) * time.Millisecond
	}
}

// enter lets a call in after the faults that come before its effect.
func (s *service) enter(w http.ResponseWriter) bool {
	s.mu.Lock()
	down, slow, lost := s.down, s.slow, spend(&s.loseCalls)
	s.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	if down {
		http.Error(w, "service is down", http.StatusServiceUnavailable)
		return false
	}
	time.Sleep(slow)
	return true
}

// losesAnswer spends a lost answer; in services that write, on writes alone, so
// that a read at the same time doesn't use up a fault meant for a commit.
func (s *service) losesAnswer(id serviceID, r *http.Request) bool {
	writes := id == tableService || id == objectService
	if writes && r.Method == http.MethodGet {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return spend(&s.loseAnswers)
}

func (s *service) staleness() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stale
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

func (p *Platform) routes() *http.ServeMux {
	api := http.NewServeMux()
	api.HandleFunc("GET "+platformapi.PathRow, p.within(tableService, p.serveRow))
	api.HandleFunc("GET "+platformapi.PathRows, p.within(tableService, p.serveRows))
	api.HandleFunc("POST "+platformapi.PathCommit, p.within(tableService, p.serveCommit))
	api.HandleFunc("GET "+platformapi.PathObject, p.within(objectService, p.serveObject))
	api.HandleFunc("PUT "+platformapi.PathObject, p.within(objectService, p.servePut))
	api.HandleFunc("GET "+platformapi.PathVMs, p.within(vmService, p.serveVMs))
	api.HandleFunc("GET "+platformapi.PathWeights, p.within(weightService, p.serveWeights))
	mux := controlled(p.connect.guard(api), p.Apply, func() any { return p.Counters() })
	mux.HandleFunc("PUT "+pathSetVMs, p.serveSetVMs)
	return mux
}

// within runs a handler under the faults of its service. Nothing is written to
// the caller before the handler returns, so that an answer can be lost whole.
func (p *Platform) within(id serviceID, handle func(*http.Request) (status int, body any)) http.HandlerFunc {
	s := p.services[id]
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.enter(w) {
			return
		}
		status, body := handle(r)
		if s.losesAnswer(id, r) {
			p.count(func(c *PlatformCounters) { c.Lost++ })
			panic(http.ErrAbortHandler)
		}
		if raw, ok := body.([]byte); ok {
			_, _ = w.Write(raw)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		if body != nil {
			writeJSON(w, body)
		}
	}
}

// allowed takes n from a limiter and counts a refusal.
func (p *Platform) allowed(limiter *rate.Limiter, n int) bool {
	if limiter.AllowN(time.Now(), n) {
		return true
	}
	p.count(func(c *PlatformCounters) { c.Throttled++ })
	return false
}

func (p *Platform) read() bool {
	if !p.allowed(p.reads, 1) {
		return false
	}
	p.count(func(c *PlatformCounters) { c.Reads++ })
	return true
}

func (p *Platform) serveRow(r *http.Request) (int, any) {
	if !p.read() {
		return http.StatusTooManyRequests, nil
	}
	row := p.table.get(r.URL.Query().Get(platformapi.QueryKey), p.services[tableService].staleness())
	if row == nil {
		return http.StatusNotFound, nil
	}
	return http.StatusOK, row
}

func (p *Platform) serveRows(r *http.Request) (int, any) {
	if !p.read() {
		return http.StatusTooManyRequests, nil
	}
	limit, _ := strconv.Atoi(r.URL.Query().Get(platformapi.QueryLimit))
	return http.StatusOK, p.table.list(r.URL.Query().Get(platformapi.QueryPrefix), limit, p.services[tableService].staleness())
}

func (p *Platform) serveCommit(r *http.Request) (int, any) {
	var txn backing.Txn
	if err := decodeBody(r, &txn); err != nil {
		return http.StatusBadRequest, err.Error()
	}
	if !p.allowed(p.writes, max(len(txn.Writes), 1)) {
		return http.StatusTooManyRequests, nil
	}
	if failed := p.table.commit(txn); len(failed) > 0 {
		p.count(func(c *PlatformCounters) { c.Conflicts++ })
		return http.StatusConflict, platformapi.Conflict{Keys: failed}
	}
	p.count(func(c *PlatformCounters) { c.Writes += len(txn.Writes) })
	return http.StatusOK, nil
}

func (p *Platform) serveObject(r *http.Request) (int, any) {
	if !p.read() {
		return http.StatusTooManyRequests, nil
	}
	p.mu.Lock()
	value, ok := p.objects[r.URL.Query().Get(platformapi.QueryKey)]
	p.mu.Unlock()
	if !ok {
		return http.StatusNotFound, nil
	}
	return http.StatusOK, value
}

func (p *Platform) servePut(r *http.Request) (int, any) {
	key := r.URL.Query().Get(platformapi.QueryKey)
	value, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return http.StatusBadRequest, err.Error()
	}
	if !p.allowed(p.writes, 1) {
		return http.StatusTooManyRequests, nil
	}
	if !p.put(key, value) {
		return http.StatusConflict, platformapi.Conflict{Keys: []string{key}}
	}
	return http.StatusOK, nil
}

func (p *Platform) serveVMs(*http.Request) (int, any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return http.StatusOK, p.vms.asOf(time.Now().Add(-p.opts.VMLag - p.services[vmService].staleness()))
}

func (p *Platform) serveWeights(r *http.Request) (int, any) {
	if !p.allowed(p.fetches, 1) {
		return http.StatusTooManyRequests, nil
	}
	query := r.URL.Query()
	artefact := Artefact{Name: query.Get(platformapi.QueryArtefact), Version: query.Get(platformapi.QueryVersion)}
	return http.StatusOK, platformapi.Availability{Available: p.has(artefact)}
}

func (p *Platform) serveSetVMs(w http.ResponseWriter, r *http.Request) {
	var vms []backing.VM
	if readJSON(w, r, &vms) {
		p.SetVMs(vms)
	}
}
