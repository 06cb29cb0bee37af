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

func spreader(holder *config.Holder, store config.Versions, peers config.Source) *config.Spreader {
	return config.NewSpreader(config.SpreaderOptions{Holder: holder, Versions: store, Source: peers})
}

// A process is frozen with revision 1 in hand and wakes after revision 5 came
// into force; or two messages cross. The late offer must change nothing, in
// whichever order and from however many threads the offers come.
func TestHolderNeverGoesBack(t *testing.T) {
	g := NewWithT(t)
	holder := newHolder()
	g.Expect(holder.Current()).To(BeNil())
	g.Expect(holder.Freshness()).To(Equal(config.NeverConfirmed))
	stop, fell := make(chan struct{}), make(chan bool)
	go func() {
		last, back := types.Revision(0), false
		for {
			select {
			case <-stop:
				fell <- back
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
				_, _ = holder.Offer(types.Revision(n), textOf(n))
			}
			done <- struct{}{}
		}()
	}
	for range 4 {
		<-done
	}
	close(stop)
	g.Expect(<-fell).To(BeFalse())
	top := holder.Revision()
	taken, err := holder.Offer(top-1, textOf(0))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(taken).To(BeFalse())
	_, err = holder.Offer(top, textOf(0))
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
		offer(t, holder, 3, textOf(3))
		g.Expect(changed).To(BeClosed())
		g.Expect(holder.Changed()).NotTo(BeClosed())
		time.Sleep(time.Minute)
		holder.Confirmed(2, time.Now()) // a peer that is behind proves nothing
		g.Expect(holder.Freshness()).To(Equal(time.Minute))
		holder.Confirmed(3, time.Now())
		g.Expect(holder.Freshness()).To(BeZero())
	})
}

// A process freezes. Before that, a peer was asked for its revision; meanwhile a
// new text is accepted and pushed to others. The process wakes and reads the old
// answer, and a push that waited: neither says what is in force now.
func TestOldAnswersConfirmNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		holder := newHolder()
		offer(t, holder, 3, textOf(3))
		asked := time.Now()
		time.Sleep(time.Minute)
		holder.Confirmed(3, asked)
		g.Expect(holder.Freshness()).To(Equal(time.Minute))
		holder.Confirmed(3, time.Time{}) // the stamp of a request
		g.Expect(holder.Freshness()).To(Equal(time.Minute))
		offer(t, holder, 4, textOf(4))
		g.Expect(holder.Freshness()).To(Equal(time.Minute))
		holder.Confirmed(4, time.Now())
		g.Expect(holder.Freshness()).To(BeZero())
	})
}

// The store fails over to an old copy while a process polls it, then freezes,
// then comes back. The process keeps its revision all the time and takes the
// next one when the store has it.
func TestNeverBackAfterFreeze(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table, holder := newFakeTable(), newHolder()
		operator := newStore(table)
		_, _, _ = operator.Accept(t.Context(), 0, textOf(1), "ann", "")
		table.freeze()
		old := table.frozen
		table.set(func() { table.frozen = nil })
		_, _, _ = operator.Accept(t.Context(), 1, textOf(2), "ann", "")
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := spreader(holder, newStore(table), fakePeers{})
		go func() { _ = s.Run(ctx) }()
		synctest.Wait()
		g.Expect(holder.Revision()).To(Equal(types.Revision(2)))
		table.set(func() { table.frozen = old })
		time.Sleep(time.Minute)
		g.Expect(holder.Revision()).To(Equal(types.Revision(2)))
		g.Expect(holder.Freshness()).To(BeNumerically(">=", 45*time.Second)) // an older answer confirms nothing
		table.set(func() { table.frozen, table.down = nil, true })
		time.Sleep(time.Minute)
		table.set(func() { table.down = false })
		_, _, err := operator.Accept(t.Context(), 2, textOf(3), "ann", "")
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(config.DefaultPollInterval * 5 / 4)
		g.Expect(holder.Revision()).To(Equal(types.Revision(3)))
	})
}

// The store is down when a process is replaced. It came up without a text and
// refused everything. It must get the text from its peers, the newest of those
// that answer, and follow a peer's stamp from then on.
func TestStartWhileStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table := newFakeTable()
		table.down = true
		behind, ahead, holder := newHolder(), newHolder(), newHolder()
		offer(t, behind, 6, textOf(6))
		offer(t, ahead, 7, textOf(7))
		s := spreader(holder, newStore(table), fakePeers{"behind": behind, "ahead": ahead})
		g.Expect(s.Ask(t.Context(), []string{"gone", "behind", "ahead"})).To(BeTrue())
		g.Expect(holder.Revision()).To(Equal(types.Revision(7)))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = s.Run(ctx) }()
		offer(t, ahead, 9, textOf(9))
		s.Seen("gone", 8)
		s.Seen("ahead", 9)
		synctest.Wait()
		g.Expect(holder.Revision()).To(Equal(types.Revision(9)))
	})
}

// A peer shows a newer revision and dies before it hands the text over. The
// process must not wait for the next poll but ask the store at once.
func TestPeerDiesBeforeFetch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table, holder := newFakeTable(), newHolder()
		s := spreader(holder, newStore(table), fakePeers{})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = s.Run(ctx) }()
		synctest.Wait()
		_, _, _ = newStore(table).Accept(t.Context(), 0, textOf(1), "ann", "")
		s.Seen("dead", 1)
		synctest.Wait()
		g.Expect(holder.Revision()).To(Equal(types.Revision(1)))
	})
}

// One of the seeds was replaced and its address swallows calls. A process that
// starts has 2 s for asking; it spent them all on the dead seed and came up
// without a text although the other seed had it.
func TestAskPastADeadSeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		holder, ahead := newHolder(), newHolder()
		offer(t, ahead, 2, textOf(2))
		client := config.NewClient(holder, partitioned{config.NewServer(ahead, nil).Handler()})
		s := config.NewSpreader(config.SpreaderOptions{Holder: holder, Source: client})
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		g.Expect(s.Ask(ctx, []string{lostRegion + "0.1:7100", "10.1.0.1:7100"})).To(BeTrue())
		g.Expect(holder.Revision()).To(Equal(types.Revision(2)))
	})
}

// A sidecar has no way to the store. It must go on with what peers bring.
func TestSpreaderWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		holder, ahead := newHolder(), newHolder()
		offer(t, ahead, 2, textOf(2))
		s := config.NewSpreader(config.SpreaderOptions{Holder: holder, Source: fakePeers{"ahead": ahead}})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = s.Run(ctx) }()
		s.Seen("gone", 1)
		synctest.Wait()
		s.Seen("ahead", 2)
		synctest.Wait()
		g.Expect(holder.Revision()).To(Equal(types.Revision(2)))
	})
}

// node is a process's configuration with a real listener.
type node struct {
	holder   *config.Holder
	spreader *config.Spreader
	client   *config.Client
	addr     string
	received atomic.Int64
}

func newNode(t testing.TB) *node {
	n := &node{holder: newHolder()}
	n.client = config.NewClient(n.holder, http.DefaultClient)
	// What is sent matters here, not how soon: 48 tests beside each other needed
	// over half a second to read a text of 5,000 organisations.
	n.spreader = config.NewSpreader(config.SpreaderOptions{
		Holder: n.holder, Versions: newStore(newFakeTable()), Source: n.client,
		CallTimeout: time.Minute, ShortTimeout: time.Minute,
	})
	handler := config.NewServer(n.holder, n.spreader).Handler()
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
	raw := bigText(5000)
	offer(t, from.holder, 1, raw)
	offer(t, current.holder, 1, raw)
	changed := []byte(strings.Replace(string(raw), `"organisation-2500"`, `"organisation-renamed"`, 1))
	offer(t, from.holder, 2, changed)

	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = late.spreader.Run(ctx) }()
	pusher := config.NewPusher(from.spreader, from.client, from.addr)
	result := pusher.Push(ctx, []string{current.addr, late.addr, "127.0.0.1:1"})
	g.Expect(result).To(Equal(config.PushResult{Revision: 2, Reached: 1, Behind: 1, Failed: 1}))
	g.Expect(current.received.Load()).To(BeNumerically("<", 500), "a small change goes as a delta")
	g.Expect(string(current.holder.Current().Raw) == string(changed)).To(BeTrue())
	g.Eventually(late.holder.Revision, "30s").Should(Equal(types.Revision(2)))
	g.Expect(string(late.holder.Current().Raw) == string(changed)).To(BeTrue())
}

// A process holds another text under the same revision (a damaged store). The
// delta must not make a third text of it; the full one is fetched.
func TestDeltaOnAnotherBase(t *testing.T) {
	g := NewWithT(t)
	from, odd := newNode(t), newNode(t)
	offer(t, from.holder, 1, textOf(1))
	offer(t, odd.holder, 1, textOf(5))
	offer(t, from.holder, 2, textOf(2))
	rev, raw, err := odd.client.Fetch(t.Context(), from.addr, 2)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(rev).To(Equal(types.Revision(2)))
	g.Expect(string(raw)).To(Equal(string(textOf(2))))
}

// partitioned is an HTTP client on whose far side one process answers for all
// addresses but those of a lost region, which swallow calls.
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

// An operator applies a text while one of six regions is cut off. Its 333
// processes swallow pushes; those of the other regions waited behind them and
// got the text late. All that can be reached must have it within 4 s.
func TestPushWhileARegionIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		from, others := newHolder(), newHolder()
		s := spreader(from, nil, nil)
		handler := config.NewServer(others, s).Handler()
		offer(t, from, 1, textOf(1))
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

func BenchmarkSeen(b *testing.B) {
	holder := newHolder()
	offer(b, holder, 1, textOf(1))
	s := spreader(holder, newStore(newFakeTable()), fakePeers{})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			s.Seen("127.0.0.1:1", 1)
		}
	})
}

// BenchmarkOffer48000 is what one small change of a large text costs a
// process: its time, and the peak of the resident memory (three copies of the
// text, some 12 MB, are the benchmark's own).
func BenchmarkOffer48000(b *testing.B) {
	raw := bigText(48_000)
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

// peakMegabytes returns the largest resident memory of this program so far.
func peakMegabytes(b *testing.B) float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return float64(usage.Maxrss) / 1024
}

// BenchmarkPush200 pushes one small change to 200 processes on this machine.
func BenchmarkPush200(b *testing.B) {
	from := newNode(b)
	raw := bigText(100)
	offer(b, from.holder, 1, raw)
	var addrs []string
	var last *node
	for range 200 {
		last = newNode(b)
		offer(b, last.holder, 1, raw)
		addrs = append(addrs, last.addr)
	}
	pusher := config.NewPusher(from.spreader, from.client, from.addr)
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
