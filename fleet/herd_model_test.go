package fleet

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/follow"
	"github.com/pearyard/pearyard/retry"
	fleetpb "github.com/pearyard/pearyard/rpc/fleet"
	"github.com/pearyard/pearyard/site"
)

// Times of the model of a site.
const (
	herdLink      = 1400 * time.Microsecond // one way between two VMs
	herdStore     = 4 * time.Millisecond    // an answer of the store
	herdHeartbeat = 20 * time.Millisecond   // between two writes of other tables
)

// unanswered counts the calls of VMs that the store does not answer, beside their kinds.
const unanswered = "unanswered"

// storeChange is one change of the list of servers; gone if it has no address.
type storeChange struct {
	at      uint64
	listing directory.Listing
}

// herdStoreModel is the platform's store in virtual time. It counts calls.
type herdStoreModel struct {
	mu       sync.Mutex
	position uint64 // grows with each write to any table
	config   *site.Versioned
	servers  map[string]directory.Listing
	changes  []storeChange
	rows     map[string][]byte
	calls    map[string]int
	changed  chan struct{} // closed at the next change of configuration or list
}

func newHerdStore(ctx context.Context, servers int) *herdStoreModel {
	s := &herdStoreModel{servers: map[string]directory.Listing{}, rows: map[string][]byte{}, calls: map[string]int{}, changed: make(chan struct{})}
	s.position = 1
	s.setConfig()
	for i := range servers {
		s.setServer(directory.Listing{ID: fmt.Sprint("s", i), Service: "s", Address: fmt.Sprintf("10.1.%d.%d:80", i/250, i%250), Zone: "a", Slots: 8})
	}
	go func() {
		for retry.Wait(ctx, herdHeartbeat) == nil {
			s.mu.Lock()
			s.position++
			s.mu.Unlock()
		}
	}()
	return s
}

func (s *herdStoreModel) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *herdStoreModel) setConfig() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.position++
	s.config, _ = decode1(s.position, []byte("text"))
	s.wake()
}

func (s *herdStoreModel) setServer(l directory.Listing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.position++
	s.servers[l.ID] = l
	s.changes = append(s.changes, storeChange{s.position, l})
	s.wake()
}

// called counts a call, and returns the calls so far by kind.
func (s *herdStoreModel) called(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[what]++
}

func (s *herdStoreModel) counts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// since returns the calls that were made after counts were taken, by kind, and their sum.
func (s *herdStoreModel) since(before map[string]int) (map[string]int, int) {
	now, sum := s.counts(), 0
	for what := range now {
		now[what] -= before[what]
		if what != unanswered {
			sum += now[what]
		}
	}
	return now, sum
}

// herdSource is the store as one VM reaches it.
type herdSource struct {
	*herdStoreModel
	cut func() bool
}

func (s herdSource) call(ctx context.Context, what string) error {
	s.called(what)
	if s.cut() {
		s.called(unanswered)
		<-ctx.Done()
		return ctx.Err()
	}
	select {
	case <-time.After(herdStore):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s herdSource) Read(ctx context.Context) (*site.Versioned, uint64, error) {
	if err := s.call(ctx, "read configuration"); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config, s.position, nil
}

// await waits until found reports something, or for that long.
func (s herdSource) await(ctx context.Context, wait time.Duration, found func() bool) error {
	over := time.After(wait)
	for {
		s.mu.Lock()
		done, changed := found(), s.changed
		s.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-changed:
		case <-over:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s herdSource) Next(ctx context.Context, after uint64, wait time.Duration) (*site.Versioned, uint64, error) {
	if err := s.call(ctx, "wait for configuration"); err != nil {
		return nil, 0, err
	}
	if err := s.await(ctx, wait, func() bool { return s.config.Position > after }); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.config.Position > after {
		return s.config, s.position, nil
	}
	return nil, s.position, nil
}

func (s herdSource) List(ctx context.Context) (uint64, []directory.Listing, error) {
	if err := s.call(ctx, "read servers"); err != nil {
		return 0, nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []directory.Listing
	for _, l := range s.servers {
		list = append(list, l)
	}
	return s.position, list, nil
}

func (s herdSource) changedAfter(after uint64) (changed []directory.Listing) {
	for _, c := range s.changes {
		if c.at > after {
			changed = append(changed, c.listing)
		}
	}
	return changed
}

func (s herdSource) Changes(ctx context.Context, after uint64, wait time.Duration) (uint64, []directory.Listing, []string, error) {
	if err := s.call(ctx, "wait for servers"); err != nil {
		return 0, nil, nil, err
	}
	if err := s.await(ctx, wait, func() bool { return len(s.changedAfter(after)) > 0 }); err != nil {
		return 0, nil, nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.position, s.changedAfter(after), nil, nil
}

func (s herdSource) Put(ctx context.Context, _, key string, value []byte) error {
	if err := s.call(ctx, "write row"); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.position++
	s.rows[key] = value
	return nil
}

func (s herdSource) Rows(ctx context.Context, _ string) (map[string][]byte, error) {
	if err := s.call(ctx, "read entry VMs"); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.rows), nil
}

// herd is a site's entry VMs, each with all that it uses the store for, in virtual
// time and without a network.
type herd struct {
	ctx   context.Context
	store *herdStoreModel
	mu    sync.Mutex
	vms   map[string]*herdVM // by address
	cut   map[string]bool    // addresses that the store does not answer
}

type herdVM struct {
	*Fleet
	holder   *site.Holder
	dir      *directory.Directory
	socket   *Socket
	inbox    herdInbox
	election *Election
	stop     context.CancelFunc
}

func newHerd(ctx context.Context, servers int) *herd {
	return &herd{ctx: ctx, store: newHerdStore(ctx, servers), vms: map[string]*herdVM{}, cut: map[string]bool{}}
}

func herdAddress(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1) }

func (h *herd) at(address string) *herdVM {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.vms[address]
}

func (h *herd) isCut(address string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cut[address]
}

func (h *herd) setCut(cut bool, addresses ...string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range addresses {
		h.cut[a] = cut
	}
}

// herdDatagram is a datagram on its way.
type herdDatagram struct {
	from string
	raw  []byte
}

// herdTick is the way of a datagram. Those that come meanwhile are taken together, which
// keeps the race detector's work within its bounds.
const herdTick = 3 * time.Millisecond

// herdInbox holds what is on its way to one VM.
type herdInbox struct {
	mu      sync.Mutex
	waiting []herdDatagram
	came    chan struct{} // holds a token when something is on its way
}

func (in *herdInbox) put(d herdDatagram) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.waiting = append(in.waiting, d); len(in.waiting) == 1 {
		signal(in.came)
	}
}

// take takes out all that is on its way, in order.
func (in *herdInbox) take() []herdDatagram {
	in.mu.Lock()
	defer in.mu.Unlock()
	out := in.waiting
	in.waiting = nil
	return out
}

// send carries a datagram, in order; one to a VM that is not there is lost.
func (h *herd) send(from string) func(raw []byte, peer string) bool {
	return func(raw []byte, peer string) bool {
		if vm := h.at(peer); vm != nil {
			vm.inbox.put(herdDatagram{from, raw})
		}
		return true
	}
}

func (vm *herdVM) receive(ctx context.Context) error {
	for {
		select {
		case <-vm.inbox.came:
			time.Sleep(herdTick)
			for _, d := range vm.inbox.take() {
				vm.socket.take(d.from, d.raw, time.Now())
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// ask carries a question for changes of the list.
func (h *herd) ask(vm *herdVM, peer string, since uint64) {
	other := h.at(peer)
	time.Sleep(2 * herdLink)
	if other == nil {
		return
	}
	answer, err := other.Newest(h.ctx, &fleetpb.NewestRequest{ConfigPosition: vm.holder.Position(), ListPosition: since, ChangesOnly: true})
	if err == nil {
		vm.Fleet.take(peer, answer)
	}
}

// start starts the VM of that number; it knows two others' addresses.
func (h *herd) start(i int) {
	address := herdAddress(i)
	source := herdSource{h.store, func() bool { return h.isCut(address) }}
	vm := &herdVM{holder: site.NewHolder(), dir: directory.New(), inbox: herdInbox{came: make(chan struct{}, 1)}}
	config := &site.Follower{Holder: vm.holder, Source: source, Recorder: event.Discard()}
	servers := &directory.Follower{Directory: vm.dir, Source: source, Recorder: event.Discard()}
	vm.Fleet = New(Options{
		Name: address, Address: address, Seeds: []string{herdAddress(0), herdAddress(1)}, Registry: source,
		Holder: vm.holder, Directory: vm.dir, Decode: decode1, OfferConfig: config.Offer, OfferList: servers.ApplyPeerList, OfferChanges: servers.ApplyPeerChanges,
		Settled: servers.Settled, Client: http.DefaultClient, Recorder: event.Discard(),
	})
	vm.socket = NewSocket(address, vm.Fleet.Peers, nil)
	vm.socket.write = h.send(address)
	vm.election = NewElection(ElectionOptions{
		Address: address, Socket: vm.socket, Size: vm.Fleet.Size, Recorder: event.Discard(),
		Fetch: func(_ context.Context, peer string, since uint64) { h.ask(vm, peer, since) },
		Reached: func(s Subject) uint64 {
			if s == Config {
				return vm.holder.Position()
			}
			return servers.Reached()
		},
		Position: func(s Subject) uint64 {
			if s == Config {
				return vm.holder.Position()
			}
			return vm.dir.View().UnchangedSince
		},
	})
	h.wire(vm, config, servers)
	ctx, stop := context.WithCancel(h.ctx)
	vm.stop = stop
	h.mu.Lock()
	h.vms[address] = vm
	h.mu.Unlock()
	for _, run := range []func(context.Context) error{config.Run, servers.Run, vm.Fleet.Run, vm.election.Run, vm.receive} {
		go func() { _ = run(ctx) }()
	}
}

// wire ties a VM's followers to its election.
func (h *herd) wire(vm *herdVM, config *site.Follower, servers *directory.Follower) {
	vm.Fleet.UseElection(vm.election)
	config.OnApplied = vm.Fleet.Applied
	turns := follow.NewProbeGroup()
	config.ProbeGroup, servers.ProbeGroup = turns, turns
	config.Share, servers.Share = vm.election.For(Config), vm.election.For(List)
}

// startAll starts VMs a millisecond apart.
func (h *herd) startAll(count int) {
	for i := range count {
		h.start(i)
		time.Sleep(time.Millisecond)
	}
}

// kill ends the VMs that are picked, without a word.
func (h *herd) kill(picked func(*herdVM) bool) (killed int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for address, vm := range h.vms {
		if picked(vm) {
			vm.stop()
			delete(h.vms, address)
			killed++
		}
	}
	return killed
}

func (h *herd) all(holds func(*herdVM) bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, vm := range h.vms {
		if !holds(vm) {
			return false
		}
	}
	return true
}

// inForceWithin tells how long it takes until something holds at all VMs.
func (h *herd) inForceWithin(holds func(*herdVM) bool) time.Duration {
	began := time.Now()
	for !h.all(holds) && time.Since(began) < time.Minute {
		time.Sleep(time.Millisecond)
	}
	return time.Since(began)
}
