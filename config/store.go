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

// RevisionsKept is how many revisions the store keeps; each Accept deletes the
// one that falls out. At 900 changes a day it is a little more than a day.
const RevisionsKept = 1000

// resolveRetry is the longest wait between attempts at an undecided commit.
const resolveRetry = 500 * time.Millisecond

// DefaultResolveTimeout bounds how long Accept looks for the outcome of a
// commit when its caller sets no earlier deadline.
const DefaultResolveTimeout = 30 * time.Second

// StoreOptions configure a Store. Table and Objects are required.
type StoreOptions struct {
	Table      backing.Table
	Objects    backing.Objects
	Recorder   *event.Recorder
	Registerer prometheus.Registerer
	Now        func() time.Time
	// Known returns the revision in force in this process, by which an older
	// answer of the store is recognised.
	Known func() types.Revision
}

// Store keeps accepted texts in the table service.
type Store struct {
	opts    StoreOptions
	metrics *storeMetrics
	newest  atomic.Uint64 // highest revision that the store has answered with
}

// NewStore returns a store.
func NewStore(opts StoreOptions) *Store {
	if opts.Recorder == nil {
		opts.Recorder = event.Discard()
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Known == nil {
		opts.Known = func() types.Revision { return 0 }
	}
	return &Store{opts: opts, metrics: newStoreMetrics(opts.Registerer)}
}

// RaceError tells an operator whose text was refused what was accepted instead.
type RaceError struct {
	Base   types.Revision // on which the refused text was built
	Winner types.Revision // in force now
	By     string
	Note   string
	Diff   string // unified diff from the base to the winner; "" if it can't be had
}

// Error implements error.
func (e *RaceError) Error() string {
	return fmt.Sprintf("config: built on revision %d, but revision %d by %q is in force", e.Base, e.Winner, e.By)
}

// BehindError reports that the store answered with an older revision than one
// known to have been accepted.
type BehindError struct{ Answered, Known types.Revision }

// Error implements error.
func (e *BehindError) Error() string {
	return fmt.Sprintf("config: store answered with revision %d, but %d was accepted", e.Answered, e.Known)
}

// UndecidedError reports a commit whose outcome couldn't be read back in time.
type UndecidedError struct {
	Revision types.Revision
	Commit   string // to be looked for in the history
	Cause    error
}

// Error implements error.
func (e *UndecidedError) Error() string {
	return fmt.Sprintf("config: revision %d (commit %s) may have been accepted: %v", e.Revision, e.Commit, e.Cause)
}

// Unwrap returns the last failure of reading back.
func (e *UndecidedError) Unwrap() error { return e.Cause }

// Head returns the newest accepted revision, 0 if there is none. An answer
// older than one already known is a *BehindError, never a head.
func (s *Store) Head(ctx context.Context) (Head, error) {
	head, _, err := s.head(ctx)
	if err != nil {
		return Head{}, err
	}
	if known := s.known(); head.Revision < known {
		return Head{}, &BehindError{Answered: head.Revision, Known: known}
	}
	s.learn(head.Revision)
	return head, nil
}

func (s *Store) known() types.Revision {
	return max(s.opts.Known(), types.Revision(s.newest.Load()))
}

func (s *Store) learn(rev types.Revision) {
	for {
		old := s.newest.Load()
		if uint64(rev) <= old || s.newest.CompareAndSwap(old, uint64(rev)) {
			return
		}
	}
}

// Accept checks a text that an operator built on revision base and commits it
// as the next revision. It returns a *findings.ListError for a faulty text, a
// *RaceError if another text was accepted meanwhile, an *UndecidedError if the
// outcome stayed unknown until ctx ended, or the platform's error; but for
// *UndecidedError, nothing took effect. The findings of an accepted text are
// its warnings.
func (s *Store) Accept(ctx context.Context, base types.Revision, raw []byte, who, note string) (types.Revision, findings.List, error) {
	if len(raw) > maxTextBytes {
		return 0, nil, s.noteAccept(ErrTooLarge)
	}
	_, list := text.Parse(raw)
	if list.HasErrors() {
		return 0, list, s.noteAccept(list.Err())
	}
	rev, err := s.accept(ctx, base, raw, who, note)
	if s.noteAccept(err) != nil {
		return 0, list, err
	}
	s.learn(rev)
	s.opts.Recorder.Emit(EventAccepted, "revision", rev, "by", who, "note", note, "bytes", len(raw))
	return rev, list, nil
}

func (s *Store) noteAccept(err error) error {
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
		return 0, s.race(ctx, base, newest)
	}
	row, err := s.place(ctx, raw)
	if err != nil {
		return 0, err
	}
	p := s.proposal(newest+1, version, row, Entry{Base: base, By: who, Note: note})
	return s.commit(ctx, base, p)
}

// proposal is one attempt to make a text the next revision.
type proposal struct {
	entry Entry
	txn   backing.Txn
}

// proposal builds the transaction: head, history entry and text change
// together or not at all. Should the store have been restored from an older
// copy, the new revision still lies above every one that was ever in force.
func (s *Store) proposal(rev types.Revision, headVersion uint64, row textRow, entry Entry) proposal {
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
// Guard: the answer to a commit can be lost after it took effect. A blind
// second attempt would then fail on our own write and report a race that we
// won; giving up would report "refused" of a text in force. Sending the very
// same transaction again is safe, since its condition on the head's version
// lets one copy take effect at the most, and a conflict is settled by looking
// for our commit id in the history.
func (s *Store) commit(ctx context.Context, base types.Revision, p proposal) (types.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, DefaultResolveTimeout)
	defer cancel()
	wait := backoff.NewExponentialBackOff()
	wait.MaxInterval = resolveRetry
	maybe := false
	for {
		err := s.opts.Table.Commit(ctx, p.txn)
		var conflict *backing.ConflictError
		switch {
		case err == nil:
			return p.entry.Revision, nil
		case errors.As(err, &conflict):
			rev, settled, readErr := s.settle(ctx, base, p)
			if settled {
				return rev, readErr
			}
			err = readErr
		case errors.Is(err, backing.ErrThrottled):
		case errors.Is(err, backing.ErrUnavailable):
			if !maybe {
				return 0, err
			}
		default:
			maybe = true
			s.opts.Recorder.Emit(EventAmbiguous, "revision", p.entry.Revision, "commit", p.entry.Commit, "error", err)
		}
		if !sleep(ctx, wait.NextBackOff()) {
			return 0, s.undecided(p, maybe, err)
		}
	}
}

// settle tells a conflict with our own earlier commit from a lost race. It
// reports false as long as the store doesn't answer or answers from an old
// copy, which would make a won race look lost.
func (s *Store) settle(ctx context.Context, base types.Revision, p proposal) (types.Revision, bool, error) {
	entry, err := s.entry(ctx, p.entry.Revision)
	if err == nil {
		return s.settled(ctx, base, p, entry.Commit, entry.Revision)
	}
	if !errors.Is(err, backing.ErrNotFound) {
		return 0, false, err
	}
	head, version, err := s.head(ctx)
	if err != nil {
		return 0, false, err
	}
	// A head that was written after our condition and lies below our revision
	// proves that another commit took the place of ours.
	if head.Commit == p.entry.Commit || (version > p.txn.If[0].Version && head.Revision < p.entry.Revision) {
		return s.settled(ctx, base, p, head.Commit, head.Revision)
	}
	return 0, false, &BehindError{Answered: head.Revision, Known: p.entry.Revision}
}

func (s *Store) settled(ctx context.Context, base types.Revision, p proposal, commit string, rev types.Revision) (types.Revision, bool, error) {
	if commit == p.entry.Commit {
		return p.entry.Revision, true, nil
	}
	return 0, true, s.race(ctx, base, rev)
}

func (s *Store) undecided(p proposal, maybe bool, cause error) error {
	if !maybe {
		return errors.Wrap(cause, "config: nothing was committed")
	}
	s.opts.Recorder.Emit(EventUndecided, "revision", p.entry.Revision, "commit", p.entry.Commit, "error", cause)
	return &UndecidedError{Revision: p.entry.Revision, Commit: p.entry.Commit, Cause: cause}
}

// race describes the winner as far as the store tells of it.
func (s *Store) race(ctx context.Context, base, winner types.Revision) error {
	race := &RaceError{Base: base, Winner: winner}
	if entry, err := s.entry(ctx, winner); err == nil {
		race.By, race.Note = entry.By, entry.Note
	}
	race.Diff = s.diff(ctx, base, winner)
	s.opts.Recorder.Emit(EventRaceLost, "base", base, "winner", winner, "by", race.By)
	return race
}

// diff is a help for the reader: without it, the race is still reported.
func (s *Store) diff(ctx context.Context, base, winner types.Revision) string {
	old, err := s.Load(ctx, base)
	if err != nil && base != 0 {
		return ""
	}
	next, err := s.Load(ctx, winner)
	if err != nil {
		return ""
	}
	return text.Unified(old, next, fmt.Sprintf("revision %d", base), fmt.Sprintf("revision %d", winner))
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

// sleep waits and reports false if ctx ended first.
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
