package fleet

import (
	"bytes"
	"context"
	"math"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/promptcache"
	"github.com/pearyard/pearyard/rollout"
	fleetpb "github.com/pearyard/pearyard/rpc/fleet"
	"github.com/pearyard/pearyard/site"
	"github.com/pearyard/pearyard/streamversion"
	"github.com/pearyard/pearyard/types"
)

func FuzzDecodeRestart(f *testing.F) {
	f.Add(encodeRestart(7, directory.Start{ID: "i-1", Born: 1700}).raw)
	f.Add(encodeRestart(7, directory.Start{ID: "x\r\nTenant: b"}).raw)
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, raw []byte) {
		server, start, ok := decodeRestart(raw)
		if !ok {
			return
		}
		if !directory.ValidID(start.ID) {
			t.Fatalf("invalid ID %q", start.ID)
		}
		if string(encodeRestart(server, start).raw) != string(raw) {
			t.Fatalf("%x became %x", raw, encodeRestart(server, start).raw)
		}
	})
}

// lastKind is the greatest kind of datagrams.
const lastKind = int(kindBaselines)

// oddBodies are bodies of datagrams whose numbers are the least, the greatest and no numbers.
var oddBodies = [][]byte{
	nil, {0}, {0xff}, bytes.Repeat([]byte{0}, maxDatagram-headerBytes), bytes.Repeat([]byte{0xff}, maxDatagram-headerBytes), bytes.Repeat([]byte{0xff}, maxDatagram-headerBytes-5),
	bytes.Repeat([]byte{0x7f, 0xf0, 0, 0, 0, 0, 0, 0}, 173), bytes.Repeat([]byte{0x80, 0, 0, 0}, 346), bytes.Repeat([]byte{0x7f, 0xff, 0xff, 0xff}, 12), bytes.Repeat([]byte{0, 0, 0, 1}, 40),
}

// handleAll sets the handlers of all kinds of datagrams.
func handleAll(s *Socket, d *directory.Directory) (*Loads, *Memory) {
	loads := NewLoads(LoadsOptions{Directory: d, Socket: s})
	memory := NewMemory(MemoryOptions{Directory: d, Socket: s})
	d.SharePlaces("s")
	NewPlaces(s, func() []string { return nil }, d)
	NewRestarts(s, d)
	NewRefusals(s)
	NewPressure(s, func() []string { return nil })
	NewPrefillTimes(s, func() []string { return nil }, d)
	NewDisturbances(DisturbancesOptions{Socket: s, Directory: d, Recorder: event.Discard()})
	NewBudgets(BudgetsOptions{Socket: s, CellPeers: func() []string { return nil }, Size: func() int { return 2 }, Ratio: 1, Extra: 1})
	election := NewElection(ElectionOptions{
		Address: "self", Socket: s, Recorder: event.Discard(), Fetch: func(context.Context, string, types.Position, bool) {},
		Mark: func(Subject) Mark { return Mark{Position: 1} },
	})
	NewLeaving(LeavingOptions{Socket: s, Directory: d, Recorder: event.Discard()})
	NewServerLimits(ServerLimitsOptions{Socket: s, Peers: func() []string { return nil }, Size: func() int { return 2 }, Directory: d, Recorder: event.Discard()})
	rollouts := rollout.New(rollout.Options{Size: func() int { return 2 }, Directory: d, Recorder: event.Discard(), Metrics: prometheus.NewRegistry()})
	NewRollouts(s, election, rollouts)
	baselines := NewBaselines(s, func() []string { return []string{"p"} }, rollouts)
	prompts := NewPrompts(PromptsOptions{Socket: s, OtherCells: func() [][]string { return nil }, Directory: d})
	prompts.UseLocator(promptcache.NewLocator(func(context.Context, *directory.Server) (promptcache.Contents, error) { return nil, nil }))
	NewStreamVersions(StreamVersionsOptions{
		Address: "self", Socket: s, Baselines: baselines, Directory: directory.New(), Recorder: event.Discard(), Peers: func() []string { return []string{"p"} },
		ReadList: func(context.Context) error { return nil },
	})
	return loads, memory
}

// FuzzDatagram dispatches a whole datagram to all handlers.
func FuzzDatagram(f *testing.F) {
	h := header{incarnation: 3, seq: 4}
	for _, b := range []body{
		encodeLoads([]directory.Load{{Server: directory.Hash("a1"), Streams: 2, Prefill: 64}}, []uint32{directory.Hash("a1")}),
		encodeAnnouncement(announcement{healthy: true, config: at(1 << 63)}), encodeRestart(directory.Hash("a1"), directory.Start{ID: "a2"}), {kindBudget, encodeTryCounts([]tryCounts{{1, 2, 3}})}, encodePrefillTimes([]directory.PrefillTime{{Server: directory.Hash("a1"), PerToken: time.Millisecond}}),
		encodeMemory(directory.MemoryReport{Last: math.MaxUint32, Uses: []directory.MemoryUse{{Server: directory.Hash("a1"), Tokens: 640}}}),
		encodeRefusals([]refusal{{7, time.Second}}),
		encodePressure(map[uint32]uint8{7: 3}),
		encodePlaces(directory.PlaceReports{Servers: []directory.PlaceReport{{Server: directory.Hash("a1"), Calls: 3, Overdue: 1}}, Waiting: map[uint32]int{directory.Hash("s"): 2}}),
		encodeDisturbances([]directory.DisturbanceReport{{Server: directory.Hash("a1"), Figure: 250, Age: time.Second}}),
		{kindStreamRecords, encodeStreamRecords(1, "v1", []streamversion.Record{{Key: streamversion.Key{Service: 1, Stream: 2}, Until: time.Now().Add(time.Minute)}}, time.Now())[0]},
		{kindStreamQuery, appendStreamQuery(nil, streamversion.Key{Service: 1, Stream: 2}, time.Minute)},
		{kindStreamAnswer, appendStreamAnswer(nil, streamversion.Key{Service: 1, Stream: 2}, versionAnswer{version: "v1", known: true})},
		encodeBaselines([]rollout.Baseline{{Service: 1, Versions: []string{"v1", "v2"}, Order: 3, Seen: 4}})[0],
		{kindServedVersions, encodeServedVersions(true, []streamversion.Listed{{Service: 1, Version: "v1", At: time.Now()}}, time.Now())[0]},
	} {
		f.Add(append(encodeHeader(b.kind, h), b.raw...))
	}
	f.Add([]byte{0, 1})
	for k := range kind(lastKind + 2) {
		for _, odd := range oddBodies {
			f.Add(append(encodeHeader(k, h), odd...))
			f.Add(append(encodeHeader(k, header{incarnation: math.MaxUint64, seq: math.MaxUint32}), odd...))
		}
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		d := directory.New()
		d.Apply(1, []directory.Listing{{ID: "a1", Service: "s", Address: "10.0.0.1:80", Slots: 1}}, false, time.Now())
		s := NewSocket("", func() []string { return nil }, nil)
		loads, memory := handleAll(s, d)
		s.dispatch("p", raw, time.Now())
		s.dispatch("p", raw, time.Now())
		loads.expire(time.Now())
		memory.expire(time.Now())
		d.Pick(directory.Query{Service: "s", Prompt: 1, Memory: 64, MemoryLimit: 128}, time.Now())
		d.Pick(directory.Query{Service: "s", Prompt: 1}, time.Now())
		d.Pick(directory.Query{Service: "s"}, time.Now())
		d.Places(directory.Query{Service: "s"}, time.Now())
		for _, server := range d.View().Service("s") {
			if !directory.ValidID(server.ID) {
				t.Fatalf("invalid server ID %q", server.ID)
			}
		}
	})
}

// FuzzPeersServer applies a peer's answer with arbitrary bytes as one server beside a
// valid one.
func FuzzPeersServer(f *testing.F) {
	for _, s := range []*fleetpb.Server{validServer("b1"), {Id: "bad"}, {Id: "x\r\ny", Service: "s", Address: "1.2.3.4:5"}, {Id: "c", Service: "s", Address: "0.0.0.0:1", Slots: -4, ColdNano: -1}} {
		raw, err := proto.Marshal(s)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw, true)
		f.Add(raw, false)
	}
	f.Fuzz(func(t *testing.T, raw []byte, delta bool) {
		var fuzzed fleetpb.Server
		if proto.Unmarshal(raw, &fuzzed) != nil || fuzzed.GetId() == "good" {
			return
		}
		d := directory.New()
		follower := &directory.Follower{Directory: d, Recorder: event.Discard()}
		fleet := New(Options{Directory: d, Holder: site.NewHolder(), Recorder: event.Discard(), OfferList: follower.ApplyPeerList, OfferChanges: follower.ApplyPeerChanges})
		fleet.applyAnswer("p", &fleetpb.NewestResponse{ListPosition: 5, Delta: delta, Servers: []*fleetpb.Server{&fuzzed, validServer("good")}})
		kept := false
		for _, l := range d.View().Listings {
			kept = kept || (l.ID == "good" && l.Invalid == "")
			if l.Invalid == "" && (!directory.ValidID(l.ID) || !directory.ValidAddress(l.Address) || l.Service == "") {
				t.Fatalf("invalid server accepted: %+v", l)
			}
		}
		if !kept {
			t.Fatal("the valid server was dropped")
		}
	})
}

// FuzzPeersRow reads a registry row with an arbitrary value beside a valid one.
func FuzzPeersRow(f *testing.F) {
	for _, value := range []string{"2.2.2.2:2", "host:3", "", "[fe80::1%x]:5", "0.0.0.0:1", "\xff"} {
		f.Add([]byte(value))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		fleet := New(Options{Address: "9.9.9.9:9", Directory: directory.New(), Holder: site.NewHolder(), Recorder: event.Discard()})
		found := fleet.addresses(map[string][]byte{"a": []byte("1.1.1.1:1"), "fuzzed": value})
		kept := false
		for _, address := range found {
			kept = kept || address == "1.1.1.1:1"
			if !directory.ValidAddress(address) {
				t.Fatalf("%q was accepted as a peer address", address)
			}
		}
		if !kept {
			t.Fatal("the valid row was dropped")
		}
	})
}

// FuzzPeersAnswer applies a whole answer of a peer.
func FuzzPeersAnswer(f *testing.F) {
	for _, answer := range []*fleetpb.NewestResponse{
		{ListPosition: math.MaxUint64, Servers: []*fleetpb.Server{nil, validServer("a1")}}, {ListPosition: 5, Delta: true, Gone: []string{"a1", "", "\r\n"}, Servers: []*fleetpb.Server{{Id: "a1", Service: "s", Address: "1.2.3.4:5", Born: math.MaxInt64, Slots: math.MinInt32, ColdNano: math.MinInt64}}},
		{ConfigPosition: math.MaxUint64, Config: []byte("{"), ConfigIsDelta: true, ListPosition: 5, Servers: []*fleetpb.Server{validServer("a1")}}, {Leaving: []uint32{0, math.MaxUint32}, Doubted: []*fleetpb.Doubted{nil, {Start: directory.Hash("a1"), ForMs: math.MaxUint32}}},
	} {
		raw, err := proto.Marshal(answer)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var answer fleetpb.NewestResponse
		if proto.Unmarshal(raw, &answer) != nil {
			return
		}
		v := newVM(t, "a")
		v.opts.Recorder = event.Discard()
		v.dir.Apply(1, listingsFromProto([]*fleetpb.Server{validServer("a1")}), false, time.Now())
		v.applyAnswer("p", &answer)
		for _, l := range v.dir.View().Listings {
			if l.Invalid == "" && (!directory.ValidID(l.ID) || !directory.ValidAddress(l.Address) || l.Born != directory.CheckedBorn(l.Born)) {
				t.Fatalf("invalid server accepted: %+v", l)
			}
		}
		if _, err := v.Newest(t.Context(), &fleetpb.NewestRequest{}); err != nil {
			t.Fatal(err)
		}
	})
}

// FuzzVersionRow reads a VM's row of stream versions.
func FuzzVersionRow(f *testing.F) {
	for _, number := range oddNumbers {
		if len(number) < 1000 {
			f.Add(versionRowWith(number, number), true)
			f.Add([]byte(number), false)
		}
	}
	f.Fuzz(func(t *testing.T, value []byte, own bool) {
		v := benchVersions("v1", "v2")
		now := time.Now()
		clock := &storeClock{100 * time.Second, now}
		v.rows.clock.Store(clock)
		v.rows.merge(clock, value, own)
		v.Record("s", 8, "v1", now.Add(time.Minute))
		for _, r := range v.table.Select(now, func(streamversion.Record) bool { return true }) {
			if r.Until.Sub(now) > maxRecordLife+time.Second {
				t.Fatalf("a record until %v", r.Until)
			}
		}
		for _, l := range v.rows.encode(now).Versions {
			if _, kept := l.Streams[8]; kept {
				return
			}
		}
		t.Fatal("the true stream is not written")
	})
}
