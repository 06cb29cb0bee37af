package fleet

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/exchange"
	"github.com/pearyard/pearyard/retry"
	"github.com/pearyard/pearyard/rollout"
	"github.com/pearyard/pearyard/site"
	"github.com/pearyard/pearyard/suspect"
	"github.com/pearyard/pearyard/types"
)

// Parameters of the model of callers that come back.
const (
	modelStreamEvents     = 150
	modelEventGap         = 30 * time.Millisecond
	modelFirstEvent       = 300 * time.Millisecond // of a new run
	modelFeedWait         = 400 * time.Millisecond // of a wait for changes of the list, on average
	modelAnnounceInterval = time.Second            // between datagrams of a VM to all others
	modelDeadline         = 25 * time.Second       // of a caller
	modelTries            = 3                      // of a caller, the first one included
	modelReturnDelay      = 250 * time.Millisecond // of a caller whose stream was cut, on average
)

// versionSite is a site of VMs in front of servers of several versions, in virtual time.
type versionSite struct {
	modelBackend

	store    *versionStoreModel
	returnTo *versionVM // VM to which half of the callers come back; nil: they come back to any
	// design switches parts of StreamVersions off, to compare designs.
	design versionDesign
	loss   float64 // share of datagrams that are lost

	mu      sync.Mutex
	servers map[string]*versionServer
	nextID  int
	list    types.Position // position of the newest list
	vms     []*versionVM
	cut     map[string]bool // addresses of VMs that reach neither others nor the store
	links   map[string]*versionLink
	lists   map[types.Position]versionList // by position
	results versionResults
}

// versionDesign says by what means VMs know the versions of streams.
type versionDesign struct{ peers, store bool }

// versionResults is what callers got.
type versionResults struct {
	begun, whole     int            // new streams that got an event; streams that ended whole
	attempted        int            // new streams, whether they got an event or not
	returned, wentOn int            // callers that came back to a VM that ran on and was not cut off, while two servers of their version served; those that got an event
	mixed            int            // callers with events of two versions
	refused          int            // returns that were refused for the version
	failures         map[string]int // of returns that got no event, by error
}

// versionServer is a backend server.
type versionServer struct {
	id, version string
	crashed     chan struct{}
}

func newVersionSite(design versionDesign) *versionSite {
	return &versionSite{store: newVersionStoreModel(), design: design, servers: map[string]*versionServer{}, cut: map[string]bool{}, links: map[string]*versionLink{}, lists: map[types.Position]versionList{}, list: 1, results: versionResults{failures: map[string]int{}}}
}

// addServers starts servers of a version.
func (m *versionSite) addServers(version string, count int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for range count {
		id := fmt.Sprintf("s%d", m.nextID)
		m.nextID++
		m.servers[id] = &versionServer{id: id, version: version, crashed: make(chan struct{})}
	}
	m.list++
}

// removeServers crashes all servers of a version and removes them from the list.
func (m *versionSite) removeServers(version string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, s := range m.servers {
		if s.version == version {
			close(s.crashed)
			delete(m.servers, id)
		}
	}
	m.list++
}

// crashServer crashes a random server; a new one of its version replaces it.
func (m *versionSite) crashServer() {
	m.mu.Lock()
	ids := slices.Sorted(maps.Keys(m.servers))
	s := m.servers[ids[rand.IntN(len(ids))]]
	close(s.crashed)
	delete(m.servers, s.id)
	m.list++
	m.mu.Unlock()
	m.addServers(s.version, 1)
}

func (m *versionSite) countServers(version string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, s := range m.servers {
		if s.version == version {
			n++
		}
	}
	return n
}

func (m *versionSite) listings() (types.Position, []directory.Listing) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lists[m.list].list == nil {
		m.lists[m.list] = versionList{m.listLocked(), time.Now()}
	}
	return m.list, m.lists[m.list].list
}

func (m *versionSite) listLocked() []directory.Listing {
	var list []directory.Listing
	for i, id := range slices.Sorted(maps.Keys(m.servers)) {
		list = append(list, directory.Listing{ID: id, Service: "s", Address: id, Zone: zoneOf(i), Slots: 64, Version: m.servers[id].version})
	}
	return list
}

// versionVM is one entry VM.
type versionVM struct {
	*exchange.Exchange
	site     *versionSite
	address  string
	dir      *directory.Directory
	follower *directory.Follower
	link     *versionLink
	socket   *Socket
	versions *StreamVersions
	ctx      context.Context
	stop     context.CancelFunc
}

// startVMs starts VMs and waits until they know the list of servers.
func (m *versionSite) startVMs(ctx context.Context, count int) {
	for i := range count {
		m.startVM(ctx, fmt.Sprintf("10.0.%d.%d:1", i/250, i%250))
	}
	time.Sleep(time.Second)
}

// startVM starts a VM, or a new process on one that was killed.
func (m *versionSite) startVM(ctx context.Context, address string) *versionVM {
	ctx, stop := context.WithCancel(ctx)
	vm := &versionVM{site: m, address: address, dir: directory.New(), link: m.linkOf(address), ctx: ctx, stop: stop}
	vm.follower = &directory.Follower{Directory: vm.dir, Source: &versionListSource{vm}, Recorder: event.Discard()}
	vm.socket = NewSocket(address, nil, nil)
	vm.socket.write = func(raw []byte, to string) bool { return m.deliver(address, raw, to) }
	known := make(chan struct{})
	close(known)
	opts := StreamVersionsOptions{
		Address: address, Socket: vm.socket, Known: known, Directory: vm.dir, Recorder: event.Discard(),
		Peers: func() []string { return nil }, ReadList: vm.follower.Refresh,
	}
	if m.design.peers {
		opts.Peers = func() []string { return m.peersOf(address) }
	}
	if m.design.store {
		opts.Store = &versionStoreClient{m.store, func() bool { return m.isCut(address) || vm.link.isCutFromStore() || ctx.Err() != nil }} // a killed process writes nothing
	}
	vm.socket.handle(kindAnnouncement, func(string, header, []byte, time.Time) bool { return true })
	rollouts := rollout.New(rollout.Options{AllowUnordered: true, Size: func() int { return 1 }, Directory: vm.dir, Recorder: event.Discard(), Metrics: prometheus.NewRegistry()})
	vm.versions = NewStreamVersions(opts)
	go func() { _ = vm.follower.Run(ctx) }()
	vm.awaitList()
	vm.Exchange = exchange.New(exchange.Options{
		Zone: "a", Directory: vm.dir, Backend: m, Recorder: event.Discard(), Metrics: prometheus.NewRegistry(), StreamVersions: vm.versions, Rollouts: rollouts,
		Suspects: suspect.New(suspect.Options{}), Services: func(string) (site.Service, bool) { return site.Service{Name: "s"}, true },
		RetryWindow: 10 * time.Second, RetryRatio: 0.8, RetryExtra: func() float64 { return 150 },
	})
	m.mu.Lock()
	m.vms = append(m.vms, vm)
	m.mu.Unlock()
	go func() { _ = vm.versions.Run(ctx) }()
	go func() {
		for retry.Wait(ctx, modelAnnounceInterval) == nil {
			vm.socket.SendTo(body{kindAnnouncement, nil}, opts.Peers())
		}
	}()
	return vm
}

// kill ends a VM's process; the streams that it serves are cut.
func (m *versionSite) kill(vm *versionVM) {
	m.mu.Lock()
	m.vms = slices.DeleteFunc(m.vms, func(other *versionVM) bool { return other == vm })
	m.mu.Unlock()
	vm.stop()
}

// restart kills VMs and starts new processes there after a while.
func (m *versionSite) restart(ctx context.Context, after time.Duration, vms ...*versionVM) {
	for _, vm := range vms {
		m.kill(vm)
	}
	time.Sleep(after)
	for _, vm := range vms {
		m.startVM(ctx, vm.address)
	}
}

func (m *versionSite) running() []*versionVM {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.vms)
}

// peersOf returns the addresses of all other VMs, as the registry has them: also of those
// that were killed.
func (m *versionSite) peersOf(address string) []string {
	m.store.mu.Lock()
	defer m.store.mu.Unlock()
	m.store.members[address] = true
	return slices.DeleteFunc(slices.Sorted(maps.Keys(m.store.members)), func(a string) bool { return a == address })
}

func (m *versionSite) isCut(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cut[address]
}

func (m *versionSite) setCut(vm *versionVM, cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut[vm.address] = cut
}

// deliver carries a datagram to a VM.
func (m *versionSite) deliver(from string, raw []byte, to string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, vm := range m.vms {
		if vm.address == to && !m.cut[from] && !m.cut[to] && !vm.link.losesDatagrams() && !m.links[from].losesDatagrams() && rand.Float64() >= m.loss {
			raw := bytes.Clone(raw)
			time.AfterFunc(linkDelay, func() {
				if vm.link.awaitWake(vm.ctx) == nil {
					vm.socket.dispatch(from, raw, time.Now())
				}
			})
		}
	}
	return true
}

// Open implements exchange.Backend: a stream of events that name the server's version.
func (m *versionSite) Open(ctx context.Context, a *exchange.Attempt) (*exchange.Answer, error) {
	m.mu.Lock()
	s := m.servers[a.Server.ID]
	m.mu.Unlock()
	if s == nil {
		return nil, &exchange.NotRunError{Reason: exchange.Refused, Err: io.ErrClosedPipe}
	}
	from, _ := strconv.Atoi(a.ResumeAfter)
	r, w := io.Pipe()
	go func() {
		gap := modelFirstEvent
		for n := from + 1; n <= modelStreamEvents; n++ {
			select {
			case <-time.After(gap):
			case <-s.crashed:
				_ = w.CloseWithError(io.ErrUnexpectedEOF)
				return
			case <-ctx.Done():
				_ = w.CloseWithError(ctx.Err())
				return
			}
			gap = modelEventGap
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, s.version); err != nil {
				return
			}
		}
		_ = w.Close()
	}()
	return &exchange.Answer{Status: http.StatusOK, Header: http.Header{}, Body: r}, nil
}

// versionCaller is a caller and what it has got, over all of its tries.
type versionCaller struct {
	first    string // id of the attempt that brought the first event
	last     int    // id of the newest event
	versions map[string]bool
}

// Begin implements exchange.Sink.
func (c *versionCaller) Begin(int, http.Header) error { return nil }

// Event implements exchange.Sink.
func (c *versionCaller) Event(raw []byte) error {
	_, data, _ := bytes.Cut(raw, []byte("data: "))
	c.versions[string(bytes.TrimSpace(data))] = true
	c.last++
	return nil
}

// call sends streams at random times, perSecond on average, to random VMs, until the time is
// over, and waits for all of them.
func (m *versionSite) call(ctx context.Context, perSecond float64, during time.Duration) {
	var callers sync.WaitGroup
	for end := time.Now().Add(during); time.Now().Before(end); {
		time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		callers.Go(func() { m.runCaller(ctx) })
	}
	callers.Wait()
}

// runCaller runs one stream. Its caller comes back when it is cut.
func (m *versionSite) runCaller(ctx context.Context) {
	c := &versionCaller{versions: map[string]bool{}}
	deadline := time.Now().Add(modelDeadline)
	for try := range modelTries {
		vms := m.running()
		if len(vms) == 0 {
			time.Sleep(modelReturnDelay)
			continue
		}
		before, returns := c.last, c.last > 0
		served := returns && m.countServers(slices.Collect(maps.Keys(c.versions))[0]) >= 2
		vm := vms[rand.IntN(len(vms))]
		if to := m.returnsTo(); to != nil && returns && rand.IntN(2) == 0 {
			vm = to
		}
		err := m.try(ctx, vm, c, deadline)
		m.record(c, try, served && vm.ctx.Err() == nil && !m.isCut(vm.address), c.last > before, returns, err)
		if err == nil || time.Now().After(deadline) {
			return
		}
		time.Sleep(time.Duration(2 * rand.Float64() * float64(modelReturnDelay)))
		var refused *exchange.Failure
		if errors.As(err, &refused) && !refused.Ran {
			time.Sleep(refused.RetryAfter)
		}
	}
}

func (m *versionSite) returnsTo() *versionVM {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.returnTo
}

// try sends one attempt of a caller.
func (m *versionSite) try(ctx context.Context, vm *versionVM, c *versionCaller, deadline time.Time) error {
	r := &exchange.Request{
		ID: fmt.Sprintf("%016x", rand.Uint64()), Method: http.MethodPost, Target: "/x", Header: http.Header{}, Service: "s",
		Arrived: time.Now(), Deadline: deadline, PromptTokens: 100, MaxTokens: 1000,
		Route: &site.Route{Name: "r", Kind: site.Stream, Resumable: true, MaxAttempts: 5, Objective: 4500 * time.Millisecond, Timeout: modelDeadline, MaxGap: 700 * time.Millisecond},
	}
	if c.last > 0 {
		r.LastEvent, r.Resumes = strconv.Itoa(c.last), c.first
	} else {
		c.first = r.ID
	}
	// A killed VM takes its streams with it.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(vm.ctx, cancel)()
	defer vm.link.onReset(cancel)()
	if err := vm.link.awaitWake(ctx); err != nil {
		return err
	}
	_, err := vm.Stream(ctx, r, c)
	return err
}

func (m *versionSite) record(c *versionCaller, try int, served, gotEvent, returns bool, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if try == 0 {
		m.results.attempted++
		if gotEvent {
			m.results.begun++
		}
	}
	if served {
		m.results.returned++
		if gotEvent {
			m.results.wentOn++
		} else {
			m.results.failures[fmt.Sprint(err)]++
		}
	}
	if returns && len(c.versions) > 1 && gotEvent {
		m.results.mixed++
	}
	if errors.Is(err, exchange.ErrVersionUnknown) || errors.Is(err, exchange.ErrVersionGone) {
		m.results.refused++
	}
	if err == nil {
		m.results.whole++
	}
}

// versionStoreModel is the store of a versionSite.
type versionStoreModel struct {
	began time.Time

	mu      sync.Mutex
	rows    map[string][]byte
	members map[string]bool // addresses of VMs
	away    bool
	calls   int
}

func newVersionStoreModel() *versionStoreModel {
	return &versionStoreModel{began: time.Now(), rows: map[string][]byte{}, members: map[string]bool{}}
}

func (s *versionStoreModel) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

// versionStoreClient is the access of one VM to the store.
type versionStoreClient struct {
	*versionStoreModel
	isCut func() bool
}

func (s *versionStoreClient) call(ctx context.Context, do func()) (time.Duration, error) {
	s.mu.Lock()
	s.calls++
	away := s.away
	s.mu.Unlock()
	if away || s.isCut() {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	if err := retry.Wait(ctx, storeDelay); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	do()
	return time.Since(s.began), nil
}

// Save implements VersionStore.
func (s *versionStoreClient) Save(ctx context.Context, name string, value []byte) (time.Duration, error) {
	return s.call(ctx, func() { s.rows[name] = value })
}

// Load implements VersionStore.
func (s *versionStoreClient) Load(ctx context.Context) (rows map[string][]byte, now time.Duration, err error) {
	now, err = s.call(ctx, func() { rows = maps.Clone(s.rows) })
	return rows, now, err
}

// Remove implements VersionStore.
func (s *versionStoreClient) Remove(ctx context.Context, names []string) error {
	_, err := s.call(ctx, func() {
		for _, name := range names {
			delete(s.rows, name)
		}
	})
	return err
}
