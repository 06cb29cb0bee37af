package exchange

import (
	"time"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
)

// promptKeeper returns the listed server that has most of the stream's prompt cached; nil: none
// has any of it.
func (s *stream) promptKeeper() *directory.Server {
	var keeper *directory.Server
	for _, server := range s.e.opts.Directory.View().Service(s.req.Service) {
		cached := s.cachedTokens[server.Start]
		if cached > 0 && (keeper == nil || cached > s.cachedTokens[keeper.Start]) {
			keeper = server
		}
	}
	return keeper
}

// logReturnPlaced records which server a caller's stream goes on at after it has come back, or
// why at none, beside the server that has most of its prompt cached.
func (s *stream) logReturnPlaced(server *directory.Server, err error) {
	if s.req.LastEvent == "" {
		return
	}
	now := time.Now()
	line := []any{event.FieldRequest, s.req.ID, "route", s.req.Route.Name, "reached", s.lastEvent, "left", s.req.timeLeft(now),
		"events", int(s.eventsLeft(s.e.paceFor(s.req.Service)))}
	line = append(line, s.outlookFields("", server, now)...)
	line = append(line, s.outlookFields("keeper_", s.promptKeeper(), now)...)
	s.e.opts.Recorder.Emit(EventReturnPlaced, append(line, "err", err)...)
}

// outlookFields returns the fields of a log line that say what is expected of a server for this
// stream; nil: no server.
func (s *stream) outlookFields(prefix string, server *directory.Server, now time.Time) []any {
	if server == nil {
		return []any{prefix + "server", ""}
	}
	est, _ := s.estimate(server, now)
	return []any{prefix + "server", server.Start, prefix + "software", server.Version(), prefix + "admitted", s.maySend(server),
		prefix + "cached", s.cachedTokens[server.Start], prefix + "ahead", est.unread, prefix + "streams", server.RunningStreams(),
		prefix + "first", est.first, prefix + "end", est.end}
}
