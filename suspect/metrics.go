package suspect

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	deaths, quarantined, cleared, evicted, held prometheus.Counter
	exchanges                                   *prometheus.CounterVec
}

func newMetrics(reg prometheus.Registerer, l *Ledger) *metrics {
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: "pearyard", Subsystem: "suspect", Name: name, Help: help})
		reg.MustRegister(c)
		return c
	}
	entries := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "pearyard", Subsystem: "suspect", Name: "entries", Help: "Fingerprints in the ledger.",
	}, func() float64 { return float64(len(*l.views.Load())) })
	exchanges := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "pearyard", Subsystem: "suspect", Name: "exchanges_total", Help: "Exchanges with peers by result.",
	}, []string{"result"})
	reg.MustRegister(entries, exchanges)
	return &metrics{
		deaths:      counter("deaths_total", "Engine deaths told to this process."),
		quarantined: counter("quarantined_total", "Quarantines learned."),
		cleared:     counter("cleared_total", "Suspects cleared by completing whole here."),
		evicted:     counter("evicted_total", "Entries forgotten because the ledger was full."),
		held:        counter("held_total", "Runs of a suspect held back by another copy or another suspect."),
		exchanges:   exchanges,
	}
}
