package httpapi_test

import (
	"context"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pearyard/pearyard/backing"
	"github.com/pearyard/pearyard/backing/httpapi"
	"github.com/pearyard/pearyard/standin"
)

func start(t *testing.T, opts standin.PlatformOptions) (*standin.Platform, httpapi.Options, *httptest.Server) {
	p := standin.NewPlatform(opts)
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	t.Cleanup(p.Kill)
	return p, httpapi.Options{Address: server.Listener.Addr().String(), Timeout: time.Second}, server
}

func ptr[T any](v T) *T { return &v }

func putTxn(key, value string, version uint64) backing.Txn {
	return backing.Txn{
		If:     []backing.Condition{{Key: key, Version: version}},
		Writes: []backing.Write{{Key: key, Value: []byte(value)}},
	}
}

func TestCommitIsAtomic(t *testing.T) {
	g := NewWithT(t)
	_, opts, _ := start(t, standin.PlatformOptions{})
	table := httpapi.NewTable(opts)
	g.Expect(table.Commit(t.Context(), putTxn("a/1", "x", 0))).To(Succeed())
	oneConditionFails := backing.Txn{
		If:     []backing.Condition{{Key: "a/1", Version: 0}, {Key: "a/2", Version: 0}},
		Writes: []backing.Write{{Key: "a/2", Value: []byte("y")}},
	}
	var conflict *backing.ConflictError
	err := table.Commit(t.Context(), oneConditionFails)
	g.Expect(err).To(BeAssignableToTypeOf(conflict))
	g.Expect(err.(*backing.ConflictError).Keys).To(Equal([]string{"a/1"}))
	_, err = table.Get(t.Context(), "a/2")
	g.Expect(err).To(MatchError(backing.ErrNotFound))

	// A row that is deleted and written again never repeats a version.
	row, err := table.Get(t.Context(), "a/1")
	g.Expect(err).NotTo(HaveOccurred())
	remove := backing.Txn{Writes: []backing.Write{{Key: "a/1", Delete: true}}}
	g.Expect(table.Commit(t.Context(), remove)).To(Succeed())
	g.Expect(table.Commit(t.Context(), putTxn("a/1", "z", 0))).To(Succeed())
	rows, err := table.List(t.Context(), "a/", 10)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(rows).To(HaveLen(1))
	g.Expect(rows[0].Value).To(BeEquivalentTo("z"))
	g.Expect(rows[0].Version).To(BeNumerically(">", row.Version))
}

func TestOneOfConcurrentCommitsSucceeds(t *testing.T) {
	g := NewWithT(t)
	_, opts, _ := start(t, standin.PlatformOptions{})
	table := httpapi.NewTable(opts)
	var wins atomic.Int32
	var wg sync.WaitGroup
	for range 16 {
		wg.Go(func() {
			if table.Commit(t.Context(), putTxn("k", "v", 0)) == nil {
				wins.Add(1)
			}
		})
	}
	wg.Wait()
	g.Expect(wins.Load()).To(BeEquivalentTo(1))
}

func TestLostResponseIsAmbiguous(t *testing.T) {
	// A claim is written and the response is lost. If this were reported as
	// unavailable, the router would claim again, find its own claim and report a
	// conflict to the caller.
	g := NewWithT(t)
	p, opts, server := start(t, standin.PlatformOptions{})
	table := httpapi.NewTable(opts)
	p.Apply(standin.PlatformFaults{Table: standin.ServiceFaults{LoseAnswers: ptr(1)}})
	g.Expect(table.Commit(t.Context(), putTxn("k1", "v", 0))).To(MatchError(backing.ErrAmbiguous))
	_, err := table.Get(t.Context(), "k1")
	g.Expect(err).NotTo(HaveOccurred(), "the write took effect")

	p.Apply(standin.PlatformFaults{Table: standin.ServiceFaults{SlowMS: ptr(100)}})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	g.Expect(table.Commit(ctx, putTxn("k2", "v", 0))).To(MatchError(backing.ErrAmbiguous))
	p.Apply(standin.PlatformFaults{Table: standin.ServiceFaults{SlowMS: ptr(0)}})
	g.Eventually(func() error { _, err := table.Get(t.Context(), "k2"); return err }).Should(Succeed(), "the write takes effect after the caller's timeout")

	p.Apply(standin.PlatformFaults{Table: standin.ServiceFaults{Down: ptr(true)}})
	g.Expect(table.Commit(t.Context(), putTxn("k3", "v", 0))).To(MatchError(backing.ErrUnavailable))
	// The old client may notice only during its call that its kept connection is
	// closed, so that the outcome is ambiguous. A client that has to dial knows that
	// no byte was sent.
	server.Close()
	g.Expect(table.Commit(t.Context(), putTxn("k3", "v", 0))).To(Or(MatchError(backing.ErrAmbiguous), MatchError(backing.ErrUnavailable)))
	g.Expect(httpapi.NewTable(opts).Commit(t.Context(), putTxn("k3", "v", 0))).To(MatchError(backing.ErrUnavailable))
}

func TestStaleReads(t *testing.T) {
	// A stale read returns an older revision; a conditional commit is still checked
	// against the current row.
	g := NewWithT(t)
	p, opts, _ := start(t, standin.PlatformOptions{})
	table := httpapi.NewTable(opts)
	g.Expect(table.Commit(t.Context(), putTxn("k", "v", 0))).To(Succeed())
	p.Apply(standin.PlatformFaults{Table: standin.ServiceFaults{StaleMS: ptr(10_000)}})
	_, err := table.Get(t.Context(), "k")
	g.Expect(err).To(MatchError(backing.ErrNotFound))
	rows, err := table.List(t.Context(), "", 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(rows).To(BeEmpty())
	g.Expect(table.Commit(t.Context(), putTxn("k", "w", 0))).To(BeAssignableToTypeOf(&backing.ConflictError{}))
}

func TestRateLimits(t *testing.T) {
	g := NewWithT(t)
	_, opts, _ := start(t, standin.PlatformOptions{Writes: 1, WeightReads: 1, Weights: []standin.Artefact{{Name: "m", Version: "1"}}})
	table, weights := httpapi.NewTable(opts), httpapi.NewWeights(opts)
	// The burst of each limiter is 100 calls.
	untilError := func(call func() error) error {
		for range 200 {
			if err := call(); err != nil {
				return err
			}
		}
		return nil
	}
	commit := func() error {
		return table.Commit(t.Context(), backing.Txn{Writes: []backing.Write{{Key: "k"}}})
	}
	available := func() error { _, err := weights.Available(t.Context(), "m", "1"); return err }
	other, err := weights.Available(t.Context(), "m", "2")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(other).To(BeFalse())
	g.Expect(untilError(commit)).To(MatchError(backing.ErrThrottled))
	g.Expect(untilError(available)).To(MatchError(backing.ErrThrottled))
}

func TestVMListIsStaleByLag(t *testing.T) {
	g := NewWithT(t)
	p, opts, _ := start(t, standin.PlatformOptions{VMLag: 50 * time.Millisecond})
	list := httpapi.NewVMList(opts)
	p.SetVMs([]backing.VM{{ID: "vm1", Address: "127.0.0.1:1", Zone: "errol-shed"}})
	vms, err := list.List(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(vms).To(BeEmpty())
	p.MarkLeaving("vm1")
	g.Eventually(func() []backing.VM { vms, _ := list.List(t.Context()); return vms }).
		Should(ConsistOf(backing.VM{ID: "vm1", Address: "127.0.0.1:1", Zone: "errol-shed", Leaving: true}))
}

func TestObjectsAreImmutable(t *testing.T) {
	g := NewWithT(t)
	_, opts, _ := start(t, standin.PlatformOptions{})
	objects := httpapi.NewObjects(opts)
	g.Expect(objects.Put(t.Context(), "texts/1", []byte("a"))).To(Succeed())
	g.Expect(objects.Put(t.Context(), "texts/1", []byte("a"))).To(Succeed())
	g.Expect(objects.Put(t.Context(), "texts/1", []byte("b"))).To(BeAssignableToTypeOf(&backing.ConflictError{}))
	value, err := objects.Get(t.Context(), "texts/1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(value).To(BeEquivalentTo("a"))
	_, err = objects.Get(t.Context(), "texts/2")
	g.Expect(err).To(MatchError(backing.ErrNotFound))
}
