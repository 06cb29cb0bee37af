package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/retry"
	"github.com/pearyard/pearyard/types"
)

// readPoint is a point of a VM's read of the list of servers.
type readPoint int

// The points of a read.
const (
	beforeRequest readPoint = iota + 1
	beforeAnswer            // the request has arrived, the answer is not formed
	afterAnswer             // the answer is formed, and not read
	afterApply
)

// versionLink is what reaches a VM of a versionSite. What is sent over a connection arrives
// once the VM is reached again; datagrams to a VM that is cut off are lost.
type versionLink struct {
	mu        sync.Mutex
	standing  bool // the process stands still
	cutPeers  bool
	cutStore  bool
	behind    time.Duration // of the store's answers
	trapPoint readPoint     // of the next read, at which trap is called; 0: none
	trap      func()
	changed   chan struct{} // closed at a change of the fields above
	resets    map[int]context.CancelFunc
	nextReset int
}

func (m *versionSite) linkOf(address string) *versionLink {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[address] == nil {
		m.links[address] = &versionLink{changed: make(chan struct{}), resets: map[int]context.CancelFunc{}}
	}
	return m.links[address]
}

// set changes what reaches the VM.
func (l *versionLink) set(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	close(l.changed)
	l.changed = make(chan struct{})
}

// await waits until a condition holds.
func (l *versionLink) await(ctx context.Context, holds func() bool) error {
	for {
		l.mu.Lock()
		ok, changed := holds(), l.changed
		l.mu.Unlock()
		if ok {
			return ctx.Err()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// awaitWake waits while the VM stands still. What has arrived meanwhile is handled in any
// order within wakeSpread.
func (l *versionLink) awaitWake(ctx context.Context) error {
	l.mu.Lock()
	standing := l.standing
	l.mu.Unlock()
	if !standing {
		return ctx.Err()
	}
	if err := l.await(ctx, func() bool { return !l.standing }); err != nil {
		return err
	}
	return retry.Wait(ctx, rand.N(wakeSpread))
}

// wakeSpread is how long a process handles what has arrived while it stood still.
const wakeSpread = 20 * time.Millisecond

// reach calls the trap that is set at a point of a read.
func (l *versionLink) reach(at readPoint) {
	l.mu.Lock()
	trap := l.trap
	if l.trapPoint != at || trap == nil {
		l.mu.Unlock()
		return
	}
	l.trap = nil
	l.mu.Unlock()
	trap()
}

// awaitStore waits until the VM and the store reach each other.
func (l *versionLink) awaitStore(ctx context.Context) error {
	l.mu.Lock()
	cut := l.cutStore
	l.mu.Unlock()
	if cut {
		if err := l.await(ctx, func() bool { return !l.cutStore }); err != nil {
			return err
		}
		if err := retry.Wait(ctx, rand.N(resendDelay)); err != nil {
			return err
		}
	}
	return l.awaitWake(ctx)
}

// resendDelay is the longest time until what a cut has held up is sent again.
const resendDelay = 300 * time.Millisecond

func (l *versionLink) staleness() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.behind
}

func (l *versionLink) losesDatagrams() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cutPeers
}

func (l *versionLink) isCutFromStore() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cutStore || l.standing
}

// onReset has a function called when the connections of callers are reset.
func (l *versionLink) onReset(f context.CancelFunc) (remove func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.nextReset
	l.nextReset++
	l.resets[n] = f
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.resets, n)
	}
}

// reset resets the connections of the VM's callers.
func (l *versionLink) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, cancel := range l.resets {
		cancel()
	}
}

// versionListSource is the access of a VM to the list of servers.
type versionListSource struct{ vm *versionVM }

// List implements directory.Source.
func (s *versionListSource) List(ctx context.Context) (types.Position, []directory.Listing, error) {
	return s.read(ctx, 0)
}

// Changes implements directory.Source.
func (s *versionListSource) Changes(ctx context.Context, after types.Position, wait time.Duration) (types.Position, []directory.Listing, []string, error) {
	position, list, err := s.read(ctx, min(wait, time.Duration((0.5+rand.Float64())*float64(modelFeedWait))))
	if err != nil || position == after {
		return position, nil, nil, err
	}
	var gone []string
	for _, l := range s.vm.dir.View().Listings {
		if !slices.ContainsFunc(list, func(now directory.Listing) bool { return now.ID == l.ID }) {
			gone = append(gone, l.ID)
		}
	}
	return position, list, gone, nil
}

func (s *versionListSource) read(ctx context.Context, wait time.Duration) (types.Position, []directory.Listing, error) {
	link := s.vm.link
	if s.vm.site.isCut(s.vm.address) {
		<-ctx.Done()
		return 0, nil, ctx.Err()
	}
	link.reach(beforeRequest)
	if err := link.awaitStore(ctx); err != nil {
		return 0, nil, err
	}
	link.reach(beforeAnswer)
	if err := retry.Wait(ctx, wait+storeDelay/2); err != nil {
		return 0, nil, err
	}
	position, list := s.vm.site.staleListings(link.staleness())
	if err := retry.Wait(ctx, storeDelay/2); err != nil {
		return 0, nil, err
	}
	link.reach(afterAnswer)
	if err := link.awaitStore(ctx); err != nil {
		return 0, nil, err
	}
	time.AfterFunc(time.Millisecond, func() { link.reach(afterApply) })
	return position, list, nil
}

// awaitList waits until the VM has the list of servers.
func (vm *versionVM) awaitList() {
	for vm.ctx.Err() == nil && vm.dir.View().Position == 0 {
		time.Sleep(time.Millisecond)
	}
}

// staleListings returns the list as it was a while ago.
func (m *versionSite) staleListings(behind time.Duration) (types.Position, []directory.Listing) {
	position, list := m.listings()
	m.mu.Lock()
	defer m.mu.Unlock()
	for ; position > 1 && time.Since(m.lists[position].since) < behind; position-- {
		if former := m.lists[position-1].list; former != nil {
			list = former
		}
	}
	return position, list
}

// versionList is a list of servers that was in force since a moment.
type versionList struct {
	list  []directory.Listing
	since time.Time
}
