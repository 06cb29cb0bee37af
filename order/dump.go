package order

import (
	"fmt"
	"strings"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/engine"
)

// ServerDump is the state of one backend server after the newest pass.
type ServerDump struct {
	Address   string   `json:"address"`
	Service   string   `json:"service"`
	Reachable bool     `json:"reachable"`
	Loading   bool     `json:"loading"`
	Due       []string `json:"due,omitempty"` // orders that are still needed
}

// Dump is the state of a Reconciler. Servers is empty on a process that doesn't
// hold the lease.
type Dump struct {
	Fence   uint64       `json:"fence"`
	Servers []ServerDump `json:"servers,omitempty"`
}

type snapshot struct{ atomic.Pointer[Dump] }

// Dump returns the state after the newest pass.
func (r *Reconciler) Dump() Dump {
	if d := r.dump.Load(); d != nil {
		return *d
	}
	return Dump{}
}

// publish stores the result of a pass for Dump and sets the metrics.
func (r *Reconciler) publish(servers []serverState) {
	d := &Dump{Fence: r.fence}
	due, unreachable := 0, 0
	for _, s := range servers {
		dump := ServerDump{
			Address: s.target.Address, Service: s.target.Service,
			Reachable: s.reachable, Loading: r.isLoading(s.target.Address),
		}
		for _, o := range s.orders {
			dump.Due = append(dump.Due, describe(o))
		}
		due += min(1, len(s.orders))
		if !s.reachable {
			unreachable++
		}
		d.Servers = append(d.Servers, dump)
	}
	r.dump.Store(d)
	r.metrics.due.Set(float64(due))
	r.metrics.unreachable.Set(float64(unreachable))
}

// describe returns an order as it is shown in events and dumps.
func describe(o engine.Order) string { return fmt.Sprintf("%s %s@%s", o.Kind, o.Name, o.Version) }

// fingerprint returns a string that is equal for targets that want the same
// artefacts in the same sequence.
func fingerprint(t Target) string {
	var b strings.Builder
	for _, a := range t.Want {
		fmt.Fprintf(&b, "%s\x00%s\x00%s\x00", a.Kind, a.Name, a.Version)
	}
	return b.String()
}

type metrics struct {
	orders           *prometheus.CounterVec
	due, unreachable prometheus.Gauge
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pearyard_orders_total", Help: "Orders sent to backend servers, by kind and result."}, []string{"kind", "result"}),
		due: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "pearyard_orders_due", Help: "Backend servers that don't serve yet what the text asks."}),
		unreachable: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "pearyard_orders_unreachable", Help: "Backend servers whose sidecar didn't say what is loaded."}),
	}
	if reg != nil {
		reg.MustRegister(m.orders, m.due, m.unreachable)
	}
	return m
}
