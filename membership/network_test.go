package membership

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/backing"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/types"
)

const linkDelay = time.Millisecond // one way

// network connects members in memory; all waiting is in virtual time.
type network struct {
	t     *testing.T
	mu    sync.Mutex
	nodes map[string]*node           // by address
	cuts  map[[2]string]bool         // from and to address
	calls int                        // counts each request and each response
	syncs map[string]map[string]bool // addresses with which each address has compared its list
}

// node is one incarnation of a member.
type node struct {
	*Membership
	net    *network
	addr   string
	cancel context.CancelFunc
	done   chan struct{}
	events *event.Recorder

	mu     sync.Mutex
	frozen chan struct{} // closed on thaw; nil: running
}

func newNetwork(t *testing.T) *network {
	return &network{t: t, nodes: map[string]*node{}, cuts: map[[2]string]bool{}, syncs: map[string]map[string]bool{}}
}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:7000", i) }

// start runs member i with members 1 and 2 as seeds. adapt changes the options.
func (n *network) start(i int, inc types.Incarnation, adapt ...func(*Options)) *node {
	n.t.Helper()
	nd := &node{net: n, addr: address(i), done: make(chan struct{}), events: event.Discard()}
	opts := Options{
		Self:       Member{ID: types.ProcessID(fmt.Sprintf("m%d", i)), Role: types.RoleSidecar, Address: nd.addr, Zone: "z", Incarnation: inc},
		Seeds:      []string{address(1), address(2)},
		HTTPClient: nd,
		Recorder:   nd.events,
	}
	for _, f := range adapt {
		f(&opts)
	}
	m, err := New(opts)
	if err != nil {
		n.t.Fatal(err)
	}
	m.freezeHook = nd.waitThawed
	nd.Membership = m
	ctx, cancel := context.WithCancel(n.t.Context())
	nd.cancel = cancel
	n.mu.Lock()
	n.nodes[nd.addr] = nd
	n.mu.Unlock()
	go func() {
		defer close(nd.done)
		_ = m.Run(ctx)
	}()
	return nd
}

// startAll runs members 1 to count and waits until all know each other.
func (n *network) startAll(count int, adapt ...func(*Options)) []*node {
	n.t.Helper()
	nodes := make([]*node, count)
	for i := range nodes {
		nodes[i] = n.start(i+1, types.Incarnation(i+1), adapt...)
	}
	n.within(20*time.Second, "all members know each other", func() bool {
		for _, nd := range nodes {
			if len(nd.Snapshot().Alive(types.RoleSidecar)) != count {
				return false
			}
		}
		return true
	})
	return nodes
}

// stop stops all members.
func (n *network) stop() {
	for _, nd := range n.nodes {
		if nd.frozen != nil {
			nd.thaw()
		}
		nd.cancel()
		<-nd.done
	}
	time.Sleep(time.Second) // let pending responses finish: the virtual clock stops with the scenario
}

// within waits in virtual time until cond holds and returns how long it took.
func (n *network) within(bound time.Duration, what string, cond func() bool) time.Duration {
	n.t.Helper()
	begin := time.Now()
	for !cond() {
		if time.Since(begin) > bound {
			n.t.Fatalf("%s: did not happen within %s", what, bound)
		}
		time.Sleep(20 * time.Millisecond)
		synctest.Wait()
	}
	return time.Since(begin)
}

// cut blocks (or unblocks) messages from one node to another, in this direction
// only.
func (n *network) cut(from, to *node, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{from.addr, to.addr}] = cut
}

func (n *network) partition(a, b []*node, cut bool) {
	for _, x := range a {
		for _, y := range b {
			n.cut(x, y, cut)
			n.cut(y, x, cut)
		}
	}
}

func (n *network) lookUp(from, to string) (*node, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls++
	return n.nodes[to], n.cuts[[2]string{from, to}]
}

func (n *network) callCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls
}

func (n *network) recordSync(from string, r *http.Request) {
	if !strings.HasSuffix(r.URL.Path, "/Sync") {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.syncs[from] == nil {
		n.syncs[from] = map[string]bool{}
	}
	n.syncs[from][r.URL.Host] = true
}

// syncPeers returns the number of processes with which an address has compared its
// list.
func (n *network) syncPeers(from string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.syncs[from])
}

// kill stops a member without notice; its address then drops calls.
func (nd *node) kill() {
	nd.net.mu.Lock()
	delete(nd.net.nodes, nd.addr)
	nd.net.mu.Unlock()
	nd.cancel()
	<-nd.done
}

func (nd *node) freeze() {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	nd.frozen = make(chan struct{})
}

func (nd *node) thaw() {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	close(nd.frozen)
	nd.frozen = nil
}

func (nd *node) waitThawed() {
	nd.mu.Lock()
	frozen := nd.frozen
	nd.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
}

// Do implements HTTPClient.
func (nd *node) Do(req *http.Request) (*http.Response, error) {
	nd.waitThawed()
	nd.net.recordSync(nd.addr, req)
	to, cut := nd.net.lookUp(nd.addr, req.URL.Host)
	if to == nil || cut {
		<-req.Context().Done()
		return nil, req.Context().Err()
	}
	time.Sleep(linkDelay)
	answer := make(chan *http.Response, 1)
	go func() {
		to.waitThawed()
		rec := httptest.NewRecorder()
		to.Handler().ServeHTTP(rec, req)
		time.Sleep(linkDelay)
		if _, cut := nd.net.lookUp(to.addr, nd.addr); !cut {
			answer <- rec.Result()
		}
	}()
	select {
	case resp := <-answer:
		return resp, nil
	case <-req.Context().Done():
		return nil, req.Context().Err()
	}
}

// allSee reports whether all nodes other than the member itself see it in the
// given state.
func allSee(nodes []*node, of *node, state State) bool {
	for _, nd := range nodes {
		if nd == of {
			continue
		}
		if m, ok := nd.Snapshot().ByID(of.opts.Self.ID); !ok || m.State != state {
			return false
		}
	}
	return true
}

// countEvents returns how often the node recorded an event.
func (nd *node) countEvents(kind event.Kind) int {
	count := 0
	for _, e := range nd.events.Entries("") {
		if e.ID == kind.ID() {
			count++
		}
	}
	return count
}

// vmList is a VM list that can be made unavailable.
type vmList struct {
	mu   sync.Mutex
	vms  []backing.VM
	down bool
}

func (l *vmList) set(down bool, vms ...backing.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms, l.down = vms, down
}

// List implements backing.VMList.
func (l *vmList) List(context.Context) ([]backing.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, errors.WithStack(backing.ErrUnavailable)
	}
	return l.vms, nil
}
