package limit

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	admitted, queued *prometheus.CounterVec // by class
	refused          *prometheus.CounterVec // by reason
	wait             *prometheus.HistogramVec
}

// Values of the reason label.
const (
	reasonRate     = "rate"
	reasonQueue    = "queue_full"
	reasonDeadline = "deadline"
)

// waitBuckets are the buckets of the wait_seconds histogram, in seconds.
var waitBuckets = []float64{.001, .005, .02, .05, .1, .25, .5, 1, 2.5, 5, 10, 30}

func newMetrics(reg prometheus.Registerer, l *Limiter) *metrics {
	vec := func(name, help, label string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "pearyard", Subsystem: "limit", Name: name, Help: help,
		}, []string{label})
	}
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "pearyard", Subsystem: "limit", Name: name, Help: help,
		}, value)
	}
	m := &metrics{
		admitted: vec("admitted_total", "Requests admitted.", "class"),
		queued:   vec("queued_total", "Requests that had to wait for a slot.", "class"),
		refused:  vec("refused_total", "Requests refused.", "reason"),
		wait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "pearyard", Subsystem: "limit", Name: "wait_seconds",
			Help: "Time in the queue of requests that were admitted after waiting.", Buckets: waitBuckets,
		}, []string{"class"}),
	}
	reg.MustRegister(m.admitted, m.queued, m.refused, m.wait,
		gauge("slots_used", "Slots taken.", func() float64 { return float64(l.slots.counts().total()) }),
		gauge("slots", "Slots that this router may fill.", func() float64 { return float64(l.opts.Capacity()) }),
		gauge("waiting", "Requests that wait for a slot.", func() float64 { return float64(l.slotWaiters.Load()) }))
	return m
}
