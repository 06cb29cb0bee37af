package directory

import (
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// memoryQuery is for a stream of 30 tokens where a server may be filled up to 95.
func memoryQuery() Query { return Query{Service: "s", Prompt: 20, Memory: 30, MemoryLimit: 95} }

func allServers(uses ...MemoryUse) MemoryReport {
	return MemoryReport{Last: math.MaxUint32, Uses: uses}
}

func (d *Directory) hash(id string) uint32 { return d.server(id).startHash }

// Guards against both mistakes of a choice: a server is sent more than it holds, or gets
// nothing although it has room.
func TestMemoryFits(t *testing.T) {
	g := gomega.NewWithT(t)
	q := memoryQuery()
	for name, c := range map[string]struct {
		state memoryState
		copy  bool
		fits  bool
	}{
		"empty":                       {memoryState{}, false, true},
		"just fits":                   {memoryState{committed: 65}, false, true},
		"a token too much":            {memoryState{committed: 66}, false, false},
		"reports more than is known":  {memoryState{committed: 10, reported: 66}, false, false},
		"reports less than is known":  {memoryState{committed: 66, reported: 10}, false, false},
		"reports that it is full":     {memoryState{reported: math.MaxInt64 - 30}, false, false},
		"a copy fits":                 {memoryState{committed: 65}, true, true},
		"a copy beside other streams": {memoryState{committed: 66}, true, false},
	} {
		q.Copy = c.copy
		g.Expect(c.state.fits(q)).To(gomega.Equal(c.fits), name)
	}
	q.Memory, q.Copy = 98, false
	g.Expect(memoryState{}.fits(q)).To(gomega.BeTrue(), "a large stream alone")
	g.Expect(memoryState{committed: 1}.fits(q)).To(gomega.BeFalse())
	q.Copy = true
	g.Expect(memoryState{}.fits(q)).To(gomega.BeFalse(), "a copy never exceeds its limit")
}

// The server with the better score is full. Guards against a choice by load alone.
func TestFullServersAreNotChosen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		d := withServers("a1", "a2")
		d.server("a2").BeginStream(8000)
		hold := d.server("a1").HoldMemory(70)
		end := func(s *Server) time.Duration { return time.Duration(s.QueuedTokens()) }
		for range 20 {
			g.Expect(d.Pick(memoryQuery(), time.Now()).ID).To(gomega.Equal("a2"))
			g.Expect(d.Soonest(memoryQuery(), time.Now(), end).ID).To(gomega.Equal("a2"))
			g.Expect(d.Pick(Query{Service: "s", Prompt: 20}, time.Now()).ID).To(gomega.Equal("a1"), "memory isn't accounted")
		}
		d.server("a2").HoldMemory(66)
		g.Expect(d.Pick(memoryQuery(), time.Now())).To(gomega.BeNil())
		g.Expect(d.Soonest(memoryQuery(), time.Now(), end)).To(gomega.BeNil())
		hold.End()
		hold.End()
		g.Expect(d.Pick(memoryQuery(), time.Now()).ID).To(gomega.Equal("a1"))
		g.Expect(d.OwnMemory()).To(gomega.ConsistOf(MemoryUse{d.hash("a2"), 66}))
	})
}

// A hold that has ended must not grow, or its memory would be counted for good.
func TestHoldGrowsUntilItEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	d := withServers("a1")
	h := d.server("a1").HoldMemory(10)
	h.Grow(25)
	h.Grow(5)
	g.Expect(d.MemoryByService()).To(gomega.HaveKeyWithValue("s", int64(25)))
	h.End()
	h.Grow(100)
	g.Expect(d.MemoryByService()).To(gomega.BeEmpty())
	var none *MemoryHold
	none.Grow(5)
	none.End()
	g.Expect(none.Tokens()).To(gomega.BeZero())
	g.Expect(d.server("a1").HoldMemory(0)).To(gomega.BeNil())
}

// Guards against memory of a former start that is counted for the new one, by this process or
// by a peer whose report is late.
func TestServerThatStartsAgainHoldsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		d := New()
		list := func(born int64) []Listing {
			return []Listing{{ID: "a1", Born: born, Service: "s", Address: "10.0.0.1:80", Zone: "a", Slots: 8}}
		}
		d.Apply(1, list(100), false, time.Now())
		former := d.server("a1")
		hold := former.HoldMemory(90)
		d.SetPeerMemory("p", allServers(MemoryUse{former.startHash, 90}))
		former.RecordReportedMemory(90, time.Now())
		g.Expect(d.Pick(memoryQuery(), time.Now())).To(gomega.BeNil())
		time.Sleep(totalsInterval)
		d.Apply(2, list(200), false, time.Now())
		d.SetPeerMemory("late", allServers(MemoryUse{former.startHash, 90}))
		time.Sleep(totalsInterval)
		g.Expect(d.Pick(memoryQuery(), time.Now())).NotTo(gomega.BeNil())
		g.Expect(d.OwnMemory()).To(gomega.BeEmpty())
		hold.End()
		d.server("a1").HoldMemory(66)
		g.Expect(d.Pick(memoryQuery(), time.Now())).To(gomega.BeNil(), "the end of the former start's stream frees nothing here")
	})
}

// What peers report counts until they say otherwise or are dropped; each range of servers is
// replaced alone.
func TestPeersMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		d := withServers("a1", "a2")
		low, high := min(d.hash("a1"), d.hash("a2")), max(d.hash("a1"), d.hash("a2"))
		set := func(from string, r MemoryReport) {
			d.SetPeerMemory(from, r)
			time.Sleep(totalsInterval)
		}
		set("p", allServers(MemoryUse{low, 40}, MemoryUse{high, 70}))
		set("q", allServers(MemoryUse{low, 30}))
		g.Expect(d.Pick(memoryQuery(), time.Now())).To(gomega.BeNil())
		set("p", MemoryReport{First: high, Last: math.MaxUint32})
		g.Expect(d.Pick(memoryQuery(), time.Now()).startHash).To(gomega.Equal(high))
		d.server("a1").HoldMemory(70)
		d.server("a2").HoldMemory(70)
		g.Expect(d.Pick(memoryQuery(), time.Now())).To(gomega.BeNil())
		d.DropPeerMemory("p")
		d.DropPeerMemory("q")
		time.Sleep(totalsInterval)
		g.Expect(d.peerMemory(time.Now())).To(gomega.BeEmpty())
		g.Expect(d.memory.byPeer).To(gomega.BeEmpty())
	})
}

// Guards against sums that drift from what the peers have reported, which would keep servers
// out of use for good.
func TestPeersMemoryAddsUp(t *testing.T) {
	g := gomega.NewWithT(t)
	d, chance := New(), rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		from := string(rune('a' + chance.IntN(5)))
		r := MemoryReport{First: chance.Uint32N(20), Last: chance.Uint32N(20)}
		for server := uint32(0); server < 20; server += 1 + chance.Uint32N(5) {
			if r.First > r.Last || (server >= r.First && server <= r.Last) {
				r.Uses = append(r.Uses, MemoryUse{server, chance.IntN(3) * 64})
			}
		}
		if d.SetPeerMemory(from, r); chance.IntN(10) == 0 {
			d.DropPeerMemory(from)
		}
		want := map[uint32]int64{}
		for _, uses := range d.memory.byPeer {
			for server, tokens := range uses {
				want[server] += int64(tokens)
			}
		}
		g.Expect(d.memory.sums).To(gomega.Equal(want))
	}
	for _, from := range []string{"a", "b", "c", "d", "e"} {
		d.DropPeerMemory(from)
	}
	g.Expect(d.memory.sums).To(gomega.BeEmpty())
}

// A server's report counts for a second. Guards against an old or false one that keeps a
// server out of use.
func TestReportedMemoryExpires(t *testing.T) {
	g := gomega.NewWithT(t)
	d, now := withServers("a1"), time.Now()
	d.server("a1").RecordReportedMemory(95, now)
	g.Expect(d.Pick(memoryQuery(), now.Add(reportedMemoryTTL-1))).To(gomega.BeNil())
	g.Expect(d.Pick(memoryQuery(), now.Add(reportedMemoryTTL))).NotTo(gomega.BeNil())
}

// Guards against two processes that take the last room at a server at the same time, and
// against rooms that none may take.
func TestLastRoomIsTakenInTurn(t *testing.T) {
	g := gomega.NewWithT(t)
	d := withServers("a1", "a2", "b1")
	const count = 5
	begin := time.Unix(1000, 0)
	for _, s := range d.View().Service("s") {
		turns := map[int]int{}
		for at := begin; at.Before(begin.Add(count * turnTime)); at = at.Add(turnTime / 10) {
			var ours []int
			for i := range count {
				if (&partition{i, count}).isOurs(s, at) {
					ours = append(ours, i)
					turns[i]++
				}
			}
			guarded := at.Sub(begin)%turnTime < turnGuard
			g.Expect(len(ours)).To(gomega.Equal(map[bool]int{true: 0, false: 1}[guarded]), "%v: %v", at, ours)
		}
		g.Expect(turns).To(gomega.HaveLen(count))
	}
}

// Turns cost time, so they are for a shortage alone. Guards against streams that wait for one
// although there is room at many servers, or although they can't wait.
func TestTurnsOnlyWhileMemoryIsShort(t *testing.T) {
	g := gomega.NewWithT(t)
	d, now := withServers("a1", "a2", "b1"), time.Unix(1000, 0)
	list := d.View().Service("s")
	d.SetPartition(0, 3)
	g.Expect(d.withMemory(memoryQuery(), list, now).turns).To(gomega.BeNil(), "as many servers with room as processes")
	d.server("a1").HoldMemory(90)
	g.Expect(d.withMemory(memoryQuery(), list, now).turns).NotTo(gomega.BeNil())
	q := memoryQuery()
	q.AfterDisruption = true
	g.Expect(d.withMemory(q, list, now).turns).To(gomega.BeNil(), "a stream that was lost")
	g.Expect(d.Pick(memoryQuery(), now)).NotTo(gomega.BeNil(), "room for two streams is nobody's turn")
	d.server("a2").HoldMemory(40)
	d.server("b1").HoldMemory(40)
	g.Expect(d.Pick(memoryQuery(), now)).To(gomega.BeNil(), "in the guard time")
	g.Expect(d.Pick(q, now)).NotTo(gomega.BeNil())
	d.SetPartition(0, 1)
	g.Expect(d.Pick(memoryQuery(), now)).NotTo(gomega.BeNil(), "there is no other process")
}

// Servers too few to be divided are used by the processes of all cells.
func TestSharesMemory(t *testing.T) {
	g := gomega.NewWithT(t)
	d := withServers("a1", "a2")
	g.Expect(d.SharesMemory()).To(gomega.BeFalse())
	d.SetCells(0, 2)
	g.Expect(d.SharesMemory()).To(gomega.BeFalse(), "this process uses none")
	d.server("a1").HoldMemory(1)
	g.Expect(d.SharesMemory()).To(gomega.BeTrue())
}
