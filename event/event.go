// Package event keeps the numbered events that explain to an operator, and to
// a vendor without access, what a process did. Each concern defines its events
// in its own events.go; docs/EVENTS.md is the catalogue of all of them.
package event

import (
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Level is the weight of an event.
type Level string

// Levels of events.
const (
	Info  Level = "info"
	Warn  Level = "warn"
	Error Level = "error"
)

// Kind is one numbered event of the catalogue.
type Kind struct {
	Number int    // unique; ranges by concern are listed in docs/EVENTS.md
	Name   string // snake_case, stable
	Level  Level
	Means  string // what happened
	Do     string // what an operator may do; "nothing" where nothing is needed
}

// ID returns the event's number as operators see it, such as PY2101.
func (k Kind) ID() string { return fmt.Sprintf("PY%04d", k.Number) }

var (
	catalogueMu sync.Mutex
	catalogue   = map[int]Kind{}
)

// Define adds a kind to the catalogue. It panics on a number used twice: that
// is a mistake in the program, found by any test that loads the package.
func Define(number int, name string, lvl Level, means, do string) Kind {
	catalogueMu.Lock()
	defer catalogueMu.Unlock()
	if old, ok := catalogue[number]; ok {
		panic(fmt.Sprintf("event PY%04d is %s and %s", number, old.Name, name))
	}
	kind := Kind{Number: number, Name: name, Level: lvl, Means: means, Do: do}
	catalogue[number] = kind
	return kind
}

// Catalogue returns every defined kind by number.
func Catalogue() []Kind {
	catalogueMu.Lock()
	defer catalogueMu.Unlock()
	kinds := make([]Kind, 0, len(catalogue))
	for _, k := range catalogue {
		kinds = append(kinds, k)
	}
	sort.Slice(kinds, func(i, j int) bool { return kinds[i].Number < kinds[j].Number })
	return kinds
}

// Entry is one event that happened, kept in a process's ring.
type Entry struct {
	At     time.Time         `json:"at"`
	ID     string            `json:"id"`
	Name   string            `json:"name"`
	Level  Level             `json:"level"`
	Fields map[string]string `json:"fields,omitempty"`
}

// FieldRequest is the field name under which an event carries the request it
// belongs to; `pearyard explain` collects events by it.
const FieldRequest = "request"

// DefaultRingSize is how many events a process keeps in memory.
const DefaultRingSize = 4096

// Recorder logs events and keeps the newest ones in a ring of fixed size.
type Recorder struct {
	logger log.Logger
	now    func() time.Time

	mu   sync.Mutex // guards ring and next
	ring []Entry
	next int
}

// NewRecorder returns a recorder that writes to logger and keeps size events.
func NewRecorder(logger log.Logger, size int) *Recorder {
	return &Recorder{logger: logger, now: time.Now, ring: make([]Entry, 0, size)}
}

// Discard returns a recorder that logs nowhere but still keeps its ring.
func Discard() *Recorder { return NewRecorder(log.NewNopLogger(), 256) }

// Emit records one event with alternating field names and values.
func (r *Recorder) Emit(kind Kind, keyvals ...any) {
	entry := Entry{At: r.now(), ID: kind.ID(), Name: kind.Name, Level: kind.Level, Fields: fields(keyvals)}
	r.keep(entry)
	line := append([]any{"event", entry.ID, "name", kind.Name}, keyvals...)
	_ = leveled(r.logger, kind.Level).Log(line...)
}

func (r *Recorder) keep(entry Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ring) < cap(r.ring) {
		r.ring = append(r.ring, entry)
		return
	}
	r.ring[r.next] = entry
	r.next = (r.next + 1) % len(r.ring)
}

// Entries returns the kept events, oldest first; request filters by
// FieldRequest unless it is empty.
func (r *Recorder) Entries(request string) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Entry, 0, len(r.ring))
	for i := range r.ring {
		entry := r.ring[(r.next+i)%len(r.ring)]
		if request == "" || entry.Fields[FieldRequest] == request {
			out = append(out, entry)
		}
	}
	return out
}

func fields(keyvals []any) map[string]string {
	out := make(map[string]string, len(keyvals)/2)
	for i := 0; i+1 < len(keyvals); i += 2 {
		out[fmt.Sprint(keyvals[i])] = fmt.Sprint(keyvals[i+1])
	}
	return out
}

func leveled(logger log.Logger, lvl Level) log.Logger {
	switch lvl {
	case Error:
		return level.Error(logger)
	case Warn:
		return level.Warn(logger)
	default:
		return level.Info(logger)
	}
}
