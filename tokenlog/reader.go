package tokenlog

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/rpc/journal"
	"github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/types"
)

// Defaults of a Reader.
const (
	DefaultFirstWave        = 3
	DefaultReadTimeout      = 800 * time.Millisecond
	DefaultStragglerTimeout = 150 * time.Millisecond
)

// Client sends journal queries to the sidecar at addr.
type Client interface {
	Lookup(ctx context.Context, addr string, in *streampb.LookupRequest) (*streampb.LookupResponse, error)
	Read(ctx context.Context, addr string, in *journalpb.ReadRequest) (*journalpb.ReadResponse, error)
}

// ReaderOptions configures a Reader. Zero values take the defaults.
type ReaderOptions struct {
	Client           Client        // required
	FirstWave        int           // peers queried first; the others are queried only if none of these holds the generation
	Timeout          time.Duration // per wave
	StragglerTimeout time.Duration // wait for the other peers, which may hold a longer branch, after the first hit
}

// Reader finds journalled generations for a router.
type Reader struct{ opts ReaderOptions }

// NewReader returns a reader.
func NewReader(opts ReaderOptions) *Reader {
	if opts.FirstWave == 0 {
		opts.FirstWave = DefaultFirstWave
	}
	if opts.Timeout == 0 {
		opts.Timeout = DefaultReadTimeout
	}
	if opts.StragglerTimeout == 0 {
		opts.StragglerTimeout = DefaultStragglerTimeout
	}
	return &Reader{opts: opts}
}

// FindError reports why no branch was found. It unwraps to ErrNotHeld, ErrTooShort,
// ErrDiverged or ErrInconclusive. Best still names a runner if any peer knew one: a runner
// that is alive holds more than its journal.
type FindError struct {
	Reason      error
	Best        Branch
	Unreachable []string
}

// Error implements error.
func (e *FindError) Error() string {
	if len(e.Unreachable) == 0 {
		return e.Reason.Error()
	}
	return fmt.Sprintf("%v: %s", e.Reason, strings.Join(e.Unreachable, ", "))
}

// Unwrap returns the reason.
func (e *FindError) Unwrap() error { return e.Reason }

// reply is the result of querying one peer.
type reply struct {
	addr string
	resp *journalpb.ReadResponse
	err  error
}

// Find returns the branch held by peers that continues what the caller has seen: a
// complete answer if there is one, otherwise the longest. want is the caller's last token,
// with Attempt 0 if it has seen none. The error is a *FindError.
func (r *Reader) Find(ctx context.Context, want types.EventID, peers []string) (Branch, error) {
	s := search{want: want}
	first, rest := splitPeers(peers, r.opts.FirstWave)
	for _, wave := range [][]string{first, rest} {
		r.queryWave(ctx, wave, &s)
		if s.found {
			return s.best, nil
		}
	}
	return Branch{}, s.err()
}

func splitPeers(peers []string, n int) (first, rest []string) {
	n = min(n, len(peers))
	return peers[:n], peers[n:]
}

// queryWave queries all peers of a wave in parallel. It returns when all have replied, on
// timeout, or when the wait for slower peers after the first hit has run out.
func (r *Reader) queryWave(ctx context.Context, wave []string, s *search) {
	ctx, cancel := context.WithTimeout(ctx, r.opts.Timeout)
	defer cancel()
	replies := make(chan reply, len(wave))
	for _, addr := range wave {
		go func() {
			resp, err := r.opts.Client.Read(ctx, addr, s.request())
			replies <- reply{addr: addr, resp: resp, err: err}
		}()
	}
	var stragglerTimeout <-chan time.Time
	waiting := append([]string(nil), wave...)
	for len(waiting) > 0 {
		select {
		case a := <-replies:
			waiting = without(waiting, a.addr)
			s.recordReply(a)
		case <-ctx.Done():
			s.unreachable = append(s.unreachable, waiting...)
			return
		case <-stragglerTimeout:
			return
		}
		if s.found && stragglerTimeout == nil {
			stragglerTimeout = time.After(r.opts.StragglerTimeout)
		}
	}
}

// without removes an address from list in place.
func without(list []string, removed string) []string {
	out := list[:0]
	for _, s := range list {
		if s != removed {
			out = append(out, s)
		}
	}
	return out
}

// search accumulates the replies of all waves.
type search struct {
	want        types.EventID
	best        Branch // the longest if found, otherwise the most informative miss
	found       bool
	reason      error
	unreachable []string
}

func (s *search) request() *journalpb.ReadRequest {
	return &journalpb.ReadRequest{
		Generation: s.want.Generation.String(), Attempt: uint32(s.want.Attempt), Index: uint32(s.want.Index),
	}
}

func (s *search) recordReply(a reply) {
	if a.err != nil {
		s.unreachable = append(s.unreachable, a.addr)
		return
	}
	b := Branch{
		Generation: s.want.Generation, Lineage: lineageFromWire(a.resp.GetLineage()), Runner: a.resp.GetRunner(),
		Tokens: tokensFromWire(a.resp.GetTokens()), Finish: types.FinishReason(a.resp.GetFinish()), Held: int(a.resp.GetHeld()),
	}
	switch a.resp.GetStatus() {
	case journalpb.ReadStatus_READ_HELD:
		s.accept(b)
	case journalpb.ReadStatus_READ_TOO_SHORT:
		s.recordMiss(ErrTooShort, b)
	case journalpb.ReadStatus_READ_DIVERGED:
		s.recordMiss(ErrDiverged, b)
	case journalpb.ReadStatus_READ_NOT_HELD:
		s.recordMiss(ErrNotHeld, b)
	default:
		s.unreachable = append(s.unreachable, a.addr)
	}
}

// accept keeps a complete answer or else the longest branch. It verifies the store's
// reply: a branch that lacks the caller's last token is never used, whichever peer sent it.
func (s *search) accept(b Branch) {
	if len(b.Tokens) < tokensSeen(s.want) || (s.want.Attempt != 0 && !b.Lineage.Produced(s.want.Attempt, s.want.Index)) {
		s.recordMiss(ErrDiverged, Branch{})
		return
	}
	if !s.found || (s.best.Finish == "" && (b.Finish != "" || len(b.Tokens) > len(s.best.Tokens))) {
		s.best = b
	}
	s.found = true
}

// reasonRank orders the reasons for a miss by how much they say about a generation.
var reasonRank = map[error]int{nil: 0, ErrNotHeld: 1, ErrDiverged: 2, ErrTooShort: 3}

func (s *search) recordMiss(reason error, b Branch) {
	if s.found || reasonRank[reason] < reasonRank[s.reason] {
		return
	}
	if reasonRank[reason] > reasonRank[s.reason] || b.Held > s.best.Held {
		s.best = b
	}
	s.reason = reason
}

func (s *search) err() error {
	reason := s.reason
	if len(s.unreachable) > 0 || reason == nil {
		reason = ErrInconclusive
	}
	return &FindError{Reason: reason, Best: s.best, Unreachable: s.unreachable}
}

// KeyResult is the result of looking up a request key.
type KeyResult struct {
	Generation types.GenerationID
	Known      bool   // false if this call made the reservation
	Runner     string // empty if the generation is only reserved
	Finish     types.FinishReason
}

// ErrNoPeers means that no journal peer answered a key lookup, so the key isn't reserved.
var ErrNoPeers = errors.New("journal: no peer answered")

// FindKey returns the generation of a request key, and reserves the key for reserve if
// none is known. All peers are asked in parallel. A generation with a runner takes
// precedence over a reservation; otherwise the first peer in rendezvous order decides, so
// two routers that ask at the same time agree whenever both reach that peer. If they
// don't, two generations run: that costs engine time, but their tokens can't be mixed
// because their IDs differ.
func (r *Reader) FindKey(ctx context.Context, reserve types.GenerationID, peers []string) (KeyResult, error) {
	ctx, cancel := context.WithTimeout(ctx, r.opts.Timeout)
	defer cancel()
	responses := r.lookupAll(ctx, reserve, peers)
	var chosen *streampb.LookupResponse
	for _, resp := range responses {
		if resp != nil && (chosen == nil || (chosen.GetRunner() == "" && resp.GetRunner() != "")) {
			chosen = resp
		}
	}
	if chosen == nil {
		return KeyResult{}, ErrNoPeers
	}
	id, err := types.ParseGenerationID(chosen.GetGeneration())
	if err != nil {
		return KeyResult{}, errors.Wrap(err, "journal lookup")
	}
	return KeyResult{
		Generation: id, Known: id != reserve, Runner: chosen.GetRunner(), Finish: types.FinishReason(chosen.GetFinish()),
	}, nil
}

// lookupAll returns the peers' responses in the order of peers, nil for those that failed.
// After the first response the others get only StragglerTimeout, so that a frozen
// peer doesn't add its timeout to the time to first token of every request that it is a
// peer of.
func (r *Reader) lookupAll(ctx context.Context, reserve types.GenerationID, peers []string) []*streampb.LookupResponse {
	in := &streampb.LookupRequest{Key: uint64(reserve.Key), Reserve: reserve.String()}
	type indexed struct {
		i    int
		resp *streampb.LookupResponse
	}
	replies := make(chan indexed, len(peers))
	for i, addr := range peers {
		go func() {
			resp, err := r.opts.Client.Lookup(ctx, addr, in)
			if err != nil {
				resp = nil
			}
			replies <- indexed{i: i, resp: resp}
		}()
	}
	out := make([]*streampb.LookupResponse, len(peers))
	var stragglerTimeout <-chan time.Time
	for range peers {
		select {
		case a := <-replies:
			out[a.i] = a.resp
			if a.resp != nil && stragglerTimeout == nil {
				stragglerTimeout = time.After(r.opts.StragglerTimeout)
			}
		case <-stragglerTimeout:
			return out
		case <-ctx.Done():
			return out
		}
	}
	return out
}
