package nursery

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// EventText returns the data of event n of a stream. What servers of two versions write
// differs.
func EventText(target, version string, n int) string {
	return fmt.Sprintf("part %d of %s%s%s", n, target, versionSeparator, version)
}

// versionSeparator precedes the version in the data of an event.
const versionSeparator = " by "

// EventVersion returns the version of the server that wrote an event with the given data,
// "" if the data names none.
func EventVersion(data string) string {
	_, version, _ := strings.Cut(data, versionSeparator)
	return version
}

// incompleteCopyRetention is how long the KV copies of a run that didn't complete are
// kept.
const incompleteCopyRetention = 3 * time.Second

// stream answers a request for a stream with the events after the one that work resumes
// after.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, e *engine, memory *allocation, work *Work) {
	bufferBody(r)
	request := work.Request
	if backup := r.Header.Get("Kv-Backup"); backup != "" {
		s.cloud.keepCopy(request, backup, backup+"/"+request, requestTokens(r, s.cloud.length()), work.ResumedAfter)
	}
	completed := s.writeEvents(w, r, e, memory, work)
	if !completed {
		s.workOn(r, e, memory, work)
		s.recordDisconnect(r)
		time.AfterFunc(incompleteCopyRetention, func() { s.cloud.freeCopies(request) })
		return
	}
	s.cloud.Ledger.recordEnd(request, Completed)
	s.cloud.freeCopies(request)
}

// writeEvents writes a stream to its end; it returns false if the connection closed
// first. The prompt is prefilled unless the engine has cached it or the run resumes from
// a KV copy.
func (s *Server) writeEvents(w http.ResponseWriter, r *http.Request, e *engine, memory *allocation, work *Work) bool {
	request := work.Request
	if r.Header.Get("Kv-From") == "" && !e.hasCached(promptParts(r)) && !e.prefill(r.Context(), request) {
		return false
	}
	e.cachePrompt(promptParts(r))
	w.Header().Set("Content-Type", "text/event-stream")
	s.reportLoad(w, e)
	flush := http.NewResponseController(w)
	gap := s.gap()
	for s.cloud.Ledger.eventsSoFar(work) < s.cloud.length() {
		if !sleep(r.Context(), s.disturbed(gap)) || !e.step(r.Context(), memory, request) {
			return false
		}
		n := s.cloud.Ledger.countEvent(work)
		s.cloud.notifyEvent(request, n)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, EventText(r.RequestURI, e.version, n)); err != nil {
			return false
		}
		_ = flush.Flush()
	}
	return true
}

// gap returns the time between two events of a stream.
func (s *Server) gap() time.Duration {
	gap := eventGap
	if own := s.EventGap.Load(); own > 0 {
		gap = time.Duration(own)
	}
	return s.slowed(gap)
}

const (
	handlePrefix = "h"
	// moveTokens is the memory of a KV copy made by a move; the call doesn't give
	// its size.
	moveTokens = 1200
)

// move copies the KV cache of a running request to another server.
func (s *Server) move(w http.ResponseWriter, r *http.Request) {
	var body struct{ ID, To string }
	_ = json.NewDecoder(r.Body).Decode(&body)
	handle := handlePrefix + body.ID
	if !s.cloud.keepCopy(body.ID, body.To, body.To+"|"+s.Address+"/"+handle, moveTokens, 0) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"kvHandle": handle, "created": 0})
}

// requestTokens returns the memory of a request that has produced the given number
// of events, in tokens.
func requestTokens(r *http.Request, events int) int {
	prompt, _, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	n, _ := strconv.Atoi(prompt)
	return n + events*EventTokens
}

// reservedCopy is a KV copy that occupies memory of an engine with limited memory.
type reservedCopy struct {
	key  string
	free func()
}

// keepCopy records a KV copy of a request under key, with the number of events that it
// contains; it returns false if the engine at the given address has no memory for it.
func (c *Cloud) keepCopy(request, at, key string, tokens, events int) bool {
	var free func()
	if holder := c.serverAt(at); holder != nil {
		var ok bool
		if free, ok = holder.currentEngine().reserveCopy(tokens); !ok {
			return false
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.copies[key] = events
	if free != nil {
		c.reservedCopies[request] = append(c.reservedCopies[request], reservedCopy{key, free})
	}
	return true
}

// freeCopies drops the copies of a request that occupy memory of engines with limited
// memory; other copies are kept until their server restarts.
func (c *Cloud) freeCopies(request string) {
	c.mu.Lock()
	reserved := c.reservedCopies[request]
	delete(c.reservedCopies, request)
	for _, kvCopy := range reserved {
		delete(c.copies, kvCopy.key)
	}
	c.mu.Unlock()
	for _, kvCopy := range reserved {
		kvCopy.free()
	}
}

// hasCopy reports whether the server at an address can resume from the copy named by a
// Kv-From header: a continuous copy, named by its holder's address and the request, or
// one that was moved there, named by its source's address and the handle.
func (c *Cloud) hasCopy(at, from string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, backup := c.copies[from]
	_, moved := c.copies[at+"|"+from]
	return backup || moved
}

func (c *Cloud) serverAt(address string) *Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servers[address]
}
