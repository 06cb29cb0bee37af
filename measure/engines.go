package measure

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	engineapi "github.com/pearyard/pearyard/engine/httpapi"
	"github.com/pearyard/pearyard/standin"
)

// inProcessEngine is a stand-in engine in this process that records when it wrote each
// token, so that the time until a caller receives it can be measured in microseconds.
type inProcessEngine struct {
	address string
	server  *http.Server

	mu      sync.Mutex             // guards all below
	writes  map[string]*writeTimes // by request ID
	arrived []time.Time            // when requests reached the engine, in order
}

// writeTimes holds the times at which the engine wrote the tokens of one request.
type writeTimes struct {
	mu sync.Mutex // guards at
	at []time.Time
}

// startInProcessEngine serves a stand-in engine on a free loopback port.
func startInProcessEngine(opts standin.EngineOptions) (*inProcessEngine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &inProcessEngine{address: listener.Addr().String(), writes: map[string]*writeTimes{}}
	engine := standin.NewEngine(opts)
	e.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == engineapi.PathGenerate {
			w = e.recordWrites(w, r)
		}
		engine.ServeHTTP(w, r)
	})}
	go func() { _ = e.server.Serve(listener) }()
	return e, nil
}

// recordWrites returns a writer that records when the tokens of the request are written.
func (e *inProcessEngine) recordWrites(w http.ResponseWriter, r *http.Request) http.ResponseWriter {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return w
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	var request struct{ ID string }
	_ = json.Unmarshal(body, &request)
	times := &writeTimes{}
	e.mu.Lock()
	e.writes[request.ID] = times
	e.arrived = append(e.arrived, time.Now())
	e.mu.Unlock()
	return &recordingWriter{ResponseWriter: w, times: times}
}

// requestTimes returns when requests reached the engine, in order.
func (e *inProcessEngine) requestTimes() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.arrived)
}

// tokenTimes returns when the tokens of a request were written, nil if it didn't run here.
func (e *inProcessEngine) tokenTimes(request string) []time.Time {
	e.mu.Lock()
	times := e.writes[request]
	e.mu.Unlock()
	if times == nil {
		return nil
	}
	times.mu.Lock()
	defer times.mu.Unlock()
	return times.at
}

// recordingWriter records when each line is written.
type recordingWriter struct {
	http.ResponseWriter
	times *writeTimes
}

// Write implements http.ResponseWriter; the stand-in writes one line per call.
func (w *recordingWriter) Write(line []byte) (int, error) {
	w.times.mu.Lock()
	w.times.at = append(w.times.at, time.Now())
	w.times.mu.Unlock()
	return w.ResponseWriter.Write(line)
}

// Unwrap lets http.ResponseController reach the flusher.
func (w *recordingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
