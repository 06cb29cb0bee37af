package event

import (
	"fmt"
	"sort"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"
)

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

// FieldRequests is that of an event about several: `ID@SERVER,ID@SERVER`.
const FieldRequests = "requests"

// FieldEndedBy is the field of a request's last line that names the side that
// ended it; the values are package exchange's.
const FieldEndedBy = "ended_by"

// Separators within FieldRequests.
const (
	AtServer        = "@"
	BetweenRequests = ","
)

// DefaultRingSize is how many events a process keeps in memory.
const DefaultRingSize = 4096

// discardRingSize is the ring of a recorder that logs nowhere.
const discardRingSize = 256

// Recorder logs events, counts them by kind and keeps the newest ones in a ring
// of fixed size. Requests emit events side by side, so it takes no lock: each
// event claims a slot of the ring by an atomic counter.
type Recorder struct {
	logger log.Logger
	now    func() time.Time
	counts *prometheus.CounterVec

	ring []atomic.Pointer[slot]
	next atomic.Uint64 // sequence number of the next event
}

// slot is a kept event with its sequence number, by which readers restore the order.
type slot struct {
	sequence uint64
	entry    Entry
}

// NewRecorder returns a recorder that writes to logger and keeps size events.
func NewRecorder(logger log.Logger, size int) *Recorder {
	counts := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pearyard_events_total",
		Help: "Events by number; docs/EVENTS.md says what each means.",
	}, []string{"event"})
	return &Recorder{logger: logger, now: time.Now, counts: counts, ring: make([]atomic.Pointer[slot], max(size, 1))}
}

// Discard returns a recorder that logs nowhere but still keeps its ring.
func Discard() *Recorder { return NewRecorder(log.NewNopLogger(), discardRingSize) }

// Register exports the counters on reg. Every kind of the catalogue starts at
// 0, so that a rate over the first event of a kind is not lost.
func (r *Recorder) Register(reg prometheus.Registerer) error {
	for _, kind := range Catalogue() {
		r.counts.WithLabelValues(kind.ID())
	}
	return reg.Register(r.counts)
}

// Emit records one event with alternating field names and values.
func (r *Recorder) Emit(kind Kind, keyvals ...any) {
	entry := Entry{At: r.now(), ID: kind.ID(), Name: kind.Name, Level: kind.Level, Fields: fields(keyvals)}
	r.keep(entry)
	r.counts.WithLabelValues(entry.ID).Inc()
	line := append([]any{"event", entry.ID, "name", kind.Name}, keyvals...)
	_ = leveled(r.logger, kind.Level).Log(line...)
}

func (r *Recorder) keep(entry Entry) {
	sequence := r.next.Add(1) - 1
	r.ring[sequence%uint64(len(r.ring))].Store(&slot{sequence: sequence, entry: entry})
}

// Overwritten returns how many events the ring has lost to newer ones.
func (r *Recorder) Overwritten() uint64 {
	emitted := r.next.Load()
	return emitted - min(emitted, uint64(len(r.ring)))
}

// Entries returns the kept events, oldest first; request filters by
// FieldRequest unless it is empty.
func (r *Recorder) Entries(request string) []Entry {
	kept := make([]*slot, 0, len(r.ring))
	for i := range r.ring {
		s := r.ring[i].Load()
		if s != nil && (request == "" || s.entry.Fields[FieldRequest] == request) {
			kept = append(kept, s)
		}
	}
	sort.Slice(kept, func(i, j int) bool { return kept[i].sequence < kept[j].sequence })
	out := make([]Entry, len(kept))
	for i, s := range kept {
		out[i] = s.entry
	}
	return out
}

// fields pairs names with values; a name left without a value gets an empty one.
func fields(keyvals []any) map[string]string {
	out := make(map[string]string, (len(keyvals)+1)/2)
	for i := 0; i < len(keyvals); i += 2 {
		value := ""
		if i+1 < len(keyvals) {
			value = fmt.Sprint(keyvals[i+1])
		}
		out[fmt.Sprint(keyvals[i])] = value
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
