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

// BeginStream counts a stream whose prompt, of that many tokens, awaits prefill.
func (s *Server) BeginStream(prompt int) *StreamLoad {
	ahead := s.QueuedTokens()
	s.streams.Add(1)
	s.queuedTokens.Add(int64(prompt))
	s.updateUtilization()
	s.onLoadChange()
	return &StreamLoad{server: s, prompt: int64(prompt), tokensToPrefill: ahead + int64(prompt), startedAt: time.Now()}
}

// StreamLoad is one stream's share of a server's load.
type StreamLoad struct {
	server          *Server
	prompt          int64
	tokensToPrefill int64 // tokens of the prompt and those queued ahead of it
	startedAt       time.Time
	ended           bool
}

// PromptPrefilled records, at its stream's first event, that a new prompt was prefilled.
// The tokens queued ahead count in full, although some of them may have been prefilled
// before the stream began: the estimate of the server's speed errs to the fast side only.
func (l *StreamLoad) PromptPrefilled() {
	if l.prompt == 0 {
		return
	}
	took := time.Since(l.startedAt)
	l.server.prefillStats.record(l.tokensToPrefill, took)
	if l.tokensToPrefill == l.prompt {
		l.server.recordPrefill(l.prompt, took)
	}
	l.removePrompt()
}

// CachedPromptPrefilled records that a prompt was prefilled that may have been in the
// server's cache, so that its time says nothing about the server's speed.
func (l *StreamLoad) CachedPromptPrefilled() { l.removePrompt() }

// removePrompt removes the prompt from the load, unless that has been done.
func (l *StreamLoad) removePrompt() {
	if l.prompt == 0 {
		return
	}
	l.server.queuedTokens.Add(-l.prompt)
	l.prompt = 0
	l.server.updateUtilization()
	l.server.onLoadChange()
}

// End removes the stream from the load, and its prompt if that was never prefilled.
func (l *StreamLoad) End() {
	if l.ended {
		return
	}
	l.ended = true
	if l.prompt != 0 && !l.server.IsDown(time.Now()) {
		l.server.prefillStats.recordAbandoned(l.tokensToPrefill, time.Since(l.startedAt))
	}
	l.removePrompt()
	l.server.streams.Add(-1)
	l.server.onLoadChange()
}

// RunningStreams returns the streams that run at the server, as far as this process knows.
func (s *Server) RunningStreams() int64 { return s.streams.Load() + max(0, s.peerStreams.Load()) }

// BeginCopy counts a copy of a stream's state until the returned function is called.
func (s *Server) BeginCopy() (end func()) {
	s.copies.Add(1)
	s.onLoadChange()
	return sync.OnceFunc(func() {
		s.copies.Add(-1)
		s.onLoadChange()
	})
}

// RecordReportedLoad records the requests, running and waiting, that the server reported
// in a response. Those of this process are subtracted.
func (s *Server) RecordReportedLoad(now time.Time, running, waiting int) {
	others := int64(running+waiting) - s.calls.Load() - s.streams.Load()
	s.reportedCalls.Store(max(0, others))
	s.reportedAt.Store(now.UnixNano())
	if int64(running) > s.mostRunning.Load() {
		s.mostRunning.Store(int64(running))
	}
}
