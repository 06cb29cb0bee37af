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
	DefaultPerSecond = 1.0 // retries a second that are always allowed
	DefaultBurst     = 20  // retries that may be saved up
)

// milli is the unit in which tokens are kept.
const milli = 1000

// BudgetOptions configure a Budget; zero fields take their defaults.
type BudgetOptions struct {
	Service    string  // label of the metrics, field of the events
	Ratio      float64 // tokens that a first try adds
	PerSecond  float64 // tokens that a second adds
	Burst      int     // tokens kept at the most
	Registerer prometheus.Registerer
	Recorder   *event.Recorder
	Now        func() time.Time
}

// Budget bounds the retries of one service to a share of its first tries, with
// a small floor for services with few requests. It stops a storm of retries:
// when many backend servers fail at once under full load, each failed try
// asks for another, and without a bound the tries alone keep the rest down.
// It holds because a retry can only spend what first tries have put in.
type Budget struct {
	ratio  int64 // milli tokens per first try
	rate   float64
	burst  int64 // milli tokens
	now    func() time.Time
	tokens atomic.Int64 // milli tokens
	filled atomic.Int64 // when the floor was last added, Unix nanoseconds
	spent  atomic.Int64 // second in which EventBudgetSpent was last emitted

	service  string
	recorder *event.Recorder
	metrics  budgetMetrics
}

// NewBudget returns a full budget.
func NewBudget(opts BudgetOptions) *Budget {
	orDefault(&opts.Ratio, DefaultRatio)
	orDefault(&opts.PerSecond, DefaultPerSecond)
	orDefault(&opts.Burst, DefaultBurst)
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Recorder == nil {
		opts.Recorder = event.Discard()
	}
	b := &Budget{
		ratio:    int64(opts.Ratio * milli),
		rate:     opts.PerSecond,
		burst:    int64(opts.Burst) * milli,
		now:      opts.Now,
		service:  opts.Service,
		recorder: opts.Recorder,
		metrics:  newBudgetMetrics(opts.Registerer, opts.Service),
	}
	b.tokens.Store(b.burst)
	b.filled.Store(b.now().UnixNano())
	return b
}

// First counts a first try.
func (b *Budget) First() {
	b.metrics.first.Inc()
	b.add(b.ratio)
}

// Allow takes one retry out of the budget, if there is one.
func (b *Budget) Allow() bool {
	b.fill()
	if b.take() {
		b.metrics.allowed.Inc()
		return true
	}
	b.metrics.refused.Inc()
	b.reportSpent()
	return false
}

func (b *Budget) take() bool {
	for {
		have := b.tokens.Load()
		if have < milli {
			return false
		}
		if b.tokens.CompareAndSwap(have, have-milli) {
			return true
		}
	}
}

func (b *Budget) add(amount int64) {
	for {
		have := b.tokens.Load()
		next := min(b.burst, have+amount)
		if next == have || b.tokens.CompareAndSwap(have, next) {
			return
		}
	}
}

// fill adds the floor for the time since it was last added.
func (b *Budget) fill() {
	now := b.now().UnixNano()
	last := b.filled.Load()
	amount := int64(time.Duration(now-last).Seconds() * b.rate * milli)
	if amount > 0 && b.filled.CompareAndSwap(last, now) {
		b.add(amount)
	}
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
