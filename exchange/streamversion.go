package exchange

import (
	"context"
	"time"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/site"
	"github.com/pearyard/pearyard/streamversion"
)

// What two versions of the servers' software write does not fit together. A stream goes on
// at the version that sent its first event only; before that, any version may begin it.

// versionBoundTo returns the version that the rest of the stream must come from. bound is
// false if the caller has no event yet.
func (s *stream) versionBoundTo() (version string, bound bool) {
	switch {
	case s.origin != nil:
		return *s.origin, true
	case s.begunBy != nil:
		return s.begunBy.Version(), true // by now, as the list may name a version late
	default:
		return "", false
	}
}

// findOrigin finds out which version began the stream of a caller that came back. A caller
// that names no attempt does not know of versions, and is served as if its stream were new.
func (s *stream) findOrigin(ctx context.Context) error {
	if s.req.LastEvent == "" {
		return nil
	}
	began := time.Now()
	version, how, known := "", originUnnamed, true
	if s.req.Resumes != "" || s.req.ResumesInvalid {
		version, how, known = s.e.findOrigin(ctx, s.req)
		s.origin = &version
	}
	s.e.opts.Recorder.Emit(EventReturned, event.FieldRequest, s.req.ID, "route", s.req.Route.Name, "resumes", s.req.Resumes, "after", s.req.LastEvent,
		"software", version, "how", how, "took", time.Since(began))
	if !known {
		s.e.metrics.versionUnknown.Inc()
		return ErrVersionUnknown
	}
	return nil
}

// How the version that began a stream is known, in log lines, beside what StreamVersions
// says.
const (
	originUnnamed    = "not_named"    // the caller names no attempt
	originSoleListed = "sole_version" // the servers that are listed have one version
	originUnknown    = "unknown"
)

func (e *Exchange) findOrigin(ctx context.Context, req *Request) (version, how string, known bool) {
	if e.opts.StreamVersions != nil {
		version, how, known = e.opts.StreamVersions.Find(ctx, req.Service, req.streamID(), maxStreamAge(req.Route))
		if start, unnamed := streamversion.StartOf(version); known && unnamed {
			return e.versionOfStart(start, how)
		}
		return version, how, known
	}
	if listed := e.opts.Directory.View().Versions(req.Service); len(listed) == 1 {
		return listed[0], originSoleListed, true
	}
	return "", originUnknown, false
}

// versionOfStart returns the version of a server's start that a record names.
func (e *Exchange) versionOfStart(start, recorded string) (version, how string, known bool) {
	view := e.opts.Directory.View()
	server := view.ByHash(directory.Hash(start))
	if server == nil || server.Start.String() != start || !view.RunsVersion(server, server.Version()) {
		return "", originUnknown, false
	}
	return server.Version(), recorded, true
}

// maxStreamAge returns how long after its start a stream's caller may come back: it may have
// come back before.
func maxStreamAge(route *site.Route) time.Duration {
	if route.Timeout <= 0 {
		return streamversion.Retention
	}
	return min(2*route.Timeout, streamversion.Retention)
}

// streamID returns the id of the request's stream, which is that of the caller's attempt that
// brought its first event.
func (r *Request) streamID() uint64 {
	attempt := r.ID
	if r.LastEvent != "" && (r.Resumes != "" || r.ResumesInvalid) {
		attempt = r.Resumes
	}
	return streamversion.StreamID(r.Organisation, attempt)
}

// returnPeriod is how long after a request's deadline its stream's version is kept: the
// route's deadline may pass before the caller's own.
const returnPeriod = 30 * time.Second

// recordOrigin records the version that sends the first event, before the caller gets it. For
// a caller that came back that prolongs the record. While the version is not known, the record
// names the server's start: without one the stream would count as of another version.
func (s *stream) recordOrigin(server *directory.Server) {
	if s.e.opts.StreamVersions == nil || !s.req.Route.Resumable || s.req.ResumesInvalid {
		return
	}
	version := server.Version()
	if !s.e.opts.Directory.View().RunsVersion(server, version) {
		version = streamversion.OfStart(server.Start.String())
	}
	s.e.opts.StreamVersions.Record(s.req.Service, s.req.streamID(), version, s.req.Deadline.Add(returnPeriod))
}

// admits returns which servers may get the stream's next attempt, nil for all.
func (s *stream) admits() func(*directory.Server) bool {
	version, bound := s.versionBoundTo()
	if !bound {
		return s.versions.Admits()
	}
	if !s.versions.MayResume(version) {
		return func(*directory.Server) bool { return false }
	}
	return s.canGoOnAt(version)
}

// canGoOnAt returns the servers that run the version that the stream is bound to. While that
// of the server that began it is only assumed, these are that server alone.
func (s *stream) canGoOnAt(version string) func(*directory.Server) bool {
	if s.origin == nil {
		return s.e.sameVersion(s.begunBy)
	}
	view := s.e.opts.Directory.View()
	return func(server *directory.Server) bool { return view.RunsVersion(server, version) }
}

// maySend reports whether a server may get the stream's next attempt.
func (s *stream) maySend(server *directory.Server) bool {
	admits := s.admits()
	return admits == nil || admits(server)
}

// sameVersion returns the servers that can use the KV cache of a run on server: nothing
// says that another version of the software can.
func (e *Exchange) sameVersion(server *directory.Server) func(*directory.Server) bool {
	view, version := e.opts.Directory.View(), server.Version()
	known := view.RunsVersion(server, version)
	return func(s *directory.Server) bool { return s == server || known && view.RunsVersion(s, version) }
}

// hasVersion reports whether a server of the version that began the stream may still take
// it: one that is listed and not leaving, even if it is lost, since a server that crashed is
// back within seconds, or if its version is only assumed, since the list may confirm it.
func (s *stream) hasVersion() bool {
	version, bound := s.versionBoundTo()
	if !bound {
		return true
	}
	canGoOn, view := s.canGoOnAt(version), s.e.opts.Directory.View()
	for _, server := range view.Service(s.req.Service) {
		if !server.Draining() && (canGoOn(server) || view.MayRunVersion(server, version)) {
			return true
		}
	}
	return false
}

// isExcluded reports whether a roll-out lets no server of the version that began the stream take
// it, so that waiting for one is of no use.
func (s *stream) isExcluded() bool {
	version, bound := s.versionBoundTo()
	return bound && s.versions.ExcludesStreams(version)
}

// waitForServer returns how long the stream may wait for a server.
func (s *stream) waitForServer() time.Duration {
	if _, bound := s.versionBoundTo(); bound {
		return max(versionWait, s.e.opts.Timings.WaitForServer)
	}
	return s.e.opts.Timings.WaitForServer
}

// versionWait is how long a stream waits for a server of the version that began it, while
// such servers are listed and not leaving. A server that crashed starts again within three
// seconds; no other one can give the caller the rest.
const versionWait = 3 * time.Second
