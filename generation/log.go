package generation

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/types"
)

// ErrClosed: the log has ended; a late token of a thawed or cancelled engine
// is dropped here.
var ErrClosed = errors.New("generation: log is closed")

// Phase is where a log stands.
type Phase int

// Phases of a log. Only a Running log takes tokens.
const (
	Running Phase = iota
	Finished
	Lost      // the engine died under it
	Cancelled // the caller left, or the generation moved elsewhere
)

// String returns the phase as logs and dumps show it.
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

// State is one consistent look at a log.
type State struct {
	Tokens  []types.Token // from the index that was asked for on; not to be changed
	Count   int           // tokens in the whole log
	Phase   Phase
	Finish  types.FinishReason // set when Finished
	Cause   error              // set when Lost
	Last    time.Time          // when the newest token came; zero if none did
	Moving  bool               // the backend server is leaving; resume elsewhere
	Changed <-chan struct{}    // closed at the next change
}

// Log holds the tokens of one attempt at a generation, those that it resumed
// from included.
type Log struct {
	id      types.GenerationID
	lineage types.Lineage

	mu      sync.Mutex // guards all below
	tokens  []types.Token
	phase   Phase
	finish  types.FinishReason
	cause   error
	moving  bool
	last    time.Time
	changed chan struct{}
}

// NewLog returns a running log that begins with the tokens already emitted.
func NewLog(id types.GenerationID, lineage types.Lineage, emitted []types.Token) *Log {
	tokens := append([]types.Token(nil), emitted...)
	return &Log{id: id, lineage: lineage, tokens: tokens, changed: make(chan struct{})}
}

// ID returns the generation's id.
func (l *Log) ID() types.GenerationID { return l.id }

// Lineage returns the attempts that the tokens came from. It never changes.
func (l *Log) Lineage() types.Lineage { return l.lineage }

// Append adds one token, or returns ErrClosed.
func (l *Log) Append(token types.Token) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.phase != Running {
		return ErrClosed
	}
	l.tokens = append(l.tokens, token)
	l.last = time.Now()
	l.wake()
	return nil
}

// Finish ends the log whole. It reports whether the log was still running.
func (l *Log) Finish(reason types.FinishReason) bool {
	return l.end(Finished, func() { l.finish = reason })
}

// Lose ends the log because its engine died.
func (l *Log) Lose(cause error) bool {
	return l.end(Lost, func() { l.cause = cause })
}

// Cancel ends the log because nobody wants the rest.
func (l *Log) Cancel() bool { return l.end(Cancelled, func() {}) }

// Move asks the readers to resume elsewhere; the log runs on until it is cancelled.
func (l *Log) Move() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.phase != Running || l.moving {
		return
	}
	l.moving = true
	l.wake()
}

// Look returns the state with the tokens from index from on.
func (l *Log) Look(from int) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	start := min(max(from, 0), len(l.tokens))
	return State{
		Tokens:  l.tokens[start:len(l.tokens):len(l.tokens)],
		Count:   len(l.tokens),
		Phase:   l.phase,
		Finish:  l.finish,
		Cause:   l.cause,
		Last:    l.last,
		Moving:  l.moving,
		Changed: l.changed,
	}
}

func (l *Log) end(phase Phase, set func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.phase != Running {
		return false
	}
	l.phase = phase
	set()
	l.wake()
	return true
}

// wake must be called with mu held.
func (l *Log) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}
