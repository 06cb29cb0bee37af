package config

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/backing"
	"github.com/pearyard/pearyard/types"
)

// Keys of rows and objects. History keys count down, so that a listing starts
// with the newest entry.
const (
	headKey       = "config/head"
	historyPrefix = "config/history/"
	textPrefix    = "config/text/"
	objectPrefix  = "config/text/sha256-"
)

func historyKey(rev types.Revision) string {
	return fmt.Sprintf("%s%020d", historyPrefix, math.MaxUint64-uint64(rev))
}

func textKey(rev types.Revision) string { return fmt.Sprintf("%s%020d", textPrefix, uint64(rev)) }

// Head identifies the newest accepted revision and the commit that created it.
type Head struct {
	Revision types.Revision `json:"revision"`
	Commit   string         `json:"commit"` // unique for each call of Accept
}

// Entry is one accepted revision in the history.
type Entry struct {
	Revision types.Revision `json:"revision"`
	Base     types.Revision `json:"base"` // the revision that the operator edited
	Commit   string         `json:"commit"`
	By       string         `json:"by"`
	Note     string         `json:"note,omitempty"`
	At       time.Time      `json:"at"` // by the clock of the accepting process
	Bytes    int            `json:"bytes"`
	SHA256   string         `json:"sha256"` // of the uncompressed configuration
}

// textRow holds a compressed configuration, or the key of the object that holds it.
type textRow struct {
	Size   uint64 `json:"size"`
	SHA256 string `json:"sha256"`
	Packed []byte `json:"packed,omitempty"`
	Object string `json:"object,omitempty"`
}

// maxRowBytes is the largest compressed configuration stored in a row; larger
// ones go to the object store.
const maxRowBytes = 256 << 10

// prepareRow returns the row to commit; a large configuration is first written to
// the object store. The object is written before the row that refers to it, so
// that no row refers to a missing object; an object left over from a lost race is
// harmless. Its key is the hash of its content, so writing it is idempotent.
func (s *Store) prepareRow(ctx context.Context, raw []byte) (textRow, error) {
	data, err := deflate(raw)
	if err != nil {
		return textRow{}, err
	}
	row := textRow{Size: uint64(len(raw)), SHA256: hashOf(raw)}
	if len(data) <= maxRowBytes {
		row.Packed = data
		return row, nil
	}
	row.Object = objectPrefix + row.SHA256
	return row, errors.Wrap(s.opts.Objects.Put(ctx, row.Object, data), "config: text not placed in the object store")
}

// Load returns the configuration of an accepted revision.
func (s *Store) Load(ctx context.Context, rev types.Revision) ([]byte, error) {
	row, err := s.opts.Table.Get(ctx, textKey(rev))
	if err != nil {
		return nil, err
	}
	var stored textRow
	if err := json.Unmarshal(row.Value, &stored); err != nil {
		return nil, errors.Wrapf(err, "config: row of revision %d", rev)
	}
	if stored.Object != "" {
		if stored.Packed, err = s.opts.Objects.Get(ctx, stored.Object); err != nil {
			return nil, err
		}
	}
	raw, err := inflate(stored.Packed, stored.Size)
	if err != nil {
		return nil, err
	}
	if hashOf(raw) != stored.SHA256 {
		return nil, errors.Errorf("config: text of revision %d doesn't have its hash", rev)
	}
	return raw, nil
}

// History returns accepted revisions, newest first.
func (s *Store) History(ctx context.Context, limit int) ([]Entry, error) {
	rows, err := s.opts.Table.List(ctx, historyPrefix, limit)
	if err != nil {
		return nil, err
	}
	entries := make([]Entry, 0, len(rows))
	for _, row := range rows {
		var entry Entry
		if err := json.Unmarshal(row.Value, &entry); err != nil {
			return nil, errors.Wrapf(err, "config: row %s", row.Key)
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// Entry returns the history entry of one accepted revision, backing.ErrNotFound
// if there is none.
func (s *Store) Entry(ctx context.Context, rev types.Revision) (Entry, error) {
	return s.entry(ctx, rev)
}

func (s *Store) entry(ctx context.Context, rev types.Revision) (Entry, error) {
	row, err := s.opts.Table.Get(ctx, historyKey(rev))
	if err != nil {
		return Entry{}, err
	}
	var entry Entry
	return entry, errors.WithStack(json.Unmarshal(row.Value, &entry))
}

// head reads the head row and its version; both are zero if there is none.
func (s *Store) head(ctx context.Context) (Head, uint64, error) {
	row, err := s.opts.Table.Get(ctx, headKey)
	if errors.Is(err, backing.ErrNotFound) {
		return Head{}, 0, nil
	}
	if err != nil {
		return Head{}, 0, err
	}
	var head Head
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return Head{}, 0, errors.Wrap(err, "config: head row")
	}
	return head, row.Version, nil
}

func hashOf(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}
