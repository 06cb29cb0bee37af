package order

import (
	"fmt"
	"strings"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/engine"
)

// ServerDump is one backend server as the newest pass left it.
type ServerDump struct {
	Address   string   `json:"address"`
	Service   string   `json:"service"`
	Reachable bool     `json:"reachable"`
	Loading   bool     `json:"loading"`
	Due       []string `json:"due,omitempty"` // orders that are still to come
}

// Dump is the state of a Reconciler; Servers is empty where the lease isn't held.
type Dump struct {
	Fence   uint64       `json:"fence"`
	Servers []ServerDump `json:"servers,omitempty"`
}

type snapshot struct{ atomic.Pointer[Dump] }

// Dump returns what the newest pass saw.
func (r *Reconciler) Dump() Dump {
	if d := r.dump.Load(); d != nil {
		return *d
	}
	return Dump{}
}

// publish makes a pass's views readable by Dump and sets the metrics.
func (r *Reconciler) publish(views []view) {
	d := &Dump{Fence: r.fence}
	due, unreachable := 0, 0
	for _, v := range views {
		s := ServerDump{
			Address: v.target.Address, Service: v.target.Service,
			Reachable: v.reachable, Loading: r.isLoading(v.target.Address),
		}
		for _, o := range v.orders {
			s.Due = append(s.Due, describe(o))
		}
		due += min(1, len(v.orders))
		if !v.reachable {
			unreachable++
		}
		d.Servers = append(d.Servers, s)
	}
	r.dump.Store(d)
	r.metrics.due.Set(float64(due))
	r.metrics.unreachable.Set(float64(unreachable))
}

func describe(o engine.Order) string { return fmt.Sprintf("%s %s@%s", o.Kind, o.Name, o.Version) }

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
