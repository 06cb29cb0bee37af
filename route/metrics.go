package route

import (
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// reason is why a candidate was picked.
type reason int

const (
	reasonHolder     reason = iota // holds a prefix of the prompt
	reasonHome                     // first in the rendezvous order of the prompt's first block
	reasonZone                     // selected by load in the router's own zone
	reasonLoad                     // selected by load in the whole view, or in turn
	reasonProbe                    // slow and due for a probe
	reasonSuspect                  // selected for a suspect request
	reasonLastResort               // slow, but there is no other
	reasonCount                    // number of reasons
)

var reasonNames = [reasonCount]string{"holder", "home", "zone", "load", "probe", "suspect", "last_resort"}

// metrics holds collectors with their labels resolved, so that a pick costs one
// atomic addition.
type metrics struct {
	picks       [reasonCount]prometheus.Counter
	noCandidate prometheus.Counter
	slow        prometheus.Gauge
}

func newMetrics(reg prometheus.Registerer, service string) *metrics {
	picks := register(reg, prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pearyard_route_picks_total",
		Help: "Picks of a backend server by the reason of the choice.",
	}, []string{"service", "reason"}))
	none := register(reg, prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pearyard_route_no_candidate_total",
		Help: "Picks that found no backend server.",
	}, []string{"service"}))
	slow := register(reg, prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "pearyard_route_slow_backend_servers",
		Help: "Backend servers avoided for their step time.",
	}, []string{"service"}))
	m := &metrics{noCandidate: none.WithLabelValues(service), slow: slow.WithLabelValues(service)}
	for i, name := range reasonNames {
		m.picks[i] = picks.WithLabelValues(service, name)
	}
	return m
}

// register registers and returns c, or returns the collector already registered
// under its name: each service has its own policy, and all share the metrics.
func register[T prometheus.Collector](reg prometheus.Registerer, c T) T {
	if reg == nil {
		return c
	}
	err := reg.Register(c)
	var already prometheus.AlreadyRegisteredError
	if errors.As(err, &already) {
		if old, ok := already.ExistingCollector.(T); ok {
			return old
		}
	}
	return c
}
