package gate

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	calls *prometheus.CounterVec
	voids *prometheus.CounterVec
}

func newMetrics(reg prometheus.Registerer, c *Calls) *metrics {
	m := &metrics{
		calls: counters("calls_total", "Calls by kind and outcome.", "kind", "outcome", "code"),
		voids: counters("voids_total", "Requests to void an attempt by outcome.", "outcome", "code"),
	}
	reg.MustRegister(m.calls, m.voids,
		gauge("calls_in_flight", "Calls that a stop has to wait for.", func() float64 { return float64(c.InFlight()) }),
		gauge("attempts_remembered", "Attempts and tombstones in memory.", func() float64 { return float64(c.memory.size()) }),
	)
	return m
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "pearyard", Subsystem: "gate", Name: name, Help: help,
	}, labels)
}

func gauge(name, help string, read func() float64) prometheus.GaugeFunc {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "pearyard", Subsystem: "gate", Name: name, Help: help,
	}, read)
}
