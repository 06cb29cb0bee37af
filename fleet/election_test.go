package fleet

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
	fleetpb "github.com/pearyard/pearyard/rpc/fleet"
	"github.com/pearyard/pearyard/types"
)

// testElection is an Election whose peers are played by the test.
type testElection struct {
	*Election
	position [subjects]atomic.Uint64
	fetched  atomic.Int32
	onFetch  func()
	seq      uint32
	size     int // number of VMs of the site
}

func newTestElection() *testElection {
	e := &testElection{}
	e.Election = NewElection(ElectionOptions{
		Address: "self", Socket: NewSocket("", func() []string { return nil }, nil), Recorder: event.Discard(),
		Mark: func(s Subject) Mark { return Mark{Position: types.Position(e.position[s].Load())} },
		Size: func() int { return e.size },
		Fetch: func(context.Context, string, types.Position, bool) {
			e.fetched.Add(1)
			if e.onFetch != nil {
				e.onFetch()
			}
		},
	})
	e.elected.Store(true)
	// The peers get rank 1, so the first two are the watchers.
	e.rank = 1 << 63
	return e
}

// receiveFrom delivers an announcement of a peer that ranks before this process.
func (e *testElection) receiveFrom(from string, a announcement) {
	e.seq++
	e.receive(from, header{incarnation: 1, seq: e.seq}, encodeAnnouncement(a).raw, time.Now())
	e.mu.Lock()
	defer e.mu.Unlock()
	e.members[from].rank = 1
}

// at returns the span of data that was read at one position.
func at(position types.Position) span {
	return span{Mark{Position: position}, Mark{Position: position}}
}

func healthy(list types.Position) announcement {
	return announcement{healthy: true, listReadNow: true, list: at(list)}
}

// Two entry VMs read the store for all. The others read it themselves only if neither has
// announced anything for a while, as both may have been lost at once.
func TestWatchersReadForAllOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e := newTestElection()
		g.Expect(e.Delegated(List)).To(gomega.BeZero(), "alone")
		e.receiveFrom("p", healthy(0))
		g.Expect(e.Delegated(List)).To(gomega.BeZero(), "one watcher is too few")
		e.receiveFrom("q", healthy(0))
		g.Expect(e.Delegated(List)).To(gomega.BeNumerically("~", leaseTime, 10*time.Millisecond))
		g.Expect(e.Delegated(Config)).To(gomega.BeZero(), "no announcement covered it")
		time.Sleep(leaseTime + time.Millisecond)
		g.Expect(e.Delegated(List)).To(gomega.BeZero())
		e.receiveFrom("p", healthy(0))
		time.Sleep(memberTimeout + time.Millisecond)
		g.Expect(e.IsWatcher()).To(gomega.BeTrue(), "no other VM is known")
	})
}

// A watcher that the store does not answer announces this, and another VM takes its place.
func TestWatcherWithoutStoreIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e := newTestElection()
		e.receiveFrom("p", healthy(0))
		e.receiveFrom("q", healthy(0))
		g.Expect(e.IsWatcher()).To(gomega.BeFalse())
		e.receiveFrom("q", announcement{})
		g.Expect(e.IsWatcher()).To(gomega.BeTrue())
	})
}

// If a watcher announces a newer position, this process queries it; only if the answer
// brings it up to date does the announcement count.
func TestNewerPositionIsFetched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e := newTestElection()
		e.receiveFrom("p", healthy(7))
		synctest.Wait()
		e.receiveFrom("q", healthy(7))
		synctest.Wait()
		g.Expect(e.fetched.Load()).To(gomega.BeNumerically("==", 2))
		g.Expect(e.Delegated(List)).To(gomega.BeZero(), "the peers did not answer")
		g.Expect(e.updates[List]).To(gomega.Receive(), "then the store is read")
		e.onFetch = func() { e.position[List].Store(7) }
		e.receiveFrom("p", healthy(7))
		synctest.Wait()
		g.Expect(e.Delegated(List)).To(gomega.BeNumerically(">", 0))
		e.receiveFrom("q", healthy(5))
		g.Expect(e.fetched.Load()).To(gomega.BeNumerically("==", 3), "an older position is ignored")
	})
}

// Guards against an announcement of a wrong position that keeps a VM from ever asking for
// changes.
func TestWrongConfirmationExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e := newTestElection()
		wrong := healthy(0)
		wrong.list.to = Mark{Position: 1 << 60}
		e.receiveFrom("p", wrong)
		e.receiveFrom("p", healthy(7))
		synctest.Wait()
		g.Expect(e.fetched.Load()).To(gomega.BeZero(), "the wrong position is believed at first")
		time.Sleep(memberTimeout)
		e.receiveFrom("p", healthy(7))
		synctest.Wait()
		g.Expect(e.fetched.Load()).To(gomega.BeNumerically("==", 1))
	})
}

// Guards against watchers that send the whole configuration to all other VMs, which would
// leave no bandwidth for streams on a slow link. Unless the change is small, each VM reads
// the configuration from the store.
func TestConfigurationIsReadFromTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e := newTestElection()
		e.receiveFrom("p", announcement{healthy: true, configReadNow: true})
		e.receiveFrom("q", announcement{healthy: true, configReadNow: true})
		g.Expect(e.Delegated(Config)).To(gomega.BeNumerically(">", 0))
		e.receiveFrom("q", announcement{healthy: true, configReadNow: true, config: at(9)})
		synctest.Wait()
		g.Expect(e.fetched.Load()).To(gomega.BeNumerically("==", 1))
		g.Expect(e.Delegated(Config)).To(gomega.BeZero(), "the peer sent no change")
		g.Expect(e.updates[Config]).To(gomega.Receive())

		v := newVM(t, "reader")
		sentConfig := func(since types.Position) []byte {
			answer, err := v.Newest(t.Context(), &fleetpb.NewestRequest{ConfigPosition: uint64(since), ChangesOnly: true})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			return answer.GetConfig()
		}
		apply := func(position types.Position, raw []byte) {
			text, _ := decodeConfig(position, raw)
			v.holder.Offer(text)
			v.Applied(text)
		}
		apply(9, []byte("text"))
		g.Expect(sentConfig(0)).To(gomega.BeEmpty())
		apply(10, randomText(20*maxDeltaBytes))
		g.Expect(sentConfig(9)).To(gomega.BeEmpty(), "the texts have nothing in common")
		v.server.Close()
	})
}

// newSendingElection returns an election that sends to a peer on loopback, and a function
// that returns the next announcement received there.
func newSendingElection(t *testing.T) (*testElection, func() announcement) {
	t.Helper()
	open := func() *net.UDPConn {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	own, peer := open(), open()
	e := newTestElection()
	e.opts.Socket.conn.Store(own)
	e.opts.Socket.peers = func() []string { return []string{peer.LocalAddr().String()} }
	return e, func() announcement {
		t.Helper()
		raw := make([]byte, 2*maxDatagram)
		_ = peer.SetReadDeadline(time.Now().Add(10 * time.Second))
		n, err := peer.Read(raw)
		if err != nil {
			t.Fatal(err)
		}
		k, _, rest, ok := decodeHeader(raw[:n])
		a, okBody := decodeAnnouncement(rest)
		if !ok || !okBody || k != kindAnnouncement {
			t.Fatalf("not an announcement: %x", raw[:n])
		}
		return a
	}
}

// Guards against the announcement of an outdated answer. A watcher may be suspended while
// the answer of the store is on its way, or a whole list may take long on a slow link. If
// such an answer were announced as current, the other VMs would not read the store and
// would serve by a configuration that has been replaced. The announcement still tells that
// the store answers.
func TestSlowAnswerIsNotAnnounced(t *testing.T) {
	g := gomega.NewWithT(t)
	e, nextAnnouncement := newSendingElection(t)
	e.Read(List, maxAnnouncedAge+time.Millisecond)
	g.Expect(nextAnnouncement()).To(gomega.Equal(announcement{isWatcher: true}))
	e.Read(Config, maxAnnouncedAge+time.Millisecond)
	g.Expect(nextAnnouncement()).To(gomega.Equal(announcement{healthy: true, isWatcher: true}))
	e.Read(List, maxAnnouncedAge)
	g.Expect(nextAnnouncement()).To(gomega.Equal(announcement{healthy: true, isWatcher: true, listReadNow: true}))
	e.Read(Config, 0)
	g.Expect(nextAnnouncement()).To(gomega.Equal(announcement{healthy: true, isWatcher: true, configReadNow: true}))
}

// Other VMs count a VM as stopping by its announcement, which is the only one that a VM
// beyond the candidates ever sends.
func TestStopIsAnnounced(t *testing.T) {
	g := gomega.NewWithT(t)
	e, nextAnnouncement := newSendingElection(t)
	e.AnnounceStop()
	g.Expect(nextAnnouncement()).To(gomega.Equal(announcement{isWatcher: true, stopping: true}))
	e.Read(List, 0)
	g.Expect(nextAnnouncement()).To(gomega.Equal(announcement{isWatcher: true, stopping: true, listReadNow: true}), "all later announcements carry the flag")
}

// A restart found by one entry VM at the address of a lost server is applied by the
// others. Duplicated and truncated datagrams and those of unknown servers have no effect.
func TestRestartsAreAnnounced(t *testing.T) {
	g := gomega.NewWithT(t)
	d := directory.New()
	d.Apply(1, []directory.Listing{{ID: "i1", Service: "s", Address: "x:1", Zone: "z"}}, false, time.Now())
	r := NewRestarts(NewSocket("", nil, nil), d)
	raw := encodeRestart(directory.Hash("i1"), directory.Start{ID: "i2"}).raw
	r.receive("p", header{}, raw, time.Now())
	r.receive("p", header{}, raw, time.Now())
	r.receive("p", header{}, raw[:4], time.Now())
	r.receive("p", header{}, encodeRestart(directory.Hash("other"), directory.Start{ID: "i3"}).raw, time.Now())
	g.Expect(d.View().Len()).To(gomega.Equal(2))
	s := d.Pick(directory.Query{Service: "s"}, time.Now())
	g.Expect(s.ID).To(gomega.Equal("i2"))
	g.Expect(s.Address).To(gomega.Equal("x:1"))
}

func FuzzDecodeAnnouncement(f *testing.F) {
	f.Add(encodeAnnouncement(announcement{healthy: true, config: at(1), list: at(2)}).raw)
	f.Add(encodeAnnouncement(announcement{healthy: true, isWatcher: true, configReadNow: true, listReadNow: true, membersReadNow: true, stopping: true, membersDigest: 3}).raw)
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		// The encoder never sets the other bits of the flags.
		if a, ok := decodeAnnouncement(raw); ok && raw[0] < 2*flagWatcher && string(encodeAnnouncement(a).raw) != string(raw) {
			t.Fatalf("%x became %x", raw, encodeAnnouncement(a).raw)
		}
	})
}

// All three entry VMs are stopped within a second. Each redirects its callers to the
// others until both have announced that they stop, and announces its own stop. A VM that
// has restarted, or whose announcement has expired, counts as serving.
func TestAllStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e := newTestElection()
		e.size = 3
		g.Expect(e.AllStop()).To(gomega.BeFalse(), "no announcement received")
		e.receiveFrom("p", announcement{healthy: true, stopping: true})
		g.Expect(e.AllStop()).To(gomega.BeFalse(), "one VM is silent")
		e.receiveFrom("q", announcement{healthy: true})
		g.Expect(e.AllStop()).To(gomega.BeFalse())
		e.receiveFrom("q", announcement{healthy: true, stopping: true})
		g.Expect(e.AllStop()).To(gomega.BeTrue())
		e.receiveFrom("p", announcement{})
		g.Expect(e.AllStop()).To(gomega.BeFalse(), "restarted")
		e.receiveFrom("p", announcement{stopping: true})
		time.Sleep(stopTimeout)
		g.Expect(e.AllStop()).To(gomega.BeFalse(), "the announcements have expired")
		e.AnnounceStop()
		a, ok := decodeAnnouncement(encodeAnnouncement(announcement{stopping: e.stopping.Load()}).raw)
		g.Expect(ok).To(gomega.BeTrue())
		g.Expect(a.stopping).To(gomega.BeTrue())
	})
}

// VMs are stopped one after the other. The one that stopped first will be back first, no
// matter when its last announcement arrived. A VM that serves again no longer counts.
func TestFirstStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e := newTestElection()
		g.Expect(e.FirstStop()).To(gomega.BeZero())
		e.receiveFrom("p", announcement{healthy: true, stopping: true})
		first := time.Now()
		time.Sleep(2 * time.Second)
		e.receiveFrom("q", announcement{stopping: true})
		second := time.Now()
		e.receiveFrom("p", announcement{stopping: true})
		g.Expect(e.FirstStop()).To(gomega.Equal(first))
		e.receiveFrom("p", announcement{healthy: true})
		g.Expect(e.FirstStop()).To(gomega.Equal(second), "restarted")
		e.receiveFrom("p", announcement{stopping: true})
		g.Expect(e.FirstStop()).To(gomega.Equal(second), "stopped again")
		time.Sleep(stopTimeout)
		g.Expect(e.FirstStop()).To(gomega.BeZero(), "the announcements have expired")
	})
}

// Guards against callers that are told to wait although VMs serve. Of twelve entry VMs,
// the eight candidates announce themselves every second; the other four are silent. When
// the eight stopped, each told the callers of its streams to wait until it is back,
// seconds later: all VMs that had been heard were stopping, and the four serving VMs had
// never been heard.
func TestAllStopIsFalseWhileSilentVMsServe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e := newTestElection()
		e.size = 12
		silent := newTestElection() // one of the four, to show that it announces nothing
		for i := range candidateCount {
			silent.receiveFrom(fmt.Sprint("c", i), announcement{healthy: true, stopping: true})
		}
		g.Expect(silent.healthyBefore()).To(gomega.BeNumerically(">=", candidateCount), "it ranks behind the candidates, so Run announces nothing")
		g.Expect(silent.stopping.Load()).To(gomega.BeFalse(), "and it serves")
		for i := range candidateCount - 1 {
			e.receiveFrom(fmt.Sprint("c", i), announcement{healthy: true, stopping: true})
		}
		e.AnnounceStop()
		g.Expect(e.AllStop()).To(gomega.BeFalse(), "four of twelve VMs serve; they are silent by design")
	})
}
