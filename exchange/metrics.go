package exchange

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/directory"
)

type metrics struct {
	requests        *prometheus.CounterVec   // by kind, outcome and the side that ended them
	duration        *prometheus.HistogramVec // by kind
	firstEvent      prometheus.Histogram
	longestPause    prometheus.Histogram
	resumes         *prometheus.CounterVec // by how
	resumeTime      prometheus.Histogram
	attempts        *prometheus.CounterVec // by result
	copiesReplaced  prometheus.Counter
	freesFailed     prometheus.Counter
	refreshesFailed prometheus.Counter
	probes          prometheus.Counter
	budgetSpent     prometheus.Counter
	crashesJudged   *prometheus.CounterVec // by verdict
	limitHeld       prometheus.Counter
	versionGone     prometheus.Counter
	versionUnknown  prometheus.Counter
	memory          memoryMetrics
	admission       *admissionMetrics
	placeWaiting    prometheus.Gauge
	placeWait       prometheus.Histogram
	placesRefused   prometheus.Counter
}

func newMetrics(reg prometheus.Registerer, d *directory.Directory) *metrics {
	if reg == nil {
		reg = prometheus.NewRegistry()
	}
	m := &metrics{
		memory: newMemoryMetrics(reg, d),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pearyard_exchange_requests_total", Help: "Requests by kind, by what their callers got, and by the side that ended them."}, []string{"kind", "outcome", "ended_by"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "pearyard_exchange_request_seconds", Help: "Time to the end of an answer, seconds.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 12)}, []string{"kind"}),
		firstEvent: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "pearyard_exchange_first_event_seconds", Help: "Time to the first event of a stream, seconds.",
			Buckets: prometheus.ExponentialBuckets(0.05, 2, 10)}),
		longestPause: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "pearyard_exchange_longest_pause_seconds", Help: "Longest pause between two events of a stream, seconds.",
			Buckets: prometheus.ExponentialBuckets(0.02, 2, 10)}),
		resumes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pearyard_exchange_resumes_total", Help: "Streams that went on at another backend server: from a copy of their memory, or by reading the prompt again."}, []string{"how"}),
		resumeTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "pearyard_exchange_resume_seconds", Help: "Time from the last event before a loss to the first one after it, seconds.",
			Buckets: prometheus.ExponentialBuckets(0.05, 2, 8)}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pearyard_exchange_attempts_total", Help: "Sendings to backend servers by result."}, []string{"result"}),
		copiesReplaced: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pearyard_exchange_copies_again_total", Help: "Copies of streams' memory that were asked for because the former one's server was lost."}),
		freesFailed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pearyard_exchange_copies_not_freed_total", Help: "Copies that could not be given up; their servers let go of them after some seconds."}),
		refreshesFailed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pearyard_exchange_copies_not_renewed_total", Help: "Copies that could not be brought up to date; what was copied before holds."}),
		probes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pearyard_exchange_probes_total", Help: "Questions to backend servers for a sign of life."}),
		budgetSpent: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pearyard_exchange_retry_budget_spent_total", Help: "Retries that the budget did not allow."}),
		limitHeld: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pearyard_exchange_server_limit_held_total", Help: "Requests that were not sent to a backend server because of the rate limit that it had named."}),
	}
	m.crashesJudged = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pearyard_exchange_crashes_judged_total", Help: "Runs that a backend server broke off, by whether that counts against the request (counted), or why not."}, []string{"verdict"})
	versionRefused := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pearyard_exchange_version_refused_total", Help: "Streams that ended since of the version that began them no backend server was left (gone), or since it was not known (unknown)."}, []string{"why"})
	m.versionGone, m.versionUnknown = versionRefused.WithLabelValues("gone"), versionRefused.WithLabelValues("unknown")
	m.admission = newAdmissionMetrics(reg)
	m.placeWaiting = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "pearyard_exchange_place_waiting", Help: "Plain calls that wait here for a place at a backend server."})
	m.placeWait = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "pearyard_exchange_place_wait_seconds", Help: "Time that a plain call has waited here for a place at a backend server, seconds.",
		Buckets: prometheus.ExponentialBuckets(0.005, 2, 9)})
	m.placesRefused = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "pearyard_exchange_places_refused_total", Help: "Plain calls that were refused because all places of the backend servers were taken."})
	reg.MustRegister(m.placeWaiting, m.placeWait, m.placesRefused)
	reg.MustRegister(versionRefused, m.crashesJudged)
	reg.MustRegister(m.requests, m.duration, m.firstEvent, m.longestPause, m.resumes, m.resumeTime, m.attempts, m.freesFailed, m.refreshesFailed, m.copiesReplaced, m.probes, m.budgetSpent, m.limitHeld)
	return m
}

// registerHanging registers the number of servers that count as hanging.
func registerHanging(reg prometheus.Registerer, count func() int) {
	if reg == nil {
		return
	}
	reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "pearyard_exchange_servers_hanging", Help: "Backend servers that accept calls and answer none, as this process believes."},
		func() float64 { return float64(count()) }))
}
