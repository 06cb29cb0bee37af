package fleet

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
	fleetpb "github.com/pearyard/pearyard/rpc/fleet"
)

func goodServer(id string) *fleetpb.Server {
	return &fleetpb.Server{Id: id, Service: "s", Address: "10.0.0.1:80", Zone: "z", Slots: 8}
}

func named(d *directory.Directory) []string {
	ids := []string{}
	for _, s := range d.View().Service("s") {
		if !s.Draining() {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// A peer hands on a list with entries that name no server: it runs another
// version, or hands on what another writer has written. They used to be taken as
// servers, and requests went to addresses that are none. The others are used.
func TestPeersListWithEntriesThatNameNoServer(t *testing.T) {
	for name, bad := range map[string]*fleetpb.Server{
		"nothing":       nil,
		"no service":    {Id: "bad", Address: "10.0.0.2:80"},
		"no address":    {Id: "bad", Service: "s"},
		"no port":       {Id: "bad", Service: "s", Address: "10.0.0.2"},
		"a name":        {Id: "bad", Service: "s", Address: "runner:80"},
		"no id":         {Service: "s", Address: "10.0.0.2:80"},
		"id is headers": {Id: "bad\r\nTenant: b", Service: "s", Address: "10.0.0.2:80"},
	} {
		for _, delta := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				g := gomega.NewWithT(t)
				v := newVM(t, "a")
				v.dir.Apply(1, listings([]*fleetpb.Server{goodServer("bad"), goodServer("a1")}), false, time.Now())
				v.take("p", &fleetpb.NewestResponse{ListPosition: 5, Settled: true, Delta: delta, Servers: []*fleetpb.Server{goodServer("a1"), bad, goodServer("b1")}})
				g.Expect(v.dir.View().Position).To(gomega.BeNumerically("==", 5))
				if bad.GetId() == "bad" || !delta {
					g.Expect(named(v.dir)).To(gomega.ConsistOf("a1", "b1"))
				} else {
					g.Expect(named(v.dir)).To(gomega.ConsistOf("a1", "b1", "bad"), "a change that names nobody changes nobody")
				}
			})
		}
	}
}

// What one VM knows to name no server names none at the VM that it tells, though
// that one's store is away and it forgives what is missing.
func TestEntryThatNamesNoServerIsHandedOnAsSuch(t *testing.T) {
	g := gomega.NewWithT(t)
	from, to := newVM(t, "from"), newVM(t, "to")
	list := listings([]*fleetpb.Server{goodServer("a1"), goodServer("b1")})
	from.dir.Apply(1, list, false, time.Now())
	to.dir.Apply(1, list, false, time.Now())
	from.dir.Apply(2, []directory.Listing{list[0], {ID: "b1", Invalid: "it can't be read"}}, false, time.Now())
	answer, err := from.Newest(t.Context(), &fleetpb.NewestRequest{ListPosition: 1})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	answer.Settled = false
	to.take("from", answer)
	g.Expect(named(to.dir)).To(gomega.ConsistOf("a1"))
}

// A peer has a configuration that this VM can't read, and a newer list of
// servers. The list used to be dropped with the configuration.
func TestPeersListIsTakenBesideAConfigurationThatCannotBeRead(t *testing.T) {
	g := gomega.NewWithT(t)
	v := newVM(t, "a")
	recorder := event.Discard()
	v.opts.Recorder = recorder
	for range 50 {
		v.take("p", &fleetpb.NewestResponse{ConfigPosition: 9, Config: []byte("bad"), ListPosition: 5, Servers: []*fleetpb.Server{goodServer("a1")}})
	}
	g.Expect(v.holder.Position()).To(gomega.BeZero())
	g.Expect(named(v.dir)).To(gomega.ConsistOf("a1"))
	g.Expect(recorder.Entries("")).To(gomega.HaveLen(1), "told once: peers are asked several times a second while the store fails")
}

// Anyone may write into the table of entry VMs. What is no ip:port is no peer: it
// would be looked up as a name for each datagram, and count as a VM that shares
// the retry budget.
func TestRowsThatNameNoPeer(t *testing.T) {
	g := gomega.NewWithT(t)
	v := newVM(t, "a", "1.1.1.1:1")
	recorder := event.Discard()
	v.opts.Recorder = recorder
	registry := v.opts.Registry.(*fakeRegistry)
	for key, value := range map[string]string{
		"b": "2.2.2.2:2", "c": "", "d": "host:3", "e": "3.3.3.3", "f": "\xff\xfe", "g": "0.0.0.0:4", "h": "{}", "i": "4.4.4.4:0",
	} {
		registry.rows[key] = []byte(value)
	}
	announced := false
	for range 3 {
		g.Expect(v.exchangeRows(t.Context(), &announced)).To(gomega.Succeed())
	}
	told := recorder.Entries("")
	g.Expect(told).To(gomega.HaveLen(1), "once as long as they stay the same")
	g.Expect(told[0].Fields).To(gomega.HaveKeyWithValue("rows", gomega.ContainSubstring(`"d": "host:3"`)))
	g.Expect(v.Peers()).To(gomega.Equal([]string{"2.2.2.2:2"}))
	g.Expect(v.Size()).To(gomega.Equal(2))
}

// A datagram names a server that was started again by an id that is none. Sent as
// a header with each request, it would be read as other headers.
func TestRestartUnderAnIDThatIsNone(t *testing.T) {
	g := gomega.NewWithT(t)
	d := directory.New()
	d.Apply(1, listings([]*fleetpb.Server{goodServer("a1")}), false, time.Now())
	r := NewRestarts(NewSocket("", nil, nil), d)
	r.take("p", head{}, encodeRestart(directory.Hash("a1"), directory.Start{ID: "x\r\nTenant: b"}).raw, time.Now())
	g.Expect(d.View().Len()).To(gomega.Equal(1))
}

// Another program sends to the port of entry VMs, as fast as it can. What can't
// be read is counted, and told at most once a second.
func TestDatagramsThatCannotBeReadAreToldOnceASecond(t *testing.T) {
	g := gomega.NewWithT(t)
	s := NewSocket("", nil, prometheus.NewRegistry())
	recorder := event.Discard()
	s.Report(recorder)
	NewLoads(LoadsOptions{Directory: directory.New(), Socket: s})
	now := time.Now()
	for _, raw := range [][]byte{nil, []byte("x"), make([]byte, headBytes), append(encodeHead(kindLoads, head{life: 1, seq: 1}), 0, 9), append(encodeHead(9, head{life: 1, seq: 1}), 0)} {
		for range 100 {
			s.take("p", raw, now)
		}
	}
	s.take("p", []byte("x"), now.Add(badEvery))
	entries := recorder.Entries("")
	g.Expect(entries).To(gomega.HaveLen(2))
	g.Expect(entries[1].Fields).To(gomega.HaveKeyWithValue("others", "499"))
	g.Expect(testutil.ToFloat64(s.bad)).To(gomega.BeNumerically("==", 501))
	s.take("p", append(encodeHead(kindLoads, head{life: 1, seq: 2}), encodeLoads(nil, nil).raw...), now)
	g.Expect(testutil.ToFloat64(s.got)).To(gomega.BeNumerically("==", 1))
}

// Another program writes over this VM's own row. The others lose it, and it gets
// none of their words, until it announces itself again.
func TestOwnRowThatWasWrittenOverIsWrittenAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	v := newVM(t, "a")
	registry := v.opts.Registry.(*fakeRegistry)
	announced := false
	g.Expect(v.exchangeRows(t.Context(), &announced)).To(gomega.Succeed())
	registry.rows["a"] = []byte("{}")
	g.Expect(v.exchangeRows(t.Context(), &announced)).To(gomega.Succeed())
	g.Expect(v.exchangeRows(t.Context(), &announced)).To(gomega.Succeed())
	g.Expect(string(registry.rows["a"])).To(gomega.Equal(v.opts.Address))
}
