package directory

import (
	"sync"
	"time"
)

// CallBegun counts a plain call; the function returned ends it.
func (s *Server) CallBegun() (end func()) {
	s.calls.Add(1)
	return sync.OnceFunc(func() { s.calls.Add(-1) })
}

// StreamBegun counts a stream with a prompt yet to be read.
func (s *Server) StreamBegun(prompt int) *Running {
	ahead := s.Unread()
	s.streams.Add(1)
	s.prefill.Add(int64(prompt))
	s.noteUnread()
	s.changed()
	return &Running{server: s, prompt: int64(prompt), toRead: ahead + int64(prompt), begun: time.Now()}
}

// Running is a stream's share of a server's load.
type Running struct {
	server *Server
	prompt int64
	toRead int64 // the prompt and what lay ahead of it
	begun  time.Time
	ended  bool
}

// Read notes that a new prompt has been read. What lay ahead of it is counted
// whole, though a part of it may have been read before: a server seems faster
// so than it is, never slower.
func (r *Running) Read() {
	if r.prompt == 0 {
		return
	}
	took := time.Since(r.begun)
	r.server.reading.measured(r.toRead, took)
	if r.toRead == r.prompt {
		r.server.readIn(r.prompt, took)
	}
	r.take()
}

// ReadAgain notes that a prompt has been read that was read before: its server
// may have kept it, so that the time says nothing about its speed.
func (r *Running) ReadAgain() { r.take() }

// take takes the prompt off the load.
func (r *Running) take() {
	if r.prompt == 0 {
		return
	}
	r.server.prefill.Add(-r.prompt)
	r.prompt = 0
	r.server.noteUnread()
	r.server.changed()
}

// End takes the stream off the load.
func (r *Running) End() {
	if r.ended {
		return
	}
	r.ended = true
	if r.prompt != 0 && !r.server.IsDown(time.Now()) {
		r.server.reading.notMeasured(r.toRead, time.Since(r.begun))
	}
	r.take()
	r.server.streams.Add(-1)
	r.server.changed()
}

// CopyBegun counts a copy of a stream's memory; the function returned ends it.
func (s *Server) CopyBegun() (end func()) {
	s.copies.Add(1)
	s.changed()
	return sync.OnceFunc(func() {
		s.copies.Add(-1)
		s.changed()
	})
}

// Told notes the load that the server told in an answer.
func (s *Server) Told(now time.Time, running, waiting int) {
	others := int64(running+waiting) - s.calls.Load() - s.streams.Load()
	s.told.Store(max(0, others))
	s.toldAt.Store(now.UnixNano())
}
