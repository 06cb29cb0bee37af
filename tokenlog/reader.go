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
	DefaultFirstWave   = 3
	DefaultReadTimeout = 800 * time.Millisecond
	DefaultPatience    = 150 * time.Millisecond
)

// Client asks the sidecar at addr.
type Client interface {
	Lookup(ctx context.Context, addr string, in *streampb.LookupRequest) (*streampb.LookupResponse, error)
	Read(ctx context.Context, addr string, in *journalpb.ReadRequest) (*journalpb.ReadResponse, error)
}

// ReaderOptions configures a Reader. Zero values take the defaults.
type ReaderOptions struct {
	Client    Client        // required
	FirstWave int           // peers that are asked at once; the others only if these don't hold it
	Timeout   time.Duration // of one wave
	Patience  time.Duration // once one peer holds it, the others may still bring a longer branch
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
	if opts.Patience == 0 {
		opts.Patience = DefaultPatience
	}
	return &Reader{opts: opts}
}

// FindError tells why no branch was found. It unwraps to ErrNotHeld,
// ErrTooShort, ErrDiverged or ErrUnsure. Best still names a runner if any peer
// knew one: a runner that lives holds more than its journal.
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

// answer is what one peer said.
type answer struct {
	addr string
	resp *journalpb.ReadResponse
	err  error
}

// Find returns the longest branch held by peers that continues what the caller
// has seen (want; Attempt 0 if it has seen nothing).
func (r *Reader) Find(ctx context.Context, want types.EventID, peers []string) (Branch, error) {
	s := search{want: want}
	first, rest := split(peers, r.opts.FirstWave)
	for _, wave := range [][]string{first, rest} {
		r.ask(ctx, wave, &s)
		if s.found {
			return s.best, nil
		}
	}
	return Branch{}, s.failure()
}

func split(peers []string, n int) (first, rest []string) {
	n = min(n, len(peers))
	return peers[:n], peers[n:]
}

// ask puts the question to all peers of a wave at once and returns when all
// have answered, the time is over, or patience with those behind has run out.
func (r *Reader) ask(ctx context.Context, wave []string, s *search) {
	ctx, cancel := context.WithTimeout(ctx, r.opts.Timeout)
	defer cancel()
	answers := make(chan answer, len(wave))
	for _, addr := range wave {
		go func() {
			resp, err := r.opts.Client.Read(ctx, addr, s.request())
			answers <- answer{addr: addr, resp: resp, err: err}
		}()
	}
	var enough <-chan time.Time
	waiting := append([]string(nil), wave...)
	for len(waiting) > 0 {
		select {
		case a := <-answers:
			waiting = without(waiting, a.addr)
			s.note(a)
		case <-ctx.Done():
			s.unreachable = append(s.unreachable, waiting...)
			return
		case <-enough:
			return
		}
		if s.found && enough == nil {
			enough = time.After(r.opts.Patience)
		}
	}
}

func without(list []string, gone string) []string {
	out := list[:0]
	for _, s := range list {
		if s != gone {
			out = append(out, s)
		}
	}
	return out
}

// search gathers the answers of all waves.
type search struct {
	want        types.EventID
	best        Branch // longest if found, else the one that knows most
	found       bool
	reason      error
	unreachable []string
}

func (s *search) request() *journalpb.ReadRequest {
	return &journalpb.ReadRequest{
		Generation: s.want.Generation.String(), Attempt: uint32(s.want.Attempt), Index: uint32(s.want.Index),
	}
}

func (s *search) note(a answer) {
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
		s.take(b)
	case journalpb.ReadStatus_READ_TOO_SHORT:
		s.miss(ErrTooShort, b)
	case journalpb.ReadStatus_READ_DIVERGED:
		s.miss(ErrDiverged, b)
	case journalpb.ReadStatus_READ_NOT_HELD:
		s.miss(ErrNotHeld, b)
	default:
		s.unreachable = append(s.unreachable, a.addr)
	}
}

// take keeps the longer branch. It checks again what the store promised: a
// branch without the caller's last token is never used, whoever sent it.
func (s *search) take(b Branch) {
	if len(b.Tokens) < seen(s.want) || (s.want.Attempt != 0 && !b.Lineage.Produced(s.want.Attempt, s.want.Index)) {
		s.miss(ErrDiverged, Branch{})
		return
	}
	if !s.found || (s.best.Finish == "" && (b.Finish != "" || len(b.Tokens) > len(s.best.Tokens))) {
		s.best = b
	}
	s.found = true
}

// knowledge ranks what failed answers prove about a generation.
var knowledge = map[error]int{nil: 0, ErrNotHeld: 1, ErrDiverged: 2, ErrTooShort: 3}

func (s *search) miss(reason error, b Branch) {
	if s.found || knowledge[reason] < knowledge[s.reason] {
		return
	}
	if knowledge[reason] > knowledge[s.reason] || b.Held > s.best.Held {
		s.best = b
	}
	s.reason = reason
}

func (s *search) failure() error {
	reason := s.reason
	if len(s.unreachable) > 0 || reason == nil {
		reason = ErrUnsure
	}
	return &FindError{Reason: reason, Best: s.best, Unreachable: s.unreachable}
}

// KeyFound is what the peers know of a request key.
type KeyFound struct {
	Generation types.GenerationID
	Known      bool   // false: it is the reservation that this call made
	Runner     string // empty if the generation is only reserved
	Finish     types.FinishReason
}

// ErrNoPeers: no journal peer answered a key lookup, so the key isn't noted.
var ErrNoPeers = errors.New("journal: no peer answered")

// FindKey returns the generation of a request key, noting reserve for it if none
// is known. All peers are asked at once. A generation with a runner wins over a
// reservation, then the peer that comes first in rendezvous order decides, so
// two routers that ask at once agree whenever both reach that peer. If they
// don't, two generations run: that costs an engine's work, but their tokens
// can't be mixed, as they have different ids.
func (r *Reader) FindKey(ctx context.Context, reserve types.GenerationID, peers []string) (KeyFound, error) {
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
		return KeyFound{}, ErrNoPeers
	}
	id, err := types.ParseGenerationID(chosen.GetGeneration())
	if err != nil {
		return KeyFound{}, errors.Wrap(err, "journal lookup")
	}
	return KeyFound{
		Generation: id, Known: id != reserve, Runner: chosen.GetRunner(), Finish: types.FinishReason(chosen.GetFinish()),
	}, nil
}

// lookupAll returns the peers' answers in the order of peers; nil for none. Once
// one has answered the others get no more than patience: a frozen peer must not
// add its timeout to the first token of every request that it is a peer of.
func (r *Reader) lookupAll(ctx context.Context, reserve types.GenerationID, peers []string) []*streampb.LookupResponse {
	in := &streampb.LookupRequest{Key: uint64(reserve.Key), Reserve: reserve.String()}
	type indexed struct {
		i    int
		resp *streampb.LookupResponse
	}
	answers := make(chan indexed, len(peers))
	for i, addr := range peers {
		go func() {
			resp, err := r.opts.Client.Lookup(ctx, addr, in)
			if err != nil {
				resp = nil
			}
			answers <- indexed{i: i, resp: resp}
		}()
	}
	out := make([]*streampb.LookupResponse, len(peers))
	var enough <-chan time.Time
	for range peers {
		select {
		case a := <-answers:
			out[a.i] = a.resp
			if a.resp != nil && enough == nil {
				enough = time.After(r.opts.Patience)
			}
		case <-enough:
			return out
		case <-ctx.Done():
			return out
		}
	}
	return out
}
