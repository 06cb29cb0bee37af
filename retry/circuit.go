package retry

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/event"
)

// Defaults of a circuit.
const (
	DefaultThreshold = 3
	DefaultOpenFor   = 2 * time.Second
	DefaultMaxOpen   = 30 * time.Second
	DefaultProbe     = 5 * time.Second
)

// CircuitOptions configure a Circuit; zero fields take their defaults.
type CircuitOptions struct {
	BackendServer string
	Threshold     int           // fails in a row that open the circuit
	OpenFor       time.Duration // how long it stays open the first time; doubles with each failed probe
	MaxOpen       time.Duration // bound of that
	Probe         time.Duration // after this, a probe without a result no longer bars the next one
	Registerer    prometheus.Registerer
	Recorder      *event.Recorder
	Now           func() time.Time
}

// State of a circuit.
type State string

// States of a circuit.
const (
	Closed   State = "closed"
	Open     State = "open"
	HalfOpen State = "half_open"
)

// Circuit keeps requests from a backend server that fails them. Open, it lets
// one request through at a time, as a probe. Unlike in the common breakers,
// a probe ends by itself: a probe caught on a frozen engine, or whose caller
// went away, reports neither success nor failure, and would keep the circuit
// half-open, and the backend server without work, for good.
type Circuit struct {
	opts    CircuitOptions
	fails   atomic.Int64 // in a row
	trips   atomic.Int64 // in a row: openings and failed probes
	retryAt atomic.Int64 // Unix nanoseconds of the next probe; 0: closed
	probing atomic.Bool
	opened  prometheus.Counter
}

// NewCircuit returns a closed circuit.
func NewCircuit(opts CircuitOptions) *Circuit {
	orDefault(&opts.Threshold, DefaultThreshold)
	orDefault(&opts.OpenFor, DefaultOpenFor)
	orDefault(&opts.MaxOpen, DefaultMaxOpen)
	orDefault(&opts.Probe, DefaultProbe)
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Recorder == nil {
		opts.Recorder = event.Discard()
	}
	return &Circuit{opts: opts, opened: newOpenedCounter(opts.Registerer)}
}

// Allow tells whether a request may be sent. If the circuit isn't closed, the
// answer true makes the request the probe.
func (c *Circuit) Allow() bool {
	at := c.retryAt.Load()
	if at == 0 {
		return true
	}
	now := c.opts.Now().UnixNano()
	if now < at {
		return false
	}
	if !c.retryAt.CompareAndSwap(at, now+int64(c.opts.Probe)) {
		return false
	}
	c.probing.Store(true)
	return true
}

// State tells how the circuit stands, without taking a probe.
func (c *Circuit) State() State {
	at := c.retryAt.Load()
	switch {
	case at == 0:
		return Closed
	case c.probing.Load() || c.opts.Now().UnixNano() >= at:
		return HalfOpen
	default:
		return Open
	}
}

// Success closes the circuit: the backend server has just answered.
func (c *Circuit) Success() {
	c.fails.Store(0)
	c.trips.Store(0)
	if c.retryAt.Load() == 0 || c.retryAt.Swap(0) == 0 {
		return
	}
	c.probing.Store(false)
	c.opts.Recorder.Emit(EventCircuitClosed, "backend_server", c.opts.BackendServer)
}

// Failure counts a request that failed by the backend server's fault; a
// refusal for load or leaving is none.
func (c *Circuit) Failure() {
	fails := c.fails.Add(1)
	switch {
	case c.probing.CompareAndSwap(true, false):
		c.trip(c.retryAt.Load())
	case fails >= int64(c.opts.Threshold):
		c.trip(0)
	}
}

// trip opens the circuit for twice as long as the last time in this row,
// unless its state is no longer the one that the caller has seen.
func (c *Circuit) trip(seen int64) {
	trips := c.trips.Load() + 1
	wait := growing(c.opts.OpenFor, c.opts.MaxOpen, int(trips)-1)
	if !c.retryAt.CompareAndSwap(seen, c.opts.Now().Add(wait).UnixNano()) {
		return
	}
	c.trips.Store(trips)
	c.opened.Inc()
	if trips == 1 {
		c.opts.Recorder.Emit(EventCircuitOpen, "backend_server", c.opts.BackendServer, "fails", c.fails.Load())
	}
}
