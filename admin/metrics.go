package admin

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// metrics holds the metrics of the administration API.
type metrics struct {
	applies      *prometheus.CounterVec // by result
	unauthorized prometheus.Counter
	unanswered   prometheus.Counter
	inForce      prometheus.Histogram
}

// Results of an apply.
const (
	resultAccepted  = "accepted"
	resultFindings  = "findings"
	resultRace      = "race"
	resultAmbiguous = "ambiguous"
	resultError     = "error"
)

func newMetrics(reg prometheus.Registerer) *metrics {
	factory := promauto.With(reg)
	return &metrics{
		applies: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "pearyard_admin_applies_total", Help: "Submitted configurations by result.",
		}, []string{"result"}),
		unauthorized: factory.NewCounter(prometheus.CounterOpts{
			Name: "pearyard_admin_unauthorized_total", Help: "Calls without a valid bearer token.",
		}),
		unanswered: factory.NewCounter(prometheus.CounterOpts{
			Name: "pearyard_admin_unanswered_total", Help: "Processes that did not respond when queried for an explanation or a bundle.",
		}),
		inForce: factory.NewHistogram(prometheus.HistogramOpts{
			Name:    "pearyard_admin_in_force_seconds",
			Help:    "Time from accepting a revision until every process had it in force, if an operator waited for it.",
			Buckets: []float64{.05, .1, .2, .5, 1, 2, 4, 8, 30},
		}),
	}
}
