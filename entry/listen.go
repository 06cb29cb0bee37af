package entry

import (
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/platform"
	suspectpb "github.com/pearyard/pearyard/rpc/suspect"
)

// Ready reports whether the process should receive callers: it has a configuration and
// backend servers to send to, and no stop has begun. Once ready, it stays ready while
// all remaining servers are draining: others will join, and a process out of rotation
// gets its callers back only two health checks later.
func (e *Entry) Ready() bool {
	if e.shutdown.begun() || !e.anyServerListed() || (!e.wasReady.Load() && !e.anyServerUsable()) {
		return false
	}
	if e.wasReady.CompareAndSwap(false, true) {
		e.recorder.Emit(EventReady, "version", e.configHolder.Config().Version, "servers", e.directory.View().Len(), "after", time.Since(e.startedAt))
	}
	return true
}

// anyServerListed reports whether a server is listed for any service that a route leads to.
//
// Servers of services without a route don't count: with only those, the process would
// be ready and refuse all callers.
func (e *Entry) anyServerListed() bool {
	return e.anyRoutedServer(func(*directory.Server) bool { return true })
}

// anyServerUsable is like anyServerListed for servers that accept new work.
func (e *Entry) anyServerUsable() bool {
	return e.anyRoutedServer(func(s *directory.Server) bool { return !s.Draining() })
}

// anyRoutedServer reports whether a service that a route leads to has a server for
// which matches returns true.
func (e *Entry) anyRoutedServer(matches func(*directory.Server) bool) bool {
	config, view := e.configHolder.Config(), e.directory.View()
	return config != nil && config.AnyTarget(func(service string) bool { return slices.ContainsFunc(view.Service(service), matches) })
}

// serveReady adds the server of the platform's readiness check.
func (e *Entry) serveReady(group *run.Group) error {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !e.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return addServer(group, e.settings.Ready, mux)
}

// servePeers adds the server on the internal port: other entry VMs and the state dump.
func (e *Entry) servePeers(group *run.Group) error {
	mux := http.NewServeMux()
	mux.Handle("/twirp/pearyard.fleet.Fleet/", e.fleet.Handler())
	mux.Handle(suspectpb.SuspectsPathPrefix, e.suspects.Handler())
	mux.Handle("/", e.inspect.Handler())
	return addServer(group, e.settings.Peers, mux)
}

// MetricsPort is the port that metrics are served on, as the deployment file states.
const MetricsPort = "9464"

// serveMetrics adds the server that the platform collects metrics from. Serving callers
// matters more: if the port is in use, the process goes on without it.
func (e *Entry) serveMetrics(group *run.Group) error {
	err := addServer(group, net.JoinHostPort(e.settings.IP, MetricsPort), e.inspect.Handler())
	if err != nil {
		e.recorder.Emit(EventNoMetrics, "port", MetricsPort, "err", err)
	}
	return nil
}

// addServer adds an HTTP server that ends with the group.
func addServer(group *run.Group, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return errors.Wrap(err, "entry: listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	group.Add(func() error { return ignoreClosed(server.Serve(listener)) }, func(error) { _ = server.Close() })
	return nil
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "entry: serve")
}
