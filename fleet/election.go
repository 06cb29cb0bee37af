package fleet

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/retry"
	"github.com/pearyard/pearyard/types"
)

const (
	// watcherCount is how many entry VMs watch the store on behalf of all. With two, the
	// loss of one leaves no gap.
	watcherCount = 2
	// candidateCount is how many entry VMs announce themselves while nothing changes. If
	// all did, the number of datagrams would grow with the square of the number of VMs.
	candidateCount = 8
	// announceInterval is how often a candidate announces itself.
	announceInterval = time.Second
	// firstAnnouncementDelay leaves time to read the addresses of the other VMs.
	firstAnnouncementDelay = 150 * time.Millisecond
	// electionDelay is how long after its start a VM does not watch: until it has heard
	// the announcements of the others, it would consider itself one of the first.
	electionDelay = 2 * firstAnnouncementDelay
	// membersLeaseTime is how long a read of the registry of entry VMs, by this process or a
	// watcher, makes another one unnecessary; it covers lost datagrams.
	membersLeaseTime = 3 * registryPollInterval
	// memberTimeout is how long an announcement is valid; it covers a lost datagram.
	memberTimeout = 2500 * time.Millisecond
	// stopTimeout is how long the announcement of a planned stop is valid: the grace
	// period of sites plus the time to start again.
	stopTimeout = 10 * time.Second
	// leaseTime is how long a watcher's read of the store replaces one by this process.
	// Together with maxAnnouncedAge and the duration of one read it must stay below the two
	// seconds within which a change has to be in force.
	leaseTime = 1350 * time.Millisecond
	// pollTimeout is how long a watcher's long poll waits at the store. It must be shorter
	// than leaseTime, as a watcher announces each answer only when the poll ends.
	pollTimeout = 900 * time.Millisecond
	// outagePause is how long a VM waits between two requests to an unavailable store
	// while other VMs send requests as well. It bounds the delay if those other VMs are
	// lost.
	outagePause = 2 * time.Second
	// outageLoopPause is the same for a read loop when another loop of the same VM already
	// sends requests.
	outageLoopPause = 4 * outagePause
	// maxAnnouncedAge is how old an answer of the store may be to be announced as current.
	maxAnnouncedAge = 550 * time.Millisecond
)

// Subject is a kind of data that is read from the store.
type Subject int

// The subjects.
const (
	Config Subject = iota
	List
	subjects
)

// Election picks the few entry VMs that watch the store on behalf of all others. It is
// advisory: disagreement only costs extra reads.
//
// Of the members that announce themselves as healthy, the first ones by the hash of their
// address are the watchers. They announce each answer of the store. The other VMs read the
// store themselves only if no announcement has arrived for leaseTime.
type Election struct {
	opts          ElectionOptions
	rank          uint64                // hash of the own address; the lowest ranks are the watchers
	healthy       [subjects]atomic.Bool // the store answers this VM
	stopping      atomic.Bool           // a planned stop has begun
	elected       atomic.Bool           // electionDelay has passed
	membersDigest atomic.Uint64         // hash of the entry VMs last read from the registry; 0: not read yet

	mu        sync.Mutex
	members   map[string]*member  // by address
	delegated [subjects]time.Time // until when the subject need not be read here
	confirmed [subjects]confirmation
	fetches   map[string]*wantedMarks // running queries, by peer
	// membersDelegatedUntil is until when the registry need not be read here.
	membersDelegatedUntil time.Time

	updates    [subjects]chan struct{} // hold a token when the subject has to be read or has become delegated
	newMembers chan struct{}           // holds a token when the registry has to be read
	// watchersChanged holds a token when the eligibility of a member has changed.
	watchersChanged chan struct{}
}

// ElectionOptions configures an Election.
type ElectionOptions struct {
	Address string
	Socket  *Socket
	// Mark returns the mark since which the data in force here is unchanged. Reached returns
	// the position up to which nothing newer is known; nil: that of Mark.
	Mark    func(Subject) Mark
	Reached func(Subject) types.Position
	Size    func() int // number of all VMs, including this one; very large until it is known
	// Fetch asks a peer for changes; for the list, for those since a position. With full set
	// the peer may send the whole configuration and list: the store lacks what it has.
	Fetch    func(ctx context.Context, peer string, since types.Position, full bool)
	Recorder *event.Recorder
}

// member is another entry VM, as it announced itself.
type member struct {
	header   header
	at       time.Time // when its newest announcement arrived
	healthy  bool      // the store answers it
	stopping bool      // a planned stop of it has begun
	stopAt   time.Time // when its stop was first announced; zero while it serves
	rank     uint64    // hash of its address
}

// eligible reports whether the member may be a watcher: the store answers it and it is not
// stopping.
func (m *member) eligible() bool { return m.healthy && !m.stopping }

// NewElection returns an Election that handles the announcements received by opts.Socket.
func NewElection(opts ElectionOptions) *Election {
	e := &Election{opts: opts, rank: xxhash.Sum64String(opts.Address), members: map[string]*member{}, fetches: map[string]*wantedMarks{}, newMembers: make(chan struct{}, 1), watchersChanged: make(chan struct{}, 1)}
	for s := range subjects {
		e.updates[s] = make(chan struct{}, 1)
	}
	opts.Socket.handle(kindAnnouncement, e.receive)
	return e
}

// Run announces this VM while it is a candidate, and updates its role, until ctx ends.
func (e *Election) Run(ctx context.Context) error {
	if retry.Wait(ctx, firstAnnouncementDelay) == nil && e.healthyBefore() < candidateCount {
		e.announce(announcement{})
	}
	if retry.Wait(ctx, electionDelay-firstAnnouncementDelay) == nil {
		e.elected.Store(true)
	}
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	isWatcher := false
	for {
		isWatcher = e.updateRole(isWatcher)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-e.watchersChanged:
		case now := <-ticker.C:
			e.expireMembers(now)
			if e.healthyBefore() < candidateCount {
				e.announce(announcement{})
			}
		}
	}
}

// updateRole starts to read the store if this VM has become a watcher, and reports whether
// it is one.
func (e *Election) updateRole(wasWatcher bool) bool {
	isWatcher := e.IsWatcher()
	if isWatcher && !wasWatcher {
		// No other VM reads on behalf of this one any more.
		e.requestRead(Config)
		e.requestRead(List)
	}
	return isWatcher
}

// announce sends an announcement with the state of this VM; a holds only the flags of what
// has just been read.
func (e *Election) announce(a announcement) {
	a.healthy, a.isWatcher, a.stopping = e.isHealthy(), e.IsWatcher(), e.stopping.Load()
	a.config, a.list, a.membersDigest = e.span(Config), e.span(List), e.membersDigest.Load()
	e.opts.Socket.Send(encodeAnnouncement(a))
}

func (e *Election) isHealthy() bool { return e.healthy[Config].Load() && e.healthy[List].Load() }

// Read records an answer of the store whose content may be as old as age. A watcher
// announces it; on another VM the answer replaces further reads for as long as a
// watcher's announcement would.
func (e *Election) Read(s Subject, age time.Duration) {
	e.healthy[s].Store(true)
	if !e.IsWatcher() {
		e.delegate(s, time.Now().Add(-age))
		return
	}
	fresh := age <= maxAnnouncedAge
	e.announce(announcement{configReadNow: fresh && s == Config, listReadNow: fresh && s == List})
}

// Failed records that the store did not answer, and announces it if it did before.
func (e *Election) Failed(s Subject) {
	if e.healthy[s].Swap(false) {
		e.announce(announcement{})
	}
}

// IsWatcher reports whether this VM is one of the watchers.
func (e *Election) IsWatcher() bool {
	return e.elected.Load() && e.countRankedBefore((*member).eligible) < watcherCount
}

// isHealthyWatcher reports whether this VM is a watcher that the store answers.
func (e *Election) isHealthyWatcher() bool { return e.IsWatcher() && e.isHealthy() }

// Pause returns how long to wait after a request that the store did not answer, in place
// of d. While the store answers no VM, a few VMs probe it and tell the others when it is
// back. others reports that another loop of this VM probes as well; then this one does so
// less often.
func (e *Election) Pause(d time.Duration, others bool) time.Duration {
	switch {
	case !e.elected.Load(), e.countRankedBefore(func(vm *member) bool { return !vm.stopping }) < watcherCount:
		return d
	case others:
		return max(d, outageLoopPause)
	default:
		return max(d, outagePause)
	}
}

// healthyBefore returns the number of healthy members that rank before this VM.
func (e *Election) healthyBefore() int {
	return e.countRankedBefore(func(vm *member) bool { return vm.healthy })
}

// countRankedBefore returns the number of live members that count and rank before this VM.
func (e *Election) countRankedBefore(counts func(*member) bool) int {
	return e.countLive(func(vm *member) bool { return counts(vm) && vm.rank < e.rank })
}

// countLive returns the number of live members that count.
func (e *Election) countLive(counts func(*member) bool) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	live := 0
	for _, vm := range e.members {
		if now.Sub(vm.at) < memberTimeout && counts(vm) {
			live++
		}
	}
	return live
}

// AllWatch reports whether there are so few VMs that all of them are watchers. Then nobody
// waits for an announcement, and a long poll may wait longer at the store.
func (e *Election) AllWatch() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	alive := 1
	for _, vm := range e.members {
		if now.Sub(vm.at) < memberTimeout {
			alive++
		}
	}
	return alive <= watcherCount
}

// receive handles an announcement of another VM.
func (e *Election) receive(from string, h header, raw []byte, now time.Time) bool {
	a, ok := decodeAnnouncement(raw)
	if !ok || !e.updateMember(from, h, a, now) {
		return ok
	}
	read := [subjects]bool{Config: a.configReadNow, List: a.listReadNow}
	if a.membersReadNow {
		e.receiveMembers(a.membersDigest, now)
	}
	theirs := [subjects]span{Config: a.config, List: a.list}
	for s := range subjects {
		// Candidates that are not watchers know nothing newer than the watchers do.
		if a.isWatcher || read[s] {
			e.handlePosition(from, s, read[s], theirs[s], now)
		}
	}
	return true
}

// updateMember records the state of a member. It reports whether the announcement is newer
// than what is known of its sender.
func (e *Election) updateMember(from string, h header, a announcement, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	vm := e.members[from]
	if vm == nil {
		vm = &member{rank: xxhash.Sum64String(from)}
		e.members[from] = vm
	}
	if !h.newerThan(vm.header) {
		return false
	}
	switch {
	case !a.stopping:
		vm.stopAt = time.Time{}
	case !vm.stopping:
		vm.stopAt = now
	}
	before := vm.eligible()
	vm.header, vm.at, vm.healthy, vm.stopping = h, now, a.healthy, a.stopping
	if vm.eligible() != before {
		signal(e.watchersChanged)
	}
	return true
}

// expireMembers drops members that have been silent for senderTTL.
func (e *Election) expireMembers(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for address, vm := range e.members {
		if now.Sub(vm.at) > senderTTL {
			delete(e.members, address)
		}
	}
}
