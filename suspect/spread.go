package suspect

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	suspectpb "github.com/pearyard/pearyard/rpc/suspect"
	"github.com/pearyard/pearyard/types"
)

const (
	// fanOut is how many peers are told of a death at once; each that learns
	// from it relays it to as many, and about one in e^fanOut is missed. Clearings
	// aren't urgent: they ride along or are pulled.
	fanOut = 8
	// pullEvery is how often a process asks one random peer for what it missed.
	pullEvery = time.Second
	// maxCalls bounds how many rounds of calls run side by side.
	maxCalls = 32
	// callTimeout bounds one exchange, grantTimeout one question to a home.
	callTimeout  = time.Second
	grantTimeout = 300 * time.Millisecond
)

// SpreaderOptions say whom a Spreader talks to. All fields but Dial are needed.
type SpreaderOptions struct {
	Self  string          // own address, as the peers' Peers name it
	Peers func() []string // addresses of the others, by membership
	// Dial returns the client of a peer; the daemons pass one made by package
	// peer, which stamps each call.
	Dial func(peer string) suspectpb.Suspects
}

// Spreader hands a ledger's news to peers at once and has them relay it, and
// asks the homes of suspects for runs. It needs no table service.
type Spreader struct {
	ledger *Ledger
	opts   SpreaderOptions

	renewing chan struct{} // holds one token during a round of renewing grants

	mu       sync.Mutex // guards the fields below
	pushed   uint64     // sequence number up to which the ledger's news was pushed
	seen     map[string]mark
	held     map[types.Fingerprint]struct{}
	released []types.Fingerprint
}

// mark is how far this process has read one peer's ledger.
type mark struct {
	life uint64
	seq  uint64
}

// NewSpreader ties a ledger to its peers.
func NewSpreader(ledger *Ledger, opts SpreaderOptions) *Spreader {
	s := &Spreader{
		ledger: ledger,
		opts:   opts,
		seen:   map[string]mark{},
		held:   map[types.Fingerprint]struct{}{},

		renewing: make(chan struct{}, 1),
	}
	giveBack := s.release
	ledger.giveBack.Store(&giveBack)
	return s
}

// Run spreads news until ctx ends. A push to a frozen peer must not hold up the
// next one, so each runs beside the others.
func (s *Spreader) Run(ctx context.Context) error {
	pull := time.NewTicker(pullEvery)
	defer pull.Stop()
	renew := time.NewTicker(grantRenew)
	defer renew.Stop()
	var calls errgroup.Group
	calls.SetLimit(maxCalls)
	start := func(call func(context.Context)) {
		calls.Go(func() error {
			call(ctx)
			return nil
		})
	}
	for {
		select {
		case <-ctx.Done():
			return calls.Wait()
		case <-s.ledger.news:
			start(s.push)
			start(s.renew)
		case <-renew.C:
			start(s.renew)
		case <-pull.C:
			start(s.pull)
		}
	}
}

// push hands news to a few random peers, each of which relays it once.
func (s *Spreader) push(ctx context.Context) {
	s.mu.Lock()
	entries, next := s.ledger.Deltas(s.pushed)
	s.pushed = next
	s.mu.Unlock()
	if len(entries) == 0 {
		return
	}
	var group errgroup.Group
	for _, peer := range s.sample(fanOut) {
		group.Go(func() error {
			s.exchange(ctx, peer, entries, false)
			return nil
		})
	}
	_ = group.Wait()
}

func (s *Spreader) pull(ctx context.Context) {
	for _, peer := range s.sample(1) {
		s.exchange(ctx, peer, nil, true)
	}
}

func (s *Spreader) exchange(ctx context.Context, peer string, entries []Entry, pull bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.mu.Lock()
	from := s.seen[peer]
	s.mu.Unlock()
	answer, err := s.opts.Dial(peer).Exchange(ctx, &suspectpb.ExchangeRequest{
		Sender: s.opts.Self, Entries: toWire(entries), Pull: pull, Since: from.seq, Ledger: from.life,
	})
	if err != nil {
		s.ledger.metrics.pushes.WithLabelValues("failed").Inc()
		s.ledger.opts.Recorder.Emit(eventPeer, "peer", peer, "error", err)
		return
	}
	s.ledger.metrics.pushes.WithLabelValues("done").Inc()
	if !pull {
		return
	}
	s.ledger.Merge(fromWire(answer.GetEntries()))
	s.mu.Lock()
	s.seen[peer] = mark{life: answer.GetLedger(), seq: answer.GetNext()}
	s.mu.Unlock()
}

// sample draws n of the peers without repeats.
func (s *Spreader) sample(n int) []string {
	peers := s.opts.Peers()
	out := make([]string, 0, n)
	for _, i := range rand.Perm(len(peers)) {
		if peers[i] != s.opts.Self && len(out) < n {
			out = append(out, peers[i])
		}
	}
	return out
}

// order sorts this process and its peers by rendezvous hash of a fingerprint.
// The first is the fingerprint's home; every process that sees the same
// members finds the same one.
func (s *Spreader) order(fp types.Fingerprint) []string {
	all := append([]string{s.opts.Self}, s.opts.Peers()...)
	weight := make(map[string]uint64, len(all))
	unique := all[:0]
	for _, peer := range all {
		if _, twice := weight[peer]; twice {
			continue
		}
		weight[peer] = xxhash.Sum64String(peer + "/" + fp.String())
		unique = append(unique, peer)
	}
	sort.Slice(unique, func(i, j int) bool { return weight[unique[i]] > weight[unique[j]] })
	return unique
}

func (s *Spreader) askPeer(ctx context.Context, peer string, q request) (bool, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	answer, err := s.opts.Dial(peer).Grant(ctx, &suspectpb.GrantRequest{
		Fingerprint: uint64(q.fp), Holder: q.holder, Running: q.running, Release: q.release,
	})
	if err != nil {
		s.ledger.opts.Recorder.Emit(eventPeer, "peer", peer, "error", err)
		return false, 0, err
	}
	return answer.GetGranted(), time.Duration(answer.GetRetryAfterNano()), nil
}
