package config

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

const namespace, subsystem = "pearyard", "config"

type holderMetrics struct{ offers *prometheus.CounterVec }

func newHolderMetrics(reg prometheus.Registerer, h *Holder) *holderMetrics {
	factory := promauto.With(reg)
	factory.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Subsystem: subsystem, Name: "revision",
		Help: "Revision of the text in force; 0 if there is none."}, func() float64 { return float64(h.Revision()) })
	factory.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Subsystem: subsystem, Name: "freshness_seconds",
		Help: "Time since the store or a peer confirmed the revision in force; -1 if never."}, func() float64 {
		if fresh := h.Freshness(); fresh != NeverConfirmed {
			return fresh.Seconds()
		}
		return -1
	})
	return &holderMetrics{offers: counter(factory, "offers_total",
		"Revisions offered to this process by result: taken, old, conflicting, undecodable.", "result")}
}

type storeMetrics struct{ accepts *prometheus.CounterVec }

func newStoreMetrics(reg prometheus.Registerer) *storeMetrics {
	return &storeMetrics{accepts: counter(promauto.With(reg), "accepts_total",
		"Texts that operators applied by result: accepted, refused, race, undecided, unavailable.", "result")}
}

type syncMetrics struct {
	polls, fetches, pushes *prometheus.CounterVec
}

func newSyncMetrics(reg prometheus.Registerer) *syncMetrics {
	factory := promauto.With(reg)
	return &syncMetrics{
		polls:   counter(factory, "polls_total", "Polls of the store by result: same, newer, older, error.", "result"),
		fetches: counter(factory, "fetches_total", "Texts asked of peers by result: taken, old, error.", "result"),
		pushes:  counter(factory, "pushes_total", "Accepted texts pushed to peers by result: taken, behind, error.", "result"),
	}
}

func counter(factory promauto.Factory, name, help string, labels ...string) *prometheus.CounterVec {
	return factory.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Subsystem: subsystem, Name: name, Help: help}, labels)
}
