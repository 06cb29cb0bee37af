package exchange

import (
	"context"
	"time"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/promptcache"
)

// locate finds out which servers keep the stream's prompt. Servers are asked only
// for a caller that comes back for the rest of a stream: a new prompt is kept
// nowhere, and one of a caller who got nothing yet looks new.
//
// A server that still keeps the prompt goes on at once, where another one would read it
// again.
func (s *stream) locate(ctx context.Context) {
	if len(s.req.Prompt) == 0 {
		return
	}
	if s.req.LastEvent == "" {
		s.kept = s.e.prompts.Known(s.req.Service, s.req.Prompt).Kept
		return
	}
	began := time.Now()
	servers := s.e.opts.Directory.Healthy(s.req.Service, began)
	found := s.e.prompts.Find(ctx, s.req.Service, servers, s.req.Prompt)
	s.kept = found.Kept
	s.e.opts.Recorder.Emit(EventLocated, event.FieldRequest, s.req.ID, "route", s.req.Route.Name, "after", s.req.LastEvent,
		"servers", len(found.Kept), "tokens", found.Most(), "of", s.req.PromptTokens, "asked", found.Asked, "took", time.Since(began))
}

func (e *Exchange) askKept(ctx context.Context, s *directory.Server) (promptcache.Contents, error) {
	e.metrics.probes.Inc()
	return e.opts.Backend.Kept(ctx, s)
}

// unread returns how many tokens of the stream's prompt a server has yet to read.
func (s *stream) unread(server *directory.Server) int {
	return max(0, s.req.PromptTokens-s.kept[server.Start])
}
