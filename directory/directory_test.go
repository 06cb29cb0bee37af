package directory

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/types"
)

func listing(ids ...string) []Listing {
	var list []Listing
	for _, id := range ids {
		list = append(list, Listing{ID: id, Service: "s", Address: id, Zone: id[:1], Slots: 8})
	}
	return list
}

func withServers(ids ...string) *Directory {
	d := New()
	d.Apply(1, listing(ids...), false, time.Now())
	return d
}

func (d *Directory) server(id string) *Server { return d.view.Load().byID[id] }

// A server crashed and another start has its address. The old id stays listed for some
// seconds. Guards against requests to it, each of which would be refused.
func TestEndedServerIsNotPicked(t *testing.T) {
	g := gomega.NewWithT(t)
	d := withServers("a1")
	now := time.Now()
	d.server("a1").MarkRefused(now)
	for after := time.Duration(0); after < firstSuspension; after += 10 * time.Millisecond {
		g.Expect(d.Pick(Query{Service: "s"}, now.Add(after)) == nil).To(gomega.BeTrue(), "after %v", after)
	}
	d.server("a1").markReplaced(now)
	g.Expect(d.Pick(Query{Service: "s"}, now.Add(time.Minute)) == nil).To(gomega.BeTrue(), "replaced")
}

// A server that can't be reached may be back: it is tried again after a while, and at
// once if no other is left.
func TestLostServerIsRetried(t *testing.T) {
	g := gomega.NewWithT(t)
	d := withServers("a1", "b1")
	now := time.Now()
	d.server("a1").MarkLost(now)
	for range 20 {
		g.Expect(d.Pick(Query{Service: "s", Zone: "a"}, now).ID).To(gomega.Equal("b1"))
	}
	g.Expect(d.Pick(Query{Service: "s", Exclude: map[Start]bool{{ID: "b1"}: true}}, now).ID).To(gomega.Equal("a1"))
	g.Expect(d.server("a1").IsDown(now.Add(lossRetryDelay))).To(gomega.BeFalse())
}

// A server was lost, nobody has tried it since, and after a while it is usable again.
// Guards against streams with a copy there that are woken by the old loss over and over:
// entry VMs spent all of their processor time on it.
func TestPastLossWakesNoWaiter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := withServers("a1").server("a1")
		s.MarkLost(time.Now())
		woken := func() bool {
			select {
			case <-s.Down():
				return true
			default:
				return false
			}
		}
		g.Expect(woken()).To(gomega.BeTrue())
		time.Sleep(lossRetryDelay)
		g.Expect(s.IsDown(time.Now())).To(gomega.BeFalse())
		g.Expect(woken()).To(gomega.BeFalse())
		s.MarkLost(time.Now())
		g.Expect(woken()).To(gomega.BeTrue())
	})
}

// A server reports that it leaves. From then on it gets no work, even if no other server
// is left.
func TestDrainingServerGetsNoWork(t *testing.T) {
	g := gomega.NewWithT(t)
	d := withServers("a1", "a2")
	list := listing("a1", "a2")
	list[0].Draining, list[1].Draining = true, true
	change := d.Apply(2, list, false, time.Now())
	g.Expect(change.Draining).To(gomega.ConsistOf("a1", "a2"))
	g.Expect(d.Pick(Query{Service: "s"}, time.Now())).To(gomega.BeNil())
}

// Several servers of a zone are lost at once, so the zone has probably failed with its
// other servers, though no request has failed there yet. A server that has responded
// since is not suspected.
func TestServersOfFailedZoneAreSuspected(t *testing.T) {
	g := gomega.NewWithT(t)
	d := withServers("a1", "a2", "a3", "a4", "b1")
	now := time.Now().Add(time.Second)
	d.server("a1").MarkLost(now)
	d.server("a2").MarkLost(now)
	busy := d.server("b1").BeginStream(8000)
	defer busy.End()
	for range 20 {
		g.Expect(d.Pick(Query{Service: "s", Zone: "a"}, now).ID).To(gomega.Equal("b1"))
	}
	d.server("a3").MarkHeard(now.Add(time.Millisecond))
	g.Expect(d.Pick(Query{Service: "s", Zone: "a"}, now).ID).To(gomega.Equal("a3"))
}

// A zone's servers crash during an outage of the store, so nobody removes them from the
// list, and the VMs report the losses to each other. Guards against VMs that pass on
// reported losses: each loss then looked as recent as the last report, and servers that
// came back, their zone, and servers that only one VM had failed to reach got no work
// until the store returned.
func TestPeerLossIsNotPassedOn(t *testing.T) {
	const window, interval = time.Second, 20 * time.Millisecond
	g := gomega.NewWithT(t)
	a, b, c := withServers("a1", "a2", "b1"), withServers("a1", "a2", "b1"), withServers("a1", "a2", "b1")
	vms := []*Directory{a, b, c}
	start := time.Now().Add(time.Second)
	a.server("a1").MarkLost(start)
	a.server("a2").MarkEnded(start)
	now := start
	exchange := func(d time.Duration) {
		for until := now.Add(d); now.Before(until); now = now.Add(interval) {
			for _, from := range vms {
				for _, lost := range from.LocalLosses(now, window) {
					for _, to := range vms {
						if to != from {
							to.RecordPeerLoss(lost, now)
						}
					}
				}
			}
		}
	}
	exchange(interval)
	for _, vm := range vms {
		g.Expect(vm.server("a1").IsDown(now)).To(gomega.BeTrue())
		g.Expect(vm.RecordRestart(vm.server("a2"), Start{ID: "a3"}, now)).To(gomega.BeTrue())
	}
	busy := b.server("b1").BeginStream(8000)
	defer busy.End()
	exchange(2 * time.Second)
	g.Expect(b.Pick(Query{Service: "s", Zone: "a"}, now).ID).To(gomega.Equal("a3"), "the server that came back")
	exchange(lossRetryDelay)
	for _, vm := range vms {
		g.Expect(vm.server("a1").IsDown(now)).To(gomega.BeFalse())
	}
}

// Two servers leave one after the other during a release and refuse connections at their
// end. That says nothing about the rest of their zone.
func TestDrainingServersAreNoZoneLoss(t *testing.T) {
	g := gomega.NewWithT(t)
	d := withServers("a1", "a2", "a3", "b1")
	list := listing("a1", "a2", "a3", "b1")
	list[0].Draining, list[1].Draining = true, true
	now := time.Now().Add(time.Second)
	d.Apply(2, list, false, now)
	d.server("a1").MarkLost(now)
	d.server("a2").MarkLost(now)
	busy := d.server("b1").BeginStream(8000)
	defer busy.End()
	g.Expect(d.Pick(Query{Service: "s", Zone: "b"}, now).ID).To(gomega.Equal("a3"))
}

// A copy in the zone of its stream would be lost with it.
func TestCopyGoesToAnotherZone(t *testing.T) {
	g := gomega.NewWithT(t)
	d := withServers("a1", "a2", "b1")
	busy := d.server("b1").BeginStream(8000)
	defer busy.End()
	for range 20 {
		g.Expect(d.Pick(Query{Service: "s", AvoidZone: "a", Copy: true}, time.Now()).ID).To(gomega.Equal("b1"))
	}
}

// Guards against copies of many streams on one idle server: when their zone failed, all
// streams continued there at once, and it had no room for the last ones.
func TestCopiesAreSpread(t *testing.T) {
	g := gomega.NewWithT(t)
	d := withServers("a1", "a2", "a3", "a4")
	for range 12 {
		d.Pick(Query{Service: "s", Copy: true}, time.Now()).BeginCopy()
	}
	for _, s := range d.View().Service("s") {
		g.Expect(s.copies.Load()).To(gomega.BeNumerically("==", 3), s.ID)
	}
}

// A server joins between two reports of a peer. Guards against totals updated by
// differences: they stayed wrong for good, and idle servers looked busier than busy ones.
func TestPeerLoadIsNewestReport(t *testing.T) {
	g := gomega.NewWithT(t)
	d := withServers("a1")
	d.SetPeerLoad("peer", []Load{{Server: Hash("a2"), Streams: 2, Copies: 1, Prefill: 640}})
	d.Apply(2, listing("a1", "a2"), false, time.Now())
	g.Expect(d.server("a2").peerStreams.Load()).To(gomega.BeNumerically("==", 2))
	d.SetPeerLoad("peer", []Load{{Server: Hash("a1"), Streams: 1}})
	d.refreshPeerTotals(time.Now().Add(time.Second))
	g.Expect(d.server("a2").peerStreams.Load()).To(gomega.BeZero())
	g.Expect(d.server("a2").peerQueuedTokens.Load()).To(gomega.BeZero())
	d.SetPeerLoad("peer", nil)
	d.refreshPeerTotals(time.Now().Add(2 * time.Second))
	g.Expect(d.server("a1").peerStreams.Load()).To(gomega.BeZero())
}

// A late response of the store, or a peer that lags, must not bring back a server that is
// gone.
func TestListNeverGoesBack(t *testing.T) {
	g := gomega.NewWithT(t)
	d := withServers("a1", "a2")
	d.Apply(5, listing("a1"), false, time.Now())
	d.Apply(4, listing("a1", "a2"), false, time.Now())
	g.Expect(d.View().Len()).To(gomega.Equal(1))
}

// fakeStore is a Source that can fail.
type fakeStore struct {
	mu       sync.Mutex
	position types.Position
	list     []Listing
	err      error
	tooOld   bool
}

// set changes what the store responds from now on.
func (s *fakeStore) set(position types.Position, list []Listing, err error, tooOld bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.position, s.list, s.err, s.tooOld = position, list, err, tooOld
}

func (s *fakeStore) List(context.Context) (types.Position, []Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.position, s.list, s.err
}

func (s *fakeStore) Changes(ctx context.Context, after types.Position, wait time.Duration) (types.Position, []Listing, []string, error) {
	s.mu.Lock()
	err, tooOld := s.err, s.tooOld
	s.tooOld = false
	s.mu.Unlock()
	if err != nil {
		return 0, nil, nil, err
	}
	if tooOld {
		return 0, nil, nil, ErrTooOld
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return 0, nil, nil, ctx.Err()
	}
	return after, nil, nil, nil
}

// The store has an outage of some seconds, and the entries of all servers expire. When it
// returns, the servers write them again within two seconds. They stay in use until then;
// one that is still missing afterwards is removed.
func TestExpiredEntriesAreRetainedForTwoSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		store := &fakeStore{position: 1, list: listing("a1", "a2")}
		d := New()
		f := &Follower{Directory: d, Source: store, Recorder: event.Discard()}
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		time.Sleep(time.Second)
		store.set(1, nil, errors.New("away"), false)
		time.Sleep(5 * time.Second)
		g.Expect(d.View().Len()).To(gomega.Equal(2))
		store.set(9, nil, nil, false)
		time.Sleep(time.Second)
		g.Expect(d.View().Len()).To(gomega.Equal(2), "entries that expired")
		store.set(10, listing("a1"), nil, false)
		time.Sleep(4 * time.Second)
		g.Expect(d.View().Len()).To(gomega.Equal(1), "removed in the end")
		stop()
		<-done
	})
}

// The store has dropped the history after a process's position. The whole list is read
// instead, which does not count as a failure of the store.
func TestDroppedHistoryCausesWholeRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		store := &fakeStore{position: 1, list: listing("a1")}
		failures := 0
		f := &Follower{Directory: New(), Source: store, Recorder: event.Discard(), OnFailure: func(context.Context) { failures++ }}
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		time.Sleep(time.Second)
		store.set(7, listing("a1", "a2"), nil, true)
		time.Sleep(4 * time.Second)
		g.Expect(f.Directory.View().Len()).To(gomega.Equal(2))
		g.Expect(failures).To(gomega.BeZero())
		stop()
		<-done
	})
}

// A process that the store rejects gets the list from a peer that is served by the store:
// servers missing from it are removed. After an outage that affects all, the first list
// of a peer lacks each server whose entry expired. Guards against removing those: it left
// two thirds of the servers idle for two seconds.
func TestPeerListRemovesServersIfSettled(t *testing.T) {
	g := gomega.NewWithT(t)
	d := withServers("a1", "a2", "a3")
	f := &Follower{Directory: d, Recorder: event.Discard()}
	f.ApplyPeerList(2, listing("a1", "a2"), true, "peer")
	g.Expect(d.View().Len()).To(gomega.Equal(2))
	f.ApplyPeerList(3, listing("a1"), false, "peer")
	g.Expect(d.View().Len()).To(gomega.Equal(2))
	g.Expect(f.Settled()).To(gomega.BeFalse(), "a2 is retained")
}

// During an outage of the store a server crashes, is started again and found under its
// new id. It is used at once: the loss of its previous start is older, and the loss of
// its zone says nothing about it.
func TestRestartedServerIsUsed(t *testing.T) {
	g := gomega.NewWithT(t)
	d := withServers("a1", "a2", "b1")
	lost := time.Now()
	d.server("a1").MarkLost(lost)
	d.server("a2").MarkLost(lost)
	busy := d.server("b1").BeginStream(8000)
	defer busy.End()
	found := lost.Add(1300 * time.Millisecond)
	g.Expect(d.RecordRestart(d.server("a1"), Start{ID: "a1-again"}, found)).To(gomega.BeTrue())
	g.Expect(d.RecordRestartByHash(Hash("a2"), Start{ID: "a2-again"}, found.Add(time.Millisecond))).To(gomega.BeTrue())
	g.Expect(d.RecordRestartByHash(Hash("a2"), Start{ID: "a2-again"}, found)).To(gomega.BeFalse())
	got := map[string]bool{}
	for range 50 {
		got[d.Pick(Query{Service: "s", Zone: "a"}, found.Add(10*time.Millisecond)).ID] = true
	}
	g.Expect(got).To(gomega.Equal(map[string]bool{"a1-again": true, "a2-again": true}))
	g.Expect(d.server("a1-again").Address).To(gomega.Equal("a1"))
}

// With hundreds of processes each prefers the servers of its cell; if the cell has none
// available, it uses any.
func TestPickPrefersOwnCell(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(Cells(28)).To(gomega.Equal(1))
	g.Expect(Cells(300)).To(gomega.Equal(10))
	ids := make([]string, 200)
	for i := range ids {
		ids[i] = fmt.Sprintf("a%03d", i)
	}
	d := withServers(ids...)
	d.SetCells(1, 2)
	for range 50 {
		g.Expect(int(d.Pick(Query{Service: "s"}, time.Now()).idHash) % 2).To(gomega.Equal(1))
	}
	now := time.Now()
	for _, s := range d.View().Service("s") {
		if s.idHash%2 == 1 {
			s.MarkEnded(now)
		}
	}
	g.Expect(d.Pick(Query{Service: "s"}, now)).NotTo(gomega.BeNil())
}

// The log line of a list of thousands stays short and tells how many ids it leaves out.
func TestLogLineOfManyServersIsShort(t *testing.T) {
	g := gomega.NewWithT(t)
	ids := make([]string, 3000)
	for i := range ids {
		ids[i] = fmt.Sprintf("i-%010d", i)
	}
	g.Expect(joinIDs(ids)).To(gomega.HaveSuffix(",+2960"))
	g.Expect(len(joinIDs(ids))).To(gomega.BeNumerically("<", 600))
	g.Expect(joinIDs(ids[:2])).To(gomega.Equal("i-0000000000,i-0000000001"))
}

// A zone is lost, and 28 entry VMs place its streams at the same moment, all with the
// same idle server in sight. Guards against all of them choosing it: with 28 prompts
// there, the last caller waited for half a minute.
func TestStreamsOfLostZoneAreSpread(t *testing.T) {
	const vms = 28
	g := gomega.NewWithT(t)
	var ids []string
	for i := range 77 {
		ids = append(ids, fmt.Sprintf("%c%d", 'a'+i%3, i))
	}
	prompts := map[string]int{}
	for vm := range vms {
		d := withServers(ids...)
		d.SetPartition(vm, vms)
		var reported []Load
		for _, id := range ids[1:] {
			reported = append(reported, Load{Server: Hash(id), Streams: 2})
		}
		d.SetPeerLoad("another", reported)
		now := time.Now().Add(time.Second)
		for range 2 {
			s := d.Pick(Query{Service: "s", Zone: "a", Prompt: 8000, AfterDisruption: true}, now)
			s.BeginStream(8000)
			prompts[s.ID]++
		}
	}
	most := 0
	for _, n := range prompts {
		most = max(most, n)
	}
	g.Expect(most).To(gomega.BeNumerically("<=", 4))
	g.Expect(len(prompts)).To(gomega.BeNumerically(">=", 30))
}

// Another program overwrites 3,000 entries. Guards against a log line for each entry and
// each list: they are logged once, in a line that names a few, and again only when an
// entry is invalid for another reason.
func TestInvalidEntriesAreLoggedOnceInOneLine(t *testing.T) {
	g := gomega.NewWithT(t)
	recorder := event.Discard()
	f := &Follower{Directory: New(), Recorder: recorder}
	var list []Listing
	for i := range 3000 {
		list = append(list, Listing{ID: fmt.Sprintf("i-%d", i), Invalid: "its state is \"odd\""})
	}
	list = append(list, Listing{ID: "good", Service: "s", Address: "10.0.0.1:80"})
	logged := func() (lines []string) {
		for _, e := range recorder.Entries("") {
			if e.ID == EventInvalid.ID() {
				lines = append(lines, e.Fields["entries"])
			}
		}
		return lines
	}
	for position := range types.Position(50) {
		f.ApplyPeerList(position+1, list, true, "store")
	}
	g.Expect(logged()).To(gomega.HaveLen(1))
	g.Expect(logged()[0]).To(gomega.ContainSubstring(`"i-0": its state is "odd"`))
	g.Expect(logged()[0]).To(gomega.HaveSuffix("+2992"))
	g.Expect(len(logged()[0])).To(gomega.BeNumerically("<", 2000))
	g.Expect(f.Directory.View().InvalidCount()).To(gomega.Equal(3000))
	g.Expect(f.Directory.View().Len()).To(gomega.Equal(1))
	list = slices.Clone(list) // views keep the list that they were given
	list[5].Invalid = ReasonNoService
	f.ApplyPeerList(60, list, true, "peer")
	g.Expect(logged()).To(gomega.HaveLen(1), "a peer passes on no reason")
	list = slices.Clone(list)
	list[6].Invalid = "its address is not ip:port"
	f.ApplyPeerList(61, list, true, "store")
	g.Expect(logged()).To(gomega.HaveLen(2))
}

// Guards against an older list that replaces a newer one with the same content as the
// list before both.
func TestUnchangedListIsNotReplacedByAnOlderOne(t *testing.T) {
	g := gomega.NewWithT(t)
	d := New()
	list := []Listing{{ID: "i1", Service: "s", Address: "a:1"}}
	d.Apply(10, list, false, time.Now())
	d.Apply(20, list, false, time.Now())
	g.Expect(d.View().UnchangedSince).To(gomega.BeNumerically("==", 10))
	g.Expect(d.View().Position).To(gomega.BeNumerically("==", 20))
	g.Expect(d.Apply(15, nil, false, time.Now()).Ignored).To(gomega.BeTrue())
	g.Expect(d.View().Len()).To(gomega.Equal(1))
	d.Apply(25, nil, false, time.Now())
	g.Expect(d.View().UnchangedSince).To(gomega.BeNumerically("==", 25))
}
