package tokenlog

import "github.com/prometheus/client_golang/prometheus"

var (
	stateNames   = [numStates]string{"finished", "reserved", "running"}
	verdictNames = [...]string{taken: "taken", missing: "missing", refused: "refused"}
)

type storeMetrics struct {
	heldBytes prometheus.Gauge
	entries   [numStates]prometheus.Gauge
	evictions *prometheus.CounterVec
	records   [len(verdictNames)]prometheus.Counter
}

func newStoreMetrics(reg prometheus.Registerer) *storeMetrics {
	entries := prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "pearyard_journal_held_generations", Help: "Generations in the token journal by state."}, []string{"state"})
	records := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pearyard_journal_records_total", Help: "Records received, by what became of them."}, []string{"verdict"})
	m := &storeMetrics{
		heldBytes: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "pearyard_journal_held_bytes", Help: "Bytes that the token journal holds for other sidecars."}),
		evictions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pearyard_journal_evictions_total", Help: "Generations dropped for want of room, by state."}, []string{"state"}),
	}
	for st, name := range stateNames {
		m.entries[st] = entries.WithLabelValues(name)
	}
	for v, name := range verdictNames {
		m.records[v] = records.WithLabelValues(name)
	}
	register(reg, m.heldBytes, entries, m.evictions, records)
	return m
}

func (s *Store) updateGauges() {
	s.metrics.heldBytes.Set(float64(s.bytes))
	for st, entries := range s.byState {
		s.metrics.entries[st].Set(float64(entries.Len()))
	}
}

type writerMetrics struct {
	appends    *prometheus.CounterVec
	sentTokens prometheus.Counter
	sentBytes  prometheus.Counter
	replaced   prometheus.Counter
	heldBytes  prometheus.Gauge
}

func newWriterMetrics(reg prometheus.Registerer) *writerMetrics {
	m := &writerMetrics{
		appends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pearyard_journal_appends_total", Help: "Batches sent to journal peers, by result."}, []string{"result"}),
		sentTokens: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pearyard_journal_sent_tokens_total", Help: "Tokens sent to journal peers, copies and resends counted."}),
		sentBytes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pearyard_journal_sent_bytes_total", Help: "Encoded bytes of batches sent, without HTTP."}),
		replaced: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pearyard_journal_peers_replaced_total", Help: "Generations moved to another journal peer."}),
		heldBytes: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "pearyard_journal_writer_bytes", Help: "Bytes of own generations kept to journal them."}),
	}
	register(reg, m.appends, m.sentTokens, m.sentBytes, m.replaced, m.heldBytes)
	return m
}

func register(reg prometheus.Registerer, collectors ...prometheus.Collector) {
	if reg == nil {
		return
	}
	reg.MustRegister(collectors...)
}
