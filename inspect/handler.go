package inspect

import (
	"encoding/json"
	"io"
	"net/http"
	"runtime/debug"
	"runtime/pprof"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/types"
)

// Paths served by the handler.
const (
	PathState      = "/debug/state"
	PathEvents     = "/debug/events"
	PathVersion    = "/debug/version"
	PathGoroutines = "/debug/goroutines"
	PathMetrics    = "/metrics"
)

// Names of the query parameters.
const (
	ParamSection = "section"
	ParamRequest = "request"
	ParamLimit   = "limit"
)

// Events is the response to PathEvents, oldest entry first.
type Events struct {
	Identity
	Now         time.Time     `json:"now"` // clock of the process
	Overwritten uint64        `json:"overwritten"`
	Truncated   bool          `json:"truncated"` // older entries were left out
	Entries     []event.Entry `json:"entries"`
}

// Version is the response to PathVersion.
type Version struct {
	Identity
	Revision types.Revision `json:"revision"` // of the configuration in force
	Build    string         `json:"build"`
	Go       string         `json:"go"`
	Commit   string         `json:"commit,omitempty"`
}

// Handler returns the handler of the paths above; mount it on the peer listener at /debug/
// and /metrics.
func (r *Registry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathState, r.serveState)
	mux.HandleFunc("GET "+PathEvents, r.serveEvents)
	mux.HandleFunc("GET "+PathVersion, r.serveVersion)
	mux.HandleFunc("GET "+PathGoroutines, serveGoroutines)
	mux.Handle("GET "+PathMetrics, promhttp.HandlerFor(r.opts.Gatherer, promhttp.HandlerOpts{
		ErrorHandling:       promhttp.ContinueOnError,
		MaxRequestsInFlight: metricsInFlight,
	}))
	return mux
}

// metricsInFlight is the maximum number of concurrent scrapes.
const metricsInFlight = 4

func (r *Registry) serveState(w http.ResponseWriter, req *http.Request) {
	writeJSON(w, r.Dump(req.URL.Query().Get(ParamSection)))
}

func (r *Registry) serveEvents(w http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	limit, err := strconv.Atoi(query.Get(ParamLimit))
	if err != nil || limit <= 0 || limit > MaxEvents {
		limit = MaxEvents
	}
	writeJSON(w, r.Events(query.Get(ParamRequest), limit))
}

// Events returns the newest recorded events, at most limit of them. Unless request is
// empty, it returns only the events of that request.
func (r *Registry) Events(request string, limit int) Events {
	entries := r.opts.Recorder.Entries(request)
	newest := newestEntries(entries, limit, MaxEventBytes)
	return Events{
		Identity:    r.opts.Identity,
		Now:         r.opts.Now(),
		Overwritten: r.opts.Recorder.Overwritten(),
		Truncated:   len(newest) < len(entries),
		Entries:     newest,
	}
}

// newestEntries returns the longest tail of entries that is within both limits.
func newestEntries(entries []event.Entry, limit, maxBytes int) []event.Entry {
	first, size := len(entries), 0
	for first > 0 && len(entries)-first < limit {
		size += entrySize(entries[first-1])
		if size > maxBytes {
			break
		}
		first--
	}
	return entries[first:]
}

// entryOverhead is the approximate size of an entry's JSON without its name and fields.
const entryOverhead = 100

func entrySize(entry event.Entry) int {
	size := entryOverhead + len(entry.Name)
	for name, value := range entry.Fields {
		size += len(name) + len(value) + len(`"":"",`)
	}
	return size
}

func (r *Registry) serveVersion(w http.ResponseWriter, _ *http.Request) {
	version := BuildVersion()
	version.Identity = r.opts.Identity
	version.Revision = r.opts.Revision()
	writeJSON(w, version)
}

// BuildVersion returns the build information of this program.
func BuildVersion() Version {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Version{Build: "unknown"}
	}
	version := Version{Build: info.Main.Version, Go: info.GoVersion}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			version.Commit = setting.Value
		}
	}
	return version
}

// serveGoroutines writes the goroutines grouped by stack, the most frequent stacks first,
// up to MaxGoroutinesBytes.
func serveGoroutines(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_ = pprof.Lookup("goroutine").WriteTo(&limitedWriter{w: w, remaining: MaxGoroutinesBytes}, 1)
}

// limitedWriter passes on the first bytes written to it, then a note that the rest was
// truncated.
type limitedWriter struct {
	w         io.Writer
	remaining int
}

// Write implements io.Writer. Exceeding the limit is no error.
func (l *limitedWriter) Write(p []byte) (int, error) {
	if l.remaining <= 0 {
		return len(p), nil
	}
	if len(p) <= l.remaining {
		l.remaining -= len(p)
		return l.w.Write(p)
	}
	kept := p[:l.remaining]
	l.remaining = 0
	if _, err := l.w.Write(kept); err != nil {
		return 0, err
	}
	_, err := io.WriteString(l.w, "\ntruncated\n")
	return len(p), err
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		// The status has been sent; aborting the connection is the only way left to signal
		// the error.
		panic(http.ErrAbortHandler)
	}
}
