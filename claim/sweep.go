package claim

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/backing"
)

const (
	sweepPageSize = 64 // index rows in one transaction
	maxSweepPages = 16 // maximum number of transactions in one round
	sweepBuckets  = 48 // number of hourly buckets, back from the end of the retention time, of which each round searches one
	// sweepRow limits the rounds of all routers together: it holds the time of
	// the last one. Its key sorts before every bucket.
	sweepRow = indexPrefix + "!last"
)

// sweeper deletes claims whose retention time has passed. Every router sweeps; a
// conflict between two of them does no harm.
//
// The deletion is safe because the row's deadline passed Retention ago: if a
// router that was paused before then dispatches the attempt, the sidecar's
// deadline check refuses it, and keys are promised to be remembered for no longer
// than Retention. A row is deleted only in the version that was read, so that a
// claim renewed in the meantime stays.
type sweeper struct {
	opts    Options
	metrics *metrics
}

func newSweeper(opts Options, m *metrics) *sweeper {
	return &sweeper{opts: opts, metrics: m}
}

func (s *sweeper) run(ctx context.Context) error {
	for {
		pause := s.opts.SweepInterval/2 + rand.N(s.opts.SweepInterval)
		select {
		case <-time.After(pause):
			s.sweep(ctx, time.Now())
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// sweep searches one bucket of deadlines, chosen at random.
func (s *sweeper) sweep(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.SweepInterval)
	defer cancel()
	if !s.acquireRound(ctx, now) {
		return
	}
	// With an offset of at least one bucket, Retention is over for the whole bucket.
	offset := time.Duration(1+rand.IntN(sweepBuckets)) * indexBucket
	prefix := bucketPrefix(now.Add(-s.opts.Retention - offset))
	for range maxSweepPages {
		rows, err := s.opts.Table.List(ctx, prefix, sweepPageSize)
		if err != nil || len(rows) == 0 || !s.deletePage(ctx, rows, now) {
			return
		}
	}
}

// acquireRound reports whether this router may sweep: no router has started a
// round within SweepInterval, and this one has recorded its own.
func (s *sweeper) acquireRound(ctx context.Context, now time.Time) bool {
	row, err := s.opts.Table.Get(ctx, sweepRow)
	if err != nil && !errors.Is(err, backing.ErrNotFound) {
		return false
	}
	last, err := time.Parse(time.RFC3339Nano, string(row.Value))
	future := last.After(now.Add(s.opts.SweepInterval)) // written with a wrong clock; ignored
	if err == nil && !future && last.Add(s.opts.SweepInterval).After(now) {
		return false
	}
	txn := backing.Txn{
		If:     []backing.Condition{{Key: sweepRow, Version: row.Version}},
		Writes: []backing.Write{{Key: sweepRow, Value: []byte(now.UTC().Format(time.RFC3339Nano))}},
	}
	return s.opts.Table.Commit(ctx, txn) == nil
}

// deletePage reports whether the round should continue. After a conflict or while
// the table service is unavailable it ends; the bucket is searched again later.
func (s *sweeper) deletePage(ctx context.Context, rows []backing.Row, now time.Time) bool {
	txn, deleted := s.deletion(ctx, rows, now)
	if len(txn.Writes) == 0 || s.opts.Table.Commit(ctx, txn) != nil {
		return false
	}
	s.metrics.deleted.Add(float64(deleted))
	s.opts.Recorder.Emit(EventClaimsDeleted, "rows", deleted)
	return true
}

// deletion returns the transaction that deletes index rows and their expired
// claims, and the number of these claims. If a claim was renewed, only the index
// row is deleted: the newer claim has its own.
func (s *sweeper) deletion(ctx context.Context, index []backing.Row, now time.Time) (backing.Txn, int) {
	var txn backing.Txn
	deleted := 0
	for _, entry := range index {
		row, err := s.opts.Table.Get(ctx, string(entry.Value))
		if err != nil && !errors.Is(err, backing.ErrNotFound) {
			continue
		}
		txn.Writes = append(txn.Writes, backing.Write{Key: entry.Key, Delete: true})
		if err != nil || !s.retentionOver(row, now) {
			continue
		}
		txn.If = append(txn.If, backing.Condition{Key: row.Key, Version: row.Version})
		txn.Writes = append(txn.Writes, backing.Write{Key: row.Key, Delete: true})
		deleted++
	}
	return txn, deleted
}

// retentionOver reports whether a claim's retention time has passed. A row that
// can't be decoded is kept.
func (s *sweeper) retentionOver(row backing.Row, now time.Time) bool {
	record, err := Decode(row.Value)
	return err == nil && record.Deadline.Add(s.opts.Retention).Before(now)
}
