package fleet

import (
	"context"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/retry"
)

const (
	// countsTTL is how long the counts that another VM has reported are used; it covers a
	// lost datagram. After that the whole part of that VM is treated as spent.
	countsTTL = 2500 * time.Millisecond
	// maxPropagation bounds the time until the other VMs know of a try: the shortest
	// interval between two reports, the network delay and a slow receiver.
	maxPropagation = 200 * time.Millisecond
)

// sharedBounds lets entry VMs share bounds on the tries that they send, such as the retries
// of a service. A fixed part of a bound for each VM would need no communication, but tries
// are unevenly spread over VMs: it would be too small for some VMs and unused at others.
//
// Invariant: VMs that receive each other's reports stay within their common bound. What is
// free according to the newest reports is divided by the number of VMs. A VM takes no more
// than its share of it until the others know of what it took, and this includes tries that
// would fit into its own part. The parts of VMs from which no reports arrive are left to
// them. If a VM is heard but receives nothing itself, its part may be used twice.
type sharedBounds struct {
	opts    sharedBoundsOptions
	changed chan struct{} // holds a token when a try was counted and has to be reported

	mu      sync.Mutex
	own     map[string]*ownCounts  // by key
	peers   map[string]*peerCounts // by sender
	started time.Time              // of this process
}

// sharedBoundsOptions configures a sharedBounds.
type sharedBoundsOptions struct {
	Kind   kind // of its datagrams
	Socket *Socket
	Peers  func() []string // addresses of the VMs that share the bounds
	Size   func() int      // number of all VMs, including this one
	Window time.Duration   // sliding window over which the bounds hold; 0: the fixed part is available from the start
	// Ratio is how many retries each first try allows. Fixed returns how many tries all VMs
	// may send in a window on top.
	Ratio float64
	Fixed func(key string) float64
	// StartupShare is the part of a bound's fixed tries that a process may use until it is
	// as old as the window.
	StartupShare float64
	// Small is set if a bound may be smaller than the number of VMs. A VM whose share is
	// below one then decides by chance whether it may try, so that VMs stay within the bound
	// on average.
	Small bool
}

// ownCounts holds the tries of one key at this VM.
type ownCounts struct {
	window *retry.Window
	recent []time.Time // tries that other VMs may not know of yet
	drawn  time.Time   // time of the newest draw
}

// draw decides by chance, at most once per interval.
func (o *ownCounts) draw(probability float64, interval time.Duration, now time.Time) bool {
	if now.Sub(o.drawn) < interval {
		return false
	}
	o.drawn = now
	return rand.Float64() < probability
}

// peerCounts holds what another VM has reported.
type peerCounts struct {
	header header
	at     time.Time                 // when the newest report arrived
	counts map[uint32]reportedCounts // by hash of the key

	// Fixed tries that the VM sent before its restarts, by hash of the key, and when the
	// newest restart was detected.
	triesBeforeRestart map[uint32]float64
	restartedAt        time.Time
}

// reportedCounts is a report on one key.
type reportedCounts struct {
	tryCounts
	header header
	at     time.Time
}

// forgottenTries returns the fixed tries that the VM sent before its restart, as long as
// they may fall into the window. The restarted VM no longer counts them, but the backend
// servers have received them.
func (p *peerCounts) forgottenTries(key uint32, window time.Duration, now time.Time) float64 {
	if now.Sub(p.restartedAt) >= window {
		return 0
	}
	return p.triesBeforeRestart[key]
}

func newSharedBounds(opts sharedBoundsOptions) *sharedBounds {
	b := &sharedBounds{opts: opts, changed: make(chan struct{}, 1), own: map[string]*ownCounts{}, peers: map[string]*peerCounts{}, started: time.Now()}
	opts.Socket.handle(opts.Kind, b.receive)
	return b
}

// run reports the counts of this VM to the others until ctx ends.
func (b *sharedBounds) run(ctx context.Context) error {
	ticker := time.NewTicker(resendInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-b.changed:
		}
		b.report()
		if err := retry.Wait(ctx, minSendInterval); err != nil {
			return err
		}
	}
}

func (b *sharedBounds) report() {
	for list := range slices.Chunk(b.ownCounts(), maxTryCounts) {
		b.opts.Socket.SendTo(body{b.opts.Kind, encodeTryCounts(list)}, b.opts.Peers())
	}
}

// ownCounts returns the counts of this VM to report.
func (b *sharedBounds) ownCounts() []tryCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []tryCounts
	for key, own := range b.own {
		firstTries, retries := own.window.Counts()
		if firstTries+retries > 0 || b.opts.Small {
			list = append(list, tryCounts{directory.Hash(key), toUint16(firstTries), toUint16(retries)})
		}
	}
	return list
}

// toUint16 returns n, or the largest uint16 if n is larger.
func toUint16(n float64) uint16 { return uint16(min(n, math.MaxUint16)) }

// add makes a key one of those that are reported.
func (b *sharedBounds) add(key string, w *retry.Window) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ownLocked(key, w)
}

// keep drops the keys that a function does not want.
func (b *sharedBounds) keep(wanted func(key string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key := range b.own {
		if !wanted(key) {
			delete(b.own, key)
		}
	}
}

// allow reports whether a try fits the bound of all VMs together, and counts it if so.
// While nothing is known of the others, the window's own limits decide.
func (b *sharedBounds) allow(key string, w *retry.Window) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	own := b.ownLocked(key, w)
	w = own.window // the one that is reported
	free, vms := b.availableLocked(key, w, now)
	if vms < 2 {
		return w.Allow() || b.allowAlone(key, own, now)
	}
	unknown := float64(len(own.dropKnown(now)))
	share := (free + unknown) / vms
	if unknown+1 > share && !(b.opts.Small && unknown == 0 && own.draw(share, maxPropagation, now)) {
		return false
	}
	w.RecordRetry()
	b.recordLocked(own, now)
	return true
}

// allowAlone decides whether a VM that hears no others, and whose own part of a bound is
// below one, may try.
func (b *sharedBounds) allowAlone(key string, own *ownCounts, now time.Time) bool {
	part := b.opts.Fixed(key) / float64(max(1, b.opts.Size()))
	if !b.opts.Small || part >= 1 || !own.draw(part, b.opts.Window, now) {
		return false
	}
	own.window.RecordRetry()
	return true
}

// recordLocked records a try that the other VMs don't know of, and has it reported.
func (b *sharedBounds) recordLocked(own *ownCounts, now time.Time) {
	own.recent = append(own.dropKnown(now), now)
	select {
	case b.changed <- struct{}{}:
	default:
	}
}

func (b *sharedBounds) ownLocked(key string, w *retry.Window) *ownCounts {
	own := b.own[key]
	if own == nil {
		own = &ownCounts{window: w}
		b.own[key] = own
	}
	return own
}

// dropKnown drops the tries that the other VMs know of by now and returns the rest.
func (o *ownCounts) dropKnown(now time.Time) []time.Time {
	for len(o.recent) > 0 && now.Sub(o.recent[0]) > maxPropagation {
		o.recent = o.recent[1:]
	}
	return o.recent
}

// availableLocked returns what is left of a bound according to the newest reports, and the
// number of VMs that may take from it.
func (b *sharedBounds) availableLocked(key string, w *retry.Window, now time.Time) (free, vms float64) {
	hash := directory.Hash(key)
	firstTries, retries := w.Counts()
	heard := 1.0
	for _, p := range b.peers {
		retries += p.forgottenTries(hash, b.opts.Window, now)
		if now.Sub(p.at) > countsTTL {
			continue
		}
		heard++
		s := p.counts[hash]
		firstTries += float64(s.firstTries)
		retries += float64(s.retries)
	}
	// Only the parts of VMs that are heard are shared; the other VMs keep theirs.
	share := b.opts.Fixed(key) * fixedShare(b.started, b.opts.Window, b.opts.StartupShare) * heard / float64(max(b.opts.Size(), int(heard)))
	return b.opts.Ratio*firstTries + share - retries, heard
}

// fixedShare returns the part of the fixed tries that a process may use: all of them once it
// is as old as the window, startupShare before that.
//
// The tries that a process sent before it was killed still count at the servers, so the
// process must be as old as the window before it uses its whole fixed part. The retries
// allowed per first try need no such wait: the count of first tries starts from zero as
// well.
func fixedShare(started time.Time, window time.Duration, startupShare float64) float64 {
	if time.Since(started) < window {
		return startupShare
	}
	return 1
}

// recordRestart records that a VM has restarted and counts from zero.
func (b *sharedBounds) recordRestart(p *peerCounts, now time.Time) {
	if now.Sub(p.restartedAt) >= b.opts.Window {
		p.triesBeforeRestart = map[uint32]float64{}
	}
	p.restartedAt = now
	for key, s := range p.counts {
		p.triesBeforeRestart[key] += max(0, float64(s.retries)-b.opts.Ratio*float64(s.firstTries))
	}
}

// update adds the counts of a datagram. The counts of many keys come in several datagrams,
// which may overtake each other.
func (p *peerCounts) update(h header, list []tryCounts, now time.Time) {
	for _, s := range list {
		if old, known := p.counts[s.key]; !known || h.newerThan(old.header) {
			p.counts[s.key] = reportedCounts{tryCounts: s, header: h, at: now}
		}
	}
	if h.newerThan(p.header) {
		p.header = h
	}
	p.at = now
	maps.DeleteFunc(p.counts, func(_ uint32, c reportedCounts) bool { return now.Sub(c.at) > countsTTL })
}

// receive handles the counts reported by another VM.
func (b *sharedBounds) receive(from string, h header, raw []byte, now time.Time) bool {
	list, ok := decodeTryCounts(raw)
	if !ok {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.peers[from]
	if p == nil {
		p = &peerCounts{counts: map[uint32]reportedCounts{}}
		b.peers[from] = p
	}
	restarted := h.incarnation > p.header.incarnation && !p.at.IsZero()
	switch {
	case h.incarnation < p.header.incarnation, !b.opts.Small && !h.newerThan(p.header):
		return true
	case restarted:
		b.recordRestart(p, now)
	}
	if !b.opts.Small || restarted {
		clear(p.counts)
	}
	p.update(h, list, now)
	for sender, other := range b.peers {
		if now.Sub(other.at) > senderTTL {
			delete(b.peers, sender)
		}
	}
	return true
}
