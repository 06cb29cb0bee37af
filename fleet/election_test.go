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
)

// electionBed is a Election whose peers are played by the test.
type electionBed struct {
	*Election
	position [subjects]atomic.Uint64
	fetched  atomic.Int32
	onFetch  func()
	seq      uint32
	size     int // of the site
}

func newElectionBed() *electionBed {
	b := &electionBed{}
	b.Election = NewElection(ElectionOptions{
		Address: "self", Socket: NewSocket("", func() []string { return nil }, nil), Recorder: event.Discard(),
		Position: func(s Subject) uint64 { return b.position[s].Load() },
		Size:     func() int { return b.size },
		Fetch: func(context.Context, string, uint64) {
			b.fetched.Add(1)
			if b.onFetch != nil {
				b.onFetch()
			}
		},
	})
	b.elected.Store(true)
	// Two peers of lower rank read for all.
	b.rank = 1 << 63
	return b
}

// hear plays a word of a peer that ranks before this process.
func (b *electionBed) hear(from string, w announcement) {
	b.seq++
	b.receive(from, head{life: 1, seq: b.seq}, encodeAnnouncement(w).raw, time.Now())
	b.mu.Lock()
	defer b.mu.Unlock()
	b.members[from].rank = 1
}

// at is the span of what was read at one place.
func at(place uint64) span { return span{place, place} }

func healthy(list uint64) announcement {
	return announcement{healthy: true, listReadNow: true, list: at(list)}
}

// Two entry VMs read the store for all. The others look themselves only when
// neither has said anything for a while: both may have been lost at once.
func TestReadersStandForTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newElectionBed()
		g.Expect(b.Delegated(List)).To(gomega.BeZero(), "alone")
		b.hear("p", healthy(0))
		g.Expect(b.Delegated(List)).To(gomega.BeZero(), "one reader is too few")
		b.hear("q", healthy(0))
		g.Expect(b.Delegated(List)).To(gomega.BeNumerically("~", leaseTime, 10*time.Millisecond))
		g.Expect(b.Delegated(Config)).To(gomega.BeZero(), "nothing was said of it")
		time.Sleep(leaseTime + time.Millisecond)
		g.Expect(b.Delegated(List)).To(gomega.BeZero())
		b.hear("p", healthy(0))
		time.Sleep(memberTimeout + time.Millisecond)
		g.Expect(b.Watches()).To(gomega.BeTrue(), "nobody else is there")
	})
}

// A reader that the store turns away says so; another one takes its place.
func TestReaderThatTheStoreTurnsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newElectionBed()
		b.hear("p", healthy(0))
		b.hear("q", healthy(0))
		g.Expect(b.Watches()).To(gomega.BeFalse())
		b.hear("q", announcement{})
		g.Expect(b.Watches()).To(gomega.BeTrue())
	})
}

// A word that a reader has read more than this process knows is followed by a
// question; only its answer makes the word stand.
func TestWordOfSomethingNewer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newElectionBed()
		b.hear("p", healthy(7))
		synctest.Wait()
		b.hear("q", healthy(7))
		synctest.Wait()
		g.Expect(b.fetched.Load()).To(gomega.BeNumerically("==", 2))
		g.Expect(b.Delegated(List)).To(gomega.BeZero(), "the peers did not answer")
		g.Expect(b.updates[List]).To(gomega.Receive(), "then the store is asked")
		b.onFetch = func() { b.position[List].Store(7) }
		b.hear("p", healthy(7))
		synctest.Wait()
		g.Expect(b.Delegated(List)).To(gomega.BeNumerically(">", 0))
		b.hear("q", healthy(5))
		g.Expect(b.fetched.Load()).To(gomega.BeNumerically("==", 3), "older news is none")
	})
}

// Guards against an announcement that names a wrong place and keeps a VM from asking
// for changes for good.
func TestWrongConfirmationIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newElectionBed()
		wrong := healthy(0)
		wrong.list.to = 1 << 60
		b.hear("p", wrong)
		b.hear("p", healthy(7))
		synctest.Wait()
		g.Expect(b.fetched.Load()).To(gomega.BeZero(), "for the moment it is taken for the newest")
		time.Sleep(memberTimeout)
		b.hear("p", healthy(7))
		synctest.Wait()
		g.Expect(b.fetched.Load()).To(gomega.BeNumerically("==", 1))
	})
}

// Guards against watchers that hand a whole configuration to all others: one on a
// slow link has no room left for its streams. What is no small change is read
// from the store by each VM itself.
func TestConfigurationIsReadFromTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newElectionBed()
		b.hear("p", announcement{healthy: true, configReadNow: true})
		b.hear("q", announcement{healthy: true, configReadNow: true})
		g.Expect(b.Delegated(Config)).To(gomega.BeNumerically(">", 0))
		b.hear("q", announcement{healthy: true, configReadNow: true, config: at(9)})
		synctest.Wait()
		g.Expect(b.fetched.Load()).To(gomega.BeNumerically("==", 1))
		g.Expect(b.Delegated(Config)).To(gomega.BeZero(), "the peer told no change")
		g.Expect(b.updates[Config]).To(gomega.Receive())

		v := newVM(t, "reader")
		handedOn := func(since uint64) []byte {
			answer, err := v.Newest(t.Context(), &fleetpb.NewestRequest{ConfigPosition: since, ChangesOnly: true})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			return answer.GetConfig()
		}
		put := func(position uint64, raw []byte) {
			text, _ := decode1(position, raw)
			v.holder.Offer(text)
			v.Applied(text)
		}
		put(9, []byte("text"))
		g.Expect(handedOn(0)).To(gomega.BeEmpty())
		put(10, randomText(20*maxDelta))
		g.Expect(handedOn(9)).To(gomega.BeEmpty(), "it is another text altogether")
		v.server.Close()
	})
}

// said returns a bed whose words go to a peer on loopback, and what that hears.
func said(t *testing.T) (*electionBed, func() announcement) {
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
	b := newElectionBed()
	b.opts.Socket.conn.Store(own)
	b.opts.Socket.peers = func() []string { return []string{peer.LocalAddr().String()} }
	return b, func() announcement {
		t.Helper()
		raw := make([]byte, 2*maxDatagram)
		_ = peer.SetReadDeadline(time.Now().Add(10 * time.Second))
		n, err := peer.Read(raw)
		if err != nil {
			t.Fatal(err)
		}
		k, _, rest, ok := decodeHead(raw[:n])
		w, okWord := decodeAnnouncement(rest)
		if !ok || !okWord || k != kindAnnouncement {
			t.Fatalf("not an announcement: %x", raw[:n])
		}
		return w
	}
}

// A reader is suspended while the store's answer is on its way, and wakes with
// it; or a whole list is long on a squeezed link. What the answer says is old: it
// must not stand for the present, or the other VMs don't look themselves and
// serve by a configuration that was replaced. That the store answers is said.
func TestAnswerThatTookTooLongIsNotSaid(t *testing.T) {
	g := gomega.NewWithT(t)
	b, hear := said(t)
	b.Read(List, maxAge+time.Millisecond)
	g.Expect(hear()).To(gomega.Equal(announcement{watches: true}))
	b.Read(Config, maxAge+time.Millisecond)
	g.Expect(hear()).To(gomega.Equal(announcement{healthy: true, watches: true}))
	b.Read(List, maxAge)
	g.Expect(hear()).To(gomega.Equal(announcement{healthy: true, watches: true, listReadNow: true}))
	b.Read(Config, 0)
	g.Expect(hear()).To(gomega.Equal(announcement{healthy: true, watches: true, configReadNow: true}))
}

// A VM that stops is counted as stopping by what it says, and beyond the first
// few VMs this is the only word that it says at all.
func TestStopIsSaid(t *testing.T) {
	g := gomega.NewWithT(t)
	b, hear := said(t)
	b.Stopping()
	g.Expect(hear()).To(gomega.Equal(announcement{watches: true, stopping: true}))
	b.Read(List, 0)
	g.Expect(hear()).To(gomega.Equal(announcement{watches: true, stopping: true, listReadNow: true}), "each announcement after it says so too")
}

// What one entry VM finds at a lost server's address is told to the others;
// words that are doubled, cut or of unknown servers change nothing.
func TestRestartsAreTold(t *testing.T) {
	g := gomega.NewWithT(t)
	d := directory.New()
	d.Apply(1, []directory.Listing{{ID: "i1", Service: "s", Address: "x:1", Zone: "z"}}, false, time.Now())
	r := NewRestarts(NewSocket("", nil, nil), d)
	raw := encodeRestart(directory.Hash("i1"), directory.Start{ID: "i2"}).raw
	r.take("p", head{}, raw, time.Now())
	r.take("p", head{}, raw, time.Now())
	r.take("p", head{}, raw[:4], time.Now())
	r.take("p", head{}, encodeRestart(directory.Hash("other"), directory.Start{ID: "i3"}).raw, time.Now())
	g.Expect(d.View().Len()).To(gomega.Equal(2))
	s := d.Pick(directory.Query{Service: "s"}, time.Now())
	g.Expect(s.ID).To(gomega.Equal("i2"))
	g.Expect(s.Address).To(gomega.Equal("x:1"))
}

func FuzzDecodeAnnouncement(f *testing.F) {
	f.Add(encodeAnnouncement(announcement{healthy: true, config: at(1), list: at(2)}).raw)
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		if w, ok := decodeAnnouncement(raw); ok && raw[0] < 8 && string(encodeAnnouncement(w).raw) != string(raw) {
			t.Fatalf("%x", raw)
		}
	})
}

// All three entry VMs are stopped within a second. One sends its callers on to
// the others until both have said that they stop, and says so itself; a VM that
// has been started again, and one whose word is old, count as serving.
func TestAllStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newElectionBed()
		b.size = 3
		g.Expect(b.AllStop()).To(gomega.BeFalse(), "nobody is heard")
		b.hear("p", announcement{healthy: true, stopping: true})
		g.Expect(b.AllStop()).To(gomega.BeFalse(), "one is silent")
		b.hear("q", announcement{healthy: true})
		g.Expect(b.AllStop()).To(gomega.BeFalse())
		b.hear("q", announcement{healthy: true, stopping: true})
		g.Expect(b.AllStop()).To(gomega.BeTrue())
		b.hear("p", announcement{})
		g.Expect(b.AllStop()).To(gomega.BeFalse(), "started again")
		b.hear("p", announcement{stopping: true})
		time.Sleep(stopTimeout)
		g.Expect(b.AllStop()).To(gomega.BeFalse(), "their words are old")
		b.Stopping()
		w, ok := decodeAnnouncement(encodeAnnouncement(announcement{stopping: b.stopping.Load()}).raw)
		g.Expect(ok).To(gomega.BeTrue())
		g.Expect(w.stopping).To(gomega.BeTrue())
	})
}

// VMs are stopped one after the other. The one that began first is back first,
// whenever its newest word came; one that serves again doesn't count any more.
func TestFirstStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newElectionBed()
		g.Expect(b.FirstStop()).To(gomega.BeZero())
		b.hear("p", announcement{healthy: true, stopping: true})
		first := time.Now()
		time.Sleep(2 * time.Second)
		b.hear("q", announcement{stopping: true})
		second := time.Now()
		b.hear("p", announcement{stopping: true})
		g.Expect(b.FirstStop()).To(gomega.Equal(first))
		b.hear("p", announcement{healthy: true})
		g.Expect(b.FirstStop()).To(gomega.Equal(second), "started again")
		b.hear("p", announcement{stopping: true})
		g.Expect(b.FirstStop()).To(gomega.Equal(second), "stopped once more")
		time.Sleep(stopTimeout)
		g.Expect(b.FirstStop()).To(gomega.BeZero(), "their words are old")
	})
}

// Twelve entry VMs, of which the eight that come first by their hash say each
// second that they are there; the other four are silent as long as they stand
// behind eight. The eight are stopped. Each told callers of streams to wait until
// it is back, seconds later, although four VMs served all the while: none of
// them is heard, and "every VM that is heard" stopped.
func TestAllStopIsNotSaidWhileSilentVMsServe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newElectionBed()
		b.size = 12
		silent := newElectionBed() // one of the four, to show that it says nothing
		for i := range candidates {
			silent.hear(fmt.Sprint("c", i), announcement{healthy: true, stopping: true})
		}
		g.Expect(silent.before()).To(gomega.BeNumerically(">=", candidates), "it stands behind the candidates, so Run says nothing")
		g.Expect(silent.stopping.Load()).To(gomega.BeFalse(), "and it serves")
		for i := range candidates - 1 {
			b.hear(fmt.Sprint("c", i), announcement{healthy: true, stopping: true})
		}
		b.Stopping()
		g.Expect(b.AllStop()).To(gomega.BeFalse(), "four of twelve VMs serve; they are silent by design")
	})
}
