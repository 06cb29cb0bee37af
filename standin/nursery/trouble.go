package nursery

import (
	"bytes"
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Disturb makes work of the server take percent / 100 times as long as usual, as if others
// used its machine, and its answers report that. A percentage of 0 ends both.
func (s *Server) Disturb(percent int64) { s.disturbance.Store(percent) }

// disturbed returns how long work takes on the server's machine at this moment.
func (s *Server) disturbed(d time.Duration) time.Duration {
	if percent := s.disturbance.Load(); percent > 0 {
		return d * time.Duration(percent) / 100
	}
	return d
}

// reportLoad adds the server's load at this moment to an answer, if Disturb is in force.
func (s *Server) reportLoad(w http.ResponseWriter, e *engine) {
	percent := s.disturbance.Load()
	if percent <= 0 {
		return
	}
	running, waiting := e.load()
	w.Header().Set("Instance-Load", fmt.Sprintf("%d,%d,%d,%d", running, waiting, e.places(), percent))
}

// places returns how many requests the engine runs at a time.
func (e *engine) places() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.limits.Places > 0 {
		return e.limits.Places
	}
	return slots
}

// Hang makes the server accept requests and answer none, with a good health check. A request
// that came meanwhile stays unanswered until its caller leaves.
func (s *Server) Hang(on bool) { s.hangs.Store(on) }

// hang holds a request until its caller has left or the server has crashed. It counts as a
// run, since nobody can tell that it is none.
func (s *Server) hang(r *http.Request, run Run) {
	s.cloud.Ledger.record(&s.cloud.Ledger.runs, run)
	work := s.beginWork(run, r.Header.Get("Kv-From") != "")
	defer s.cloud.Ledger.endWork(work)
	bufferBody(r)
	<-r.Context().Done()
	s.recordDisconnect(r)
	panic(http.ErrAbortHandler)
}

// bufferBody reads the body of a request; only then does the context of the request end when
// its caller disconnects.
func bufferBody(r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
}

// waitContext limits how long a request may wait in the engine's queue: until its deadline
// or until its caller disconnects.
func waitContext(r *http.Request) (context.Context, context.CancelFunc) {
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	}
	return r.Context(), func() {}
}

// admit allocates memory and a place for a request, after waiting for them if the engine has
// a queue.
func (s *Server) admit(e *engine, r *http.Request, after int) (*allocation, bool) {
	if e.queues() {
		bufferBody(r)
	}
	ctx, cancel := waitContext(r)
	defer cancel()
	return e.admit(ctx, requestTokens(r, after), requestPriority(r), r.Header.Get("Kv-From") != "")
}

// refuse answers that the request was not executed.
func refuse(w http.ResponseWriter) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// fails reports whether a request is answered with an error.
func (s *Server) fails(request string) bool {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(request))
	return int64(hash.Sum64()%1000) < s.FailedPerMille.Load()
}

func (s *Server) slowed(d time.Duration) time.Duration {
	return time.Duration(max(1, s.SlowFactor.Load())) * d
}
