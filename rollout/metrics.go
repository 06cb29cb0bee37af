package rollout

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	sent *prometheus.CounterVec // by version: new, established
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{sent: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pearyard_rollout_attempts_total", Help: "Attempts of services with a roll-out, by version of the backend server: new or established."}, []string{"version"})}
	if reg != nil {
		reg.MustRegister(m.sent)
	}
	return m
}

func (m *metrics) countSent(isNew bool) {
	version := "established"
	if isNew {
		version = "new"
	}
	m.sent.WithLabelValues(version).Inc()
}
