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
			Name: "pearyard_admin_applies_total", Help: "Applied texts by result.",
		}, []string{"result"}),
		unauthorized: factory.NewCounter(prometheus.CounterOpts{
			Name: "pearyard_admin_unauthorized_total", Help: "Calls without the bearer token.",
		}),
		unanswered: factory.NewCounter(prometheus.CounterOpts{
			Name: "pearyard_admin_unanswered_total", Help: "Processes that did not answer when asked for their state.",
		}),
		inForce: factory.NewHistogram(prometheus.HistogramOpts{
			Name:    "pearyard_admin_in_force_seconds",
			Help:    "Time from the acceptance of a revision until every process had it in force, where an operator waited.",
			Buckets: []float64{.05, .1, .2, .5, 1, 2, 4, 8, 30},
		}),
	}
}
