package rollout

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/site"
	"github.com/pearyard/pearyard/types"
)

const (
	// decideInterval is how often a decider judges. It is short against the time in which
	// a bad version must stop getting requests.
	decideInterval = 100 * time.Millisecond
	// storeTimeout bounds a call to the store.
	storeTimeout = time.Second
	// storeRetryInterval is the time between calls to a store that failed.
	storeRetryInterval = 500 * time.Millisecond
	// standbyDelay is how long the second decider leaves a write to the first one.
	standbyDelay = 800 * time.Millisecond
)

// DeciderOptions configures a Decider.
type DeciderOptions struct {
	Controller *Controller
	Store      Store
	// Rank returns this process's place among the deciders: 0 for the first, 1 for its
	// standby, negative if it is none.
	Rank     func() int
	Recorder *event.Recorder
}

// Decider judges the roll-outs and writes their outcomes while this process is one of the
// deciders.
//
// Invariant: an outcome is known here only after the store has accepted it. Two deciders
// may judge differently; the store accepts one outcome, as each write depends on the
// revision of the record before it.
type Decider struct {
	opts     DeciderOptions
	returned atomic.Bool      // StoreReturned was called
	tasks    map[string]*task // by service
}

// task is a decider's work on one roll-out.
type task struct {
	position types.Position
	order    site.RolloutOrder // as first seen
	saved    Saved
	loaded   bool
	recorded bool      // the store has the outcome
	deadline time.Time // zero until the record of this order is known
	dueSince time.Time // since when a write has been due; zero: none is
	retryAt  time.Time // no call to the store before
	timeline Timeline
}

// NewDecider returns a Decider.
func NewDecider(opts DeciderOptions) *Decider {
	return &Decider{opts: opts, tasks: map[string]*task{}}
}

// Run decides until ctx ends.
func (d *Decider) Run(ctx context.Context) error {
	tick := time.NewTicker(decideInterval)
	defer tick.Stop()
	for {
		due := tick.C
		if !d.opts.Controller.InProgress() && !d.hasUnrecorded() {
			due = nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-due:
		case <-d.opts.Controller.Changed():
		}
		d.Decide(ctx)
	}
}

// Decide takes the next step of each roll-out.
func (d *Decider) Decide(ctx context.Context) {
	rank := d.opts.Rank()
	d.forgetRecords()
	for _, order := range d.opts.Controller.Orders() {
		if rank < 0 {
			delete(d.tasks, order.Service)
			continue
		}
		t := d.tasks[order.Service]
		switch {
		case t == nil, t.position.Era() == order.Position.Era() && t.position != order.Position, !isRewritten(t.order, order.RolloutOrder):
			t = &task{position: order.Position, order: order.RolloutOrder}
			d.tasks[order.Service] = t
		case t.position != order.Position:
			// The order was written again after the store came back from a copy.
			t.position, t.loaded, t.recorded = order.Position, false, false
		}
		d.advance(ctx, t, order, rank)
	}
}

// advance takes the next step of one roll-out.
func (d *Decider) advance(ctx context.Context, t *task, order Order, rank int) {
	now := time.Now()
	if order.Phase.Final() {
		d.keepRecord(ctx, t, order, rank, now)
		return
	}
	if t.deadline.IsZero() && !d.open(ctx, t, order, rank, now) {
		return
	}
	schedule := NewSchedule(t.deadline, order.Duration)
	history := t.timeline.Observe(d.opts.Controller.Evidence(order.Service), order.Phase, order.Duration, now)
	next := schedule.Step(order.Phase, history, now)
	if next == Stopped {
		d.opts.Recorder.Emit(EventJudgedBad, "service", order.Service, "version", order.Version, "position", order.Position, "was", order.Phase,
			"suspicion", suspicion(history.Windows), "trend", history.Trends.value(minFailuresAtEnd), "windows", len(history.Windows), "answered", sum(history.Windows).total().New.answered())
	}
	if !next.Final() {
		t.dueSince = time.Time{}
		d.opts.Controller.SetPhase(order.Service, order.Position, next, "judged here", now)
		return
	}
	// The current phase holds until the outcome is in the store.
	d.opts.Controller.SetPhase(order.Service, order.Position, order.Phase, "judged here", now)
	if t.due(rank, now) {
		d.write(ctx, t, order, next)
	}
}

// due reports whether this decider is to write. The standby waits for the first decider.
func (t *task) due(rank int, now time.Time) bool {
	if t.dueSince.IsZero() {
		t.dueSince = now
	}
	return now.Sub(t.dueSince) >= time.Duration(rank)*standbyDelay && !now.Before(t.retryAt)
}

// open loads the record of a roll-out, and begins it if the store has none of this order.
// It reports whether the roll-out is in progress.
func (d *Decider) open(ctx context.Context, t *task, order Order, rank int, now time.Time) bool {
	if !t.due(rank, now) {
		return false
	}
	if !t.loaded && !d.load(ctx, t, order) {
		return false
	}
	if t.saved.Position != order.Position {
		d.write(ctx, t, order, max(order.Phase, Trial))
	}
	return t.saved.Position == order.Position && !t.saved.Phase.Final()
}

// keepRecord writes the outcome of a roll-out if the store, which may have come back from a
// copy, does not have it.
func (d *Decider) keepRecord(ctx context.Context, t *task, order Order, rank int, now time.Time) {
	if t.recorded || !t.due(rank, now) {
		return
	}
	if !t.loaded && !d.load(ctx, t, order) {
		return
	}
	if !t.recorded {
		d.write(ctx, t, order, order.Phase)
	}
}

func (d *Decider) load(ctx context.Context, t *task, order Order) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	saved, err := d.opts.Store.Load(ctx, order.Service)
	if err != nil {
		d.failed(t, order, "load", err)
		return false
	}
	d.adopt(t, order, saved)
	return true
}

// write saves a phase. After any error the record is loaded again: an answer may have been
// lost although the store has written.
func (d *Decider) write(ctx context.Context, t *task, order Order, p Phase) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if !t.loaded && !d.load(ctx, t, order) {
		return
	}
	if t.saved.Position == order.Position && t.saved.Phase.Final() {
		return
	}
	// An outcome in the record of an earlier era is one that the copy has.
	if t.saved.isOf(order) && t.saved.Phase.Final() {
		p = t.saved.Phase
	}
	record := Record{Service: order.Service, Position: order.Position, Version: order.Version, Phase: p, Began: t.saved.Began}
	if !t.saved.isOf(order) {
		record.Began = t.saved.Now - t.elapsed(order)
	}
	saved, err := d.opts.Store.Save(ctx, record, t.saved)
	switch {
	case errors.Is(err, ErrConflict):
		t.loaded = false
		d.opts.Recorder.Emit(EventRecordLate, "service", order.Service, "position", order.Position, "phase", p)
	case err != nil:
		t.loaded = false
		d.failed(t, order, "save", err)
	default:
		d.adopt(t, order, saved)
	}
}

func (d *Decider) failed(t *task, order Order, call string, err error) {
	t.retryAt = time.Now().Add(storeRetryInterval)
	d.opts.Recorder.Emit(EventRecordLost, "service", order.Service, "position", order.Position, "call", call, "err", err)
}

// adopt takes over what the store holds.
func (d *Decider) adopt(t *task, order Order, saved Saved) {
	now := time.Now()
	t.saved, t.loaded = saved, true
	if !saved.isOf(order) {
		return
	}
	if t.deadline.IsZero() {
		t.deadline = now.Add(saved.Began + order.Duration - saved.Now)
	}
	if saved.Position != order.Position {
		return
	}
	t.dueSince = time.Time{}
	known := d.opts.Controller.SetPhase(order.Service, order.Position, saved.Phase, "store", now)
	t.recorded = saved.Phase.Final() && saved.Phase == known
}
