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

// ownEngine is a stand-in engine in this process that notes when it wrote each
// token, so that the time on the way to a caller can be told to the microsecond.
type ownEngine struct {
	address string
	server  *http.Server

	mu      sync.Mutex // guards all below
	writes  map[string]*writes
	arrived []time.Time // of requests
}

// writes are the times at which the tokens of one request left the engine.
type writes struct {
	mu sync.Mutex // guards at
	at []time.Time
}

func startOwnEngine(opts standin.EngineOptions) (*ownEngine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &ownEngine{address: listener.Addr().String(), writes: map[string]*writes{}}
	engine := standin.NewEngine(opts)
	e.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == engineapi.PathGenerate {
			w = e.noting(w, r)
		}
		engine.ServeHTTP(w, r)
	})}
	go func() { _ = e.server.Serve(listener) }()
	return e, nil
}

// noting returns a writer that notes the writes of the request's tokens.
func (e *ownEngine) noting(w http.ResponseWriter, r *http.Request) http.ResponseWriter {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return w
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	var request struct{ ID string }
	_ = json.Unmarshal(body, &request)
	noted := &writes{}
	e.mu.Lock()
	e.writes[request.ID] = noted
	e.arrived = append(e.arrived, time.Now())
	e.mu.Unlock()
	return &notingWriter{ResponseWriter: w, noted: noted}
}

// begun returns when requests reached the engine, in their order.
func (e *ownEngine) begun() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.arrived)
}

// of returns the times of a request's tokens, nil if it didn't run here.
func (e *ownEngine) of(request string) []time.Time {
	e.mu.Lock()
	noted := e.writes[request]
	e.mu.Unlock()
	if noted == nil {
		return nil
	}
	noted.mu.Lock()
	defer noted.mu.Unlock()
	return noted.at
}

type notingWriter struct {
	http.ResponseWriter
	noted *writes
}

// Write implements http.ResponseWriter; the stand-in writes one line a call.
func (n *notingWriter) Write(line []byte) (int, error) {
	n.noted.mu.Lock()
	n.noted.at = append(n.noted.at, time.Now())
	n.noted.mu.Unlock()
	return n.ResponseWriter.Write(line)
}

// Unwrap lets http.ResponseController reach the flusher.
func (n *notingWriter) Unwrap() http.ResponseWriter { return n.ResponseWriter }
