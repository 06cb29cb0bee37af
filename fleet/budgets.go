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
	// budgetLife is how long another VM's word of its tries counts; it covers a
	// lost datagram. Later its whole part is taken as spent.
	budgetLife = 2500 * time.Millisecond
	// unknownFor is how long a retry may be unknown to the others: the pace of
	// telling, the way there, and a slow receiver.
	unknownFor = 200 * time.Millisecond
)

// Budgets lets entry VMs share the retry budget. A fixed part for each would hold
// without a datagram from anybody, but losses hit VMs unevenly.
//
// Invariant: the VMs that hear each other stay within their common bound. What
// is free by the newest words is divided by the number of VMs, and none takes
// more than its share of it before its taking is known to the others, also of
// what would be its own part. The parts of VMs that are not heard are left to
// them. One that is heard but hears nobody may have its part used twice; that
// is within the margin that is kept back of the whole.
type Budgets struct {
	opts BudgetsOptions
	news chan struct{}

	mu      sync.Mutex
	own     map[string]*ownBudget
	others  map[string]*otherBudget // by sender
	retries float64                 // bound: retries per first try
	extra   float64                 // and this many more, for all VMs
	started time.Time
}

// BudgetsOptions of a Budgets.
type BudgetsOptions struct {
	Socket *Socket
	Near   func() []string // the VMs that share
	Size   func() int      // all VMs, this one included
	Ratio  float64
	Extra  float64
	Window time.Duration // in any span of which the bound holds; 0: Extra is there at once
}

type ownBudget struct {
	window *retry.Window
	taken  []time.Time // retries that others may not know of yet
}

type otherBudget struct {
	head  head
	at    time.Time
	spent map[uint32]spent

	// fixed retries that it took before its restarts, and when the newest was
	// noticed; by service.
	former   map[uint32]float64
	formerAt time.Time
}

// forgotten returns the fixed retries that the VM took before its restart, as
// long as they may be in the window: it has forgotten them, and the backend
// servers have not.
func (o *otherBudget) forgotten(service uint32, window time.Duration, now time.Time) float64 {
	if now.Sub(o.formerAt) >= window {
		return 0
	}
	return o.former[service]
}

// restarted notes that the VM has started again and counts anew.
func (o *otherBudget) restarted(ratio float64, window time.Duration, now time.Time) {
	if now.Sub(o.formerAt) >= window {
		o.former = map[uint32]float64{}
	}
	o.formerAt = now
	for service, s := range o.spent {
		o.former[service] += max(0, float64(s.again)-ratio*float64(s.first))
	}
}

// NewBudgets returns a Budgets that speaks through a socket.
func NewBudgets(opts BudgetsOptions) *Budgets {
	b := &Budgets{
		opts: opts, news: make(chan struct{}, 1), own: map[string]*ownBudget{}, others: map[string]*otherBudget{},
		retries: opts.Ratio, extra: opts.Extra, started: time.Now(),
	}
	opts.Socket.handle(kindBudget, b.take)
	return b
}

// youngShare is the part of the fixed retries that a process may use before it
// is as old as the window: half of the 15% of the whole that package entry keeps
// back, so that two restarts within a window stay within the bound. Without any,
// a site with little traffic cut each stream whose server died in that time.
const youngShare = 0.08

// FixedShare returns the part of the fixed retries that a process may use: all
// of them once it is as old as the window, youngShare before.
//
// What a process sent again before it was killed still counts at the servers, so it
// must be as old as the window before it uses its whole fixed part. The share of first
// tries needs no such wait: it begins anew with what was forgotten.
func FixedShare(started time.Time, window time.Duration) float64 {
	if time.Since(started) < window {
		return youngShare
	}
	return 1
}

// Run tells what this VM has counted until ctx ends.
func (b *Budgets) Run(ctx context.Context) error {
	again := time.NewTicker(tellAgain)
	defer again.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-again.C:
		case <-b.news:
		}
		if list := b.counted(); len(list) > 0 {
			b.opts.Socket.SendTo(encodeBudget(list), b.opts.Near())
		}
		if err := retry.Wait(ctx, tellEvery); err != nil {
			return err
		}
	}
}

func (b *Budgets) counted() []spent {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []spent
	for service, own := range b.own {
		first, again := own.window.Counts()
		if first+again > 0 {
			list = append(list, spent{directory.Hash(service), clamp(first), clamp(again)})
		}
	}
	return list
}

func clamp(n float64) uint16 { return uint16(min(n, math.MaxUint16)) }

// First implements exchange.Lender.
func (b *Budgets) First(service string, w *retry.Window) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ownLocked(service, w)
}

// Allow implements exchange.Lender.
func (b *Budgets) Allow(service string, w *retry.Window) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	free, vms := b.freeLocked(service, w, now)
	if vms < 2 {
		return w.Allow()
	}
	unknown := float64(len(b.ownLocked(service, w).recent(now)))
	if unknown+1 > (free+unknown)/vms {
		return false
	}
	w.RecordRetry()
	b.noteLocked(service, w, now)
	return true
}

func (b *Budgets) noteLocked(service string, w *retry.Window, now time.Time) {
	own := b.ownLocked(service, w)
	own.taken = append(own.recent(now), now)
	select {
	case b.news <- struct{}{}:
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

// recent drops the retries that the others know of by now.
func (o *ownBudget) recent(now time.Time) []time.Time {
	for len(o.taken) > 0 && now.Sub(o.taken[0]) > unknownFor {
		o.taken = o.taken[1:]
	}
	return o.taken
}

// freeLocked returns what is left of the bound by the newest words, and the
// number of VMs that may take of it.
func (b *Budgets) freeLocked(service string, w *retry.Window, now time.Time) (free, vms float64) {
	first, again := w.Counts()
	heard := 1.0
	for _, o := range b.others {
		again += o.forgotten(directory.Hash(service), b.opts.Window, now)
		if now.Sub(o.at) > budgetLife {
			continue
		}
		heard++
		s := o.spent[directory.Hash(service)]
		first += float64(s.first)
		again += float64(s.again)
	}
	// Only the parts of VMs that are heard are shared; the others' are theirs.
	share := b.extra * FixedShare(b.started, b.opts.Window) * heard / float64(max(b.opts.Size(), int(heard)))
	return b.retries*first + share - again, heard
}

// take takes in what another VM has counted.
func (b *Budgets) take(from string, h head, raw []byte, now time.Time) bool {
	list, ok := decodeBudget(raw)
	if !ok {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	o := b.others[from]
	if o == nil {
		o = &otherBudget{}
		b.others[from] = o
	}
	if !h.after(o.head) {
		return true
	}
	if h.life > o.head.life && o.spent != nil {
		o.restarted(b.retries, b.opts.Window, now)
	}
	o.head, o.at, o.spent = h, now, make(map[uint32]spent, len(list))
	for _, s := range list {
		o.spent[s.service] = s
	}
	for sender, other := range b.others {
		if now.Sub(other.at) > forgetSender {
			delete(b.others, sender)
		}
	}
	return true
}
