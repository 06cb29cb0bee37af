package retry

import (
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
)

type budgetMetrics struct {
	requests prometheus.Counter
	allowed  prometheus.Counter
	refused  prometheus.Counter
}

func newBudgetMetrics(reg prometheus.Registerer, service string) budgetMetrics {
	requests := register(reg, prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pearyard_retry_first_tries_total",
		Help: "Requests sent for the first time.",
	}, []string{"service"}))
	retries := register(reg, prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pearyard_retry_asked_total",
		Help: "Retries asked for, by whether the budget allowed them.",
	}, []string{"service", "allowed"}))
	return budgetMetrics{
		requests: requests.WithLabelValues(service),
		allowed:  retries.WithLabelValues(service, "true"),
		refused:  retries.WithLabelValues(service, "false"),
	}
}

func newOpenedCounter(reg prometheus.Registerer) prometheus.Counter {
	return register(reg, prometheus.NewCounter(prometheus.CounterOpts{
		Name: "pearyard_retry_circuit_opened_total",
		Help: "Times that the circuit of a backend server was opened.",
	}))
}

// register registers c and returns it, or returns the collector that is already
// registered under its name. If reg is nil, c isn't registered.
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
