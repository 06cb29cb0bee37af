package claim_test

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/backing"
	"github.com/pearyard/pearyard/claim"
	"github.com/pearyard/pearyard/gate"
	"github.com/pearyard/pearyard/plain"
	streampb "github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/types"
)

// fakeTable is a table service in memory. If fault is set, it is called before
// each commit with the commit's number, and returns the commit's error and
// whether the commit takes effect despite the error.
type fakeTable struct {
	mu            sync.Mutex
	rows          map[string]backing.Row
	version       uint64
	commits       atomic.Int64
	commitLatency time.Duration
	down          bool // Get and Commit fail
	fault         func(n int) (err error, effect bool)
	beforeCheck   func(txn backing.Txn) // runs before a transaction's conditions are checked
	duplicates    int                   // conditions on a row that the transaction had already named
}

func newFakeTable() *fakeTable { return &fakeTable{rows: map[string]backing.Row{}} }

func (f *fakeTable) setFaults(down bool, fault func(int) (error, bool)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down, f.fault = down, fault
}

func (f *fakeTable) Get(_ context.Context, key string) (backing.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return backing.Row{}, backing.ErrUnavailable
	}
	row, ok := f.rows[key]
	if !ok {
		return backing.Row{}, backing.ErrNotFound
	}
	return row, nil
}

func (f *fakeTable) List(_ context.Context, prefix string, limit int) ([]backing.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []backing.Row
	for key, row := range f.rows {
		if strings.HasPrefix(key, prefix) && len(out) < limit {
			out = append(out, row)
		}
	}
	return out, nil
}

func (f *fakeTable) Commit(_ context.Context, txn backing.Txn) error {
	n := int(f.commits.Add(1))
	time.Sleep(f.commitLatency)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return backing.ErrUnavailable
	}
	if f.fault != nil {
		if err, effect := f.fault(n); err != nil {
			if effect {
				_ = f.apply(txn)
			}
			return err
		}
	}
	return f.apply(txn)
}

func (f *fakeTable) apply(txn backing.Txn) error {
	var failed []string
	if f.beforeCheck != nil {
		f.beforeCheck(txn)
	}
	named := map[string]bool{}
	for _, c := range txn.If {
		if named[c.Key] {
			f.duplicates++
		}
		named[c.Key] = true
		if f.rows[c.Key].Version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		return &backing.ConflictError{Keys: failed}
	}
	f.version++
	for _, w := range txn.Writes {
		if w.Delete {
			delete(f.rows, w.Key)
			continue
		}
		f.rows[w.Key] = backing.Row{Key: w.Key, Value: w.Value, Version: f.version}
	}
	return nil
}

func (f *fakeTable) claims() []claim.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []claim.Record
	for key, row := range f.rows {
		if strings.HasPrefix(key, claim.KeyPrefix) {
			record, _ := claim.Decode(row.Value)
			out = append(out, record)
		}
	}
	return out
}

// fakeService counts the runs of each request body and answers after a delay.
type fakeService struct {
	mu      sync.Mutex
	runs    map[string]int
	delay   time.Duration
	err     error  // returned with each answer
	onRun   func() // called after each run, before the answer
	padding int    // number of bytes appended to each answer
}

func (f *fakeService) Do(ctx context.Context, call plain.Call) (plain.Answer, error) {
	f.mu.Lock()
	f.runs[string(call.Body)]++
	f.mu.Unlock()
	select {
	case <-time.After(f.delay):
	case <-ctx.Done():
		return plain.Answer{}, plain.ErrResponseLost
	}
	if f.onRun != nil {
		f.onRun()
	}
	return plain.Answer{Status: 200, Body: append([]byte("done "), append(call.Body, make([]byte, f.padding)...)...)}, f.err
}

func (f *fakeService) Healthy(context.Context) error { return nil }

func (f *fakeService) runCount(body string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[body]
}

// fakeNet is the network to the sidecars: it delivers to the gate of an address.
type fakeNet struct {
	mu          sync.Mutex
	gates       map[string]*gate.Calls
	cut         map[string]bool // by address: nothing is delivered
	lostAnswers int             // number of answers still to be lost
	hold        chan struct{}   // if set, the next call waits for it before it is delivered
	arrived     int             // number of calls delivered
}

func (n *fakeNet) setCut(addr string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[addr] = cut
}

var errCut = errors.New("connection cut")

func (n *fakeNet) Call(ctx context.Context, addr string, req *streampb.CallRequest) (*streampb.CallResponse, error) {
	n.mu.Lock()
	g, cut, hold := n.gates[addr], n.cut[addr], n.hold
	n.hold = nil
	n.mu.Unlock()
	if cut {
		return nil, plain.ErrNotSent
	}
	if hold != nil {
		<-hold
	}
	resp := g.Call(ctx, req)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.arrived++
	if n.lostAnswers > 0 {
		n.lostAnswers--
		return nil, errCut
	}
	return resp, nil
}

func (n *fakeNet) Void(ctx context.Context, addr string, req *streampb.VoidRequest) (*streampb.CallResponse, error) {
	n.mu.Lock()
	g, cut := n.gates[addr], n.cut[addr]
	n.mu.Unlock()
	if cut {
		return nil, errCut
	}
	return g.Void(ctx, req), nil
}

// fixture is one table, one service behind the sidecars a and b, and any number
// of routers.
type fixture struct {
	t               *testing.T
	ctx             context.Context
	table           *fakeTable
	service         *fakeService
	net             *fakeNet
	lastIncarnation types.Incarnation
	only            string // if set, the only sidecar that may be picked
}

// withFixture runs a test in virtual time.
func withFixture(t *testing.T, test func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &fixture{
			t: t, ctx: ctx, table: newFakeTable(), lastIncarnation: 1,
			service: &fakeService{runs: map[string]int{}, delay: 50 * time.Millisecond},
			net:     &fakeNet{gates: map[string]*gate.Calls{}, cut: map[string]bool{}},
		}
		f.start("a")
		f.start("b")
		test(f)
		time.Sleep(time.Minute) // until the calls in progress have ended
		cancel()
		gomega.NewWithT(t).Expect(f.table.duplicates).To(gomega.BeZero())
	})
}

// put writes a claim row directly into the table. The caller must not hold
// table.mu.
func (f *fixture) put(key string, record claim.Record) {
	value, _ := record.Encode()
	f.table.mu.Lock()
	defer f.table.mu.Unlock()
	f.table.putLocked(claim.Key("depot-apps", "inch", key), value)
}

func (f *fakeTable) putLocked(key string, value []byte) {
	f.version++
	f.rows[key] = backing.Row{Key: key, Value: value, Version: f.version}
}

// start starts or restarts the sidecar at addr with a new incarnation.
func (f *fixture) start(addr string) {
	f.lastIncarnation++
	g := gate.NewCalls(gate.Options{Service: f.service, Incarnation: f.lastIncarnation})
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	f.net.gates[addr] = g
}

func (f *fixture) router(name string) *claim.Coordinator {
	c := claim.New(claim.Options{Table: f.table, Router: types.ProcessID(name), Sidecar: f.net})
	go func() { _ = c.Run(f.ctx) }()
	return c
}

// pick prefers the sidecar a over b.
func (f *fixture) pick(avoid []string) (claim.Target, bool) {
	for _, addr := range []string{"a", "b"} {
		if f.only != "" && addr != f.only {
			continue
		}
		if !strings.Contains(strings.Join(avoid, " "), addr) {
			inc := types.Incarnation(f.net.gates[addr].Dump().(gate.Dump).Incarnation)
			return claim.Target{BackendServer: addr, Process: types.ProcessID(addr), Address: addr, Incarnation: inc}, true
		}
	}
	return claim.Target{}, false
}

func newCall(key, body string) claim.Call {
	return claim.Call{
		RequestID: "req-1", Service: "depot-apps", Organisation: "inch", Key: key,
		Method: "POST", Path: "/labels", Body: []byte(body), Deadline: time.Now().Add(5 * time.Second),
	}
}
