package streamversion

import (
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a stream of a service among entry VMs.
type Key struct {
	Service uint32 // hash of the service's name
	Stream  uint64 // see StreamID
}

// StreamID identifies the stream that a caller's attempt began. Another organisation can't
// name it: the same attempt id of two organisations gives two ids.
func StreamID(organisation, attempt string) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(organisation)
	_, _ = h.WriteString("\x00" + attempt)
	return h.Sum64()
}

// Record says which version began a stream.
type Record struct {
	Key
	Version string
	Until   time.Time // when its caller stops to come back at the latest
	Own     bool      // this process has served the stream
}

// startPrefix begins what names a start in place of a version. No version of a list begins
// with it.
const startPrefix = "\x00"

// OfStart returns what a record has as its version while only the start of the server that
// began the stream is known, not its version.
func OfStart(start string) string { return startPrefix + start }

// StartOf returns the start that a record names in place of a version.
func StartOf(version string) (start string, ok bool) { return strings.CutPrefix(version, startPrefix) }

// maxRecords bounds a Table to about 6 MB. At 13 streams a second and VM, four VMs that know
// of each, and a minute until a record expires, there are 3,000.
const maxRecords = 1 << 16

// Table holds the records that a process knows.
type Table struct {
	mu      sync.Mutex
	records map[Key]Record
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: map[Key]Record{}} }

// Put adds a record. The version of a known record stays, unless it names a start: only the
// first event of a stream decides. Put returns false if the table is full.
func (t *Table) Put(r Record, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.records[r.Key]
	if known = known && old.Until.After(now); known {
		if _, unnamed := StartOf(old.Version); !unnamed {
			r.Version = old.Version
		}
		r.Own = r.Own || old.Own
		if old.Until.After(r.Until) {
			r.Until = old.Until
		}
	}
	if !known && len(t.records) >= maxRecords {
		t.expireLocked(now)
		if len(t.records) >= maxRecords {
			return false
		}
	}
	t.records[r.Key] = r
	return true
}

// Get returns the record of a stream.
func (t *Table) Get(k Key, now time.Time) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, known := t.records[k]
	return r, known && r.Until.After(now)
}

// Select returns the records for which a function holds.
func (t *Table) Select(now time.Time, wanted func(Record) bool) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []Record
	for _, r := range t.records {
		if r.Until.After(now) && wanted(r) {
			found = append(found, r)
		}
	}
	return found
}

// Expire drops the records that have expired and returns how many are left.
func (t *Table) Expire(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireLocked(now)
	return len(t.records)
}

func (t *Table) expireLocked(now time.Time) {
	for k, r := range t.records {
		if !r.Until.After(now) {
			delete(t.records, k)
		}
	}
}
