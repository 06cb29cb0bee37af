package claim

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/backing"
)

const (
	// indexPrefix is the key prefix of the index rows by which the sweeper finds
	// expired claims.
	indexPrefix = "claimage/"
	// indexBucket is the span of deadlines whose index rows share a prefix.
	indexBucket = time.Hour
)

// pendingWrite is a conditional write of a claim row, queued for a transaction.
type pendingWrite struct {
	key     string
	version uint64 // that the row must have; 0: no row
	value   []byte
	index   string // key of the index row written in the same transaction; empty: none
	done    chan Result
}

// batcher groups writes into transactions, because the table service accepts only
// several hundred transactions a second, however many rows each of them has.
type batcher struct {
	kind        string // "claim" or "save", the label "kind" in metrics
	delay       time.Duration
	opts        Options
	metrics     *metrics
	queue       chan *pendingWrite
	commitSlots chan struct{}
	deferred    []*pendingWrite // their key was already in the previous batch; they start the next one
	stopped     chan struct{}
}

func newBatcher(kind string, delay time.Duration, opts Options, m *metrics) *batcher {
	return &batcher{
		kind:        kind,
		delay:       delay,
		opts:        opts,
		metrics:     m,
		queue:       make(chan *pendingWrite, opts.MaxBatch*opts.MaxCommits),
		commitSlots: make(chan struct{}, opts.MaxCommits),
		stopped:     make(chan struct{}),
	}
}

// writeClaim writes a new claim and returns the result of the write.
func (b *batcher) writeClaim(ctx context.Context, key string, version uint64, record Record) Result {
	value, err := record.Encode()
	if err != nil {
		return ResultTableUnavailable
	}
	result := b.submit(ctx, &pendingWrite{key: key, version: version, value: value, index: indexKey(key, record.Deadline)})
	b.metrics.claims.WithLabelValues(result.String()).Inc()
	return result
}

// submit queues a write and waits for its transaction. If ctx ends first, the
// write may still be committed and leave a claim that nobody dispatches; see
// afterRead on orphan rows.
func (b *batcher) submit(ctx context.Context, w *pendingWrite) Result {
	w.done = make(chan Result, 1)
	select {
	case b.queue <- w:
	case <-ctx.Done():
		return ResultExpired
	case <-b.stopped:
		return ResultTableUnavailable
	}
	select {
	case result := <-w.done:
		return result
	case <-ctx.Done():
		return ResultExpired
	case <-b.stopped:
		return ResultTableUnavailable
	}
}

func (b *batcher) run(ctx context.Context) error {
	defer close(b.stopped)
	for {
		batch, err := b.collectBatch(ctx)
		if err != nil {
			return err
		}
		select {
		case b.commitSlots <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
		go func() {
			defer func() { <-b.commitSlots }()
			b.commit(ctx, batch)
		}()
	}
}

// collectBatch waits for a first write and then collects others until the
// batch delay has passed or the batch has MaxBatch writes.
func (b *batcher) collectBatch(ctx context.Context) ([]*pendingWrite, error) {
	batch, keys := b.startBatch()
	if len(batch) == 0 {
		select {
		case w := <-b.queue:
			batch, keys[w.key] = append(batch, w), true
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	timer := time.NewTimer(b.delay)
	defer timer.Stop()
	for len(batch) < b.opts.MaxBatch && len(b.deferred) < b.opts.MaxBatch {
		select {
		case w := <-b.queue:
			if keys[w.key] {
				b.deferred = append(b.deferred, w)
				continue
			}
			batch, keys[w.key] = append(batch, w), true
		case <-timer.C:
			return batch, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return batch, nil
}

// startBatch starts a batch with the deferred writes, one for each key: the
// conditions of two writes of one row would both hold or both fail if they were
// in the same transaction.
func (b *batcher) startBatch() ([]*pendingWrite, map[string]bool) {
	deferred := b.deferred
	b.deferred = nil
	keys := make(map[string]bool, b.opts.MaxBatch)
	batch := make([]*pendingWrite, 0, b.opts.MaxBatch)
	for _, w := range deferred {
		if keys[w.key] || len(batch) == b.opts.MaxBatch {
			b.deferred = append(b.deferred, w)
			continue
		}
		batch, keys[w.key] = append(batch, w), true
	}
	return batch, keys
}

// commit writes a batch in one atomic transaction. If some conditions fail, these
// writes end with ResultConflict and the others are sent again. A rejected
// transaction has no effect, so that nothing is written twice. Each round has
// fewer writes than the one before.
func (b *batcher) commit(ctx context.Context, batch []*pendingWrite) {
	for len(batch) > 0 {
		result, failed := b.commitOnce(ctx, batch)
		if result != ResultConflict {
			finishAll(batch, result)
			return
		}
		rest := rejectConflicts(batch, failed)
		if len(rest) == len(batch) { // the conflict names none of these rows: each request reads its own
			finishAll(batch, ResultConflict)
			return
		}
		batch = rest
	}
}

func (b *batcher) commitOnce(ctx context.Context, batch []*pendingWrite) (Result, []string) {
	ctx, cancel := context.WithTimeout(ctx, b.opts.CommitTimeout)
	defer cancel()
	b.metrics.batchSize.WithLabelValues(b.kind).Observe(float64(len(batch)))
	err := b.opts.Table.Commit(ctx, newTxn(batch))
	result, keys := classifyCommit(err)
	b.metrics.commits.WithLabelValues(b.kind, result.String()).Inc()
	switch result {
	case ResultAmbiguous:
		b.opts.Recorder.Emit(EventCommitAmbiguous, "kind", b.kind, "rows", len(batch), "err", err)
	case ResultTableUnavailable:
		b.opts.Recorder.Emit(EventTableUnavailable, "kind", b.kind, "rows", len(batch), "err", err)
	}
	return result, keys
}

// classifyCommit treats every error that isn't known to be without effect as
// ambiguous, including a timeout.
func classifyCommit(err error) (Result, []string) {
	var conflict *backing.ConflictError
	switch {
	case err == nil:
		return ResultCommitted, nil
	case errors.As(err, &conflict):
		return ResultConflict, conflict.Keys
	case errors.Is(err, backing.ErrUnavailable), errors.Is(err, backing.ErrThrottled):
		return ResultTableUnavailable, nil
	default:
		return ResultAmbiguous, nil
	}
}

func newTxn(batch []*pendingWrite) backing.Txn {
	txn := backing.Txn{
		If:     make([]backing.Condition, 0, len(batch)),
		Writes: make([]backing.Write, 0, 2*len(batch)),
	}
	for _, w := range batch {
		txn.If = append(txn.If, backing.Condition{Key: w.key, Version: w.version})
		txn.Writes = append(txn.Writes, backing.Write{Key: w.key, Value: w.value})
		if w.index != "" {
			txn.Writes = append(txn.Writes, backing.Write{Key: w.index, Value: []byte(w.key)})
		}
	}
	return txn
}

// rejectConflicts ends the writes of the failed keys with ResultConflict and
// returns the others.
func rejectConflicts(batch []*pendingWrite, failed []string) []*pendingWrite {
	conflicting := make(map[string]bool, len(failed))
	for _, key := range failed {
		conflicting[key] = true
	}
	var rest []*pendingWrite
	for _, w := range batch {
		if conflicting[w.key] {
			w.done <- ResultConflict
			continue
		}
		rest = append(rest, w)
	}
	return rest
}

func finishAll(batch []*pendingWrite, result Result) {
	for _, w := range batch {
		w.done <- result
	}
}

// indexKey returns the key of a claim's index row. The row's value is the claim's
// key.
func indexKey(key string, deadline time.Time) string {
	return bucketPrefix(deadline) + key[len(KeyPrefix):]
}

func bucketPrefix(deadline time.Time) string {
	return fmt.Sprintf("%s%08d/", indexPrefix, deadline.Unix()/int64(indexBucket/time.Second))
}
