package fleet

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/directory"
)

func bornAt(id string, born int64) directory.Listing {
	return directory.Listing{ID: id, Born: born, Service: "s", Address: "10.0.0.1:1", Zone: "z"}
}

// One entry VM finds a server that was started again under its id while the
// store is away, and tells the others. A word that comes late, of a start before
// the known one, changes nothing.
func TestRestartUnderTheSameIDIsTold(t *testing.T) {
	g := gomega.NewWithT(t)
	d := directory.New()
	d.Apply(1, []directory.Listing{bornAt("i1", 100)}, false, time.Now())
	r := NewRestarts(NewSocket("", nil, nil), d)
	first, second := directory.Start{ID: "i1", Born: 100}, directory.Start{ID: "i1", Born: 300}
	r.take("p", head{}, encodeRestart(first.Hash(), second).raw, time.Now())
	g.Expect(d.View().Len()).To(gomega.Equal(1))
	g.Expect(d.View().Service("s")[0].Start).To(gomega.Equal(second))
	r.take("p", head{}, encodeRestart(second.Hash(), directory.Start{ID: "i1", Born: 200}).raw, time.Now())
	g.Expect(d.View().Service("s")[0].Start).To(gomega.Equal(second), "late")
	g.Expect(d.DroppedReports()).To(gomega.BeNumerically("==", 1))
}

// A server starts again twice while the store is away, and the word on the first
// time is lost on its way to a VM. That on the second one names a start that the
// VM never knew; the id tells which server is meant. Of a server that it does not
// know at all it can't tell the address.
func TestRestartOfAStartThatIsNotKnown(t *testing.T) {
	g := gomega.NewWithT(t)
	d := directory.New()
	d.Apply(1, []directory.Listing{bornAt("i1", 100)}, false, time.Now())
	r := NewRestarts(NewSocket("", nil, nil), d)
	missed := directory.Start{ID: "i1", Born: 200}
	newest := directory.Start{ID: "i1", Born: 300}
	r.take("p", head{}, encodeRestart(missed.Hash(), newest).raw, time.Now())
	g.Expect(d.View().Service("s")).To(gomega.HaveLen(1))
	g.Expect(d.View().Service("s")[0].Start).To(gomega.Equal(newest))
	r.take("p", head{}, encodeRestart(missed.Hash(), directory.Start{ID: "i2", Born: 300}).raw, time.Now())
	g.Expect(d.View().Len()).To(gomega.Equal(1))
}

// What a VM tells of a start's load and loss is for that start. A VM that knows
// a later one, under the same id, takes none of it.
func TestWordsOnAnOldStart(t *testing.T) {
	g := gomega.NewWithT(t)
	d := directory.New()
	d.Apply(1, []directory.Listing{bornAt("i1", 200), bornAt("i2", 100)}, false, time.Now())
	l := NewLoads(LoadsOptions{Directory: d, Socket: NewSocket("", nil, nil)})
	old := directory.Start{ID: "i1", Born: 100}.Hash()
	busy := []directory.Load{
		{Server: old, Streams: 9, Prefill: 64000},
		{Server: directory.Start{ID: "i2", Born: 100}.Hash(), Streams: 3, Prefill: 6400},
	}
	hear(l, "p", 1, 1, busy, []uint32{old})
	time.Sleep(15 * time.Millisecond) // what is told is summed up each 10 ms
	s := d.Pick(directory.Query{Service: "s", Prompt: 1}, time.Now())
	g.Expect(s.Start).To(gomega.Equal(directory.Start{ID: "i1", Born: 200}))
	g.Expect(s.IsDown(time.Now())).To(gomega.BeFalse())
}

// Lists and changes of lists that VMs hand to each other name the start of each
// server. One that is handed on late, with a newer position but an older start,
// does not replace the start that is known.
func TestListsNameStarts(t *testing.T) {
	g := gomega.NewWithT(t)
	well := newVM(t, "well")
	cut := newVM(t, "cut", well.opts.Address)
	well.dir.Apply(3, []directory.Listing{bornAt("i1", 100)}, false, time.Now())
	cut.Ask(t.Context())
	g.Expect(cut.dir.View().Listings).To(gomega.Equal(well.dir.View().Listings))
	cut.dir.RecordRestart(cut.dir.View().Service("s")[0], directory.Start{ID: "i1", Born: 200}, time.Now())
	moved := bornAt("i1", 100)
	moved.Slots = 9
	well.dir.Apply(4, []directory.Listing{moved}, false, time.Now())
	cut.AskChanges(t.Context(), well.opts.Address, cut.dir.View().Position)
	g.Expect(cut.dir.View().Position).To(gomega.BeNumerically("==", 4))
	g.Expect(cut.dir.View().Service("s")[0].Start).To(gomega.Equal(directory.Start{ID: "i1", Born: 200}))
}
