package fleet

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/retry"
)

const (
	// watchers is how many entry VMs watch the store for all. With two, the loss
	// of one leaves no gap.
	watchers = 2
	// candidates is how many entry VMs announce themselves while nothing changes.
	// If all did, the datagrams would grow with the square of their number.
	candidates = 8
	// announceEvery is how often a candidate announces itself.
	announceEvery = time.Second
	// firstAnnouncement leaves time for reading the addresses of the others.
	firstAnnouncement = 150 * time.Millisecond
	// electionTime is how long after its start a VM watches nothing: until it has
	// heard who the others are it would take itself for one of the first.
	electionTime = 2 * firstAnnouncement
	// membersLeaseTime is how long a watcher's look at the registry of entry VMs
	// stands for one of this process's own; it covers lost datagrams.
	membersLeaseTime = 3 * lookEvery
	// memberTimeout is how long an announcement counts; it covers a lost datagram.
	memberTimeout = 2500 * time.Millisecond
	// stopTimeout is how long the announcement of a planned stop counts: the grace
	// period that sites have and the time to start again.
	stopTimeout = 10 * time.Second
	// leaseTime is how long a watcher's answer from the store stands for one of this
	// process's own. With the time of one look at the store it must stay under the
	// time in which a change is to be in force.
	leaseTime = 1350 * time.Millisecond
	// pollTimeout is how long a watcher's question waits at the store. It must be
	// shorter than leaseTime.
	pollTimeout = 900 * time.Millisecond
	// idlePause is how long a VM waits between two questions to a store that is away
	// while others ask as well. It covers the loss of those others.
	idlePause = 2 * time.Second
	// idleLoopPause is the same for a loop whose VM asks by another one.
	idleLoopPause = 4 * idlePause
	// maxAge is how old an answer may be to be announced as the present.
	maxAge = 550 * time.Millisecond
)

// Subject is what is read from the store.
type Subject int

// Subjects.
const (
	Config Subject = iota
	List
	subjects
)

// Election picks the few entry VMs that watch the store on behalf of all others.
// It is advisory: disagreement only costs extra reads.
//
// Of the members that announce themselves as healthy, the first ones by the hash of
// their address are the watchers. They announce each answer of the store; the others
// look themselves once no announcement has come for leaseTime.
type Election struct {
	opts     ElectionOptions
	rank     uint64
	healthy  [subjects]atomic.Bool // the store answers
	stopping atomic.Bool           // a planned stop has begun
	elected  atomic.Bool           // electionTime has passed
	digest   atomic.Uint64         // of the entry VMs, as read last; 0: not yet

	mu        sync.Mutex
	members   map[string]*member // by address
	delegated [subjects]time.Time
	confirmed [subjects]confirmation
	asking    map[string]*wanted // by the peer that is asked
	// membersUntil is how long a watcher's look at the registry stands.
	membersUntil time.Time

	updates    [subjects]chan struct{} // hold a token when something newer is to be read
	newMembers chan struct{}           // holds one when the registry is to be read
	// watchersChanged holds one when a member has become or ceased to be fit to watch.
	watchersChanged chan struct{}
}

// ElectionOptions of an Election.
type ElectionOptions struct {
	Address string
	Socket  *Socket
	// Position is the place in the store's history from which on what is in force here
	// is as it is, Reached that up to which there is nothing newer; nil: Position.
	Position func(Subject) uint64
	Reached  func(Subject) uint64
	Size     func() int // all VMs, this one included; very many until that is known
	// Fetch asks a peer for changes, of the list since a position.
	Fetch    func(ctx context.Context, peer string, since uint64)
	Recorder *event.Recorder
}

// member is another entry VM, as it announced itself.
type member struct {
	head     head
	at       time.Time
	healthy  bool
	stopping bool
	stopAt   time.Time // of the first announcement that it stops; zero while it serves
	rank     uint64
}

// mayWatch tells whether the store answers the VM and it will be there.
func (m *member) mayWatch() bool { return m.healthy && !m.stopping }

// NewElection returns an Election.
func NewElection(opts ElectionOptions) *Election {
	e := &Election{opts: opts, rank: xxhash.Sum64String(opts.Address), members: map[string]*member{}, asking: map[string]*wanted{}, newMembers: make(chan struct{}, 1), watchersChanged: make(chan struct{}, 1)}
	for s := range subjects {
		e.updates[s] = make(chan struct{}, 1)
	}
	opts.Socket.handle(kindAnnouncement, e.receive)
	return e
}

// Run announces this VM, if it is a candidate, until ctx ends.
func (e *Election) Run(ctx context.Context) error {
	if retry.Wait(ctx, firstAnnouncement) == nil && e.before() < candidates {
		e.announce(announcement{})
	}
	if retry.Wait(ctx, electionTime-firstAnnouncement) == nil {
		e.elected.Store(true)
	}
	again := time.NewTicker(announceEvery)
	defer again.Stop()
	watched := false
	for {
		watched = e.takeOver(watched)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-e.watchersChanged:
		case now := <-again.C:
			e.forget(now)
			if e.before() < candidates {
				e.announce(announcement{})
			}
		}
	}
}

// takeOver begins to watch if this VM has become a watcher, and reports whether it is one.
func (e *Election) takeOver(watched bool) bool {
	watches := e.Watches()
	if watches && !watched {
		// Nobody reads for this VM any more.
		e.notify(Config)
		e.notify(List)
	}
	return watches
}

func (e *Election) announce(a announcement) {
	a.healthy, a.watches, a.stopping = e.isHealthy(), e.Watches(), e.stopping.Load()
	a.config, a.list, a.members = e.span(Config), e.span(List), e.digest.Load()
	e.opts.Socket.Send(encodeAnnouncement(a))
}

func (e *Election) isHealthy() bool { return e.healthy[Config].Load() && e.healthy[List].Load() }

// Read notes that the store answered, with what may be so old. A watcher tells the
// others; for another VM its own answer stands as long as a watcher's would.
func (e *Election) Read(s Subject, age time.Duration) {
	e.healthy[s].Store(true)
	if !e.Watches() {
		e.delegate(s, time.Now().Add(-age))
		return
	}
	fresh := age <= maxAge
	e.announce(announcement{configReadNow: fresh && s == Config, listReadNow: fresh && s == List})
}

// Failed notes that the store did not answer, and announces it if it did before.
func (e *Election) Failed(s Subject) {
	if e.healthy[s].Swap(false) {
		e.announce(announcement{})
	}
}

// Watches tells whether this VM is one of the watchers.
func (e *Election) Watches() bool {
	return e.elected.Load() && e.rankedBefore((*member).mayWatch) < watchers
}

// watchesNow tells whether this VM is a watcher that the store answers.
func (e *Election) watchesNow() bool { return e.Watches() && e.isHealthy() }

// Pause returns how long to wait after a question that the store did not answer, in
// place of the time given. While it answers nobody, a few VMs find out when it is back
// and tell the others; at each VM one loop asks.
func (e *Election) Pause(d time.Duration, others bool) time.Duration {
	switch {
	case !e.elected.Load(), e.rankedBefore(func(vm *member) bool { return !vm.stopping }) < watchers:
		return d
	case others:
		return max(d, idleLoopPause)
	default:
		return max(d, idlePause)
	}
}

// before counts the healthy members that rank before this VM.
func (e *Election) before() int {
	return e.rankedBefore(func(vm *member) bool { return vm.healthy })
}

func (e *Election) rankedBefore(counts func(*member) bool) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	before := 0
	for _, vm := range e.members {
		if counts(vm) && now.Sub(vm.at) < memberTimeout && vm.rank < e.rank {
			before++
		}
	}
	return before
}

// Alone tells whether there are so few VMs that all of them watch: then nobody
// waits for an announcement, and a question may wait at the store for longer.
func (e *Election) Alone() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	there := 1
	for _, vm := range e.members {
		if now.Sub(vm.at) < memberTimeout {
			there++
		}
	}
	return there <= watchers
}

// receive takes in another VM's announcement.
func (e *Election) receive(from string, h head, raw []byte, now time.Time) bool {
	a, ok := decodeAnnouncement(raw)
	if !ok || !e.note(from, h, a, now) {
		return ok
	}
	read := [subjects]bool{Config: a.configReadNow, List: a.listReadNow}
	// What other candidates know is no newer than what the watchers know.
	if a.membersReadNow {
		e.receiveMembers(a.members, now)
	}
	theirs := [subjects]span{Config: a.config, List: a.list}
	for s := range subjects {
		if a.watches || read[s] {
			e.receiveSubject(from, s, read[s], theirs[s], now)
		}
	}
	return true
}

// note keeps who is there; it reports whether the announcement is newer than what
// is known of its sender.
func (e *Election) note(from string, h head, a announcement, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	vm := e.members[from]
	if vm == nil {
		vm = &member{rank: xxhash.Sum64String(from)}
		e.members[from] = vm
	}
	if !h.after(vm.head) {
		return false
	}
	switch {
	case !a.stopping:
		vm.stopAt = time.Time{}
	case !vm.stopping:
		vm.stopAt = now
	}
	before := vm.mayWatch()
	vm.head, vm.at, vm.healthy, vm.stopping = h, now, a.healthy, a.stopping
	if vm.mayWatch() != before {
		signal(e.watchersChanged)
	}
	return true
}

// forget drops members that have been silent for long.
func (e *Election) forget(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for address, vm := range e.members {
		if now.Sub(vm.at) > forgetSender {
			delete(e.members, address)
		}
	}
}
