package claim

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/types"
)

var resultNames = [...]string{
	ResultCommitted: "committed", ResultConflict: "conflict", ResultAmbiguous: "ambiguous", ResultTableUnavailable: "table_down",
	ResultUnreadable: "unreadable", ResultRow: "row", ResultNoRow: "no_row", ResultCompleted: "completed",
	ResultNotRun: "not_run", ResultUnknown: "unknown", ResultRunning: "running", ResultAnswerLost: "lost",
	ResultUnreachable: "unreachable", ResultExpired: "out_of_time", ResultNoTarget: "no_target",
}

// String returns the name of the result in metrics and events.
func (r Result) String() string { return resultNames[r] }

type metrics struct {
	answers        *prometheus.CounterVec
	claims         *prometheus.CounterVec
	commits        *prometheus.CounterVec
	batchSize      *prometheus.HistogramVec
	sidecarAnswers *prometheus.CounterVec
	saves          *prometheus.CounterVec
	deleted        prometheus.Counter
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		answers: newCounter("answers_total", "Answers to calls that may not be repeated.", "outcome", "code"),
		claims:  newCounter("claims_total", "Claims by what came of the write.", "result"),
		commits: newCounter("commits_total", "Transactions by what is written and what came of them.", "kind", "result"),
		batchSize: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "pearyard", Subsystem: "claim", Name: "batch_size",
			Help: "Rows in one transaction, by what is written.", Buckets: []float64{1, 2, 4, 8, 16, 32, 64},
		}, []string{"kind"}),
		sidecarAnswers: newCounter("sidecar_answers_total", "Sidecars' answers to dispatches and voids.", "question", "answer"),
		saves:          newCounter("saves_total", "Final outcomes written into claim rows.", "result"),
		deleted: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "pearyard", Subsystem: "claim", Name: "rows_deleted_total", Help: "Claim rows deleted past their retention.",
		}),
	}
	reg.MustRegister(m.answers, m.claims, m.commits, m.batchSize, m.sidecarAnswers, m.saves, m.deleted)
	return m
}

func newCounter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "pearyard", Subsystem: "claim", Name: name, Help: help,
	}, labels)
}

func (m *metrics) countAnswer(refusal *types.Refusal) {
	if refusal == nil {
		m.answers.WithLabelValues(string(types.OutcomeCompleted), "").Inc()
		return
	}
	m.answers.WithLabelValues(string(refusal.Outcome), string(refusal.Code)).Inc()
}
