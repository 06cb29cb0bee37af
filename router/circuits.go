package router

import (
	"time"

	"github.com/pearyard/pearyard/retry"
	"github.com/pearyard/pearyard/types"
)

// circuitMaxOpen bounds how long a backend server that failed gets no request but
// a probe: after an outage of a whole deployment all servers must be in use again
// within seconds.
const circuitMaxOpen = 4 * time.Second

// circuit returns the circuit breaker of a backend server. It opens after
// consecutive failures to reach the sidecar. Refusals by a sidecar and the failures
// of an engine that it reports don't count, since such a refusal costs nothing.
func (sf *serviceFleet) circuit(id types.ProcessID) *retry.Circuit {
	if c, ok := sf.circuits.Load(id); ok {
		return c.(*retry.Circuit)
	}
	c, _ := sf.circuits.LoadOrStore(id, retry.NewCircuit(retry.CircuitOptions{
		BackendServer: string(id), MaxOpen: circuitMaxOpen, Recorder: sf.recorder, Registerer: sf.registerer,
	}))
	return c.(*retry.Circuit)
}

// retryAfter returns when a refused caller should retry: the higher the load of
// the service, the wider the retries are spread.
func (sf *serviceFleet) retryAfter() time.Duration {
	return retry.RetryAfter(sf.view.Load().Load())
}
