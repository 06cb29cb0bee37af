package fleet

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/directory"
)

func placesDirectory() (*directory.Directory, *directory.Server) {
	d := directory.New()
	d.Apply(1, []directory.Listing{{ID: "a1", Service: "s", Address: "10.0.0.1:80", Slots: 6}}, false, time.Now())
	d.SharePlaces("s")
	return d, d.View().Service("s")[0]
}

func TestPlacesAreReadAsWritten(t *testing.T) {
	g := gomega.NewWithT(t)
	reports := directory.PlaceReports{
		Servers: []directory.PlaceReport{{Server: 7, Calls: 300, Overdue: 4, Good: 2, SinceAnswer: 1230 * time.Millisecond}, {Server: 8}},
		Waiting: map[uint32]int{9: 12},
	}
	raw := encodePlaces(reports).raw
	read, ok := decodePlaces(raw)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(read).To(gomega.Equal(reports))
	for n := range raw {
		_, ok := decodePlaces(raw[:n])
		g.Expect(ok).To(gomega.BeFalse(), "%d bytes", n)
	}
	_, ok = decodePlaces(append(raw, 0))
	g.Expect(ok).To(gomega.BeFalse())
}

// A report is cut to one datagram, and counts beyond their range are the largest ones.
func TestPlacesFitIntoADatagram(t *testing.T) {
	g := gomega.NewWithT(t)
	reports := directory.PlaceReports{Waiting: map[uint32]int{}}
	for i := range 400 {
		reports.Servers = append(reports.Servers, directory.PlaceReport{Server: uint32(i), Calls: 1 << 20, Overdue: 1 << 20, SinceAnswer: 1000 * time.Hour})
		reports.Waiting[uint32(i)] = -1
	}
	raw := encodePlaces(reports).raw
	g.Expect(len(raw)).To(gomega.BeNumerically("<=", maxDatagram-headerBytes))
	read, ok := decodePlaces(raw)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(read.Servers[0].Calls).To(gomega.Equal(1<<16 - 1))
	g.Expect(read.Servers[0].Overdue).To(gomega.Equal(255))
}

// A datagram that comes late, twice or not whole must not undo what a newer one said.
func TestOldAndUnreadablePlacesAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		d, server := placesDirectory()
		s := NewSocket("", func() []string { return nil }, nil)
		NewPlaces(s, func() []string { return nil }, d)
		send := func(seq uint32, calls int) {
			b := encodePlaces(directory.PlaceReports{Servers: []directory.PlaceReport{{Server: server.Start.Hash(), Calls: calls}}})
			s.dispatch("p", append(encodeHeader(b.kind, header{incarnation: 1, seq: seq}), b.raw...), time.Now())
		}
		there := func() int {
			time.Sleep(20 * time.Millisecond)
			d.Places(directory.Query{Service: "s"}, time.Now())
			return server.CallsThere(time.Now())
		}
		send(2, 5)
		g.Expect(there()).To(gomega.Equal(5))
		send(1, 1)
		send(2, 2)
		s.dispatch("p", append(encodeHeader(kindPlaces, header{incarnation: 1, seq: 9}), 0, 1, 0), time.Now())
		g.Expect(there()).To(gomega.Equal(5))
		send(3, 0)
		g.Expect(there()).To(gomega.BeZero())
	})
}

// Reports go on a change, at most each 60 ms, and each 20 ms while a server is full; an empty one once; and none where places aren't
// shared.
func TestPlacesAreSentOnChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		d, server := placesDirectory()
		var mu sync.Mutex
		var all []directory.PlaceReports
		sent := func() []directory.PlaceReports {
			mu.Lock()
			defer mu.Unlock()
			return slices.Clone(all)
		}
		s := NewSocket("", func() []string { return nil }, nil)
		s.write = func(raw []byte, _ string) bool {
			r, ok := decodePlaces(raw[headerBytes:])
			g.Expect(ok).To(gomega.BeTrue())
			mu.Lock()
			defer mu.Unlock()
			all = append(all, r)
			return true
		}
		go func() { _ = NewPlaces(s, func() []string { return []string{"p"} }, d).Run(ctx) }()
		time.Sleep(5 * time.Second)
		g.Expect(sent()).To(gomega.BeEmpty(), "nothing is in progress")
		var uses []*directory.PlaceUse
		for range 5 {
			uses = append(uses, d.BeginPlace(server, time.Hour))
			time.Sleep(2 * time.Millisecond)
		}
		time.Sleep(calmPlacesInterval + minSendInterval)
		g.Expect(len(sent())).To(gomega.BeNumerically("<=", 3))
		g.Expect(sent()[len(sent())-1].Servers[0].Calls).To(gomega.Equal(5))
		before := len(sent())
		for range 10 {
			uses = append(uses, d.BeginPlace(server, time.Hour))
			time.Sleep(10 * time.Millisecond)
		}
		g.Expect(len(sent())-before).To(gomega.And(gomega.BeNumerically(">=", 3), gomega.BeNumerically("<=", 6)), "the server is full")
		for _, u := range uses {
			u.End(true)
		}
		time.Sleep(calmPlacesInterval + minSendInterval)
		g.Expect(sent()[len(sent())-1].Servers).To(gomega.BeEmpty())
		before = len(sent())
		time.Sleep(5 * time.Second)
		g.Expect(sent()).To(gomega.HaveLen(before))
		cancel()
		time.Sleep(time.Second)
	})
}
