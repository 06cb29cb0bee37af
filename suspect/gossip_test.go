package suspect

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/backing"
	suspectpb "github.com/pearyard/pearyard/rpc/suspect"
	"github.com/pearyard/pearyard/types"
)

var ignoreUnsaved cmp.Option = cmpopts.IgnoreFields(Dump{}, "Unsaved")

// fleet is a set of ledgers that are connected in memory.
type fleet struct {
	ledgers   map[string]*Ledger
	gossipers map[string]*Gossiper
	names     []string
	cut       sync.Map // names of processes that are cut off from all others
}

// call is a client that calls one process of the fleet from another.
type call struct {
	fleet    *fleet
	from, to string
}

// latency is how long a call takes.
const latency = 2 * time.Millisecond

// wait simulates the network: it takes latency and fails if either end is cut off.
func (c call) wait() error {
	time.Sleep(latency)
	_, to := c.fleet.cut.Load(c.to)
	if _, from := c.fleet.cut.Load(c.from); from || to {
		return errors.New("unreachable")
	}
	return nil
}

func (c call) Exchange(ctx context.Context, in *suspectpb.ExchangeRequest) (*suspectpb.ExchangeResponse, error) {
	if err := c.wait(); err != nil {
		return nil, err
	}
	return c.fleet.ledgers[c.to].Server().Exchange(ctx, in)
}

func (c call) Grant(ctx context.Context, in *suspectpb.GrantRequest) (*suspectpb.GrantResponse, error) {
	if err := c.wait(); err != nil {
		return nil, err
	}
	return c.fleet.ledgers[c.to].Server().Grant(ctx, in)
}

func newFleet(ctx context.Context, n int, opts Options) *fleet {
	f := &fleet{ledgers: map[string]*Ledger{}, gossipers: map[string]*Gossiper{}}
	for i := range n {
		f.names = append(f.names, fmt.Sprintf("10.0.0.%d:1", i))
	}
	for _, name := range f.names {
		l := New(opts)
		f.ledgers[name] = l
		f.gossipers[name] = NewGossiper(l, GossiperOptions{
			Self:  name,
			Peers: func() []string { return f.names },
			Dial:  func(to string) suspectpb.Suspects { return call{f, name, to} },
		})
	}
	for _, name := range f.names {
		go func() { _ = f.gossipers[name].Run(ctx) }()
		go func() { _ = f.ledgers[name].Run(ctx) }()
	}
	return f
}

// A caller sends a poisoned request through two routers concurrently, under two
// idempotency keys. Engine 1 dies. Before engine 2 dies, router 1 resumes its copy
// and a third router receives another. Without the coordinator's grant, a third
// engine would get a copy while the second is dying.
func TestPoisonThroughSeveralRoutersCrashesTwoEngines(t *testing.T) {
	plain := func(l *Ledger, death string) {
		l.RecordDeath(death, []types.Fingerprint{poison, neighbourOn(death)})
	}
	weighted := func(l *Ledger, death string) { // as the daemons record deaths
		l.RecordWeightedDeath(death, poison, false)
		l.RecordWeightedDeath(death, neighbourOn(death), true)
	}
	for _, coordinator := range []string{"reachable", "cut"} {
		t.Run(coordinator, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { poisonThroughRouters(t, coordinator == "cut", 0, plain) })
		})
		t.Run(coordinator+" weighted", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { poisonThroughRouters(t, coordinator == "cut", 2, weighted) })
		})
	}
}

// neighbourOn returns the fingerprint of a request that ran on the engine of a death
// beside the poisoned one.
func neighbourOn(death string) types.Fingerprint {
	return types.FingerprintOf("neighbour", []byte(death))
}

// poisonThroughRouters runs copies of the poisoned request through three routers
// and expects that they crash two engines. If engines isn't 0, it is passed to
// Configure.
func poisonThroughRouters(t *testing.T, cutCoordinator bool, engines int, record func(*Ledger, string)) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer func() {
		cancel()
		time.Sleep(callTimeout)
	}()
	f := newFleet(ctx, 4, Options{})
	order := f.gossipers[f.names[0]].rendezvousOrder(poison)
	for _, l := range f.ledgers {
		if engines > 0 {
			l.Configure(engines, DefaultQuarantine)
		}
	}
	if cutCoordinator {
		f.cut.Store(order[0], true)
	}
	routers := order[1:]
	var mu sync.Mutex
	crashed := map[string]bool{}
	var callers sync.WaitGroup
	// run is a router's loop for one copy: place it, crash after 400 ms, resume it.
	run := func(router string, engine int) {
		l, gossiper := f.ledgers[router], f.gossipers[router]
		for ; ; engine += 10 {
			backend := fmt.Sprint("engine-", engine)
			verdict, err := gossiper.AwaitGrant(ctx, poison)
			if err != nil || verdict.State == Quarantined {
				return
			}
			if !l.BeginRun(poison, backend) {
				gossiper.ReleaseGrant(poison)
				time.Sleep(grantRetryInterval)
				continue
			}
			time.Sleep(400 * time.Millisecond)
			mu.Lock()
			crashed[backend] = true
			mu.Unlock()
			record(l, backend)
			l.EndRun(poison, backend)
		}
	}
	callers.Go(func() { run(routers[0], 1) })
	callers.Go(func() { time.Sleep(350 * time.Millisecond); run(routers[1], 2) })
	callers.Go(func() { time.Sleep(450 * time.Millisecond); run(routers[2], 3) })
	callers.Wait()
	g.Expect(crashed).To(gomega.HaveLen(2))
	time.Sleep(5 * time.Second)
	for _, router := range routers {
		g.Expect(f.ledgers[router].Verdict(poison).State).To(gomega.Equal(Quarantined))
		g.Expect(f.ledgers[router].Verdict(neighbourOn("engine-1")).State).To(gomega.Equal(Suspect), "a neighbour")
	}
}

// A router dies while it holds the grant of a suspect. The grant must expire, so
// that the caller isn't held back forever when it retries through another router.
func TestGrantOfADeadRouterExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(callTimeout)
		}()
		f := newFleet(ctx, 4, Options{})
		order := f.gossipers[f.names[0]].rendezvousOrder(poison)
		f.ledgers[order[1]].RecordDeath("x/1", []types.Fingerprint{poison})
		time.Sleep(time.Second)
		_, err := f.gossipers[order[1]].AwaitGrant(ctx, poison)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(f.ledgers[order[1]].BeginRun(poison, "a")).To(gomega.BeTrue())
		f.cut.Store(order[1], true)
		short, stop := context.WithTimeout(ctx, 5*time.Second)
		defer stop()
		_, err = f.gossipers[order[2]].AwaitGrant(short, poison)
		g.Expect(err).To(gomega.MatchError(context.DeadlineExceeded))
		began := time.Now()
		_, err = f.gossipers[order[2]].AwaitGrant(ctx, poison)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(time.Since(began)).To(gomega.BeNumerically("<", 2*grantTTL))
	})
}

// With the table service down, a death must reach 95% of 400 processes well before
// the coordinator grants a run, and all of them within seconds. Otherwise a router
// that doesn't know of the death would start another copy.
func TestDeathReachesAllWithTheTableDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(callTimeout)
		}()
		f := newFleet(ctx, 400, Options{Table: &memoryTable{down: true}})
		began := time.Now()
		f.ledgers[f.names[7]].RecordDeath("x/1", []types.Fingerprint{poison})
		informed := func() int {
			n := 0
			for _, l := range f.ledgers {
				if l.Verdict(poison).State == Suspect {
					n++
				}
			}
			return n
		}
		p95 := time.Duration(0)
		for informed() < len(f.names) && time.Since(began) < 10*time.Second {
			time.Sleep(latency)
			if p95 == 0 && informed() >= len(f.names)*95/100 {
				p95 = time.Since(began)
			}
		}
		t.Logf("95%% of %d processes informed after %v, all after %v (latency %v)", len(f.names), p95, time.Since(began), latency)
		g.Expect(p95).To(gomega.BeNumerically("<", settleDelay/2))
		g.Expect(time.Since(began)).To(gomega.BeNumerically("<", 5*time.Second))
	})
}

// memoryTable is an in-memory table service that can be made unavailable.
type memoryTable struct {
	mu   sync.Mutex
	down bool
	rows map[string]backing.Row
}

func (m *memoryTable) Get(_ context.Context, key string) (backing.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return backing.Row{}, backing.ErrUnavailable
	}
	row, ok := m.rows[key]
	if !ok {
		return backing.Row{}, backing.ErrNotFound
	}
	return row, nil
}

func (m *memoryTable) List(context.Context, string, int) ([]backing.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return nil, backing.ErrUnavailable
	}
	var out []backing.Row
	for _, row := range m.rows {
		out = append(out, row)
	}
	return out, nil
}

func (m *memoryTable) Commit(_ context.Context, txn backing.Txn) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return backing.ErrUnavailable
	}
	for _, c := range txn.If {
		if m.rows[c.Key].Version != c.Version {
			return &backing.ConflictError{Keys: []string{c.Key}}
		}
	}
	for _, w := range txn.Writes {
		if w.Delete {
			delete(m.rows, w.Key)
			continue
		}
		m.rows[w.Key] = backing.Row{Key: w.Key, Value: w.Value, Version: m.rows[w.Key].Version + 1}
	}
	return nil
}

// setDown makes the table unavailable or available.
func (m *memoryTable) setDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
}

// All processes restart while a request is quarantined. The quarantine must be
// loaded from the table service, and its row must be deleted after it has expired.
func TestQuarantineSurvivesARestartOfAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		table := &memoryTable{rows: map[string]backing.Row{}, down: true}
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(callTimeout)
		}()
		start := func() (*Ledger, context.CancelFunc) {
			ctx, stop := context.WithCancel(ctx)
			l := New(Options{Table: table})
			go func() { _ = l.Run(ctx) }()
			return l, stop
		}
		first, stopFirst := start()
		second, stopSecond := start()
		first.RecordDeath("a/1", []types.Fingerprint{poison})
		second.RecordDeath("b/1", []types.Fingerprint{poison}) // the two exchange nothing directly
		time.Sleep(3 * time.Second)
		table.setDown(false)
		time.Sleep(5 * time.Second)
		stopFirst()
		stopSecond()
		third, _ := start()
		synctest.Wait()
		g.Expect(third.Verdict(poison).State).To(gomega.Equal(Quarantined))
		time.Sleep(2 * DefaultWindow)
		g.Expect(third.Dump().Entries).To(gomega.BeEmpty())
		fourth, _ := start()
		time.Sleep(5 * time.Second)
		g.Expect(fourth.Dump().Entries).To(gomega.BeEmpty())
		g.Expect(table.rows).To(gomega.BeEmpty())
	})
}
