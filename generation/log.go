package generation

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/types"
)

// ErrClosed is returned when a token is appended to a log that has ended, for
// example a late token of an engine that was frozen or whose attempt was cancelled.
var ErrClosed = errors.New("generation: log is closed")

// Phase says whether a log is running, or how it has ended.
type Phase int

// Phases of a log. Only a Running log accepts tokens.
const (
	Running   Phase = iota
	Finished        // the answer is complete
	Lost            // the engine died
	Cancelled       // the caller left, or the generation continues elsewhere
)

// String returns the phase as shown in logs and dumps.
func (p Phase) String() string {
	switch p {
	case Running:
		return "running"
	case Finished:
		return "finished"
	case Lost:
		return "lost"
	default:
		return "cancelled"
	}
}

// State is a consistent snapshot of a log.
type State struct {
	Tokens  []types.Token // from the requested index on; must not be modified
	Count   int           // number of tokens in the whole log
	Phase   Phase
	Finish  types.FinishReason // set when Finished
	Cause   error              // set when Lost
	Last    time.Time          // when the latest token was appended; zero if none was
	Moving  bool               // the backend server is leaving; readers should resume elsewhere
	Changed <-chan struct{}    // closed at the next change
}

// Log holds the tokens of one attempt at a generation, including those that it was
// resumed after.
type Log struct {
	id      types.GenerationID
	lineage types.Lineage

	mu        sync.Mutex // guards all below
	tokens    []types.Token
	phase     Phase
	finish    types.FinishReason
	cause     error
	moving    bool
	lastToken time.Time
	changed   chan struct{}
}

// NewLog returns a running log that starts with the tokens already emitted.
func NewLog(id types.GenerationID, lineage types.Lineage, emitted []types.Token) *Log {
	tokens := append([]types.Token(nil), emitted...)
	return &Log{id: id, lineage: lineage, tokens: tokens, changed: make(chan struct{})}
}

// ID returns the generation's id.
func (l *Log) ID() types.GenerationID { return l.id }

// Lineage returns the attempts that produced the tokens. It never changes.
func (l *Log) Lineage() types.Lineage { return l.lineage }

// Append appends one token, or returns ErrClosed if the log has ended.
func (l *Log) Append(token types.Token) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.phase != Running {
		return ErrClosed
	}
	l.tokens = append(l.tokens, token)
	l.lastToken = time.Now()
	l.notifyLocked()
	return nil
}

// Finish ends a complete log. It reports whether the log was still running.
func (l *Log) Finish(reason types.FinishReason) bool {
	return l.endWith(Finished, func() { l.finish = reason })
}

// Lose ends the log because its engine died. It reports whether the log was still
// running.
func (l *Log) Lose(cause error) bool {
	return l.endWith(Lost, func() { l.cause = cause })
}

// Cancel ends the log because nobody needs the rest. It reports whether the log was
// still running.
func (l *Log) Cancel() bool { return l.endWith(Cancelled, func() {}) }

// RequestMove asks the readers to resume elsewhere. The log runs on until it is cancelled.
func (l *Log) RequestMove() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.phase != Running || l.moving {
		return
	}
	l.moving = true
	l.notifyLocked()
}

// Snapshot returns the state with the tokens from index from on.
func (l *Log) Snapshot(from int) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	start := min(max(from, 0), len(l.tokens))
	return State{
		Tokens:  l.tokens[start:len(l.tokens):len(l.tokens)],
		Count:   len(l.tokens),
		Phase:   l.phase,
		Finish:  l.finish,
		Cause:   l.cause,
		Last:    l.lastToken,
		Moving:  l.moving,
		Changed: l.changed,
	}
}

func (l *Log) endWith(phase Phase, set func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.phase != Running {
		return false
	}
	l.phase = phase
	set()
	l.notifyLocked()
	return true
}

// notifyLocked wakes the readers that wait for a change. l.mu must be held.
func (l *Log) notifyLocked() {
	close(l.changed)
	l.changed = make(chan struct{})
}
