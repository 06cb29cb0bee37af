package router

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Causes of an interruption of the output, used as labels of the resume latency.
const (
	causeEngineDied     = "engine_died"
	causeConnection     = "connection"
	causeSilence        = "silence"
	causeMoved          = "moved"
	causeStalled        = "still"
	causeCallerReturned = "caller_returned"
)

type metrics struct {
	requests      *prometheus.CounterVec
	resumeLatency *prometheus.HistogramVec
	firstToken    prometheus.Histogram
	tokens        prometheus.Counter
	discarded     prometheus.Counter
}

func newMetrics(reg prometheus.Registerer, streams func() float64) *metrics {
	f := promauto.With(reg)
	const namespace, subsystem = "pearyard", "router"
	f.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Subsystem: subsystem,
		Name: "streams", Help: "Requests in flight."}, streams)
	return &metrics{
		requests: f.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Subsystem: subsystem,
			Name: "requests_total", Help: "Requests by final outcome and code (empty: answered)."}, []string{"outcome", "code"}),
		resumeLatency: f.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Subsystem: subsystem,
			Name: "resume_latency_seconds", Help: "From the last token before a loss until output goes on.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14)}, []string{"cause"}),
		firstToken: f.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Subsystem: subsystem,
			Name: "first_token_seconds", Help: "From the request until its first token.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 14)}),
		tokens: f.NewCounter(prometheus.CounterOpts{Namespace: namespace, Subsystem: subsystem,
			Name: "tokens_total", Help: "Tokens passed to callers."}),
		discarded: f.NewCounter(prometheus.CounterOpts{Namespace: namespace, Subsystem: subsystem,
			Name: "tokens_discarded_total", Help: "Tokens that were generated and not passed on."}),
	}
}
