package exchange

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/directory"
)

// memoryMetrics count what the accounting of the servers' memory decides.
type memoryMetrics struct {
	held            prometheus.Counter
	copiesNotPlaced prometheus.Counter
}

func newMemoryMetrics(reg prometheus.Registerer, d *directory.Directory) memoryMetrics {
	m := memoryMetrics{
		held: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pearyard_exchange_memory_held_total", Help: "Streams that waited since no backend server had memory for them."}),
		copiesNotPlaced: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pearyard_exchange_memory_copies_not_placed_total", Help: "Copies of streams' memory that were not made, to leave the memory of the backend servers to streams."}),
	}
	reg.MustRegister(m.held, m.copiesNotPlaced, &memoryCollector{
		directory: d,
		committed: prometheus.NewDesc("pearyard_exchange_memory_committed_tokens", "Memory of backend servers that streams and copies of this process hold or will hold, by service.", []string{"service"}, nil),
	})
	return m
}

// memoryCollector exports the memory that this process uses at servers.
type memoryCollector struct {
	directory *directory.Directory
	committed *prometheus.Desc
}

// Describe implements prometheus.Collector.
func (c *memoryCollector) Describe(out chan<- *prometheus.Desc) { out <- c.committed }

// Collect implements prometheus.Collector.
func (c *memoryCollector) Collect(out chan<- prometheus.Metric) {
	if c.directory == nil {
		return
	}
	for service, tokens := range c.directory.MemoryByService() {
		out <- prometheus.MustNewConstMetric(c.committed, prometheus.GaugeValue, float64(tokens), service)
	}
}
