package fleet

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pearyard/pearyard/retry"
	"github.com/pearyard/pearyard/rollout"
	"github.com/pearyard/pearyard/streamversion"
)

// VersionStore keeps one row for each entry VM, with the versions of its streams. Times are
// those of the store's clock, which all VMs share.
type VersionStore interface {
	Save(ctx context.Context, name string, value []byte) (now time.Duration, err error)
	Load(ctx context.Context) (rows map[string][]byte, now time.Duration, err error)
	Remove(ctx context.Context, names []string) error
}

const (
	// saveInterval is the shortest time between two writes of a VM's row: what began within
	// it is unknown after the loss of all VMs. At more than saveVMsPerSecond VMs it grows, so
	// that all of them together stay within what the store carries.
	saveInterval     = 500 * time.Millisecond
	saveVMsPerSecond = 50
	// saveRetryPause is the pause after a write that failed.
	saveRetryPause = 2 * time.Second
	// reloadInterval is the shortest time between two reads of all rows. Callers whose
	// records nobody has come back together.
	reloadInterval = 500 * time.Millisecond
	// storeCallTimeout bounds a call to the store.
	storeCallTimeout = 500 * time.Millisecond
	// maxRemovedRows is how many rows the store removes in one call.
	maxRemovedRows = 100
	// maxRowStreams bounds a row to 45 KB; the store takes 64 KB.
	maxRowStreams = 1200
	// servedKeepers is how many VMs keep in the store which versions serve, also while it is a
	// single one: without it, VMs that all start together would take a version that has replaced
	// the former one meanwhile for the only one that has served.
	servedKeepers = 3
	// servedInterval is how often they do so.
	servedInterval = streamversion.Retention / 10
)

// maxRecordLife is the longest time for which a datagram can announce a record. A later end in
// a row is a mistake, and would stand before all true ones in the rows that are written.
const maxRecordLife = math.MaxUint16 * time.Second

// versionRow is the value of a VM's row.
type versionRow struct {
	Versions  []rowVersion       `json:"versions"`
	Baselines []rollout.Baseline `json:"baselines,omitempty"`
}

// rowVersion holds the streams of one version of a service, by id, with the second of the
// store's clock at which each expires.
type rowVersion struct {
	Service       uint32           `json:"service"` // hash of its name
	Version       string           `json:"version"`
	ServedUntilMs int64            `json:"servedUntilMs"` // when it was last listed, by the store's clock
	Streams       map[uint64]int64 `json:"streams"`
}

// versionRows keeps the records of this process in the store, and reads those of others.
type versionRows struct {
	of      *StreamVersions
	changed chan struct{} // holds a token when there is something to write

	reading chan struct{} // semaphore of size 1, held during a read; guards the fields below
	read    bool          // the rows have been read
	readAt  time.Time     // of the newest attempt
	readErr error         // of the newest attempt

	clock  atomic.Pointer[storeClock] // nil before the first answer of the store
	served atomic.Int64               // versions of all services that had served at the last list
}

// storeClock relates the store's clock to the local one.
type storeClock struct {
	store time.Duration // at the local time
	local time.Time
}

func (c *storeClock) toStore(t time.Time) time.Duration { return c.store + t.Sub(c.local) }

func (c *storeClock) toLocal(d time.Duration) time.Time { return c.local.Add(d - c.store) }

// fromRow returns the local time of a number of units of the store's clock in a row. One that
// no time.Duration can hold becomes the nearest that it can.
func (c *storeClock) fromRow(n int64, unit time.Duration) time.Time {
	limit := math.MaxInt64 / int64(unit)
	return c.toLocal(time.Duration(min(max(n, 0), limit)) * unit)
}

func newVersionRows(v *StreamVersions) *versionRows {
	return &versionRows{of: v, changed: make(chan struct{}, 1), reading: make(chan struct{}, 1)}
}

func (r *versionRows) markChanged() { signal(r.changed) }

// keepsServed reports whether this VM keeps in the store which versions serve.
func (r *versionRows) keepsServed() bool {
	self := r.of.opts.Address
	return slices.Contains(firstHolders(0, append(slices.Clone(r.of.opts.Peers()), self), servedKeepers), self)
}

// observe is called with each list of servers. It has the row written if other versions serve.
func (r *versionRows) observe(now time.Time) {
	served := int64(len(r.of.history.Served(now)))
	if r.served.Swap(served) != served && r.keepsServed() {
		r.markChanged()
	}
}

// storeReturned has the row written again, at a moment that spreads the rows of all VMs over
// the interval between two writes.
func (r *versionRows) storeReturned() {
	if r.keepsServed() || r.of.history.AnyMixed(time.Now()) {
		time.AfterFunc(rand.N(r.interval()), r.markChanged)
	}
}

// run writes this process's row while several versions of a service have served or this VM keeps
// which ones serve, and removes it afterwards, until ctx ends. What is unwritten then is written
// once more.
func (r *versionRows) run(ctx context.Context) error {
	if r.of.opts.Store == nil {
		return nil
	}
	hasRow := false
	tick := time.NewTicker(servedInterval)
	defer tick.Stop()
	for {
		pause := r.interval()
		select {
		case <-ctx.Done():
			r.saveLast(ctx)
			return ctx.Err()
		case <-r.changed:
			hasRow = true
			if !r.save(ctx) {
				pause = saveRetryPause
			}
		case <-tick.C:
			switch {
			case r.keepsServed():
				r.markChanged()
			case hasRow && !r.of.history.AnyMixed(time.Now()):
				hasRow = r.remove(ctx, []string{r.name()}) != nil
			}
			continue
		}
		_ = retry.Wait(ctx, pause)
	}
}

func (r *versionRows) name() string { return r.of.opts.Address }

// interval returns the pause between two writes.
func (r *versionRows) interval() time.Duration {
	return max(saveInterval, time.Second*time.Duration(len(r.of.opts.Peers())+1)/saveVMsPerSecond)
}

// saveLast writes what changed since the last write, as this process stops.
func (r *versionRows) saveLast(ctx context.Context) {
	select {
	case <-r.changed:
		r.save(context.WithoutCancel(ctx))
	default:
	}
}

// save writes this process's row and reports whether that succeeded. The rows are read before
// the first write, which would otherwise overwrite what the former process of this VM has
// recorded.
func (r *versionRows) save(ctx context.Context) bool {
	err := r.loadOnce(ctx)
	if err == nil {
		err = r.write(ctx)
	}
	result := "ok"
	if err != nil {
		result = "failed"
		r.markChanged() // tried again after the pause
		r.of.opts.Recorder.Emit(EventVersionsNotSaved, "err", err)
	}
	r.of.metrics.saves.WithLabelValues(result).Inc()
	return err == nil
}

func (r *versionRows) write(ctx context.Context) error {
	value, err := json.Marshal(r.encode(time.Now()))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	now, err := r.of.opts.Store.Save(ctx, r.name(), value)
	if err == nil {
		r.clock.Store(&storeClock{now, time.Now()})
	}
	return err
}

func (r *versionRows) remove(ctx context.Context, names []string) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	err := r.of.opts.Store.Remove(ctx, names[:min(len(names), maxRemovedRows)])
	if err != nil {
		r.of.opts.Recorder.Emit(EventVersionsNotSaved, "err", err)
	}
	return err
}

// encode returns this process's row: the versions that have served, and its own streams of
// services with several. The rows must have been read, which sets the clock.
func (r *versionRows) encode(now time.Time) versionRow {
	own := r.of.table.Select(now, func(rec streamversion.Record) bool { return rec.Own && r.of.history.Mixed(rec.Service, now) })
	// The streams that expire last have begun last.
	slices.SortFunc(own, func(a, b streamversion.Record) int { return cmp.Compare(b.Until.UnixNano(), a.Until.UnixNano()) })
	own = own[:min(len(own), maxRowStreams)]
	clock := r.clock.Load()
	row := versionRow{Baselines: r.of.opts.Baselines.all()}
	for _, l := range r.of.history.Served(now) {
		entry := rowVersion{Service: l.Service, Version: l.Version, ServedUntilMs: clock.toStore(l.At).Milliseconds(), Streams: map[uint64]int64{}}
		for _, rec := range own {
			if rec.Service == l.Service && rec.Version == l.Version {
				entry.Streams[rec.Stream] = int64(clock.toStore(rec.Until).Seconds()) + 1
			}
		}
		row.Versions = append(row.Versions, entry)
	}
	return row
}

// load reads the rows of all VMs, unless that has just been done.
func (r *versionRows) load(ctx context.Context) error {
	if r.of.opts.Store == nil {
		return nil
	}
	r.reading <- struct{}{}
	defer func() { <-r.reading }()
	if !r.readAt.IsZero() && time.Since(r.readAt) < reloadInterval {
		return r.readErr
	}
	return r.loadLocked(ctx)
}

// loadOnce reads the rows of all VMs unless they have been read.
func (r *versionRows) loadOnce(ctx context.Context) error {
	r.reading <- struct{}{}
	defer func() { <-r.reading }()
	if r.read {
		return nil
	}
	return r.loadLocked(ctx)
}

func (r *versionRows) loadLocked(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeCallTimeout)
	defer cancel()
	rows, now, err := r.of.opts.Store.Load(ctx)
	r.readAt, r.readErr = time.Now(), err
	if err != nil {
		r.of.opts.Recorder.Emit(EventVersionsNotRead, "err", err)
		return err
	}
	r.read = true
	clock := &storeClock{now, time.Now()}
	r.clock.Store(clock)
	var expired []string
	for name, value := range rows {
		if !r.merge(clock, value, name == r.name()) {
			expired = append(expired, name)
		}
	}
	if len(expired) > 0 {
		go func() { _ = r.remove(context.WithoutCancel(ctx), expired) }()
	}
	return nil
}

// merge takes over what a row says. It reports whether the row is still needed.
func (r *versionRows) merge(clock *storeClock, value []byte, own bool) (needed bool) {
	var row versionRow
	if err := json.Unmarshal(value, &row); err != nil {
		r.of.opts.Recorder.Emit(EventVersionsNotRead, "err", fmt.Sprintf("%.160s", err.Error()))
		return false
	}
	now := time.Now()
	for _, entry := range row.Versions {
		listedAt := clock.fromRow(entry.ServedUntilMs, time.Millisecond)
		if listedAt.Sub(now) > maxRecordLife {
			continue
		}
		needed = needed || now.Sub(listedAt) < streamversion.Retention
		if r.of.history.Merge(entry.Service, entry.Version, minTime(listedAt, now), now) {
			r.of.publishOwn(entry.Service, now)
		}
		for stream, expires := range entry.Streams {
			until := clock.fromRow(expires, time.Second)
			if until.Sub(now) > maxRecordLife {
				continue
			}
			record := streamversion.Record{Key: streamversion.Key{Service: entry.Service, Stream: stream}, Version: entry.Version, Until: until, Own: own}
			if until.After(now) && !r.of.table.Put(record, now) {
				r.of.metrics.dropped.Inc()
			}
		}
	}
	if needed {
		r.of.opts.Baselines.merge(row.Baselines)
	}
	return needed
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
