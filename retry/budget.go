package retry

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/event"
)

// Defaults of a budget. docs/design/retries.md has the figures behind them.
const (
	DefaultRatio     = 0.1 // retries per first try
	DefaultPerSecond = 1.0 // fixed retries per second of the window
	// DefaultWindow is the span in which the bound holds: with one a second it
	// allows 20 at once, enough for the requests of one lost backend server.
	DefaultWindow = 20 * time.Second
)

// BudgetOptions configure a Budget; zero fields take their defaults.
type BudgetOptions struct {
	Service    string        // label of the metrics, field of the events
	Ratio      float64       // retries that a first try of the window pays for
	PerSecond  float64       // retries that each second of the window allows besides
	Window     time.Duration // any span of this length keeps the bound
	Registerer prometheus.Registerer
	Recorder   *event.Recorder
	Now        func() time.Time
}

// Budget bounds the retries of one service to a share of its first tries, with
// a small fixed number for services with few requests, by a Window; it counts
// and tells what it refuses. It stops a storm of retries: when many backend
// servers fail at once under full load, each failed try asks for another, and
// without a bound the tries alone keep the rest down. It holds because nothing
// is saved up: of a tenth of 36 modelled runners that died at 1.5 times the
// steady rate, the others got 2.15 tries for each request unbounded and 1.08 so.
type Budget struct {
	window *Window
	now    func() time.Time
	spent  atomic.Int64 // second in which EventBudgetSpent was last emitted

	service  string
	recorder *event.Recorder
	metrics  budgetMetrics
}

// NewBudget returns a budget of which nothing has been used.
func NewBudget(opts BudgetOptions) *Budget {
	orDefault(&opts.Ratio, DefaultRatio)
	orDefault(&opts.PerSecond, DefaultPerSecond)
	orDefault(&opts.Window, DefaultWindow)
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Recorder == nil {
		opts.Recorder = event.Discard()
	}
	b := &Budget{
		window:   NewWindow(opts.Window, opts.Now),
		now:      opts.Now,
		service:  opts.Service,
		recorder: opts.Recorder,
		metrics:  newBudgetMetrics(opts.Registerer, opts.Service),
	}
	b.window.Bound(opts.Ratio, opts.PerSecond*opts.Window.Seconds())
	return b
}

// First counts a first try.
func (b *Budget) First() {
	b.metrics.first.Inc()
	b.window.First()
}

// Allow takes one retry out of the budget, if there is one.
func (b *Budget) Allow() bool {
	if b.window.Allow() {
		b.metrics.allowed.Inc()
		return true
	}
	b.metrics.refused.Inc()
	b.reportSpent()
	return false
}

// reportSpent emits one event a second at the most.
func (b *Budget) reportSpent() {
	second := b.now().Unix()
	if last := b.spent.Load(); last != second && b.spent.CompareAndSwap(last, second) {
		b.recorder.Emit(EventBudgetSpent, "service", b.service)
	}
}

func orDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
