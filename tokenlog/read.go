package tokenlog

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/rpc/journal"
	"github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/types"
)

var (
	// ErrNotHeld means that the generation is unknown.
	ErrNotHeld = errors.New("journal: generation not held")
	// ErrTooShort means that the journal holds fewer tokens of the caller's branch than
	// the caller has seen.
	ErrTooShort = errors.New("journal: fewer tokens held than the caller has seen")
	// ErrDiverged means that no branch held contains the caller's last token; continuing
	// any of them would mix two attempts in one answer.
	ErrDiverged = errors.New("journal: no branch continues what the caller has seen")
	// ErrInconclusive means that not all peers could be asked, so the generation may still
	// be held by one of them.
	ErrInconclusive = errors.New("journal: peers unreachable, absence not proved")
)

// Branch is one attempt's answer as far as the journal holds it.
type Branch struct {
	Generation types.GenerationID
	Lineage    types.Lineage
	Tokens     []types.Token
	Runner     string             // address of the sidecar that ran the attempt
	Finish     types.FinishReason // set if Tokens is the complete answer
	Held       int                // number of tokens held, also if Tokens is omitted
}

// Tokens returns the branch that continues what the caller has seen. want names the
// attempt and index of the caller's last token; with attempt 0 it has seen none. With
// ErrTooShort the branch still names its lineage and runner.
func (s *Store) Tokens(want types.EventID) (Branch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[want.Generation]
	if e == nil || len(e.branches) == 0 {
		return Branch{}, ErrNotHeld
	}
	b := e.bestBranch(want)
	if b == nil {
		return Branch{}, ErrDiverged
	}
	out := b.describe(e.id)
	if b.log.len() < tokensSeen(want) {
		return out, ErrTooShort
	}
	out.Tokens = b.log.tokens()
	return out, nil
}

// tokensSeen returns the number of tokens that a caller has whose last one is want.
func tokensSeen(want types.EventID) int {
	if want.Attempt == 0 {
		return 0
	}
	return want.Index + 1
}

// bestBranch returns the best branch whose lineage includes the caller's last token. This
// keeps attempts from being mixed: an attempt's tag is random and has one lineage, so
// every branch that produced (attempt, index) agrees with the caller on all tokens up to
// index.
func (e *entry) bestBranch(want types.EventID) *branch {
	var best *branch
	for _, b := range e.branches {
		if want.Attempt != 0 && !b.lineage.Produced(want.Attempt, want.Index) {
			continue
		}
		if best == nil || b.preferredOver(best) {
			best = b
		}
	}
	return best
}

// preferredOver prefers a complete answer, then the longer branch, then the more recently
// updated one.
func (b *branch) preferredOver(other *branch) bool {
	if b.isComplete() != other.isComplete() {
		return b.isComplete()
	}
	if b.log.len() != other.log.len() {
		return b.log.len() > other.log.len()
	}
	return b.lastSeen.After(other.lastSeen)
}

func (b *branch) describe(id types.GenerationID) Branch {
	out := Branch{Generation: id, Lineage: b.lineage, Runner: b.runner, Held: b.log.len()}
	if b.isComplete() {
		out.Finish = b.finish
	}
	return out
}

// Read handles a request for Tokens from another process.
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

// Lookup finds the generation of a request key, or describes a generation. If the key is
// unknown and in.Reserve names a generation, the key is reserved for it: the first
// reservation wins, so that an idempotency key sent twice attaches to the running
// generation. Found is false for a reservation that this call made.
func (s *Store) Lookup(in *streampb.LookupRequest) (*streampb.LookupResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if in.GetGeneration() != "" {
		id, err := types.ParseGenerationID(in.GetGeneration())
		if err != nil {
			return nil, errors.Wrap(err, "journal lookup")
		}
		return s.lookupResponse(id), nil
	}
	if id, ok := s.byKey[types.Key(in.GetKey())]; ok {
		return s.lookupResponse(id), nil
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
	e := s.getOrCreate(id)
	s.touch(e)
	s.evict()
	return &streampb.LookupResponse{Generation: in.GetReserve()}, nil
}

// lookupResponse describes the most recently updated branch, without tokens: those are
// read with Read once it is known what the caller has seen.
func (s *Store) lookupResponse(id types.GenerationID) *streampb.LookupResponse {
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
