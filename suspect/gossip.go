package suspect

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	suspectpb "github.com/pearyard/pearyard/rpc/suspect"
	"github.com/pearyard/pearyard/types"
)

const (
	// fanout is the number of peers that a death is pushed to. Each peer that
	// learns of it pushes it to as many. About one peer in e^fanout, or 3000, isn't
	// reached and pulls it later. Cleared deaths aren't urgent: they are sent with
	// the next push or pulled.
	fanout = 8
	// pullInterval is how often a process pulls changes from a random peer, in case
	// no push reached it.
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
	// holdsGrants is set while heldGrants may not be empty. The end of each run asks for a
	// grant to release, and must take no lock that all requests share.
	holdsGrants atomic.Bool

	mu             sync.Mutex                     // guards the fields below
	pushedSeq      uint64                         // sequence number up to which the ledger's changes were pushed
	cursors        map[string]cursor              // by peer
	heldGrants     map[types.Fingerprint]struct{} // grants of this process, claimed in each round of renew
	releasedGrants []types.Fingerprint            // grants to release in the next round of renew
}

// cursor is the position up to which a peer's ledger was pulled.
type cursor struct {
	instance uint64 // Ledger.instance of the peer
	seq      uint64
}

// NewGossiper returns a Gossiper for a ledger. A ledger can have only one.
func NewGossiper(ledger *Ledger, opts GossiperOptions) *Gossiper {
	g := &Gossiper{
		ledger:     ledger,
		opts:       opts,
		cursors:    map[string]cursor{},
		heldGrants: map[types.Fingerprint]struct{}{},

		renewing: make(chan struct{}, 1),
	}
	release := g.release
	ledger.releaseGrant.Store(&release)
	return g
}

// Run pushes and pulls changes and renews grants until ctx ends. Rounds run
// concurrently, so that a frozen peer doesn't delay the next push.
func (g *Gossiper) Run(ctx context.Context) error {
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
		case <-g.ledger.changed:
			start(g.push)
			start(g.renew)
		case <-renew.C:
			start(g.renew)
		case <-pull.C:
			start(g.pull)
		}
	}
}

// push sends the changes since the last push to a few random peers, each of which
// relays what is new to it in the same way.
func (g *Gossiper) push(ctx context.Context) {
	g.mu.Lock()
	entries, next := g.ledger.Deltas(g.pushedSeq)
	g.pushedSeq = next
	g.mu.Unlock()
	if len(entries) == 0 {
		return
	}
	var group errgroup.Group
	for _, peer := range g.randomPeers(fanout) {
		group.Go(func() error {
			g.exchange(ctx, peer, entries, false)
			return nil
		})
	}
	_ = group.Wait()
}

// pull fetches changes from a random peer.
func (g *Gossiper) pull(ctx context.Context) {
	for _, peer := range g.randomPeers(1) {
		g.exchange(ctx, peer, nil, true)
	}
}

// exchange sends entries to a peer. If pull is set, it also fetches and merges the
// peer's changes.
func (g *Gossiper) exchange(ctx context.Context, peer string, entries []Entry, pull bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	g.mu.Lock()
	position := g.cursors[peer]
	g.mu.Unlock()
	answer, err := g.opts.Dial(peer).Exchange(ctx, &suspectpb.ExchangeRequest{
		Sender: g.opts.Self, Entries: toWire(entries), Pull: pull, Since: position.seq, Ledger: position.instance,
	})
	if err != nil {
		g.ledger.metrics.exchanges.WithLabelValues("failed").Inc()
		g.ledger.opts.Recorder.Emit(eventPeer, "peer", peer, "error", err)
		return
	}
	g.ledger.metrics.exchanges.WithLabelValues("done").Inc()
	if !pull {
		return
	}
	g.ledger.Merge(fromWire(answer.GetEntries()))
	g.mu.Lock()
	g.cursors[peer] = cursor{instance: answer.GetLedger(), seq: answer.GetNext()}
	g.mu.Unlock()
}

// randomPeers returns n distinct random peers without this process, or all if there
// are fewer.
func (g *Gossiper) randomPeers(n int) []string {
	peers := g.opts.Peers()
	out := make([]string, 0, n)
	for _, i := range rand.Perm(len(peers)) {
		if peers[i] != g.opts.Self && len(out) < n {
			out = append(out, peers[i])
		}
	}
	return out
}

// rendezvousOrder returns this process and its peers, sorted by their rendezvous
// hash with a fingerprint. The first one is the fingerprint's coordinator.
// Processes that see the same members choose the same coordinator.
func (g *Gossiper) rendezvousOrder(fp types.Fingerprint) []string {
	all := append([]string{g.opts.Self}, g.opts.Peers()...)
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

// requestGrantFrom sends a request to a peer as the fingerprint's coordinator.
func (g *Gossiper) requestGrantFrom(ctx context.Context, peer string, q grantRequest) (bool, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	answer, err := g.opts.Dial(peer).Grant(ctx, &suspectpb.GrantRequest{
		Fingerprint: uint64(q.fp), Holder: q.holder, Running: q.running, Release: q.release,
	})
	if err != nil {
		g.ledger.opts.Recorder.Emit(eventPeer, "peer", peer, "error", err)
		return false, 0, err
	}
	return answer.GetGranted(), time.Duration(answer.GetRetryAfterNano()), nil
}
