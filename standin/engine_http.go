package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/pearyard/pearyard/engine"
	engineapi "github.com/pearyard/pearyard/engine/httpapi"
	"github.com/pearyard/pearyard/types"
)

// EngineFaults is the body of POST /faults on an engine. Absent fields change
// nothing.
type EngineFaults struct {
	Freeze *bool    `json:"freeze,omitempty"` // Engine.Freeze or Engine.Thaw
	Hold   *bool    `json:"hold,omitempty"`   // Engine.Hold or Engine.Release
	Slow   *float64 `json:"slow,omitempty"`   // Engine.SetSlowdown
	Cut    bool     `json:"cut,omitempty"`    // Engine.Cut
	Kill   bool     `json:"kill,omitempty"`   // Engine.Crash, as by a poisoned request
}

// Apply sets the faults.
func (e *Engine) Apply(f EngineFaults) {
	if f.Slow != nil {
		e.SetSlowdown(*f.Slow)
	}
	if f.Hold != nil {
		e.setHold(*f.Hold)
	}
	e.conns.apply(f.Freeze, f.Cut)
	if f.Kill {
		e.Crash()
	}
}

func (e *Engine) setHold(held bool) {
	if held {
		e.Hold()
		return
	}
	e.Release()
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

func (e *Engine) routes() *http.ServeMux {
	api := http.NewServeMux()
	api.HandleFunc("POST "+engineapi.PathGenerate, e.serveGenerate)
	api.HandleFunc("GET "+engineapi.PathLoad, e.serveLoad)
	api.HandleFunc("GET "+engineapi.PathCacheEvents, e.serveCacheEvents)
	api.HandleFunc("POST "+engineapi.PathOrders, e.serveOrder)
	api.HandleFunc("GET "+engineapi.PathLoaded, e.serveLoaded)
	api.HandleFunc("GET "+engineapi.PathHealth, func(http.ResponseWriter, *http.Request) {})
	return withControl(e.conns.withFaults(api), e.Apply, func() any { return e.Counters() })
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var request engine.Request
	if !readJSON(w, r, &request) {
		return
	}
	if request.MaxTokens < 0 {
		http.Error(w, "max_tokens is negative", http.StatusBadRequest)
		return
	}
	if !e.serves(request.Model) {
		http.Error(w, "no such model", http.StatusNotFound)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	j := newJob(ctx, request)
	if !e.submit(j) {
		http.Error(w, "queue is full", http.StatusTooManyRequests)
		return
	}
	e.stream(w, j)
}

// stream writes tokens as they are produced. It sends the headers at once, so
// that the caller knows that the request was accepted.
func (e *Engine) stream(w http.ResponseWriter, j *job) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	_ = control.Flush()
	lines := json.NewEncoder(w)
	for {
		select {
		case <-j.ready:
		case <-j.ctx.Done():
			return
		}
		e.conns.awaitThaw(j.ctx.Done())
		tokens, ended := j.takePending()
		if writeLines(lines, tokens) != nil {
			return
		}
		if ended {
			_ = lines.Encode(engineapi.FinishLine{Finish: j.result.Finish, PrefilledTokens: j.result.PrefilledTokens})
			return
		}
		_ = control.Flush()
	}
}

func writeLines(lines *json.Encoder, tokens []types.Token) error {
	for _, token := range tokens {
		if err := lines.Encode(engineapi.TokenLine(token)); err != nil {
			return err
		}
	}
	return nil
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	report := e.load.asOf(time.Now().Add(-e.opts.LoadLag))
	e.mu.Unlock()
	writeJSON(w, report)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get(engineapi.QuerySince), 10, 64)
	if err != nil {
		http.Error(w, "since must be a sequence number", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	events := e.cache.since(since, time.Now())
	e.mu.Unlock()
	writeJSON(w, events)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if !readJSON(w, r, &order) {
		return
	}
	if err := e.applyOrder(order); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
	}
}

func (e *Engine) serveLoaded(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	loaded := slices.Clone(e.loaded)
	e.mu.Unlock()
	writeJSON(w, loaded)
}
