package directory

import (
	"sync"
	"time"
)

// BeginCall counts a plain call until the returned function is called.
func (s *Server) BeginCall() (end func()) {
	s.calls.Add(1)
	return sync.OnceFunc(func() { s.calls.Add(-1) })
}

// BeginStream counts a stream whose prompt awaits prefill.
func (s *Server) BeginStream(prompt int) *StreamLoad {
	ahead := s.QueuedTokens()
	s.streams.Add(1)
	s.queuedTokens.Add(int64(prompt))
	s.updateUtilization()
	s.onLoadChange()
	return &StreamLoad{server: s, prompt: int64(prompt), queuedTokens: ahead + int64(prompt), startedAt: time.Now()}
}

// StreamLoad is one stream's share of a server's load.
type StreamLoad struct {
	server       *Server
	prompt       int64
	queuedTokens int64 // tokens of the prompt and those queued ahead of it
	startedAt    time.Time
	ended        bool
}

// PromptPrefilled records, at its stream's first event, that a new prompt was prefilled.
// The tokens queued ahead count in full, although some of them may have been prefilled
// before the stream began: the estimate of the server's speed errs to the fast side only.
func (r *StreamLoad) PromptPrefilled() {
	if r.prompt == 0 {
		return
	}
	took := time.Since(r.startedAt)
	r.server.prefillStats.record(r.queuedTokens, took)
	if r.queuedTokens == r.prompt {
		r.server.recordPrefill(r.prompt, took)
	}
	r.removePrompt()
}

// CachedPromptPrefilled records that a prompt was prefilled that may have been in the
// server's cache, so that its time says nothing about the server's speed.
func (r *StreamLoad) CachedPromptPrefilled() { r.removePrompt() }

// removePrompt removes the prompt from the load.
func (r *StreamLoad) removePrompt() {
	if r.prompt == 0 {
		return
	}
	r.server.queuedTokens.Add(-r.prompt)
	r.prompt = 0
	r.server.updateUtilization()
	r.server.onLoadChange()
}

// End removes the stream from the load.
func (r *StreamLoad) End() {
	if r.ended {
		return
	}
	r.ended = true
	if r.prompt != 0 && !r.server.IsDown(time.Now()) {
		r.server.prefillStats.recordAbandoned(r.queuedTokens, time.Since(r.startedAt))
	}
	r.removePrompt()
	r.server.streams.Add(-1)
	r.server.onLoadChange()
}

// BeginCopy counts a copy of a stream's state until the returned function is called.
func (s *Server) BeginCopy() (end func()) {
	s.copies.Add(1)
	s.onLoadChange()
	return sync.OnceFunc(func() {
		s.copies.Add(-1)
		s.onLoadChange()
	})
}

// RecordReportedLoad records the load that the server reported in a response.
func (s *Server) RecordReportedLoad(now time.Time, running, waiting int) {
	others := int64(running+waiting) - s.calls.Load() - s.streams.Load()
	s.reportedCalls.Store(max(0, others))
	s.reportedAt.Store(now.UnixNano())
}
