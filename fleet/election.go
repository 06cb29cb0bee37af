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

	mu        sync.Mutex
	members   map[string]*member // by address
	delegated [subjects]time.Time
	asking    map[string]bool

	updates [subjects]chan struct{} // hold a token when something newer is to be read
}

// ElectionOptions of an Election.
type ElectionOptions struct {
	Address  string
	Socket   *Socket
	Position func(Subject) uint64 // place of what is in force here
	Size     func() int           // all VMs, this one included; very many until that is known
	// Fetch asks a peer for changes of the list.
	Fetch    func(ctx context.Context, peer string)
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

// NewElection returns an Election.
func NewElection(opts ElectionOptions) *Election {
	e := &Election{opts: opts, rank: xxhash.Sum64String(opts.Address), members: map[string]*member{}, asking: map[string]bool{}}
	for s := range subjects {
		e.updates[s] = make(chan struct{}, 1)
	}
	opts.Socket.handle(kindAnnouncement, e.receive)
	return e
}

// Run announces this VM, if it is a candidate, until ctx ends.
func (e *Election) Run(ctx context.Context) error {
	for wait := firstAnnouncement; retry.Wait(ctx, wait) == nil; wait = announceEvery {
		if e.before() < candidates {
			e.announce(announcement{})
		}
	}
	return ctx.Err()
}

func (e *Election) announce(a announcement) {
	a.healthy, a.stopping = e.isHealthy(), e.stopping.Load()
	a.config, a.listed = e.opts.Position(Config), e.opts.Position(List)
	e.opts.Socket.Send(encodeAnnouncement(a))
}

func (e *Election) isHealthy() bool { return e.healthy[Config].Load() && e.healthy[List].Load() }

// Read notes that the store answered, with what may be so old, and tells the
// others if this VM is a watcher.
func (e *Election) Read(s Subject, age time.Duration) {
	e.healthy[s].Store(true)
	if !e.Watches() {
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
func (e *Election) Watches() bool { return e.before() < watchers }

// Stopping notes that a planned stop of this VM has begun, and announces it.
func (e *Election) Stopping() {
	e.stopping.Store(true)
	e.announce(announcement{})
}

// AllStop tells whether all other VMs have announced that they stop. Those that are
// silent serve: beyond the candidates VMs announce nothing while they do, and
// datagrams may be lost. A VM that stops announces it once at least.
func (e *Election) AllStop() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	stopping := 0
	for _, vm := range e.members {
		if vm.stopping && now.Sub(vm.at) < stopTimeout {
			stopping++
		}
	}
	return stopping > 0 && stopping+1 >= e.opts.Size()
}

// FirstStop returns when the first of the other VMs that stop announced it; zero if
// none does. It is the one that is back first.
func (e *Election) FirstStop() (first time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for _, vm := range e.members {
		if !vm.stopping || now.Sub(vm.at) >= stopTimeout {
			continue
		}
		if first.IsZero() || vm.stopAt.Before(first) {
			first = vm.stopAt
		}
	}
	return first
}

// before counts the healthy members that rank before this VM.
func (e *Election) before() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	before := 0
	for _, vm := range e.members {
		if vm.healthy && now.Sub(vm.at) < memberTimeout && vm.rank < e.rank {
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

// Delegated returns for how long nothing has to be read: a watcher has just
// announced that what is in force here is the newest.
func (e *Election) Delegated(s Subject) time.Duration {
	if e.Watches() {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(0, time.Until(e.delegated[s]))
}

// receive takes in another VM's announcement.
func (e *Election) receive(from string, h head, raw []byte, now time.Time) bool {
	a, ok := decodeAnnouncement(raw)
	if !ok || !e.note(from, h, a, now) {
		return ok
	}
	read := [subjects]bool{Config: a.configReadNow, List: a.listReadNow}
	place := [subjects]uint64{Config: a.config, List: a.listed}
	for s := range subjects {
		e.receiveSubject(from, s, read[s], place[s], now)
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
	vm.head, vm.at, vm.healthy, vm.stopping = h, now, a.healthy, a.stopping
	for address, other := range e.members {
		if now.Sub(other.at) > forgetSender {
			delete(e.members, address)
		}
	}
	return true
}

func (e *Election) receiveSubject(from string, s Subject, read bool, place uint64, now time.Time) {
	own := e.opts.Position(s)
	switch {
	case place > own && s == List:
		e.fetch(from, read, now)
		return
	case place > own:
		e.notify(s)
		return
	}
	if read && place == own {
		e.delegate(s, now)
	}
}

func (e *Election) delegate(s Subject, at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if until := at.Add(leaseTime); until.After(e.delegated[s]) {
		e.delegated[s] = until
	}
}

// notify has the subject read from the store here.
func (e *Election) notify(s Subject) {
	e.mu.Lock()
	e.delegated[s] = time.Time{}
	e.mu.Unlock()
	select {
	case e.updates[s] <- struct{}{}:
	default:
	}
}

// fetch asks a peer for changes of the list, one question a peer at a time.
// What it can't tell as changes is read from the store.
func (e *Election) fetch(peer string, read bool, at time.Time) {
	e.mu.Lock()
	busy := e.asking[peer]
	e.asking[peer] = true
	e.mu.Unlock()
	if busy {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), helpTimeout)
		defer cancel()
		before := e.opts.Position(List)
		e.opts.Fetch(ctx, peer)
		switch newer := e.opts.Position(List) > before; {
		case !newer:
			e.notify(List)
		case read:
			e.delegate(List, at)
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.asking, peer)
	}()
}
