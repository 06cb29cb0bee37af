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

// Ready tells whether callers should come: there is a configuration, there are
// backend servers to send to, and no stop has begun. Once it has been ready, a
// process stays so while servers that leave are all that is left: others come,
// and out of rotation it would have its callers back two questions later only.
func (e *Entry) Ready() bool {
	if e.stop.begun() || !e.listed() || (!e.ready.Load() && !e.usable()) {
		return false
	}
	if e.ready.CompareAndSwap(false, true) {
		e.recorder.Emit(EventReady, "version", e.holder.Config().Version, "servers", e.directory.View().Len(), "after", time.Since(e.started))
	}
	return true
}

// listed tells whether a server is listed of a service that a route leads to.
//
// Servers of services without routes do not make a process ready: it would refuse all
// callers.
func (e *Entry) listed() bool {
	return e.serves(func(*directory.Server) bool { return true })
}

// usable is listed for servers that take new work.
func (e *Entry) usable() bool {
	return e.serves(func(s *directory.Server) bool { return !s.Draining() })
}

func (e *Entry) serves(counts func(*directory.Server) bool) bool {
	config, view := e.holder.Config(), e.directory.View()
	return config != nil && config.AnyTarget(func(service string) bool { return slices.ContainsFunc(view.Service(service), counts) })
}

func (e *Entry) serveReady(group *run.Group) error {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !e.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return serve(group, e.settings.Ready, mux)
}

func (e *Entry) servePeers(group *run.Group) error {
	mux := http.NewServeMux()
	mux.Handle("/twirp/pearyard.fleet.Fleet/", e.fleet.Handler())
	mux.Handle(suspectpb.SuspectsPathPrefix, e.suspects.Handler())
	mux.Handle("/", e.inspect.Handler())
	return serve(group, e.settings.Peers, mux)
}

// MetricsPort is where metrics are served, as the deploy file says.
const MetricsPort = "9464"

// serveMetrics serves metrics where the platform collects them. They are worth
// less than the callers: if the port is taken, the process goes on without.
func (e *Entry) serveMetrics(group *run.Group) error {
	err := serve(group, net.JoinHostPort(e.settings.IP, MetricsPort), e.inspect.Handler())
	if err != nil {
		e.recorder.Emit(EventNoMetrics, "port", MetricsPort, "err", err)
	}
	return nil
}

// serve adds a server that ends with the group.
func serve(group *run.Group, address string, handler http.Handler) error {
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
