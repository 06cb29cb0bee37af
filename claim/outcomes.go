package claim

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/backing"
)

const (
	saveQueueSize  = 4096 // maximum number of queued outcomes; further ones are dropped
	saveWorkers    = 64   // concurrent saves: as many as DefaultMaxBatch, since each waits for its transaction
	maxSaveTries   = 3    // of one outcome; after that, later requests ask the sidecar
	saveRetryDelay = 200 * time.Millisecond
	// shutdownSaveTimeout limits how long a router that shuts down still saves
	// outcomes: several times what one takes, which is DefaultSaveBatchDelay and a
	// commit.
	shutdownSaveTimeout = 2 * time.Second
)

// outcome is the final state of a claim, queued to be saved.
type outcome struct {
	key    string
	record Record
}

// outcomeWriter saves final outcomes in claim rows in the background. The caller
// already has its answer. Until the row is written, later requests with the same
// key ask the sidecar, which remembers the answer, so that a lost write only
// costs them a void request.
type outcomeWriter struct {
	opts    Options
	batcher *batcher
	metrics *metrics
	queue   chan outcome
}

func newOutcomeWriter(opts Options, b *batcher, m *metrics) *outcomeWriter {
	return &outcomeWriter{opts: opts, batcher: b, metrics: m, queue: make(chan outcome, saveQueueSize)}
}

// save queues an outcome. It doesn't block: if the queue is full, the outcome is
// dropped.
func (w *outcomeWriter) save(key string, record Record) {
	select {
	case w.queue <- outcome{key: key, record: record}:
	default:
		w.metrics.saves.WithLabelValues("dropped").Inc()
	}
}

// run saves outcomes until ctx ends, and then those still queued, until saveCtx
// ends. Without a saved outcome, an answered call would be reported as unknown
// once the sidecar that remembers the answer has stopped, too.
func (w *outcomeWriter) run(ctx, saveCtx context.Context) error {
	var workers sync.WaitGroup
	for range saveWorkers {
		workers.Go(func() { w.work(ctx, saveCtx) })
	}
	workers.Wait()
	return ctx.Err()
}

func (w *outcomeWriter) work(ctx, saveCtx context.Context) {
	for {
		select {
		case o := <-w.queue:
			w.writeWithRetry(saveCtx, o)
		case <-ctx.Done():
			w.drain(saveCtx)
			return
		}
	}
}

// drain saves the queued outcomes.
func (w *outcomeWriter) drain(saveCtx context.Context) {
	for saveCtx.Err() == nil {
		select {
		case o := <-w.queue:
			w.writeWithRetry(saveCtx, o)
		default:
			return
		}
	}
}

// writeWithRetry saves an outcome, or gives up after a conflict: then the row has a
// newer claim or a final state.
func (w *outcomeWriter) writeWithRetry(saveCtx context.Context, o outcome) {
	for range maxSaveTries {
		result := w.write(saveCtx, o)
		w.metrics.saves.WithLabelValues(result.String()).Inc()
		if result == ResultCommitted || result == ResultConflict {
			return
		}
		select {
		case <-time.After(saveRetryDelay):
		case <-saveCtx.Done():
			return
		}
	}
	w.opts.Recorder.Emit(EventOutcomeNotSaved, "key", o.key, "state", o.record.State, "attempt", o.record.Attempt)
}

// write replaces the claim by its outcome if the row still holds that claim.
//
// Guard: this prevents the following sequence: a save is delayed for longer than
// the retention time, the row is deleted, a new call claims the key, and the old
// answer overwrites that claim. The row must name this attempt as claimed, and
// must not change between the read and the write.
func (w *outcomeWriter) write(ctx context.Context, o outcome) Result {
	readCtx, cancel := context.WithTimeout(ctx, w.opts.ReadTimeout)
	defer cancel()
	row, err := w.opts.Table.Get(readCtx, o.key)
	if errors.Is(err, backing.ErrNotFound) {
		return ResultConflict
	}
	if err != nil {
		return ResultTableUnavailable
	}
	current, err := Decode(row.Value)
	if err != nil || current.Attempt != o.record.Attempt || current.State != RecordClaimed {
		return ResultConflict
	}
	value, err := o.record.Encode()
	if err != nil {
		return ResultConflict
	}
	return w.batcher.submit(ctx, &pendingWrite{key: o.key, version: row.Version, value: value})
}
