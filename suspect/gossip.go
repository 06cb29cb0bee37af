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
	// fanout is the number of peers that a death is pushed to. Each peer that
	// learns of it pushes it to as many, and about one in e^fanout is missed.
	// Cleared deaths aren't urgent: they are sent with the next push or pulled.
	fanout = 8
	// pullInterval is how often a process pulls missed changes from a random peer.
	pullInterval = time.Second
	// maxConcurrentCalls bounds the concurrent rounds of calls, and the concurrent
	// calls of a round that renews grants.
	maxConcurrentCalls = 32
	// callTimeout bounds an Exchange call, grantTimeout a Grant call.
	callTimeout  = time.Second
	grantTimeout = 300 * time.Millisecond
)

// GossiperOptions configures a Gossiper. Self and Peers are required, and Dial too
// unless Peers is always empty.
type GossiperOptions struct {
	Self  string          // own address, as returned by the peers' Peers
	Peers func() []string // addresses of the other members
	// Dial returns the client of a peer. The daemons use one made by package peer,
	// which stamps each call.
	Dial func(peer string) suspectpb.Suspects
}

// Gossiper pushes a ledger's changes to peers, which relay them, and requests
// grants for runs of suspects from their coordinators. It doesn't depend on the
// table service.
type Gossiper struct {
	ledger *Ledger
	opts   GossiperOptions

	renewing chan struct{} // semaphore that serializes rounds of renew

	mu        sync.Mutex                     // guards the fields below
	pushedSeq uint64                         // sequence number up to which the ledger's changes were pushed
	cursors   map[string]cursor              // by peer
	held      map[types.Fingerprint]struct{} // runs to claim in the next round of renew
	released  []types.Fingerprint            // runs to release in the next round of renew
}

// cursor is the position up to which a peer's ledger was pulled.
type cursor struct {
	instance uint64 // Ledger.instance of the peer
	seq      uint64
}

// NewGossiper returns a Gossiper for a ledger. A ledger can have only one.
func NewGossiper(ledger *Ledger, opts GossiperOptions) *Gossiper {
	s := &Gossiper{
		ledger:  ledger,
		opts:    opts,
		cursors: map[string]cursor{},
		held:    map[types.Fingerprint]struct{}{},

		renewing: make(chan struct{}, 1),
	}
	release := s.release
	ledger.releaseGrant.Store(&release)
	return s
}

// Run pushes and pulls changes and renews grants until ctx ends. Rounds run
// concurrently, so that a frozen peer doesn't delay the next push.
func (s *Gossiper) Run(ctx context.Context) error {
	pull := time.NewTicker(pullInterval)
	defer pull.Stop()
	renew := time.NewTicker(grantRenewInterval)
	defer renew.Stop()
	var calls errgroup.Group
	calls.SetLimit(maxConcurrentCalls)
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
		case <-s.ledger.changed:
			start(s.push)
			start(s.renew)
		case <-renew.C:
			start(s.renew)
		case <-pull.C:
			start(s.pull)
		}
	}
}

// push sends new changes to a few random peers, each of which relays them once.
func (s *Gossiper) push(ctx context.Context) {
	s.mu.Lock()
	entries, next := s.ledger.Deltas(s.pushedSeq)
	s.pushedSeq = next
	s.mu.Unlock()
	if len(entries) == 0 {
		return
	}
	var group errgroup.Group
	for _, peer := range s.randomPeers(fanout) {
		group.Go(func() error {
			s.exchange(ctx, peer, entries, false)
			return nil
		})
	}
	_ = group.Wait()
}

// pull fetches changes from a random peer.
func (s *Gossiper) pull(ctx context.Context) {
	for _, peer := range s.randomPeers(1) {
		s.exchange(ctx, peer, nil, true)
	}
}

// exchange sends entries to a peer. If pull is set, it also fetches and merges the
// peer's changes.
func (s *Gossiper) exchange(ctx context.Context, peer string, entries []Entry, pull bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.mu.Lock()
	position := s.cursors[peer]
	s.mu.Unlock()
	answer, err := s.opts.Dial(peer).Exchange(ctx, &suspectpb.ExchangeRequest{
		Sender: s.opts.Self, Entries: toWire(entries), Pull: pull, Since: position.seq, Ledger: position.instance,
	})
	if err != nil {
		s.ledger.metrics.exchanges.WithLabelValues("failed").Inc()
		s.ledger.opts.Recorder.Emit(eventPeer, "peer", peer, "error", err)
		return
	}
	s.ledger.metrics.exchanges.WithLabelValues("done").Inc()
	if !pull {
		return
	}
	s.ledger.Merge(fromWire(answer.GetEntries()))
	s.mu.Lock()
	s.cursors[peer] = cursor{instance: answer.GetLedger(), seq: answer.GetNext()}
	s.mu.Unlock()
}

// randomPeers returns n distinct random peers, or all if there are fewer.
func (s *Gossiper) randomPeers(n int) []string {
	peers := s.opts.Peers()
	out := make([]string, 0, n)
	for _, i := range rand.Perm(len(peers)) {
		if peers[i] != s.opts.Self && len(out) < n {
			out = append(out, peers[i])
		}
	}
	return out
}

// rendezvousOrder returns this process and its peers, sorted by their rendezvous
// hash with a fingerprint. The first one is the fingerprint's coordinator.
// Processes that see the same members choose the same coordinator.
func (s *Gossiper) rendezvousOrder(fp types.Fingerprint) []string {
	all := append([]string{s.opts.Self}, s.opts.Peers()...)
	weight := make(map[string]uint64, len(all))
	unique := all[:0]
	for _, peer := range all {
		if _, duplicate := weight[peer]; duplicate {
			continue
		}
		weight[peer] = xxhash.Sum64String(peer + "/" + fp.String())
		unique = append(unique, peer)
	}
	sort.Slice(unique, func(i, j int) bool { return weight[unique[i]] > weight[unique[j]] })
	return unique
}

// requestGrantFrom sends a request to the coordinator at peer.
func (s *Gossiper) requestGrantFrom(ctx context.Context, peer string, q grantRequest) (bool, time.Duration, error) {
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
