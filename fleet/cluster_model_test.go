package fleet

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/follow"
	"github.com/pearyard/pearyard/retry"
	fleetpb "github.com/pearyard/pearyard/rpc/fleet"
	"github.com/pearyard/pearyard/site"
	"github.com/pearyard/pearyard/types"
)

// Durations of the simulated site.
const (
	linkDelay          = 1400 * time.Microsecond // one-way delay between two VMs
	storeDelay         = 4 * time.Millisecond    // until an answer of the store
	storeWriteInterval = 20 * time.Millisecond   // between two writes to other tables
)

// unanswered is the count of calls that the store did not answer; each is also counted
// under its own kind.
const unanswered = "unanswered"

// storeChange is one change of the list of servers. A listing without an address means
// that the server is gone.
type storeChange struct {
	position types.Position
	listing  directory.Listing
}

// storeModel simulates the platform's store in virtual time and counts calls.
type storeModel struct {
	mu       sync.Mutex
	position types.Position // grows with each write to any table
	version  uint64         // newest one of the configuration that the operator has written
	config   *site.Versioned
	servers  map[string]directory.Listing
	changes  []storeChange
	rows     map[string][]byte
	calls    map[string]int
	changed  chan struct{} // closed at the next change of configuration or list
}

func newStoreModel(ctx context.Context, servers int) *storeModel {
	s := &storeModel{servers: map[string]directory.Listing{}, rows: map[string][]byte{}, calls: map[string]int{}, changed: make(chan struct{})}
	s.position = 1
	s.setConfig()
	for i := range servers {
		s.setServer(directory.Listing{ID: fmt.Sprint("s", i), Service: "s", Address: fmt.Sprintf("10.1.%d.%d:80", i/250, i%250), Zone: "a", Slots: 8})
	}
	go func() {
		for retry.Wait(ctx, storeWriteInterval) == nil {
			s.mu.Lock()
			s.position++
			s.mu.Unlock()
		}
	}()
	return s
}

func (s *storeModel) notifyWaiters() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *storeModel) setConfig() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.position++
	s.version++
	s.config, _ = decodeConfig(s.position, fmt.Appendf(nil, "version %d", s.version))
	s.notifyWaiters()
}

func (s *storeModel) setServer(l directory.Listing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.position++
	s.servers[l.ID] = l
	s.changes = append(s.changes, storeChange{s.position, l})
	s.notifyWaiters()
}

// countCall counts a call of a kind.
func (s *storeModel) countCall(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[what]++
}

func (s *storeModel) counts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// countsSince returns the calls made since an earlier snapshot of the counts, by kind, and
// their sum without unanswered.
func (s *storeModel) countsSince(before map[string]int) (map[string]int, int) {
	now, sum := s.counts(), 0
	for what := range now {
		now[what] -= before[what]
		if what != unanswered {
			sum += now[what]
		}
	}
	return now, sum
}

// storeClient is the access of one VM to the store.
type storeClient struct {
	*storeModel
	isCut func() bool
	era   *eraWatch
}

// eraWatch calls changed when an answer names a later era than those before.
type eraWatch struct {
	known   atomic.Uint64
	changed func()
}

func (w *eraWatch) observe(era uint64) {
	if known := w.known.Load(); era > known && w.known.CompareAndSwap(known, era) {
		w.changed()
	}
}

func (s storeClient) roundTrip(ctx context.Context, what string) error {
	s.countCall(what)
	if s.isCut() {
		s.countCall(unanswered)
		<-ctx.Done()
		return ctx.Err()
	}
	select {
	case <-time.After(storeDelay):
		s.mu.Lock()
		era := s.position.Era()
		s.mu.Unlock()
		s.era.observe(era)
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s storeClient) Read(ctx context.Context) (*site.Versioned, types.Position, error) {
	if err := s.roundTrip(ctx, "read configuration"); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config, s.position, nil
}

// await waits until found reports true, at most for wait.
func (s storeClient) await(ctx context.Context, wait time.Duration, found func() bool) error {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		done, changed := found(), s.changed
		s.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-changed:
		case <-timeout:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s storeClient) Next(ctx context.Context, after types.Position, wait time.Duration) (*site.Versioned, types.Position, error) {
	if err := s.roundTrip(ctx, "wait for configuration"); err != nil {
		return nil, 0, err
	}
	if err := s.await(ctx, wait, func() bool { return s.config.Position > after }); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.config.Position > after || s.position.Era() != after.Era() {
		return s.config, s.position, nil
	}
	return nil, s.position, nil
}

func (s storeClient) List(ctx context.Context) (types.Position, []directory.Listing, error) {
	if err := s.roundTrip(ctx, "read servers"); err != nil {
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

func (s storeClient) changedAfter(after types.Position) (changed []directory.Listing) {
	for _, c := range s.changes {
		if c.position > after {
			changed = append(changed, c.listing)
		}
	}
	return changed
}

func (s storeClient) Changes(ctx context.Context, after types.Position, wait time.Duration) (types.Position, []directory.Listing, []string, error) {
	if err := s.roundTrip(ctx, "wait for servers"); err != nil {
		return 0, nil, nil, err
	}
	if err := s.await(ctx, wait, func() bool { return len(s.changedAfter(after)) > 0 }); err != nil {
		return 0, nil, nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.position.Era() != after.Era() {
		return 0, nil, nil, directory.ErrTooOld
	}
	return s.position, s.changedAfter(after), nil, nil
}

func (s storeClient) Put(ctx context.Context, _, key string, value []byte) error {
	if err := s.roundTrip(ctx, "write row"); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.position++
	s.rows[key] = value
	return nil
}

func (s storeClient) Rows(ctx context.Context, _ string) (map[string][]byte, error) {
	if err := s.roundTrip(ctx, "read entry VMs"); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.rows), nil
}

// cluster simulates the entry VMs of a site, with all parts that use the store, in virtual
// time and without a network.
type cluster struct {
	ctx   context.Context
	store *storeModel
	mu    sync.Mutex
	vms   map[string]*clusterVM // by address
	cut   map[string]bool       // addresses of VMs that the store does not answer
	apart map[string]bool       // addresses of VMs that reach no other VM either
}

type clusterVM struct {
	*Fleet
	holder   *site.Holder
	dir      *directory.Directory
	socket   *Socket
	inbox    inbox
	election *Election
	stop     context.CancelFunc
}

func newCluster(ctx context.Context, servers int) *cluster {
	return &cluster{ctx: ctx, store: newStoreModel(ctx, servers), vms: map[string]*clusterVM{}, cut: map[string]bool{}, apart: map[string]bool{}}
}

func vmAddress(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1) }

func (c *cluster) at(address string) *clusterVM {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.vms[address]
}

func (c *cluster) isCut(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut[address]
}

// isApart reports whether one of two VMs reaches no other one.
func (c *cluster) isApart(a, b string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.apart[a] || c.apart[b]
}

// setApart cuts VMs off from the store and from all other VMs, or ends that.
func (c *cluster) setApart(apart bool, addresses ...string) {
	c.setCut(apart, addresses...)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range addresses {
		c.apart[a] = apart
	}
}

func (c *cluster) setCut(cut bool, addresses ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range addresses {
		c.cut[a] = cut
	}
}

// datagram is a datagram in transit.
type datagram struct {
	from string
	raw  []byte
}

// datagramDelay is the transit time of a datagram. Those that arrive in the meantime are
// delivered together, which keeps the overhead of the race detector bounded.
const datagramDelay = 3 * time.Millisecond

// inbox holds the datagrams in transit to one VM.
type inbox struct {
	mu      sync.Mutex
	waiting []datagram
	arrived chan struct{} // holds a token when datagrams are in transit
}

func (in *inbox) put(d datagram) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.waiting = append(in.waiting, d); len(in.waiting) == 1 {
		signal(in.arrived)
	}
}

// take removes and returns all datagrams in transit, in order.
func (in *inbox) take() []datagram {
	in.mu.Lock()
	defer in.mu.Unlock()
	out := in.waiting
	in.waiting = nil
	return out
}

// send returns a function that delivers datagrams in order; those to a VM that does not
// run are lost.
func (c *cluster) send(from string) func(raw []byte, peer string) bool {
	return func(raw []byte, peer string) bool {
		if vm := c.at(peer); vm != nil && !c.isApart(from, peer) {
			vm.inbox.put(datagram{from, raw})
		}
		return true
	}
}

func (vm *clusterVM) receive(ctx context.Context) error {
	for {
		select {
		case <-vm.inbox.arrived:
			time.Sleep(datagramDelay)
			for _, d := range vm.inbox.take() {
				vm.socket.dispatch(d.from, d.raw, time.Now())
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// clusterLink calls a VM of the cluster.
type clusterLink struct {
	cluster    *cluster
	from, peer string
}

func (c *cluster) dial(from string) func(peer string) fleetpb.Fleet {
	return func(peer string) fleetpb.Fleet { return clusterLink{c, from, peer} }
}

func (l clusterLink) Newest(ctx context.Context, r *fleetpb.NewestRequest) (*fleetpb.NewestResponse, error) {
	time.Sleep(2 * linkDelay)
	other := l.cluster.at(l.peer)
	if other == nil || l.cluster.isApart(l.from, l.peer) {
		return nil, errNoVM
	}
	return other.Newest(ctx, r)
}

var errNoVM = errors.New("no VM has this address")

// start starts VM number i with the addresses of two VMs as seeds.
func (c *cluster) start(i int) {
	address := vmAddress(i)
	watch := &eraWatch{changed: func() {}}
	source := storeClient{c.store, func() bool { return c.isCut(address) }, watch}
	vm := &clusterVM{holder: site.NewHolder(), dir: directory.New(), inbox: inbox{arrived: make(chan struct{}, 1)}}
	config := &site.Follower{Holder: vm.holder, Source: source, Recorder: event.Discard()}
	servers := &directory.Follower{Directory: vm.dir, Source: source, Recorder: event.Discard()}
	vm.Fleet = New(Options{
		Name: address, Address: address, Seeds: []string{vmAddress(0), vmAddress(1)}, Registry: source,
		Holder: vm.holder, Directory: vm.dir, Decode: decodeConfig, OfferConfig: config.Offer, OfferList: servers.ApplyPeerList, OfferChanges: servers.ApplyPeerChanges,
		Settled: servers.Settled, Dial: c.dial(address), Recorder: event.Discard(),
	})
	watch.changed = vm.EraChanged
	vm.socket = NewSocket(address, vm.Fleet.Peers, nil)
	vm.socket.write = c.send(address)
	vm.election = NewElection(ElectionOptions{
		Address: address, Socket: vm.socket, Size: vm.Fleet.Size, Recorder: event.Discard(),
		Fetch: vm.Fetch,
		Reached: func(s Subject) types.Position {
			if s == Config {
				return vm.holder.Position()
			}
			return vm.dir.Reached()
		},
		Mark: func(s Subject) Mark {
			if s == Config {
				return ConfigMark(vm.holder.Current())
			}
			return Mark{Position: vm.dir.View().UnchangedSince}
		},
	})
	c.connect(vm, config, servers)
	ctx, stop := context.WithCancel(c.ctx)
	vm.stop = stop
	c.mu.Lock()
	c.vms[address] = vm
	c.mu.Unlock()
	for _, run := range []func(context.Context) error{config.Run, servers.Run, vm.Fleet.Run, vm.CatchUpWithPeers, vm.election.Run, vm.receive} {
		go func() { _ = run(ctx) }()
	}
}

// connect connects a VM's followers to its election.
func (c *cluster) connect(vm *clusterVM, config *site.Follower, servers *directory.Follower) {
	vm.Fleet.UseElection(vm.election)
	config.OnApplied = vm.Fleet.Applied
	probes := follow.NewProbeGroup()
	config.ProbeGroup, servers.ProbeGroup = probes, probes
	config.Share, servers.Share = vm.election.For(Config), vm.election.For(List)
}

// startAll starts VMs one millisecond apart.
func (c *cluster) startAll(count int) {
	for i := range count {
		c.start(i)
		time.Sleep(time.Millisecond)
	}
}

// kill stops the picked VMs without an announcement and returns their number.
func (c *cluster) kill(picked func(*clusterVM) bool) (killed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, vm := range c.vms {
		if picked(vm) {
			vm.stop()
			delete(c.vms, address)
			killed++
		}
	}
	return killed
}

func (c *cluster) all(holds func(*clusterVM) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, vm := range c.vms {
		if !holds(vm) {
			return false
		}
	}
	return true
}

// timeUntilAll returns how long it takes until a condition holds at all VMs.
func (c *cluster) timeUntilAll(holds func(*clusterVM) bool) time.Duration {
	start := time.Now()
	for !c.all(holds) && time.Since(start) < time.Minute {
		time.Sleep(time.Millisecond)
	}
	return time.Since(start)
}
