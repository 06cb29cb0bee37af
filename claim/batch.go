package claim

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/backing"
)

const (
	// indexPrefix begins the rows by which old claims are found for deletion.
	indexPrefix = "claimage/"
	// indexBucket is the span of deadlines whose index rows share a prefix.
	indexBucket = time.Hour
)

// write is one conditional write of a claim row that waits for its transaction.
type write struct {
	key     string
	version uint64
	value   []byte
	index   string // key of the index row written along; empty: none
	done    chan Seen
}

// batcher gathers writes into transactions: the table service takes several
// hundred writes a second, however many rows are in each.
type batcher struct {
	kind    string // label of its metrics
	wait    time.Duration
	opts    Options
	metrics *metrics
	queue   chan *write
	slots   chan struct{}
	held    []*write // same key as one in the batch before; first in the next
	stopped chan struct{}
}

func newBatcher(kind string, wait time.Duration, opts Options, m *metrics) *batcher {
	return &batcher{
		kind:    kind,
		wait:    wait,
		opts:    opts,
		metrics: m,
		queue:   make(chan *write, opts.MaxBatch*opts.Commits),
		slots:   make(chan struct{}, opts.Commits),
		stopped: make(chan struct{}),
	}
}

// claim writes a new claim and returns what is known of the write.
func (b *batcher) claim(ctx context.Context, key string, version uint64, record Record) Seen {
	value, err := record.Encode()
	if err != nil {
		return SeenTableDown
	}
	seen := b.submit(ctx, &write{key: key, version: version, value: value, index: indexKey(key, record.Deadline)})
	b.metrics.claims.WithLabelValues(seen.String()).Inc()
	return seen
}

// submit waits for the write's transaction. A caller who leaves meanwhile may
// leave a claim behind that nobody dispatches; see afterRead on orphan rows.
func (b *batcher) submit(ctx context.Context, w *write) Seen {
	w.done = make(chan Seen, 1)
	select {
	case b.queue <- w:
	case <-ctx.Done():
		return SeenOutOfTime
	case <-b.stopped:
		return SeenTableDown
	}
	select {
	case seen := <-w.done:
		return seen
	case <-ctx.Done():
		return SeenOutOfTime
	case <-b.stopped:
		return SeenTableDown
	}
}

func (b *batcher) run(ctx context.Context) error {
	defer close(b.stopped)
	for {
		batch, err := b.gather(ctx)
		if err != nil {
			return err
		}
		select {
		case b.slots <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
		go func() {
			defer func() { <-b.slots }()
			b.commit(ctx, batch)
		}()
	}
}

// gather waits for a first write, then for others, at most its wait and up to MaxBatch.
func (b *batcher) gather(ctx context.Context) ([]*write, error) {
	batch, keys := b.takeHeld()
	if len(batch) == 0 {
		select {
		case w := <-b.queue:
			batch, keys[w.key] = append(batch, w), true
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	timer := time.NewTimer(b.wait)
	defer timer.Stop()
	for len(batch) < b.opts.MaxBatch && len(b.held) < b.opts.MaxBatch {
		select {
		case w := <-b.queue:
			if keys[w.key] {
				b.held = append(b.held, w)
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

// takeHeld begins a batch with held writes, one for each key: two writes of one
// row in one transaction would both hold their condition or both fail it.
func (b *batcher) takeHeld() ([]*write, map[string]bool) {
	held := b.held
	b.held = nil
	keys := make(map[string]bool, b.opts.MaxBatch)
	batch := make([]*write, 0, b.opts.MaxBatch)
	for _, w := range held {
		if keys[w.key] || len(batch) == b.opts.MaxBatch {
			b.held = append(b.held, w)
			continue
		}
		batch, keys[w.key] = append(batch, w), true
	}
	return batch, keys
}

// commit writes a batch all or nothing. Rows that lost their condition are told
// so and the others sent again, fewer each time; no write of the refused
// transaction took effect, so sending the others again doubles nothing.
func (b *batcher) commit(ctx context.Context, batch []*write) {
	for len(batch) > 0 {
		seen, failed := b.commitOnce(ctx, batch)
		if seen != SeenConflict {
			finish(batch, seen)
			return
		}
		rest := split(batch, failed)
		if len(rest) == len(batch) { // the conflict names no row of ours: let each try look for itself
			finish(batch, SeenConflict)
			return
		}
		batch = rest
	}
}

func (b *batcher) commitOnce(ctx context.Context, batch []*write) (Seen, []string) {
	ctx, cancel := context.WithTimeout(ctx, b.opts.CommitTimeout)
	defer cancel()
	b.metrics.batch.WithLabelValues(b.kind).Observe(float64(len(batch)))
	err := b.opts.Table.Commit(ctx, txnOf(batch))
	seen, keys := classify(err)
	b.metrics.commits.WithLabelValues(b.kind, seen.String()).Inc()
	switch seen {
	case SeenAmbiguous:
		b.opts.Recorder.Emit(EventCommitAmbiguous, "kind", b.kind, "rows", len(batch), "err", err)
	case SeenTableDown:
		b.opts.Recorder.Emit(EventTableDown, "kind", b.kind, "rows", len(batch), "err", err)
	}
	return seen, keys
}

// classify takes any error that isn't known to be without effect as ambiguous,
// a timeout above all.
func classify(err error) (Seen, []string) {
	var conflict *backing.ConflictError
	switch {
	case err == nil:
		return SeenCommitted, nil
	case errors.As(err, &conflict):
		return SeenConflict, conflict.Keys
	case errors.Is(err, backing.ErrUnavailable), errors.Is(err, backing.ErrThrottled):
		return SeenTableDown, nil
	default:
		return SeenAmbiguous, nil
	}
}

func txnOf(batch []*write) backing.Txn {
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

func split(batch []*write, failed []string) []*write {
	lost := make(map[string]bool, len(failed))
	for _, key := range failed {
		lost[key] = true
	}
	var rest []*write
	for _, w := range batch {
		if lost[w.key] {
			w.done <- SeenConflict
			continue
		}
		rest = append(rest, w)
	}
	return rest
}

func finish(batch []*write, seen Seen) {
	for _, w := range batch {
		w.done <- seen
	}
}

func indexKey(key string, deadline time.Time) string {
	return bucketPrefix(deadline) + key[len(KeyPrefix):]
}

func bucketPrefix(deadline time.Time) string {
	return fmt.Sprintf("%s%08d/", indexPrefix, deadline.Unix()/int64(indexBucket/time.Second))
}
