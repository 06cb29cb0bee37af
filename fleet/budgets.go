package fleet

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/retry"
)

const (
	// budgetReportTTL is how long the counts that another VM has reported are used; it
	// covers a lost datagram. After that the whole part of that VM is treated as spent.
	budgetReportTTL = 2500 * time.Millisecond
	// maxPropagation bounds the time until the other VMs know of a retry: the shortest
	// interval between two reports, the network delay and a slow receiver.
	maxPropagation = 200 * time.Millisecond
)

// Budgets lets entry VMs share the retry budget. A fixed part of it for each VM would need no
// communication, but losses hit VMs unevenly: it would be too small for some VMs and unused
// at others.
//
// Invariant: VMs that receive each other's reports stay within their common bound. The
// budget that is free according to the newest reports is divided by the number of VMs. A
// VM takes no more than its share of it until the others know of what it took, and this
// includes retries that would fit into its own part. The parts of VMs from which no
// reports arrive are left to them. If a VM is heard but receives nothing itself, its part
// may be used twice; that stays within the margin that package entry keeps back of the
// whole budget.
type Budgets struct {
	opts    BudgetsOptions
	changed chan struct{} // holds a token when a retry was counted and has to be reported

	mu      sync.Mutex
	own     map[string]*ownBudget  // by service
	peers   map[string]*peerBudget // by sender
	ratio   float64                // retries allowed per first try
	extra   float64                // fixed retries allowed on top, for all VMs together
	started time.Time              // of this process
}

// BudgetsOptions configures a Budgets.
type BudgetsOptions struct {
	Socket    *Socket
	CellPeers func() []string // addresses of the VMs that share the budget
	Size      func() int      // number of all VMs, including this one
	Ratio     float64
	Extra     float64
	Window    time.Duration // sliding window over which the bound holds; 0: Extra is available from the start
}

// ownBudget holds the tries of one service at this VM.
type ownBudget struct {
	window        *retry.Window
	recentRetries []time.Time // retries that other VMs may not know of yet
}

// peerBudget holds what another VM has reported.
type peerBudget struct {
	header header
	at     time.Time            // when the newest report arrived
	counts map[uint32]tryCounts // by hash of the service's name

	// Fixed retries that the VM took before its restarts, by hash of the service's name, and
	// when the newest restart was detected.
	retriesBeforeRestart map[uint32]float64
	restartedAt          time.Time
}

// forgottenRetries returns the fixed retries that the VM took before its restart, as long
// as they may fall into the window. The restarted VM no longer counts them, but the
// backend servers have received them.
func (p *peerBudget) forgottenRetries(service uint32, window time.Duration, now time.Time) float64 {
	if now.Sub(p.restartedAt) >= window {
		return 0
	}
	return p.retriesBeforeRestart[service]
}

// recordRestart records that the VM has restarted and counts from zero.
func (p *peerBudget) recordRestart(ratio float64, window time.Duration, now time.Time) {
	if now.Sub(p.restartedAt) >= window {
		p.retriesBeforeRestart = map[uint32]float64{}
	}
	p.restartedAt = now
	for service, s := range p.counts {
		p.retriesBeforeRestart[service] += max(0, float64(s.retries)-ratio*float64(s.firstTries))
	}
}

// NewBudgets returns a Budgets that communicates through opts.Socket.
func NewBudgets(opts BudgetsOptions) *Budgets {
	b := &Budgets{
		opts: opts, changed: make(chan struct{}, 1), own: map[string]*ownBudget{}, peers: map[string]*peerBudget{},
		ratio: opts.Ratio, extra: opts.Extra, started: time.Now(),
	}
	opts.Socket.handle(kindBudget, b.receive)
	return b
}

// startupShare is the part of the fixed retries that a process may use until it is as old
// as the window. Package entry uses 85% of the budget, so it is 6.8% of the whole: less than
// half of the 15% kept back, so that two restarts within a window stay within the bound.
// Without any fixed retries, a site with little traffic cut every stream whose server failed
// during that time.
const startupShare = 0.08

// FixedShare returns the part of the fixed retries that a process may use: all of them
// once it is as old as the window, startupShare before that.
//
// The retries that a process sent before it was killed still count at the servers, so the
// process must be as old as the window before it uses its whole fixed part. The retries
// allowed per first try need no such wait: the count of first tries starts from zero as
// well.
func FixedShare(started time.Time, window time.Duration) float64 {
	if time.Since(started) < window {
		return startupShare
	}
	return 1
}

// Run reports the counts of this VM to the others until ctx ends.
func (b *Budgets) Run(ctx context.Context) error {
	ticker := time.NewTicker(resendInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-b.changed:
		}
		if list := b.ownCounts(); len(list) > 0 {
			b.opts.Socket.SendTo(encodeBudget(list), b.opts.CellPeers())
		}
		if err := retry.Wait(ctx, minSendInterval); err != nil {
			return err
		}
	}
}

// ownCounts returns the counts of this VM to report, for services with any.
func (b *Budgets) ownCounts() []tryCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []tryCounts
	for service, own := range b.own {
		firstTries, retries := own.window.Counts()
		if firstTries+retries > 0 {
			list = append(list, tryCounts{directory.Hash(service), toUint16(firstTries), toUint16(retries)})
		}
	}
	return list
}

// toUint16 returns n, or the largest uint16 if n is larger.
func toUint16(n float64) uint16 { return uint16(min(n, math.MaxUint16)) }

// First implements exchange.SharedBudget. The window counts the first try; here the service
// becomes one of those that are reported.
func (b *Budgets) First(service string, w *retry.Window) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ownLocked(service, w)
}

// Allow implements exchange.SharedBudget.
func (b *Budgets) Allow(service string, w *retry.Window) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	free, vms := b.availableLocked(service, w, now)
	if vms < 2 {
		return w.Allow()
	}
	unknown := float64(len(b.ownLocked(service, w).dropKnownRetries(now)))
	if unknown+1 > (free+unknown)/vms {
		return false
	}
	w.RecordRetry()
	b.recordRetryLocked(service, w, now)
	return true
}

// recordRetryLocked records a retry that the other VMs don't know of, and has it reported.
func (b *Budgets) recordRetryLocked(service string, w *retry.Window, now time.Time) {
	own := b.ownLocked(service, w)
	own.recentRetries = append(own.dropKnownRetries(now), now)
	select {
	case b.changed <- struct{}{}:
	default:
	}
}

func (b *Budgets) ownLocked(service string, w *retry.Window) *ownBudget {
	own := b.own[service]
	if own == nil {
		own = &ownBudget{window: w}
		b.own[service] = own
	}
	return own
}

// dropKnownRetries drops the retries that the other VMs know of by now and returns the
// rest.
func (o *ownBudget) dropKnownRetries(now time.Time) []time.Time {
	for len(o.recentRetries) > 0 && now.Sub(o.recentRetries[0]) > maxPropagation {
		o.recentRetries = o.recentRetries[1:]
	}
	return o.recentRetries
}

// availableLocked returns what is left of the bound according to the newest reports, and
// the number of VMs that may take from it.
func (b *Budgets) availableLocked(service string, w *retry.Window, now time.Time) (free, vms float64) {
	firstTries, retries := w.Counts()
	heard := 1.0
	for _, p := range b.peers {
		retries += p.forgottenRetries(directory.Hash(service), b.opts.Window, now)
		if now.Sub(p.at) > budgetReportTTL {
			continue
		}
		heard++
		s := p.counts[directory.Hash(service)]
		firstTries += float64(s.firstTries)
		retries += float64(s.retries)
	}
	// Only the parts of VMs that are heard are shared; the other VMs keep theirs.
	share := b.extra * FixedShare(b.started, b.opts.Window) * heard / float64(max(b.opts.Size(), int(heard)))
	return b.ratio*firstTries + share - retries, heard
}

// receive handles the counts reported by another VM.
func (b *Budgets) receive(from string, h header, raw []byte, now time.Time) bool {
	list, ok := decodeBudget(raw)
	if !ok {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.peers[from]
	if p == nil {
		p = &peerBudget{}
		b.peers[from] = p
	}
	if !h.newerThan(p.header) {
		return true
	}
	if h.incarnation > p.header.incarnation && p.counts != nil {
		p.recordRestart(b.ratio, b.opts.Window, now)
	}
	p.header, p.at, p.counts = h, now, make(map[uint32]tryCounts, len(list))
	for _, s := range list {
		p.counts[s.service] = s
	}
	for sender, other := range b.peers {
		if now.Sub(other.at) > senderTTL {
			delete(b.peers, sender)
		}
	}
	return true
}
