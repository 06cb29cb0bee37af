package nursery

import (
	"context"
	"net/http"
	"time"
)

// Work is the time in which a server works on a request. It begins when the request is
// admitted.
type Work struct {
	Request, Target string
	// Server is the incarnation; Address is that of Server.Address.
	Server, Address string
	Begin           time.Time
	End             time.Time // of the answer, the connection or the server; zero while the server works
	FromCopy        bool      // it resumed from a KV copy
	ResumedAfter    int       // event after which it resumed; 0 for a fresh run
	Events          int       // events made, whether or not the caller got them
}

// IsOn reports whether the server works on the request at a moment.
func (w Work) IsOn(at time.Time) bool {
	return !at.Before(w.Begin) && (w.End.IsZero() || at.Before(w.End))
}

// Works returns the work of the servers so far, by its begin.
func (l *Ledger) Works() []Work {
	l.mu.Lock()
	defer l.mu.Unlock()
	var works []Work
	for _, w := range l.works {
		works = append(works, *w)
	}
	return works
}

func (s *Server) beginWork(run Run, fromCopy bool) *Work {
	l := s.cloud.Ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	w := &Work{Request: run.Request, Target: run.Target, Server: run.Server, Address: s.Address, Begin: time.Now(), FromCopy: fromCopy, ResumedAfter: run.ResumedAfter}
	l.works = append(l.works, w)
	return w
}

func (l *Ledger) endWork(w *Work) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.End.IsZero() {
		w.End = time.Now()
	}
}

// endWorkAt ends all work of a server, whose handlers may return later.
func (l *Ledger) endWorkAt(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range l.works {
		if w.Address == address && w.End.IsZero() {
			w.End = time.Now()
		}
	}
}

// countEvent counts an event and returns its number in the stream.
func (l *Ledger) countEvent(w *Work) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	w.Events++
	return w.ResumedAfter + w.Events
}

// eventsSoFar returns the number of the last event of the stream that the server or one
// before it has made.
func (l *Ledger) eventsSoFar(w *Work) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return w.ResumedAfter + w.Events
}

// WorkOn makes the server work on a stream for some time after its caller has closed the
// connection. A time of 0 ends that.
func (s *Server) WorkOn(d time.Duration) { s.worksOn.Store(int64(d)) }

// workOn makes events that nobody reads until the time of WorkOn is over.
func (s *Server) workOn(r *http.Request, e *engine, memory *allocation, work *Work) {
	if s.worksOn.Load() <= 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), time.Duration(s.worksOn.Load()))
	defer cancel()
	for s.cloud.Ledger.eventsSoFar(work) < s.cloud.length() && !s.crashed.Load() {
		if !sleep(ctx, s.disturbed(s.gap())) || !e.step(ctx, memory, work.Request) {
			return
		}
		s.cloud.Ledger.countEvent(work)
	}
}

// PauseStreams makes the server's streams pause from now on, as they do while it reads a
// prompt.
func (s *Server) PauseStreams(d time.Duration) {
	s.currentEngine().pauseStreamsUntil(time.Now().Add(d))
}
