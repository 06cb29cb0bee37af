package claim

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/backing"
)

const (
	saveQueue   = 4096 // outcomes that wait to be written
	saveWorkers = 64   // of them read and written at once: a full transaction
	saveTries   = 3
	savePause   = 200 * time.Millisecond
	// saveAtEnd bounds how long an ending router still writes outcomes: several
	// times what one takes, DefaultSaveWait and a commit.
	saveAtEnd = 2 * time.Second
)

// outcome is the final state of a claim that waits to be written.
type outcome struct {
	key    string
	record Record
}

// finisher writes final outcomes into claim rows in the background. The caller
// has its answer already: until the row is written a later try asks the
// sidecar, which remembers the answer, so a lost write costs a question only.
type finisher struct {
	opts    Options
	batcher *batcher
	metrics *metrics
	queue   chan outcome
}

func newFinisher(opts Options, b *batcher, m *metrics) *finisher {
	return &finisher{opts: opts, batcher: b, metrics: m, queue: make(chan outcome, saveQueue)}
}

func (f *finisher) save(key string, record Record) {
	select {
	case f.queue <- outcome{key: key, record: record}:
	default:
		f.metrics.saves.WithLabelValues("dropped").Inc()
	}
}

// run writes until ctx ends, and then what still waits, until saving ends.
//
// Without the outcome a call that was answered would be reported as unknown once the
// sidecar that remembers the answer has stopped too.
func (f *finisher) run(ctx, saving context.Context) error {
	var workers sync.WaitGroup
	for range saveWorkers {
		workers.Go(func() { f.work(ctx, saving) })
	}
	workers.Wait()
	return ctx.Err()
}

func (f *finisher) work(ctx, saving context.Context) {
	for {
		select {
		case o := <-f.queue:
			f.writeWithRetry(saving, o)
		case <-ctx.Done():
			f.rest(saving)
			return
		}
	}
}

// rest writes what is queued.
func (f *finisher) rest(saving context.Context) {
	for saving.Err() == nil {
		select {
		case o := <-f.queue:
			f.writeWithRetry(saving, o)
		default:
			return
		}
	}
}

func (f *finisher) writeWithRetry(ctx context.Context, o outcome) {
	for range saveTries {
		seen := f.write(ctx, o)
		f.metrics.saves.WithLabelValues(seen.String()).Inc()
		if seen == SeenCommitted || seen == SeenConflict {
			return
		}
		select {
		case <-time.After(savePause):
		case <-ctx.Done():
			return
		}
	}
	f.opts.Recorder.Emit(EventSaveDropped, "key", o.key, "state", o.record.State, "attempt", o.record.Attempt)
}

// write replaces the claim by its outcome if the row is still that claim.
//
// Guard: it stops this order: a save is held up for longer than the retention,
// the row is deleted, the key is claimed by a new call, and the old answer is
// written over that claim. The row must name this attempt as claimed, and must
// not change between the read and the write.
func (f *finisher) write(ctx context.Context, o outcome) Seen {
	readCtx, cancel := context.WithTimeout(ctx, f.opts.ReadTimeout)
	defer cancel()
	row, err := f.opts.Table.Get(readCtx, o.key)
	if errors.Is(err, backing.ErrNotFound) {
		return SeenConflict
	}
	if err != nil {
		return SeenTableDown
	}
	current, err := Decode(row.Value)
	if err != nil || current.Attempt != o.record.Attempt || current.State != RecordClaimed {
		return SeenConflict
	}
	value, err := o.record.Encode()
	if err != nil {
		return SeenConflict
	}
	return f.batcher.submit(ctx, &write{key: o.key, version: row.Version, value: value})
}
