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

// Entry is one recorded event.
type Entry struct {
	At     time.Time         `json:"at"`
	ID     string            `json:"id"`
	Name   string            `json:"name"`
	Level  Level             `json:"level"`
	Fields map[string]string `json:"fields,omitempty"`
}

// FieldRequest is the name of the field that holds the ID of the request an event belongs
// to; `pearyard explain` collects events by it.
const FieldRequest = "request"

// FieldRequests is the name of the field of an event about several requests, in the form
// `ID@SERVER,ID@SERVER`.
const FieldRequests = "requests"

// FieldEndedBy is the name of the field of a request's last event that tells which side
// ended the request; package exchange defines the values.
const FieldEndedBy = "ended_by"

// Separators within FieldRequests.
const (
	ServerSeparator  = "@"
	RequestSeparator = ","
)

// DefaultRingSize is how many events a process keeps in memory by default.
const DefaultRingSize = 4096

// discardRingSize is the ring size of a recorder returned by Discard.
const discardRingSize = 256

// Recorder logs events, counts them by kind and keeps the newest ones in a ring buffer of
// fixed size. Requests emit events concurrently, so the ring uses no lock: each event
// claims a slot through an atomic counter.
type Recorder struct {
	logger log.Logger
	now    func() time.Time
	counts *prometheus.CounterVec

	ring []atomic.Pointer[slot]
	next atomic.Uint64 // sequence number of the next event
}

// slot is a recorded event with its sequence number, by which Entries restores the order.
type slot struct {
	sequence uint64
	entry    Entry
}

// NewRecorder returns a recorder that logs to logger and keeps the newest size events.
func NewRecorder(logger log.Logger, size int) *Recorder {
	counts := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pearyard_events_total",
		Help: "Events by number; docs/EVENTS.md says what each means.",
	}, []string{"event"})
	return &Recorder{logger: logger, now: time.Now, counts: counts, ring: make([]atomic.Pointer[slot], max(size, 1))}
}

// Discard returns a recorder that logs nothing but keeps its events.
func Discard() *Recorder { return NewRecorder(log.NewNopLogger(), discardRingSize) }

// Register registers the counters with reg. The counter of every kind in the catalogue
// starts at 0, so that a rate includes the first event of a kind.
func (r *Recorder) Register(reg prometheus.Registerer) error {
	for _, kind := range Catalogue() {
		r.counts.WithLabelValues(kind.ID())
	}
	return reg.Register(r.counts)
}

// Emit records an event with alternating field names and values.
func (r *Recorder) Emit(kind Kind, keyvals ...any) {
	entry := Entry{At: r.now(), ID: kind.ID(), Name: kind.Name, Level: kind.Level, Fields: fields(keyvals)}
	r.store(entry)
	r.counts.WithLabelValues(entry.ID).Inc()
	line := append([]any{"event", entry.ID, "name", kind.Name}, keyvals...)
	_ = withLevel(r.logger, kind.Level).Log(line...)
}

func (r *Recorder) store(entry Entry) {
	sequence := r.next.Add(1) - 1
	r.ring[sequence%uint64(len(r.ring))].Store(&slot{sequence: sequence, entry: entry})
}

// Overwritten returns how many events have been overwritten by newer ones.
func (r *Recorder) Overwritten() uint64 {
	emitted := r.next.Load()
	return emitted - min(emitted, uint64(len(r.ring)))
}

// Entries returns the recorded events, oldest first. Unless request is empty, it returns
// only those whose FieldRequest equals it.
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

// fields pairs names with values; a name without a value gets an empty one.
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

func withLevel(logger log.Logger, lvl Level) log.Logger {
	switch lvl {
	case Error:
		return level.Error(logger)
	case Warn:
		return level.Warn(logger)
	default:
		return level.Info(logger)
	}
}
