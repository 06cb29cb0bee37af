package exchange

import (
	"time"

	"github.com/pearyard/pearyard/directory"
)

// What two versions of the servers' software write does not fit together. A stream goes on
// at the version that sent its first event only; before that, any version may begin it.

// versionBoundTo returns the version that the rest of the stream must come from. bound is
// false if the caller has no event yet.
func (s *stream) versionBoundTo() (version string, bound bool) {
	if s.begunBy == nil {
		return "", false
	}
	return s.begunBy.Version(), true // by now, as the list may name a version late
}

// admits returns which servers may get the stream's next attempt, nil for all.
func (s *stream) admits() func(*directory.Server) bool {
	version, bound := s.versionBoundTo()
	if !bound {
		return s.versions.Admits()
	}
	view, mayResume := s.e.opts.Directory.View(), s.versions.MayResume(version)
	return func(server *directory.Server) bool {
		return mayResume && (server == s.begunBy || view.RunsVersion(server, version))
	}
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
	return func(s *directory.Server) bool { return view.RunsVersion(s, version) }
}

// hasVersion reports whether a server of the version that began the stream may still take
// it: one that is listed and not leaving, even if it is lost, since a server that crashed is
// back within seconds.
func (s *stream) hasVersion() bool {
	version, bound := s.versionBoundTo()
	if !bound {
		return true
	}
	view := s.e.opts.Directory.View()
	for _, server := range view.Service(s.req.Service) {
		if !server.Draining() && view.RunsVersion(server, version) {
			return true
		}
	}
	return false
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
