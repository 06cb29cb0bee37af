package standin

import (
	"io"
	"maps"
	"net/http"
	"sync"
	"time"
)

const (
	pathHealth = "/healthz"
	pathCounts = "/counts"
	// HeaderIdempotencyKey is the header that identifies a call; a plain service
	// counts the runs of each.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// PlainOptions configures a stand-in plain service.
type PlainOptions struct {
	Latency time.Duration // delay before a call takes effect
}

// PlainFaults is the body of POST /faults on a plain service. Absent fields
// change nothing.
type PlainFaults struct {
	Down        *bool `json:"down,omitempty"`         // answer 503 without effect
	LatencyMS   *int  `json:"latency_ms,omitempty"`   // delay before a call takes effect
	LoseCalls   *int  `json:"lose_calls,omitempty"`   // how many calls to drop before any effect
	LoseAnswers *int  `json:"lose_answers,omitempty"` // how many answers to drop after the effect
	Freeze      *bool `json:"freeze,omitempty"`
	Cut         bool  `json:"cut,omitempty"` // drop the connections of all calls in progress
}

// PlainCounts is the body of GET /counts.
type PlainCounts struct {
	Total int            `json:"total"`
	ByKey map[string]int `json:"by_key"` // by Idempotency-Key; calls without one count under ""
}

// PlainAnswer is the body of the service's answer. It repeats the call, so that a
// test detects an answer that went to the wrong caller.
type PlainAnswer struct {
	Run    int    `json:"run"` // how many calls have taken effect, this one included
	Key    string `json:"key"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   []byte `json:"body"`
}

// Plain is a stand-in plain service that counts the calls that took effect.
type Plain struct {
	mux   *http.ServeMux
	conns *connections

	mu          sync.Mutex // guards the fields below
	counts      PlainCounts
	latency     time.Duration
	down        bool
	loseCalls   int
	loseAnswers int
}

// NewPlain returns a service with all counts at zero.
func NewPlain(opts PlainOptions) *Plain {
	p := &Plain{conns: newConnections(), latency: opts.Latency, counts: PlainCounts{ByKey: map[string]int{}}}
	api := http.NewServeMux()
	api.HandleFunc("GET "+pathHealth, p.serveHealth)
	api.HandleFunc("/", p.serveCall)
	p.mux = withControl(p.conns.withFaults(api), p.Apply, func() any { return p.Counts() })
	p.mux.HandleFunc("GET "+pathCounts, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Counts()) })
	return p
}

// ServeHTTP implements http.Handler.
func (p *Plain) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// Kill drops the connections of all calls in progress, and that of each new call until
// Revive.
func (p *Plain) Kill() { p.conns.disable() }

// Revive lets a killed service accept calls again; its counts are kept.
func (p *Plain) Revive() { p.conns.enable() }

// Counts returns how many calls took effect so far.
func (p *Plain) Counts() PlainCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return PlainCounts{Total: p.counts.Total, ByKey: maps.Clone(p.counts.ByKey)}
}

// Apply sets the faults.
func (p *Plain) Apply(f PlainFaults) {
	p.mu.Lock()
	setIfPresent(&p.down, f.Down)
	setIfPresent(&p.loseCalls, f.LoseCalls)
	setIfPresent(&p.loseAnswers, f.LoseAnswers)
	if f.LatencyMS != nil {
		p.latency = time.Duration(*f.LatencyMS) * time.Millisecond
	}
	p.mu.Unlock()
	p.conns.apply(f.Freeze, f.Cut)
}

func setIfPresent[T any](field *T, value *T) {
	if value != nil {
		*field = *value
	}
}

func (p *Plain) serveHealth(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		http.Error(w, "down", http.StatusServiceUnavailable)
	}
}

// serveCall runs the call even if its caller has disconnected meanwhile, as a
// service does that has read the whole call.
func (p *Plain) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	down, latency, lost := p.down, p.latency, consumeFault(&p.loseCalls)
	p.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	if down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	time.Sleep(latency)
	answer, lost := p.run(r, body)
	if lost {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, answer)
}

func (p *Plain) run(r *http.Request, body []byte) (answer PlainAnswer, lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := r.Header.Get(HeaderIdempotencyKey)
	p.counts.Total++
	p.counts.ByKey[key]++
	answer = PlainAnswer{Run: p.counts.Total, Key: key, Method: r.Method, Path: r.URL.RequestURI(), Body: body}
	return answer, consumeFault(&p.loseAnswers)
}

// consumeFault decrements a count of pending faults; it returns false if none is
// left.
func consumeFault(left *int) bool {
	if *left <= 0 {
		return false
	}
	*left--
	return true
}
