package exchange

import (
	"context"
	"time"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/promptcache"
)

// locatePrompt finds out which servers have the stream's prompt cached. Servers are
// asked only for a caller that comes back for the rest of a stream: a new prompt is
// cached nowhere, and that of a caller who has received nothing yet looks new. For
// these, only what servers have answered recently is used.
//
// A server that still has the prompt cached resumes at once, where another one would
// have to read it again.
func (s *stream) locatePrompt(ctx context.Context) {
	if len(s.req.Prompt) == 0 {
		return
	}
	if s.req.LastEvent == "" {
		s.cachedTokens = s.e.prompts.Known(s.req.Service, s.req.Prompt).CachedTokens
		return
	}
	began := time.Now()
	servers := func() []*directory.Server { return s.e.opts.Directory.Healthy(s.req.Service, time.Now()) }
	found := s.e.prompts.Find(ctx, s.req.Service, servers, s.req.Prompt)
	s.cachedTokens = found.CachedTokens
	s.e.opts.Recorder.Emit(EventLocated, event.FieldRequest, s.req.ID, "route", s.req.Route.Name, "after", s.req.LastEvent,
		"servers", len(found.CachedTokens), "tokens", found.Most(), "of", s.req.PromptTokens, "asked", found.Queried, "by_peer", found.ByPeer, "took", time.Since(began))
}

func (e *Exchange) askCached(ctx context.Context, s *directory.Server) (promptcache.Contents, error) {
	e.metrics.probes.Inc()
	return e.opts.Backend.CachedPrompts(ctx, s)
}

// unreadTokens returns how many tokens of the stream's prompt a server has yet to read.
func (s *stream) unreadTokens(server *directory.Server) int {
	return max(0, s.req.PromptTokens-s.cachedTokens[server.Start])
}
