package nursery

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// EventText returns the data of event n of a stream.
func EventText(target string, n int) string { return fmt.Sprintf("part %d of %s", n, target) }

// abortedCopyRetention is how long the KV copies of an interrupted run are kept.
const abortedCopyRetention = 3 * time.Second

func (s *Server) stream(w http.ResponseWriter, r *http.Request, e *engine, memory *allocation, after int) {
	request := r.Header.Get("Attempt-Id")
	if backup := r.Header.Get("Kv-Backup"); backup != "" {
		s.cloud.keepCopy(request, backup, backup+"/"+request, requestTokens(r, s.cloud.length()), after)
	}
	whole := s.makeEvents(w, r, e, memory, after)
	if !whole {
		s.recordDisconnect(r)
		time.AfterFunc(abortedCopyRetention, func() { s.cloud.freeCopies(request) })
		return
	}
	s.cloud.Ledger.recordEnd(request, Completed)
	s.cloud.freeCopies(request)
}

// makeEvents writes a stream to its end; it returns false if the connection closed first.
func (s *Server) makeEvents(w http.ResponseWriter, r *http.Request, e *engine, memory *allocation, after int) bool {
	request := r.Header.Get("Attempt-Id")
	if r.Header.Get("Kv-From") == "" && !e.hasCached(promptBlocks(r)) && !e.prefill(r.Context(), request) {
		return false
	}
	e.cachePrompt(promptBlocks(r))
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	gap := eventGap
	if own := s.EventGap.Load(); own > 0 {
		gap = time.Duration(own)
	}
	for n := after + 1; n <= s.cloud.length(); n++ {
		if !sleep(r.Context(), gap) || !e.step(r.Context(), memory, request) {
			return false
		}
		s.cloud.notifyEvent(request, n)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, EventText(r.RequestURI, n)); err != nil {
			return false
		}
		_ = flush.Flush()
	}
	return true
}

// requestTokens returns the memory of a request that has produced the given number
// of events, in tokens.
func requestTokens(r *http.Request, events int) int {
	prompt, _, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	n, _ := strconv.Atoi(prompt)
	return n + events*eventTokens
}

// reservedCopy is a KV copy that occupies memory of an engine with limited memory.
type reservedCopy struct {
	key  string
	free func()
}

// keepCopy records a KV copy of a request under key; it returns false if the engine
// at the given address has no memory for it.
func (c *Cloud) keepCopy(request, at, key string, tokens, made int) bool {
	var free func()
	if holder := c.serverAt(at); holder != nil {
		var ok bool
		if free, ok = holder.currentEngine().reserveCopy(tokens); !ok {
			return false
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.copies[key] = made
	if free != nil {
		c.reservedCopies[request] = append(c.reservedCopies[request], reservedCopy{key, free})
	}
	return true
}

// freeCopies drops the copies of a request that occupy memory of engines with limited
// memory; other copies are kept.
func (c *Cloud) freeCopies(request string) {
	c.mu.Lock()
	held := c.reservedCopies[request]
	delete(c.reservedCopies, request)
	for _, x := range held {
		delete(c.copies, x.key)
	}
	c.mu.Unlock()
	for _, x := range held {
		x.free()
	}
}

// hasCopy reports whether the server at an address holds the copy named by a Kv-From
// header.
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
