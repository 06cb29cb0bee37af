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

const pathVMList = "/vms"

// serviceID numbers the platform's services.
type serviceID int

const (
	tableService serviceID = iota
	objectService
	vmService
	weightService
	serviceCount
)

// service holds the faults of one of the platform's services.
type service struct {
	mu          sync.Mutex // guards the fields below
	down        bool
	slow        time.Duration
	stale       time.Duration
	loseCalls   int
	loseAnswers int
}

func (s *service) apply(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	setIfPresent(&s.down, f.Down)
	setIfPresent(&s.loseCalls, f.LoseCalls)
	setIfPresent(&s.loseAnswers, f.LoseAnswers)
	if f.SlowMS != nil {
		s.slow = time.Duration(*f.SlowMS) * time.Millisecond
	}
	if f.StaleMS != nil {
		s.stale = time.Duration(*f.StaleMS) * time.Millisecond
	}
}

// admit applies the faults that precede a call's effect; it returns false if the
// call was refused.
func (s *service) admit(w http.ResponseWriter) bool {
	s.mu.Lock()
	down, slow, lost := s.down, s.slow, consumeFault(&s.loseCalls)
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

// consumeLostAnswer reports whether to drop the answer to r, and if so decrements
// the count of answers to drop. In services with writes it drops answers to writes
// only, so that a concurrent read doesn't consume a fault meant for a commit.
func (s *service) consumeLostAnswer(id serviceID, r *http.Request) bool {
	writes := id == tableService || id == objectService
	if writes && r.Method == http.MethodGet {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return consumeFault(&s.loseAnswers)
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
	api.HandleFunc("GET "+platformapi.PathRow, p.withServiceFaults(tableService, p.serveRow))
	api.HandleFunc("GET "+platformapi.PathRows, p.withServiceFaults(tableService, p.serveRows))
	api.HandleFunc("POST "+platformapi.PathCommit, p.withServiceFaults(tableService, p.serveCommit))
	api.HandleFunc("GET "+platformapi.PathObject, p.withServiceFaults(objectService, p.serveObject))
	api.HandleFunc("PUT "+platformapi.PathObject, p.withServiceFaults(objectService, p.servePut))
	api.HandleFunc("GET "+platformapi.PathVMs, p.withServiceFaults(vmService, p.serveVMs))
	api.HandleFunc("GET "+platformapi.PathWeights, p.withServiceFaults(weightService, p.serveWeights))
	mux := withControl(p.conns.withFaults(api), p.Apply, func() any { return p.Counters() })
	mux.HandleFunc("PUT "+pathVMList, p.serveSetVMs)
	return mux
}

// withServiceFaults runs a handler under the faults of its service. Nothing is
// written to the caller before the handler returns, so that a whole answer can be
// lost.
func (p *Platform) withServiceFaults(id serviceID, handle func(*http.Request) (status int, body any)) http.HandlerFunc {
	s := p.services[id]
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.admit(w) {
			return
		}
		status, body := handle(r)
		if s.consumeLostAnswer(id, r) {
			p.updateCounters(func(c *PlatformCounters) { c.Lost++ })
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

// allowed takes n tokens from a rate limiter. If the limiter has too few, it counts a
// throttled call and returns false.
func (p *Platform) allowed(limiter *rate.Limiter, n int) bool {
	if limiter.AllowN(time.Now(), n) {
		return true
	}
	p.updateCounters(func(c *PlatformCounters) { c.Throttled++ })
	return false
}

func (p *Platform) allowRead() bool {
	if !p.allowed(p.reads, 1) {
		return false
	}
	p.updateCounters(func(c *PlatformCounters) { c.Reads++ })
	return true
}

func (p *Platform) serveRow(r *http.Request) (int, any) {
	if !p.allowRead() {
		return http.StatusTooManyRequests, nil
	}
	row := p.table.get(r.URL.Query().Get(platformapi.QueryKey), p.services[tableService].staleness())
	if row == nil {
		return http.StatusNotFound, nil
	}
	return http.StatusOK, row
}

func (p *Platform) serveRows(r *http.Request) (int, any) {
	if !p.allowRead() {
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
		p.updateCounters(func(c *PlatformCounters) { c.Conflicts++ })
		return http.StatusConflict, platformapi.Conflict{Keys: failed}
	}
	p.updateCounters(func(c *PlatformCounters) { c.Writes += len(txn.Writes) })
	return http.StatusOK, nil
}

func (p *Platform) serveObject(r *http.Request) (int, any) {
	if !p.allowRead() {
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
	if !p.allowed(p.weightReads, 1) {
		return http.StatusTooManyRequests, nil
	}
	query := r.URL.Query()
	artefact := Artefact{Name: query.Get(platformapi.QueryArtefact), Version: query.Get(platformapi.QueryVersion)}
	return http.StatusOK, platformapi.Availability{Available: p.hasArtefact(artefact)}
}

func (p *Platform) serveSetVMs(w http.ResponseWriter, r *http.Request) {
	var vms []backing.VM
	if readJSON(w, r, &vms) {
		p.SetVMs(vms)
	}
}
