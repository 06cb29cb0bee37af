package config_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pearyard/pearyard/config"
	"github.com/pearyard/pearyard/types"
)

func offer(t testing.TB, holder *config.Holder, rev types.Revision, raw []byte) {
	t.Helper()
	if _, err := holder.Offer(rev, raw); err != nil {
		t.Fatal(err)
	}
}

func newSyncer(holder *config.Holder, store config.RevisionStore, peers config.Source) *config.Syncer {
	return config.NewSyncer(config.SyncerOptions{Holder: holder, Store: store, Source: peers})
}

// A process that froze at revision 1 offers it after revision 5 came into force, or
// two messages arrive out of order. The stale offer must change nothing, whatever
// the order and number of concurrent offers.
func TestHolderNeverGoesBack(t *testing.T) {
	g := NewWithT(t)
	holder := newHolder()
	g.Expect(holder.Current()).To(BeNil())
	g.Expect(holder.Freshness()).To(Equal(config.NeverConfirmed))
	stop, wentBack := make(chan struct{}), make(chan bool)
	go func() {
		last, back := types.Revision(0), false
		for {
			select {
			case <-stop:
				wentBack <- back
				return
			default:
				now := holder.Revision()
				back = back || now < last
				last = now
			}
		}
	}()
	done := make(chan struct{})
	for range 4 {
		go func() {
			for range 100 {
				n := 1 + rand.IntN(50)
				_, _ = holder.Offer(types.Revision(n), configOf(n))
			}
			done <- struct{}{}
		}()
	}
	for range 4 {
		<-done
	}
	close(stop)
	g.Expect(<-wentBack).To(BeFalse())
	top := holder.Revision()
	taken, err := holder.Offer(top-1, configOf(0))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(taken).To(BeFalse())
	_, err = holder.Offer(top, configOf(0))
	g.Expect(err).To(MatchError(config.ErrSameRevision))
	_, err = holder.Offer(top+1, []byte("{"))
	g.Expect(err).To(HaveOccurred())
	g.Expect(holder.Revision()).To(Equal(top))
}

func TestChangedAndFreshness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		holder := newHolder()
		changed := holder.Changed()
		offer(t, holder, 3, configOf(3))
		g.Expect(changed).To(BeClosed())
		g.Expect(holder.Changed()).NotTo(BeClosed())
		time.Sleep(time.Minute)
		holder.RecordConfirmation(2, time.Now()) // a peer that is behind proves nothing
		g.Expect(holder.Freshness()).To(Equal(time.Minute))
		holder.RecordConfirmation(3, time.Now())
		g.Expect(holder.Freshness()).To(BeZero())
	})
}

// A process freezes after it has asked a peer for its revision; meanwhile a new
// revision is accepted and pushed to others. When it resumes, it reads the old
// response and a queued push: neither proves what is in force now.
func TestOldResponsesConfirmNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		holder := newHolder()
		offer(t, holder, 3, configOf(3))
		asked := time.Now()
		time.Sleep(time.Minute)
		holder.RecordConfirmation(3, asked)
		g.Expect(holder.Freshness()).To(Equal(time.Minute))
		holder.RecordConfirmation(3, time.Time{}) // the stamp of a request
		g.Expect(holder.Freshness()).To(Equal(time.Minute))
		offer(t, holder, 4, configOf(4))
		g.Expect(holder.Freshness()).To(Equal(time.Minute))
		holder.RecordConfirmation(4, time.Now())
		g.Expect(holder.Freshness()).To(BeZero())
	})
}

// The store fails over to an old copy while a process polls it, then goes down,
// then recovers. The process must keep its revision throughout and take the next
// one when the store has it.
func TestSyncerNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table, holder := newFakeTable(), newHolder()
		operator := newStore(table)
		_, _, _ = operator.Accept(t.Context(), 0, configOf(1), "ann", "")
		table.freeze()
		old := table.frozen
		table.set(func() { table.frozen = nil })
		_, _, _ = operator.Accept(t.Context(), 1, configOf(2), "ann", "")
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := newSyncer(holder, newStore(table), fakePeers{})
		go func() { _ = s.Run(ctx) }()
		synctest.Wait()
		g.Expect(holder.Revision()).To(Equal(types.Revision(2)))
		table.set(func() { table.frozen = old })
		time.Sleep(time.Minute)
		g.Expect(holder.Revision()).To(Equal(types.Revision(2)))
		g.Expect(holder.Freshness()).To(BeNumerically(">=", 45*time.Second)) // an older revision confirms nothing
		table.set(func() { table.frozen, table.down = nil, true })
		time.Sleep(time.Minute)
		table.set(func() { table.down = false })
		_, _, err := operator.Accept(t.Context(), 2, configOf(3), "ann", "")
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(config.DefaultPollInterval * 5 / 4)
		g.Expect(holder.Revision()).To(Equal(types.Revision(3)))
	})
}

// The store is down when a process is replaced. Guards against starting without a
// configuration and refusing every request: the process must fetch the newest
// configuration of the peers that respond, and follow the peers' stamps from then on.
func TestStartWhileStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table := newFakeTable()
		table.down = true
		behind, ahead, holder := newHolder(), newHolder(), newHolder()
		offer(t, behind, 6, configOf(6))
		offer(t, ahead, 7, configOf(7))
		s := newSyncer(holder, newStore(table), fakePeers{"behind": behind, "ahead": ahead})
		g.Expect(s.FetchNewest(t.Context(), []string{"gone", "behind", "ahead"})).To(BeTrue())
		g.Expect(holder.Revision()).To(Equal(types.Revision(7)))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = s.Run(ctx) }()
		offer(t, ahead, 9, configOf(9))
		s.RecordPeerRevision("gone", 8)
		s.RecordPeerRevision("ahead", 9)
		synctest.Wait()
		g.Expect(holder.Revision()).To(Equal(types.Revision(9)))
	})
}

// A peer advertises a newer revision and dies before the fetch. The process must
// poll the store at once instead of waiting for the next interval.
func TestPeerDiesBeforeFetch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table, holder := newFakeTable(), newHolder()
		s := newSyncer(holder, newStore(table), fakePeers{})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = s.Run(ctx) }()
		synctest.Wait()
		_, _, _ = newStore(table).Accept(t.Context(), 0, configOf(1), "ann", "")
		s.RecordPeerRevision("dead", 1)
		synctest.Wait()
		g.Expect(holder.Revision()).To(Equal(types.Revision(1)))
	})
}

// One of the seeds was replaced, and calls to its address get no response. A starting
// process has 2 s for its seeds. Guards against spending them all on the dead seed and
// starting without the configuration that the other seed has.
func TestFetchNewestSkipsDeadSeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		holder, ahead := newHolder(), newHolder()
		offer(t, ahead, 2, configOf(2))
		client := config.NewClient(holder, partitioned{config.NewServer(ahead, nil).Handler()})
		s := config.NewSyncer(config.SyncerOptions{Holder: holder, Source: client})
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		g.Expect(s.FetchNewest(ctx, []string{lostRegion + "0.1:7100", "10.1.0.1:7100"})).To(BeTrue())
		g.Expect(holder.Revision()).To(Equal(types.Revision(2)))
	})
}

// A process has no store. It must fetch revisions from its peers alone, also after a
// fetch that failed.
func TestSyncerWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		holder, ahead := newHolder(), newHolder()
		offer(t, ahead, 2, configOf(2))
		s := config.NewSyncer(config.SyncerOptions{Holder: holder, Source: fakePeers{"ahead": ahead}})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = s.Run(ctx) }()
		s.RecordPeerRevision("gone", 1)
		synctest.Wait()
		s.RecordPeerRevision("ahead", 2)
		synctest.Wait()
		g.Expect(holder.Revision()).To(Equal(types.Revision(2)))
	})
}

// testNode is the configuration part of a process, with a real listener.
type testNode struct {
	holder   *config.Holder
	syncer   *config.Syncer
	client   *config.Client
	addr     string
	received atomic.Int64 // bytes of request bodies
}

func newNode(t testing.TB) *testNode {
	n := &testNode{holder: newHolder()}
	n.client = config.NewClient(n.holder, http.DefaultClient)
	// The tests check what is sent, not how fast: with 48 tests in parallel, reading a
	// configuration of 5,000 organisations took over half a second, and so
	// longer than DefaultShortTimeout.
	n.syncer = config.NewSyncer(config.SyncerOptions{
		Holder: n.holder, Store: newStore(newFakeTable()), Source: n.client,
		CallTimeout: time.Minute, ShortTimeout: time.Minute,
	})
	handler := config.NewServer(n.holder, n.syncer).Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.received.Add(r.ContentLength)
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	n.addr = strings.TrimPrefix(server.URL, "http://")
	return n
}

func TestPushAndFetchBetweenProcesses(t *testing.T) {
	g := NewWithT(t)
	from, current, late := newNode(t), newNode(t), newNode(t)
	raw := bigConfig(5000)
	offer(t, from.holder, 1, raw)
	offer(t, current.holder, 1, raw)
	changed := []byte(strings.Replace(string(raw), `"organisation-2500"`, `"organisation-renamed"`, 1))
	offer(t, from.holder, 2, changed)

	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = late.syncer.Run(ctx) }()
	pusher := config.NewPusher(from.syncer, from.client, from.addr)
	result := pusher.Push(ctx, []string{current.addr, late.addr, "127.0.0.1:1"})
	g.Expect(result).To(Equal(config.PushResult{Revision: 2, Reached: 1, Behind: 1, Failed: 1}))
	g.Expect(current.received.Load()).To(BeNumerically("<", 500), "a small change goes as a delta")
	g.Expect(string(current.holder.Current().Raw) == string(changed)).To(BeTrue())
	g.Eventually(late.holder.Revision, "30s").Should(Equal(types.Revision(2)))
	g.Expect(string(late.holder.Current().Raw) == string(changed)).To(BeTrue())
}

// A process holds a different configuration with the same revision (a damaged
// store). Applying the delta would produce a third configuration; the full one must
// be fetched instead.
func TestDeltaOnDifferentBase(t *testing.T) {
	g := NewWithT(t)
	from, odd := newNode(t), newNode(t)
	offer(t, from.holder, 1, configOf(1))
	offer(t, odd.holder, 1, configOf(5))
	offer(t, from.holder, 2, configOf(2))
	rev, raw, err := odd.client.Fetch(t.Context(), from.addr, 2)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(rev).To(Equal(types.Revision(2)))
	g.Expect(string(raw)).To(Equal(string(configOf(2))))
}

// partitioned is an HTTP client for which one handler serves all addresses except
// those of a lost region, which never respond.
type partitioned struct{ handler http.Handler }

const lostRegion = "10.9."

func (p partitioned) Do(r *http.Request) (*http.Response, error) {
	if strings.HasPrefix(r.URL.Host, lostRegion) {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	recorder := httptest.NewRecorder()
	p.handler.ServeHTTP(recorder, r)
	return recorder.Result(), nil
}

// An operator applies a configuration while one of six regions is unreachable. Pushes
// to its 334 processes time out. Guards against pushes to the other regions queueing
// behind them: all reachable processes must have the configuration within 4 s.
func TestPushWhileRegionIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		from, others := newHolder(), newHolder()
		s := newSyncer(from, nil, nil)
		handler := config.NewServer(others, s).Handler()
		offer(t, from, 1, configOf(1))
		var addrs []string
		for i := range 2000 {
			prefix := "10.1."
			if i%6 == 0 {
				prefix = lostRegion
			}
			addrs = append(addrs, fmt.Sprintf("%s%d.%d:7100", prefix, i/250, i%250+1))
		}
		start := time.Now()
		result := config.NewPusher(s, config.NewClient(from, partitioned{handler}), "10.1.0.1:7100").Push(t.Context(), addrs)
		g.Expect(result).To(Equal(config.PushResult{Revision: 1, Reached: 1666, Failed: 334}))
		g.Expect(time.Since(start)).To(BeNumerically("<", 4*time.Second))
	})
}

func BenchmarkRecordPeerRevision(b *testing.B) {
	holder := newHolder()
	offer(b, holder, 1, configOf(1))
	s := newSyncer(holder, newStore(newFakeTable()), fakePeers{})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			s.RecordPeerRevision("127.0.0.1:1", 1)
		}
	})
}

// BenchmarkOffer48000 measures what one small change of a large configuration costs
// a process: the time and the peak resident memory (of which the benchmark itself
// uses some 12 MB for three copies of the configuration).
func BenchmarkOffer48000(b *testing.B) {
	raw := bigConfig(48_000)
	other := []byte(strings.Replace(string(raw), `"organisation-24000"`, `"organisation-renamed"`, 1))
	holder := newHolder()
	rev := types.Revision(0)
	b.ReportAllocs()
	for b.Loop() {
		rev++
		raw, other = other, raw
		offer(b, holder, rev, bytes.Clone(raw))
	}
	b.ReportMetric(peakMegabytes(b), "MB-peak")
}

// peakMegabytes returns the peak resident memory of the test process so far.
func peakMegabytes(b *testing.B) float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return float64(usage.Maxrss) / 1024
}

// BenchmarkPush200 measures pushing one small change to 200 processes on this machine.
func BenchmarkPush200(b *testing.B) {
	from := newNode(b)
	raw := bigConfig(100)
	offer(b, from.holder, 1, raw)
	var addrs []string
	var last *testNode
	for range 200 {
		last = newNode(b)
		offer(b, last.holder, 1, raw)
		addrs = append(addrs, last.addr)
	}
	pusher := config.NewPusher(from.syncer, from.client, from.addr)
	rev := types.Revision(1)
	for b.Loop() {
		rev++
		renamed := fmt.Sprintf("%q", fmt.Sprintf("organisation-%d", rev+1000))
		offer(b, from.holder, rev, []byte(strings.Replace(string(raw), `"organisation-50"`, renamed, 1)))
		if result := pusher.Push(b.Context(), addrs); result.Reached != int64(len(addrs)) {
			b.Fatal(result)
		}
	}
	b.ReportMetric(float64(last.received.Load())/float64(rev-1), "B/receiver")
}
