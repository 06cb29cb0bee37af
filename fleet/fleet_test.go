package fleet

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
	fleetpb "github.com/pearyard/pearyard/rpc/fleet"
	"github.com/pearyard/pearyard/site"
	"github.com/pearyard/pearyard/types"
)

// fakeRegistry is a registry that can be unavailable.
type fakeRegistry struct {
	rows map[string][]byte
	err  error
}

func (r *fakeRegistry) Put(_ context.Context, _, key string, value []byte) error {
	if r.err == nil {
		r.rows[key] = value
	}
	return r.err
}

func (r *fakeRegistry) Rows(context.Context, string) (map[string][]byte, error) { return r.rows, r.err }

type vm struct {
	*Fleet
	holder *site.Holder
	dir    *directory.Directory
	server *httptest.Server
}

// decodeConfig decodes a configuration whose text names its version, or else has that of its
// position.
func decodeConfig(position types.Position, raw []byte) (*site.Versioned, error) {
	if string(raw) == "bad" {
		return nil, errors.New("bad")
	}
	version := uint64(position)
	_, _ = fmt.Sscanf(string(raw), "version %d", &version)
	return &site.Versioned{Config: site.New(version, nil, nil, nil, site.ClientLimits{}), Position: position, Raw: raw}, nil
}

func newVM(t *testing.T, name string, seeds ...string) *vm {
	v := &vm{holder: site.NewHolder(), dir: directory.New()}
	config := &site.Follower{Holder: v.holder, Recorder: event.Discard()}
	servers := &directory.Follower{Directory: v.dir, Recorder: event.Discard()}
	mux := http.NewServeMux()
	v.server = httptest.NewServer(mux)
	t.Cleanup(v.server.Close)
	v.Fleet = New(Options{
		Name: name, Address: strings.TrimPrefix(v.server.URL, "http://"), Seeds: seeds, Registry: &fakeRegistry{rows: map[string][]byte{}},
		Holder: v.holder, Directory: v.dir, Decode: decodeConfig, OfferConfig: config.Offer, OfferList: servers.ApplyPeerList, OfferChanges: servers.ApplyPeerChanges, Settled: func() bool { return true },
		Dial: DialHTTP(&http.Client{Timeout: time.Second}), Recorder: event.Discard(),
	})
	mux.Handle("/", v.Handler())
	return v
}

// The store does not answer one entry VM while an API key is revoked and a server leaves.
// The VM gets both changes from a peer.
func TestPeerSendsConfigurationAndList(t *testing.T) {
	g := gomega.NewWithT(t)
	connected := newVM(t, "connected")
	cut := newVM(t, "cut", connected.opts.Address)
	v, _ := decodeConfig(9, []byte("text"))
	connected.holder.Offer(v)
	connected.dir.Apply(8, []directory.Listing{{ID: "i1", Service: "s", Address: "1.2.3.4:5", Zone: "z", Slots: 4, Draining: true, Cold: time.Second}}, false, time.Now())
	cut.FetchNewest(t.Context())
	g.Expect(cut.holder.Position()).To(gomega.BeNumerically("==", 9))
	g.Expect(string(cut.holder.Current().Raw)).To(gomega.Equal("text"))
	g.Expect(cut.dir.View().Listings).To(gomega.Equal(connected.dir.View().Listings))
}

// A peer that is behind by a known change gets that change rather than three thousand
// servers; one that is further behind gets the whole list.
func TestPeerThatIsBehindGetsChangesOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	ahead := newVM(t, "ahead")
	behind := newVM(t, "behind", ahead.opts.Address)
	entry := func(id string, draining bool) directory.Listing {
		return directory.Listing{ID: id, Service: "s", Address: "10.0.0.1:80", Draining: draining}
	}
	first := []directory.Listing{entry("i1", false), entry("i2", false), entry("i3", false)}
	ahead.dir.Apply(5, first, false, time.Now())
	behind.dir.Apply(5, first, false, time.Now())
	ahead.dir.Apply(6, []directory.Listing{entry("i1", true), entry("i2", false), entry("i3", false)}, false, time.Now())
	ahead.dir.Apply(8, []directory.Listing{entry("i1", true), entry("i3", false), entry("i4", false)}, false, time.Now())
	answer, err := ahead.Newest(t.Context(), &fleetpb.NewestRequest{ListPosition: 5})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(answer.GetDelta()).To(gomega.BeTrue())
	g.Expect(answer.GetServers()).To(gomega.HaveLen(2))
	g.Expect(answer.GetGone()).To(gomega.Equal([]string{"i2"}))
	behind.FetchNewest(t.Context())
	g.Expect(behind.dir.View().Position).To(gomega.BeNumerically("==", 8))
	g.Expect(behind.dir.View().Listings).To(gomega.ConsistOf(ahead.dir.View().Listings))
	answer, err = ahead.Newest(t.Context(), &fleetpb.NewestRequest{ListPosition: 0})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(answer.GetDelta()).To(gomega.BeFalse())
	g.Expect(answer.GetServers()).To(gomega.HaveLen(3))
}

// Guards against peers that send thousands of servers to all VMs at once, too much for
// their links. This happened when all entry VMs had restarted and queried each other for
// everything, or were behind by a position with a list that was read a moment later.
func TestFullListsAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := New(Options{Directory: directory.New(), Holder: site.NewHolder(), Settled: func() bool { return true }})
		var list []directory.Listing
		for i := range 3000 {
			list = append(list, directory.Listing{ID: strconv.Itoa(i), Service: "s"})
		}
		f.opts.Directory.Apply(10, list, false, time.Now())
		servers := func(r *fleetpb.NewestRequest) int {
			answer, err := f.Newest(t.Context(), r)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			return len(answer.GetServers())
		}
		g.Expect(servers(&fleetpb.NewestRequest{ListPosition: 9, ChangesOnly: true})).To(gomega.BeZero(), "there are no changes before the first list")
		g.Expect(servers(&fleetpb.NewestRequest{})).To(gomega.Equal(3000))
		g.Expect(servers(&fleetpb.NewestRequest{})).To(gomega.BeZero())
		f.opts.Directory.Apply(11, list[1:], false, time.Now())
		answer, err := f.Newest(t.Context(), &fleetpb.NewestRequest{ListPosition: 10})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(answer.GetGone()).To(gomega.HaveLen(1), "changes are small and not rate limited")
		time.Sleep(time.Second)
		g.Expect(servers(&fleetpb.NewestRequest{})).To(gomega.Equal(2999))
	})
}

// Guards against a restarted VM that counts only the seeds as entry VMs. Limits that all
// VMs share are divided by their number, so it must not be underestimated until the
// registry has been read.
func TestSizeIsUnknownBeforeRegistryIsRead(t *testing.T) {
	g := gomega.NewWithT(t)
	registry := &fakeRegistry{rows: map[string][]byte{"a": []byte("1.1.1.1:1"), "b": []byte("2.2.2.2:2"), "c": []byte("3.3.3.3:3"), "d": []byte("4.4.4.4:4")}}
	f := New(Options{Name: "a", Address: "1.1.1.1:1", Seeds: []string{"2.2.2.2:2"}, Registry: registry, Directory: directory.New(), Holder: site.NewHolder()})
	g.Expect(f.Size()).To(gomega.Equal(unknownSize))
	g.Expect(f.syncRegistry(t.Context())).To(gomega.Succeed())
	g.Expect(f.Size()).To(gomega.Equal(4))
}

// A peer that is behind, or sends a configuration that can't be decoded, has no effect.
func TestPeerThatLagsChangesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	behind := newVM(t, "behind")
	ahead := newVM(t, "ahead", behind.opts.Address)
	old, _ := decodeConfig(3, []byte("old"))
	behind.holder.Offer(old)
	behind.dir.Apply(3, []directory.Listing{{ID: "gone"}}, false, time.Now())
	current, _ := decodeConfig(7, []byte("new"))
	ahead.holder.Offer(current)
	ahead.dir.Apply(7, nil, false, time.Now())
	ahead.FetchNewest(t.Context())
	g.Expect(ahead.holder.Position()).To(gomega.BeNumerically("==", 7))
	g.Expect(ahead.dir.View().Len()).To(gomega.BeZero())

	undecodable, _ := decodeConfig(99, []byte("x"))
	undecodable.Raw = []byte("bad")
	behind.holder.Offer(undecodable)
	ahead.FetchNewest(t.Context())
	g.Expect(ahead.holder.Position()).To(gomega.BeNumerically("==", 7))
}

// Entry VMs find each other by their rows; a VM that can't write its row yet knows its
// seeds.
func TestVMsFindEachOther(t *testing.T) {
	g := gomega.NewWithT(t)
	v := newVM(t, "a", "1.1.1.1:1")
	registry := v.opts.Registry.(*fakeRegistry)
	registry.err = errors.New("store unavailable")
	g.Expect(v.syncRegistry(t.Context())).NotTo(gomega.Succeed())
	g.Expect(v.Peers()).To(gomega.Equal([]string{"1.1.1.1:1"}))
	registry.err = nil
	registry.rows["b"] = []byte("2.2.2.2:2")
	g.Expect(v.syncRegistry(t.Context())).To(gomega.Succeed())
	g.Expect(v.Peers()).To(gomega.Equal([]string{"2.2.2.2:2"}))
	g.Expect(v.Size()).To(gomega.Equal(2))
	g.Expect(registry.rows).To(gomega.HaveKey("a"))
}

func receiveLoads(l *Loads, from string, incarnation uint64, seq uint32, loads []directory.Load, lost []uint32) {
	l.receive(from, header{incarnation: incarnation, seq: seq}, encodeLoads(loads, lost).raw, time.Now())
}

// Reports that are duplicated, late or from an earlier start of their sender have no
// effect, and a sender that has fallen silent leaves no load behind.
func TestLoadsOutOfOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	d := directory.New()
	d.Apply(1, []directory.Listing{{ID: "i1", Service: "s"}, {ID: "i2", Service: "s"}}, false, time.Now())
	l := NewLoads(LoadsOptions{Directory: d, Socket: NewSocket("", nil, nil)})
	busy := []directory.Load{{Server: directory.Hash("i1"), Streams: 3, Copies: 1, Prefill: 6400}}
	receiveLoads(l, "p", 5, 2, busy, nil)
	pick := func() string {
		time.Sleep(15 * time.Millisecond) // the reports are summed up every 10 ms
		return d.Pick(directory.Query{Service: "s", Prompt: 1}, time.Now()).ID
	}
	g.Expect(pick()).To(gomega.Equal("i2"))
	receiveLoads(l, "p", 5, 1, nil, nil)
	receiveLoads(l, "p", 4, 9, nil, nil)
	g.Expect(pick()).To(gomega.Equal("i2"))
	busyElsewhere := []directory.Load{{Server: directory.Hash("i2"), Streams: 3, Prefill: 6400}}
	receiveLoads(l, "p", 6, 1, busyElsewhere, nil)
	g.Expect(pick()).To(gomega.Equal("i1"))
	l.expire(time.Now().Add(loadTTL))
	receiveLoads(l, "q", 1, 1, busy, []uint32{directory.Hash("i1")})
	for range 10 {
		g.Expect(pick()).To(gomega.Equal("i2"))
	}
}

func FuzzDecodeLoads(f *testing.F) {
	f.Add(encodeLoads([]directory.Load{{Server: 3, Streams: 4, Copies: 5, Prefill: 640}}, []uint32{7}).raw)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, raw []byte) {
		loads, lost, ok := decodeLoads(raw)
		if !ok {
			return
		}
		encoded := encodeLoads(loads, lost).raw
		if len(raw) <= maxDatagram-headerBytes && string(encoded) != string(raw) {
			t.Fatalf("%x became %x", raw, encoded)
		}
	})
}
