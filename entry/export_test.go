package entry

import "github.com/prometheus/client_golang/prometheus"

// Metrics returns the process's metrics, also after its end.
func (e *Entry) Metrics() prometheus.Gatherer { return e.registry }
