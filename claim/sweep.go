package claim

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/backing"
)

const (
	sweepLimit   = 64 // index rows in one transaction
	sweepPages   = 16 // transactions in one round
	sweepBuckets = 48 // hours before the retention's end that are looked at, one a round
	// sweepRow paces the rounds of all routers together: it holds the time of
	// the last one. Its name sorts before every bucket.
	sweepRow = indexPrefix + "!last"
)

// sweeper deletes claims whose retention is over. Every router sweeps; two that
// meet at a row lose nothing by the conflict.
//
// Deleting is safe because the row's deadline lies Retention back: a router
// that was frozen since before it dispatches into the sidecar's deadline check,
// and keys are promised to be remembered for Retention only. The row is deleted
// by its version, so a claim renewed meanwhile stays.
type sweeper struct {
	opts    Options
	metrics *metrics
}

func newSweeper(opts Options, m *metrics) *sweeper {
	return &sweeper{opts: opts, metrics: m}
}

func (s *sweeper) run(ctx context.Context) error {
	for {
		pause := s.opts.SweepEvery/2 + rand.N(s.opts.SweepEvery)
		select {
		case <-time.After(pause):
			s.sweep(ctx, time.Now())
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// sweep looks at one bucket of deadlines, drawn at random.
func (s *sweeper) sweep(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.SweepEvery)
	defer cancel()
	if !s.due(ctx, now) {
		return
	}
	back := time.Duration(1+rand.IntN(sweepBuckets)) * indexBucket
	prefix := bucketPrefix(now.Add(-s.opts.Retention - back))
	for range sweepPages {
		rows, err := s.opts.Table.List(ctx, prefix, sweepLimit)
		if err != nil || len(rows) == 0 || !s.deletePage(ctx, rows, now) {
			return
		}
	}
}

// due takes the round if no router had one for SweepEvery.
func (s *sweeper) due(ctx context.Context, now time.Time) bool {
	row, err := s.opts.Table.Get(ctx, sweepRow)
	if err != nil && !errors.Is(err, backing.ErrNotFound) {
		return false
	}
	last, err := time.Parse(time.RFC3339Nano, string(row.Value))
	future := last.After(now.Add(s.opts.SweepEvery)) // by a clock gone wrong; not obeyed
	if err == nil && !future && last.Add(s.opts.SweepEvery).After(now) {
		return false
	}
	txn := backing.Txn{
		If:     []backing.Condition{{Key: sweepRow, Version: row.Version}},
		Writes: []backing.Write{{Key: sweepRow, Value: []byte(now.UTC().Format(time.RFC3339Nano))}},
	}
	return s.opts.Table.Commit(ctx, txn) == nil
}

// deletePage reports whether it's worth going on; after a conflict or with the
// table down it's not, and the bucket comes round again.
func (s *sweeper) deletePage(ctx context.Context, rows []backing.Row, now time.Time) bool {
	txn, deleted := s.expired(ctx, rows, now)
	if len(txn.Writes) == 0 || s.opts.Table.Commit(ctx, txn) != nil {
		return false
	}
	s.metrics.swept.Add(float64(deleted))
	s.opts.Recorder.Emit(EventSwept, "rows", deleted)
	return true
}

// expired returns the transaction that deletes the claims behind index rows.
// An index row whose claim was renewed goes alone: the newer claim has its own.
func (s *sweeper) expired(ctx context.Context, index []backing.Row, now time.Time) (backing.Txn, int) {
	var txn backing.Txn
	deleted := 0
	for _, entry := range index {
		row, err := s.opts.Table.Get(ctx, string(entry.Value))
		if err != nil && !errors.Is(err, backing.ErrNotFound) {
			continue
		}
		txn.Writes = append(txn.Writes, backing.Write{Key: entry.Key, Delete: true})
		if err != nil || !s.over(row, now) {
			continue
		}
		txn.If = append(txn.If, backing.Condition{Key: row.Key, Version: row.Version})
		txn.Writes = append(txn.Writes, backing.Write{Key: row.Key, Delete: true})
		deleted++
	}
	return txn, deleted
}

// over reports whether a claim's retention is over. A row that can't be read is kept.
func (s *sweeper) over(row backing.Row, now time.Time) bool {
	record, err := Decode(row.Value)
	return err == nil && record.Deadline.Add(s.opts.Retention).Before(now)
}
