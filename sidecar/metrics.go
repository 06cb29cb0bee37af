package sidecar

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// metrics are the sidecar's Prometheus metrics. They include the extra work at the engine
// that resuming causes.
type metrics struct {
	generated          prometheus.Counter
	prefilled          prometheus.Counter
	prefilledForResume prometheus.Counter
	orphaned           prometheus.Counter
	refused            *prometheus.CounterVec
	engineDeaths       prometheus.Counter
}

func newMetrics(reg prometheus.Registerer) *metrics {
	f := promauto.With(reg)
	counter := func(name, help string) prometheus.Counter {
		return f.NewCounter(prometheus.CounterOpts{Namespace: "pearyard", Subsystem: "sidecar", Name: name, Help: help})
	}
	return &metrics{
		generated:          counter("tokens_generated_total", "Tokens taken from the engine."),
		prefilled:          counter("tokens_prefilled_total", "Prompt and emitted tokens that the engine prefilled uncached."),
		prefilledForResume: counter("tokens_prefilled_for_resume_total", "The part of the prefilled tokens that a resume caused."),
		orphaned:           counter("generations_orphaned_total", "Generations stopped since no router read them."),
		engineDeaths:       counter("engine_deaths_total", "Deaths of the engine seen."),
		refused: f.NewCounterVec(prometheus.CounterOpts{Namespace: "pearyard", Subsystem: "sidecar",
			Name: "refused_total", Help: "Attempts refused before anything of them ran."}, []string{"code"}),
	}
}
