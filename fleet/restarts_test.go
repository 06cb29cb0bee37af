package fleet

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/directory"
)

func listingBornAt(id string, born int64) directory.Listing {
	return directory.Listing{ID: id, Born: born, Service: "s", Address: "10.0.0.1:1", Zone: "z"}
}

// One entry VM finds that a server was restarted under its ID while the store is
// unavailable, and tells the others. A late datagram about a start before the known one
// has no effect.
func TestRestartUnderTheSameIDIsAnnounced(t *testing.T) {
	g := gomega.NewWithT(t)
	d := directory.New()
	d.Apply(1, []directory.Listing{listingBornAt("i1", 100)}, false, time.Now())
	r := NewRestarts(NewSocket("", nil, nil), d)
	first, second := directory.Start{ID: "i1", Born: 100}, directory.Start{ID: "i1", Born: 300}
	r.receive("p", header{}, encodeRestart(first.Hash(), second).raw, time.Now())
	g.Expect(d.View().Len()).To(gomega.Equal(1))
	g.Expect(d.View().Service("s")[0].Start).To(gomega.Equal(second))
	r.receive("p", header{}, encodeRestart(second.Hash(), directory.Start{ID: "i1", Born: 200}).raw, time.Now())
	g.Expect(d.View().Service("s")[0].Start).To(gomega.Equal(second), "late")
	g.Expect(d.DroppedReports()).To(gomega.BeNumerically("==", 1))
}

// A server restarts twice while the store is unavailable, and a VM misses the datagram
// about the first restart. The second one refers to a start that the VM never knew; the ID
// tells which server is meant. If the VM does not know the server at all, it can't know
// its address and ignores the datagram.
func TestRestartOfUnknownStart(t *testing.T) {
	g := gomega.NewWithT(t)
	d := directory.New()
	d.Apply(1, []directory.Listing{listingBornAt("i1", 100)}, false, time.Now())
	r := NewRestarts(NewSocket("", nil, nil), d)
	missed := directory.Start{ID: "i1", Born: 200}
	newest := directory.Start{ID: "i1", Born: 300}
	r.receive("p", header{}, encodeRestart(missed.Hash(), newest).raw, time.Now())
	g.Expect(d.View().Service("s")).To(gomega.HaveLen(1))
	g.Expect(d.View().Service("s")[0].Start).To(gomega.Equal(newest))
	r.receive("p", header{}, encodeRestart(missed.Hash(), directory.Start{ID: "i2", Born: 300}).raw, time.Now())
	g.Expect(d.View().Len()).To(gomega.Equal(1))
}

// Reports of load and loss refer to one start of a server. A VM that knows a later start
// under the same ID ignores them.
func TestLoadsOfAnOldStartAreIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	d := directory.New()
	d.Apply(1, []directory.Listing{listingBornAt("i1", 200), listingBornAt("i2", 100)}, false, time.Now())
	l := NewLoads(LoadsOptions{Directory: d, Socket: NewSocket("", nil, nil)})
	old := directory.Start{ID: "i1", Born: 100}.Hash()
	busy := []directory.Load{
		{Server: old, Streams: 9, Prefill: 64000},
		{Server: directory.Start{ID: "i2", Born: 100}.Hash(), Streams: 3, Prefill: 6400},
	}
	receiveLoads(l, "p", 1, 1, busy, []uint32{old})
	time.Sleep(15 * time.Millisecond) // the reports are summed up every 10 ms
	s := d.Pick(directory.Query{Service: "s", Prompt: 1}, time.Now())
	g.Expect(s.Start).To(gomega.Equal(directory.Start{ID: "i1", Born: 200}))
	g.Expect(s.IsDown(time.Now())).To(gomega.BeFalse())
}

// Lists and changes of lists that VMs send to each other carry the start of each server.
// One with a newer position but an older start does not replace the known start.
func TestListsCarryStarts(t *testing.T) {
	g := gomega.NewWithT(t)
	connected := newVM(t, "connected")
	cut := newVM(t, "cut", connected.opts.Address)
	connected.dir.Apply(3, []directory.Listing{listingBornAt("i1", 100)}, false, time.Now())
	cut.FetchNewest(t.Context())
	g.Expect(cut.dir.View().Listings).To(gomega.Equal(connected.dir.View().Listings))
	cut.dir.RecordRestart(cut.dir.View().Service("s")[0], directory.Start{ID: "i1", Born: 200}, time.Now())
	moved := listingBornAt("i1", 100)
	moved.Slots = 9
	connected.dir.Apply(4, []directory.Listing{moved}, false, time.Now())
	cut.Fetch(t.Context(), connected.opts.Address, cut.dir.View().Position, false)
	g.Expect(cut.dir.View().Position).To(gomega.BeNumerically("==", 4))
	g.Expect(cut.dir.View().Service("s")[0].Start).To(gomega.Equal(directory.Start{ID: "i1", Born: 200}))
}
