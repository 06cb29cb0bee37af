package exchange

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// admissionMetrics counts what becomes of streams that compete for servers, by rank.
type admissionMetrics struct {
	decisions *prometheus.CounterVec
	waiting   *prometheus.GaugeVec
	waits     *prometheus.HistogramVec
}

func newAdmissionMetrics(reg prometheus.Registerer) *admissionMetrics {
	m := &admissionMetrics{
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pearyard_admission_decisions_total", Help: "Streams that were started, told to wait or refused, by the rank of their class (0 is the most urgent)."}, []string{"rank", "decision"}),
		waiting: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "pearyard_admission_waiting", Help: "Streams that wait at this process to be sent to a backend server, by rank."}, []string{"rank"}),
		waits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "pearyard_admission_wait_seconds", Help: "Time that streams waited at this process before they were started or refused, seconds.",
			Buckets: prometheus.ExponentialBuckets(0.02, 2, 10)}, []string{"rank", "decision"}),
	}
	reg.MustRegister(m.decisions, m.waiting, m.waits)
	return m
}

// rankMetrics are those of one rank.
type rankMetrics struct {
	metrics *admissionMetrics
	rank    string
}

func (m *admissionMetrics) of(rank int) rankMetrics { return rankMetrics{m, strconv.Itoa(rank)} }

// started counts a stream that was started, after waiting if it was told to.
func (r rankMetrics) started(waited bool, after time.Duration) {
	r.metrics.decisions.WithLabelValues(r.rank, "start").Inc()
	if waited {
		r.metrics.waits.WithLabelValues(r.rank, "start").Observe(after.Seconds())
	}
}

func (r rankMetrics) refuse(after time.Duration) {
	r.metrics.decisions.WithLabelValues(r.rank, "refuse").Inc()
	r.metrics.waits.WithLabelValues(r.rank, "refuse").Observe(after.Seconds())
}

func (r rankMetrics) wait() {
	r.metrics.decisions.WithLabelValues(r.rank, "wait").Inc()
	r.metrics.waiting.WithLabelValues(r.rank).Inc()
}

func (r rankMetrics) waitEnded() { r.metrics.waiting.WithLabelValues(r.rank).Dec() }
