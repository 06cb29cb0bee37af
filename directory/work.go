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
	s.streams.Add(1)
	s.prefill.Add(int64(prompt))
	s.changed()
	return &Running{server: s, prompt: int64(prompt)}
}

// Running is a stream's share of a server's load.
type Running struct {
	server *Server
	prompt int64
	ended  bool
}

// Read notes that the prompt has been read.
func (r *Running) Read() {
	if r.prompt == 0 {
		return
	}
	r.server.prefill.Add(-r.prompt)
	r.prompt = 0
	r.server.changed()
}

// End takes the stream off the load.
func (r *Running) End() {
	if r.ended {
		return
	}
	r.ended = true
	r.Read()
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
