package entry

import "github.com/prometheus/client_golang/prometheus"

// Metrics returns the metrics of the process; it may be used after the process has ended.
func (e *Entry) Metrics() prometheus.Gatherer { return e.registry }
