package claim

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/backing"
)

const (
	saveQueueSize   = 4096 // maximum number of queued outcomes; further ones are dropped
	saveWorkers     = 64   // concurrent reads and writes: enough for a full transaction
	maxSaveAttempts = 3
	saveRetryDelay  = 200 * time.Millisecond
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

func (f *outcomeWriter) save(key string, record Record) {
	select {
	case f.queue <- outcome{key: key, record: record}:
	default:
		f.metrics.saves.WithLabelValues("dropped").Inc()
	}
}

// run saves outcomes until ctx ends, and then those still queued, until saving
// ends. Without a saved outcome, an answered call would be reported as unknown
// once the sidecar that remembers the answer has stopped, too.
func (f *outcomeWriter) run(ctx, saving context.Context) error {
	var workers sync.WaitGroup
	for range saveWorkers {
		workers.Go(func() { f.work(ctx, saving) })
	}
	workers.Wait()
	return ctx.Err()
}

func (f *outcomeWriter) work(ctx, saving context.Context) {
	for {
		select {
		case o := <-f.queue:
			f.writeWithRetry(saving, o)
		case <-ctx.Done():
			f.drain(saving)
			return
		}
	}
}

// drain saves the queued outcomes.
func (f *outcomeWriter) drain(saving context.Context) {
	for saving.Err() == nil {
		select {
		case o := <-f.queue:
			f.writeWithRetry(saving, o)
		default:
			return
		}
	}
}

func (f *outcomeWriter) writeWithRetry(ctx context.Context, o outcome) {
	for range maxSaveAttempts {
		result := f.write(ctx, o)
		f.metrics.saves.WithLabelValues(result.String()).Inc()
		if result == ResultCommitted || result == ResultConflict {
			return
		}
		select {
		case <-time.After(saveRetryDelay):
		case <-ctx.Done():
			return
		}
	}
	f.opts.Recorder.Emit(EventOutcomeNotSaved, "key", o.key, "state", o.record.State, "attempt", o.record.Attempt)
}

// write replaces the claim by its outcome if the row still holds that claim.
//
// Guard: this prevents the following sequence: a save is delayed for longer than
// the retention time, the row is deleted, a new call claims the key, and the old
// answer overwrites that claim. The row must name this attempt as claimed, and
// must not change between the read and the write.
func (f *outcomeWriter) write(ctx context.Context, o outcome) Result {
	readCtx, cancel := context.WithTimeout(ctx, f.opts.ReadTimeout)
	defer cancel()
	row, err := f.opts.Table.Get(readCtx, o.key)
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
	return f.batcher.submit(ctx, &pendingWrite{key: o.key, version: row.Version, value: value})
}
