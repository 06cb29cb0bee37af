package retry

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/event"
)

// Defaults of CircuitOptions.
const (
	DefaultThreshold    = 3 // consecutive failures
	DefaultOpenFor      = 2 * time.Second
	DefaultMaxOpen      = 30 * time.Second
	DefaultProbeTimeout = 5 * time.Second
)

// CircuitOptions configures a Circuit. Zero fields take their defaults.
type CircuitOptions struct {
	BackendServer string
	Threshold     int           // consecutive failures that open the circuit
	OpenFor       time.Duration // how long the circuit first stays open; doubles with each failed probe
	MaxOpen       time.Duration // longest time that it stays open, however many probes fail
	ProbeTimeout  time.Duration // time after which a probe without a result is given up and another may start
	Registerer    prometheus.Registerer
	Recorder      *event.Recorder
	Now           func() time.Time
}

// State is the state of a circuit.
type State string

// States of a circuit.
const (
	Closed   State = "closed"    // all requests are allowed
	Open     State = "open"      // no request is allowed
	HalfOpen State = "half_open" // a probe is allowed, or is running
)

// Circuit is a circuit breaker for one backend server. After repeated failures
// it opens and lets only one request at a time through, as a probe.
//
// Unlike in common circuit breakers, a probe times out: a probe that hangs on a
// frozen engine, or whose caller disconnected, reports neither success nor
// failure. It would otherwise keep the circuit half-open, and the backend server
// without requests, forever.
type Circuit struct {
	opts        CircuitOptions
	failures    atomic.Int64 // consecutive failures
	trips       atomic.Int64 // openings and failed probes since the last success
	probeAt     atomic.Int64 // Unix nanoseconds from which the next probe is allowed; 0: closed
	probing     atomic.Bool  // a probe was allowed after the circuit last opened
	openedTotal prometheus.Counter
}

// NewCircuit returns a closed circuit.
func NewCircuit(opts CircuitOptions) *Circuit {
	setDefault(&opts.Threshold, DefaultThreshold)
	setDefault(&opts.OpenFor, DefaultOpenFor)
	setDefault(&opts.MaxOpen, DefaultMaxOpen)
	setDefault(&opts.ProbeTimeout, DefaultProbeTimeout)
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Recorder == nil {
		opts.Recorder = event.Discard()
	}
	return &Circuit{opts: opts, openedTotal: newOpenedCounter(opts.Registerer)}
}

// Allow reports whether a request may be sent. If the circuit isn't closed and
// Allow returns true, the request is the probe, and no other is allowed until it
// reports Success or Failure or ProbeTimeout has passed.
func (c *Circuit) Allow() bool {
	probeAt := c.probeAt.Load()
	if probeAt == 0 {
		return true
	}
	now := c.opts.Now().UnixNano()
	if now < probeAt {
		return false
	}
	if !c.probeAt.CompareAndSwap(probeAt, now+int64(c.opts.ProbeTimeout)) {
		return false
	}
	c.probing.Store(true)
	return true
}

// State returns the current state without starting a probe.
func (c *Circuit) State() State {
	probeAt := c.probeAt.Load()
	switch {
	case probeAt == 0:
		return Closed
	case c.probing.Load() || c.opts.Now().UnixNano() >= probeAt:
		return HalfOpen
	default:
		return Open
	}
}

// Success records a successful request and closes the circuit.
func (c *Circuit) Success() {
	c.failures.Store(0)
	c.trips.Store(0)
	if c.probeAt.Load() == 0 || c.probeAt.Swap(0) == 0 {
		return
	}
	c.probing.Store(false)
	c.opts.Recorder.Emit(EventCircuitClosed, "backend_server", c.opts.BackendServer)
}

// Failure records a request that failed because of the backend server. Refusals
// because the server is overloaded or shutting down aren't failures.
func (c *Circuit) Failure() {
	failures := c.failures.Add(1)
	switch {
	case c.probing.CompareAndSwap(true, false):
		c.trip(c.probeAt.Load())
	case failures >= int64(c.opts.Threshold):
		c.trip(0)
	}
}

// trip opens the circuit. The time that it stays open doubles with each trip
// since the last success. It does nothing if probeAt no longer has the value
// expected, because another call has opened or closed the circuit in the meantime.
func (c *Circuit) trip(expected int64) {
	trips := c.trips.Load() + 1
	wait := exponential(c.opts.OpenFor, c.opts.MaxOpen, int(trips)-1)
	if !c.probeAt.CompareAndSwap(expected, c.opts.Now().Add(wait).UnixNano()) {
		return
	}
	c.trips.Store(trips)
	c.openedTotal.Inc()
	if trips == 1 {
		c.opts.Recorder.Emit(EventCircuitOpen, "backend_server", c.opts.BackendServer, "fails", c.failures.Load())
	}
}
