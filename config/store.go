package config

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/backing"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/findings"
	"github.com/pearyard/pearyard/text"
	"github.com/pearyard/pearyard/types"
)

// RevisionsKept is how many revisions the store retains; each Accept deletes the
// oldest one beyond it. At 900 changes a day that is a little more than a day.
const RevisionsKept = 1000

// maxResolveBackoff is the longest wait between attempts to resolve a commit.
const maxResolveBackoff = 500 * time.Millisecond

// DefaultResolveTimeout bounds how long Accept tries to determine the outcome of
// a commit if its caller sets no earlier deadline.
const DefaultResolveTimeout = 30 * time.Second

// StoreOptions configure a Store. Table and Objects are required.
type StoreOptions struct {
	Table      backing.Table
	Objects    backing.Objects
	Recorder   *event.Recorder
	Registerer prometheus.Registerer
	Now        func() time.Time
	// KnownRevision returns the revision in force in this process. A response of
	// the store with an older revision is stale.
	KnownRevision func() types.Revision
}

// Store stores accepted configurations in the table service.
type Store struct {
	opts    StoreOptions
	metrics *storeMetrics
	newest  atomic.Uint64 // highest revision that the store has returned or accepted
}

// NewStore returns a store.
func NewStore(opts StoreOptions) *Store {
	if opts.Recorder == nil {
		opts.Recorder = event.Discard()
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.KnownRevision == nil {
		opts.KnownRevision = func() types.Revision { return 0 }
	}
	return &Store{opts: opts, metrics: newStoreMetrics(opts.Registerer)}
}

// RaceError reports a configuration that was refused because another one was
// accepted first, and which one that was.
type RaceError struct {
	Base   types.Revision // the base of the refused configuration
	Winner types.Revision // in force now
	By     string
	Note   string
	Diff   string // unified diff from the base to the winner; "" if either can't be loaded
}

// Error implements error.
func (e *RaceError) Error() string {
	return fmt.Sprintf("config: built on revision %d, but revision %d by %q is in force", e.Base, e.Winner, e.By)
}

// BehindError reports that the store returned an older revision than one known
// to have been accepted.
type BehindError struct{ Answered, Known types.Revision }

// Error implements error.
func (e *BehindError) Error() string {
	return fmt.Sprintf("config: store answered with revision %d, but %d was accepted", e.Answered, e.Known)
}

// UndecidedError reports a commit whose outcome couldn't be read back in time.
type UndecidedError struct {
	Revision types.Revision
	Commit   string // identifies the commit in the history if it took effect
	Cause    error
}

// Error implements error.
func (e *UndecidedError) Error() string {
	return fmt.Sprintf("config: revision %d (commit %s) may have been accepted: %v", e.Revision, e.Commit, e.Cause)
}

// Unwrap returns the last error of reading the outcome back.
func (e *UndecidedError) Unwrap() error { return e.Cause }

// Head returns the newest accepted revision, 0 if there is none. It returns a
// *BehindError if the store's revision is older than one already known.
func (s *Store) Head(ctx context.Context) (Head, error) {
	head, _, err := s.head(ctx)
	if err != nil {
		return Head{}, err
	}
	if known := s.known(); head.Revision < known {
		return Head{}, &BehindError{Answered: head.Revision, Known: known}
	}
	s.recordNewest(head.Revision)
	return head, nil
}

func (s *Store) known() types.Revision {
	return max(s.opts.KnownRevision(), types.Revision(s.newest.Load()))
}

func (s *Store) recordNewest(rev types.Revision) {
	for {
		old := s.newest.Load()
		if uint64(rev) <= old || s.newest.CompareAndSwap(old, uint64(rev)) {
			return
		}
	}
}

// Accept checks a configuration that an operator derived from revision base and
// commits it as the next revision. It returns a *findings.ListError for an invalid
// configuration, a *RaceError if another one was accepted meanwhile, an
// *UndecidedError if the outcome was still unknown when ctx or DefaultResolveTimeout
// ended, or the error of the table service or object store. After any error but
// *UndecidedError, nothing took effect. The findings of an accepted configuration are
// its warnings.
func (s *Store) Accept(ctx context.Context, base types.Revision, raw []byte, who, note string) (types.Revision, findings.List, error) {
	if len(raw) > maxConfigBytes {
		return 0, nil, s.countAccept(ErrTooLarge)
	}
	_, list := text.Parse(raw)
	if list.HasErrors() {
		return 0, list, s.countAccept(list.Err())
	}
	rev, err := s.accept(ctx, base, raw, who, note)
	if s.countAccept(err) != nil {
		return 0, list, err
	}
	s.recordNewest(rev)
	s.opts.Recorder.Emit(EventAccepted, "revision", rev, "by", who, "note", note, "bytes", len(raw))
	return rev, list, nil
}

func (s *Store) countAccept(err error) error {
	s.metrics.accepts.WithLabelValues(acceptResult(err)).Inc()
	return err
}

func (s *Store) accept(ctx context.Context, base types.Revision, raw []byte, who, note string) (types.Revision, error) {
	head, version, err := s.head(ctx)
	if err != nil {
		return 0, err
	}
	newest := max(head.Revision, s.known())
	if newest != base {
		return 0, s.raceError(ctx, base, newest)
	}
	row, err := s.prepareRow(ctx, raw)
	if err != nil {
		return 0, err
	}
	p := s.newProposal(newest+1, version, row, Entry{Base: base, By: who, Note: note})
	return s.commit(ctx, base, p)
}

// proposal is a transaction that makes a configuration the next revision, with
// its history entry.
type proposal struct {
	entry Entry
	txn   backing.Txn
}

// newProposal builds the transaction, which changes the head, the history entry
// and the configuration atomically. Its revision is higher than every one known to
// have been in force, even if the store was restored from an older copy.
func (s *Store) newProposal(rev types.Revision, headVersion uint64, row textRow, entry Entry) proposal {
	entry.Revision, entry.Commit, entry.At = rev, uuid.NewString(), s.opts.Now().UTC()
	entry.Bytes, entry.SHA256 = int(row.Size), row.SHA256
	txn := backing.Txn{
		If: []backing.Condition{{Key: headKey, Version: headVersion}},
		Writes: []backing.Write{
			{Key: headKey, Value: encode(Head{Revision: rev, Commit: entry.Commit})},
			{Key: historyKey(rev), Value: encode(entry)},
			{Key: textKey(rev), Value: encode(row)},
		},
	}
	if rev > RevisionsKept {
		old := rev - RevisionsKept
		txn.Writes = append(txn.Writes, backing.Write{Key: historyKey(old), Delete: true}, backing.Write{Key: textKey(old), Delete: true})
	}
	return proposal{entry: entry, txn: txn}
}

func encode(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err) // these types always marshal
	}
	return raw
}

// commit sends the proposal until its outcome is known.
//
// The response to a commit can be lost after the commit took effect. A retry would
// then conflict with our own write and be mistaken for a lost race, while giving up
// would report a configuration in force as refused. Sending the same transaction
// again is safe: its condition on the head's version lets it take effect at most
// once, and a conflict is resolved by looking for our commit id in the history.
func (s *Store) commit(ctx context.Context, base types.Revision, p proposal) (types.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, DefaultResolveTimeout)
	defer cancel()
	wait := backoff.NewExponentialBackOff()
	wait.MaxInterval = maxResolveBackoff
	ambiguous := false
	for {
		err := s.opts.Table.Commit(ctx, p.txn)
		var conflict *backing.ConflictError
		switch {
		case err == nil:
			return p.entry.Revision, nil
		case errors.As(err, &conflict):
			rev, settled, readErr := s.resolveConflict(ctx, base, p)
			if settled {
				return rev, readErr
			}
			err = readErr
		case errors.Is(err, backing.ErrThrottled): // this attempt had no effect
		case errors.Is(err, backing.ErrUnavailable): // nor did this one
			if !ambiguous {
				return 0, err
			}
		default: // the response was lost or didn't arrive in time
			ambiguous = true
			s.opts.Recorder.Emit(EventAmbiguous, "revision", p.entry.Revision, "commit", p.entry.Commit, "error", err)
		}
		if !sleep(ctx, wait.NextBackOff()) {
			return 0, s.undecidedError(p, ambiguous, err)
		}
	}
}

// resolveConflict distinguishes a conflict with our own earlier commit from a lost
// race. It reports false while the store doesn't respond or reads from an old copy,
// where a successful commit would look like a lost race.
func (s *Store) resolveConflict(ctx context.Context, base types.Revision, p proposal) (types.Revision, bool, error) {
	entry, err := s.entry(ctx, p.entry.Revision)
	if err == nil {
		return s.commitOutcome(ctx, base, p, entry.Commit, entry.Revision)
	}
	if !errors.Is(err, backing.ErrNotFound) {
		return 0, false, err
	}
	head, version, err := s.head(ctx)
	if err != nil {
		return 0, false, err
	}
	// A head that was written after the version in our condition but has a lower
	// revision than ours proves that another commit was made instead of ours.
	if head.Commit == p.entry.Commit || (version > p.txn.If[0].Version && head.Revision < p.entry.Revision) {
		return s.commitOutcome(ctx, base, p, head.Commit, head.Revision)
	}
	return 0, false, &BehindError{Answered: head.Revision, Known: p.entry.Revision}
}

func (s *Store) commitOutcome(ctx context.Context, base types.Revision, p proposal, commit string, rev types.Revision) (types.Revision, bool, error) {
	if commit == p.entry.Commit {
		return p.entry.Revision, true, nil
	}
	return 0, true, s.raceError(ctx, base, rev)
}

func (s *Store) undecidedError(p proposal, ambiguous bool, cause error) error {
	if !ambiguous {
		return errors.Wrap(cause, "config: nothing was committed")
	}
	s.opts.Recorder.Emit(EventUndecided, "revision", p.entry.Revision, "commit", p.entry.Commit, "error", cause)
	return &UndecidedError{Revision: p.entry.Revision, Commit: p.entry.Commit, Cause: cause}
}

// raceError describes the winning revision as far as the store's data allow.
func (s *Store) raceError(ctx context.Context, base, winner types.Revision) error {
	race := &RaceError{Base: base, Winner: winner}
	if entry, err := s.entry(ctx, winner); err == nil {
		race.By, race.Note = entry.By, entry.Note
	}
	race.Diff = s.diff(ctx, base, winner)
	s.opts.Recorder.Emit(EventRaceLost, "base", base, "winner", winner, "by", race.By)
	return race
}

// diff returns the diff between two stored revisions, "" if it can't be made: a
// RaceError is useful without it.
func (s *Store) diff(ctx context.Context, base, winner types.Revision) string {
	old, err := s.Load(ctx, base)
	if err != nil && base != 0 { // revision 0 is the empty configuration, which isn't stored
		return ""
	}
	next, err := s.Load(ctx, winner)
	if err != nil {
		return ""
	}
	return text.UnifiedDiff(old, next, fmt.Sprintf("revision %d", base), fmt.Sprintf("revision %d", winner))
}

func acceptResult(err error) string {
	var race *RaceError
	var undecided *UndecidedError
	switch {
	case err == nil:
		return "accepted"
	case errors.As(err, &race):
		return "race"
	case errors.As(err, &undecided):
		return "undecided"
	case errors.Is(err, backing.ErrUnavailable), errors.Is(err, backing.ErrThrottled):
		return "unavailable"
	default:
		return "refused"
	}
}

// sleep waits for d and reports false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
