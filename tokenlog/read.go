package tokenlog

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/rpc/journal"
	"github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/types"
)

var (
	// ErrNotHeld: nothing is known of the generation.
	ErrNotHeld = errors.New("journal: generation not held")
	// ErrTooShort: the journal holds fewer tokens of the caller's branch than the
	// caller has seen.
	ErrTooShort = errors.New("journal: fewer tokens held than the caller has seen")
	// ErrDiverged: no branch held contains the caller's last token; continuing any
	// of them would mix two attempts in one answer.
	ErrDiverged = errors.New("journal: no branch continues what the caller has seen")
	// ErrUnsure: not all peers could be asked, so it isn't proved that nobody holds it.
	ErrUnsure = errors.New("journal: peers unreachable, absence not proved")
)

// Branch is one attempt's answer so far.
type Branch struct {
	Generation types.GenerationID
	Lineage    types.Lineage
	Tokens     []types.Token
	Runner     string             // address of the sidecar that ran the attempt
	Finish     types.FinishReason // set if Tokens are the whole answer
	Held       int                // tokens held, also where Tokens is left out
}

// Tokens returns the branch that continues what the caller has seen: want names
// the attempt and index of its last token; with attempt 0 it has seen none.
// With ErrTooShort the branch still names its lineage and runner.
func (s *Store) Tokens(want types.EventID) (Branch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[want.Generation]
	if e == nil || len(e.branches) == 0 {
		return Branch{}, ErrNotHeld
	}
	b := e.choose(want)
	if b == nil {
		return Branch{}, ErrDiverged
	}
	out := b.describe(e.id)
	if b.log.len() < seen(want) {
		return out, ErrTooShort
	}
	out.Tokens = b.log.tokens()
	return out, nil
}

// seen is how many tokens a caller has that saw the one at want.Index.
func seen(want types.EventID) int {
	if want.Attempt == 0 {
		return 0
	}
	return want.Index + 1
}

// choose returns the best branch that has the caller's last token in its
// lineage. This is what keeps answers unmixed: an attempt's tag is random and
// has one lineage, so every branch that produced (attempt, index) agrees with
// the caller on all tokens up to index.
func (e *entry) choose(want types.EventID) *branch {
	var best *branch
	for _, b := range e.branches {
		if want.Attempt != 0 && !b.lineage.Produced(want.Attempt, want.Index) {
			continue
		}
		if best == nil || b.beats(best) {
			best = b
		}
	}
	return best
}

// beats prefers a whole answer, then the longer, then the more recent.
func (b *branch) beats(other *branch) bool {
	if b.whole() != other.whole() {
		return b.whole()
	}
	if b.log.len() != other.log.len() {
		return b.log.len() > other.log.len()
	}
	return b.lastSeen.After(other.lastSeen)
}

func (b *branch) describe(id types.GenerationID) Branch {
	out := Branch{Generation: id, Lineage: b.lineage, Runner: b.runner, Held: b.log.len()}
	if b.whole() {
		out.Finish = b.finish
	}
	return out
}

// Read serves Tokens over the wire.
func (s *Store) Read(in *journalpb.ReadRequest) (*journalpb.ReadResponse, error) {
	id, err := types.ParseGenerationID(in.GetGeneration())
	if err != nil {
		return nil, errors.Wrap(err, "journal read")
	}
	want := types.EventID{Generation: id, Attempt: types.AttemptTag(in.GetAttempt()), Index: int(in.GetIndex())}
	found, err := s.Tokens(want)
	status, ok := statusOf[err]
	if !ok {
		return nil, err
	}
	out := &journalpb.ReadResponse{
		Status: status, Lineage: lineageToWire(found.Lineage), Runner: found.Runner,
		Finish: string(found.Finish), Held: uint32(found.Held),
	}
	for _, t := range found.Tokens {
		out.Tokens = append(out.Tokens, &streampb.Token{Id: t.ID, Text: t.Text})
	}
	return out, nil
}

var statusOf = map[error]journalpb.ReadStatus{
	nil:         journalpb.ReadStatus_READ_HELD,
	ErrNotHeld:  journalpb.ReadStatus_READ_NOT_HELD,
	ErrTooShort: journalpb.ReadStatus_READ_TOO_SHORT,
	ErrDiverged: journalpb.ReadStatus_READ_DIVERGED,
}

// Lookup finds the generation of a request key, or describes a generation. If
// a key is unknown and in.Reserve names a generation, that one is noted: the
// first noted wins, so that an idempotency key sent twice attaches to the
// generation that runs. Found is false for a note just made.
func (s *Store) Lookup(in *streampb.LookupRequest) (*streampb.LookupResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if in.GetGeneration() != "" {
		id, err := types.ParseGenerationID(in.GetGeneration())
		if err != nil {
			return nil, errors.Wrap(err, "journal lookup")
		}
		return s.respond(id), nil
	}
	if id, ok := s.byKey[types.Key(in.GetKey())]; ok {
		return s.respond(id), nil
	}
	if in.GetReserve() == "" {
		return &streampb.LookupResponse{}, nil
	}
	return s.reserve(in)
}

func (s *Store) reserve(in *streampb.LookupRequest) (*streampb.LookupResponse, error) {
	id, err := types.ParseGenerationID(in.GetReserve())
	if err != nil || id.Key != types.Key(in.GetKey()) {
		return nil, fmt.Errorf("journal lookup: cannot note %q for key %016x", in.GetReserve(), in.GetKey())
	}
	e := s.obtain(id)
	s.touch(e)
	s.shrink()
	return &streampb.LookupResponse{Generation: in.GetReserve()}, nil
}

// respond describes the newest branch, without tokens: they are read with Read
// once it is known what the caller has seen.
func (s *Store) respond(id types.GenerationID) *streampb.LookupResponse {
	e := s.entries[id]
	if e == nil {
		return &streampb.LookupResponse{}
	}
	out := &streampb.LookupResponse{Found: true, Generation: id.String()}
	if len(e.branches) == 0 {
		return out
	}
	newest := e.branches[0]
	for _, b := range e.branches {
		if !b.lastSeen.Before(newest.lastSeen) {
			newest = b
		}
	}
	info := newest.describe(id)
	out.Runner, out.Finish, out.Lineage = info.Runner, string(info.Finish), lineageToWire(info.Lineage)
	return out
}
