package claim

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/types"
)

var seenNames = [...]string{
	SeenCommitted: "committed", SeenConflict: "conflict", SeenAmbiguous: "ambiguous", SeenTableDown: "table_down",
	SeenUnreadable: "unreadable", SeenRow: "row", SeenNoRow: "no_row", SeenCompleted: "completed",
	SeenNotRun: "not_run", SeenUnknown: "unknown", SeenRunning: "running", SeenLost: "lost",
	SeenUnreachable: "unreachable", SeenOutOfTime: "out_of_time", SeenNoTarget: "no_target",
}

// String returns the observation's name as metrics and events show it.
func (s Seen) String() string { return seenNames[s] }

type metrics struct {
	answers *prometheus.CounterVec
	claims  *prometheus.CounterVec
	commits *prometheus.CounterVec
	batch   *prometheus.HistogramVec
	sidecar *prometheus.CounterVec
	saves   *prometheus.CounterVec
	swept   prometheus.Counter
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		answers: counters("answers_total", "Answers to calls that may not be repeated.", "outcome", "code"),
		claims:  counters("claims_total", "Claims by what came of the write.", "result"),
		commits: counters("commits_total", "Transactions by what is written and what came of them.", "kind", "result"),
		batch: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "pearyard", Subsystem: "claim", Name: "batch_size",
			Help: "Rows in one transaction, by what is written.", Buckets: []float64{1, 2, 4, 8, 16, 32, 64},
		}, []string{"kind"}),
		sidecar: counters("sidecar_answers_total", "Sidecars' answers to dispatches and voids.", "question", "answer"),
		saves:   counters("saves_total", "Final outcomes written into claim rows.", "result"),
		swept: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "pearyard", Subsystem: "claim", Name: "rows_deleted_total", Help: "Claim rows deleted past their retention.",
		}),
	}
	reg.MustRegister(m.answers, m.claims, m.commits, m.batch, m.sidecar, m.saves, m.swept)
	return m
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "pearyard", Subsystem: "claim", Name: name, Help: help,
	}, labels)
}

func (m *metrics) answered(refusal *types.Refusal) {
	if refusal == nil {
		m.answers.WithLabelValues(string(types.OutcomeCompleted), "").Inc()
		return
	}
	m.answers.WithLabelValues(string(refusal.Outcome), string(refusal.Code)).Inc()
}
