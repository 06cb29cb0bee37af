package fleet

import (
	"context"
	"math"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/directory"
)

// memoryVM is a VM that reports its use of memory to others, as far as the network lets it.
type memoryVM struct {
	dir    *directory.Directory
	socket *Socket
	stop   context.CancelFunc
}

type memoryNet struct {
	vms   map[string]*memoryVM
	sent  atomic.Int64
	drops func() bool // whether the network loses a datagram
}

func newMemoryNet(t *testing.T, names ...string) *memoryNet {
	n := &memoryNet{vms: map[string]*memoryVM{}, drops: func() bool { return false }}
	for _, name := range names {
		vm := &memoryVM{dir: directory.New(), socket: NewSocket(name, nil, nil)}
		vm.dir.Apply(1, []directory.Listing{listingBornAt("i1", 100)}, false, time.Now())
		vm.socket.write = func(raw []byte, to string) bool {
			n.sent.Add(1)
			if other := n.vms[to]; other != nil && to != name && !n.drops() {
				other.socket.dispatch(name, raw, time.Now())
			}
			return true
		}
		peers := func() []string { return names }
		m := NewMemory(MemoryOptions{Socket: vm.socket, CellPeers: peers, Peers: peers, Directory: vm.dir})
		ctx, cancel := context.WithCancel(t.Context())
		vm.stop = cancel
		n.vms[name] = vm
		go func() { _ = m.Run(ctx) }()
	}
	t.Cleanup(func() {
		for _, vm := range n.vms {
			vm.stop()
		}
	})
	return n
}

// full reports whether a VM takes its only server to have no room for a stream.
func (vm *memoryVM) full() bool {
	return vm.dir.Pick(directory.Query{Service: "s", Prompt: 1, Memory: 3000, MemoryLimit: 10_000}, time.Now()) == nil
}

func (vm *memoryVM) hold(tokens int) *directory.MemoryHold {
	return vm.dir.View().Service("s")[0].HoldMemory(tokens)
}

// What one VM uses counts at the others within moments, and ends with its stream. Guards
// against VMs that together send a server more than it holds, and against datagrams where no
// memory is accounted.
func TestMemoryIsReportedToOtherVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		n := newMemoryNet(t, "a", "b", "c")
		time.Sleep(time.Minute)
		g.Expect(n.sent.Load()).To(gomega.BeZero())
		hold := n.vms["a"].hold(8000)
		time.Sleep(minSendInterval + time.Millisecond)
		g.Expect(n.vms["b"].full()).To(gomega.BeTrue())
		g.Expect(n.vms["c"].full()).To(gomega.BeTrue())
		time.Sleep(time.Minute)
		g.Expect(n.vms["b"].full()).To(gomega.BeTrue())
		hold.End()
		time.Sleep(2 * minSendInterval)
		g.Expect(n.vms["b"].full()).To(gomega.BeFalse())
		time.Sleep(resendInterval)
		before := n.sent.Load()
		time.Sleep(time.Minute)
		g.Expect(n.sent.Load()).To(gomega.Equal(before), "nothing is sent while no memory is used")
	})
}

// A VM dies with its streams. Guards against servers that stay empty since the memory of its
// streams still counts.
func TestMemoryOfADeadVMIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		n := newMemoryNet(t, "a", "b")
		n.vms["a"].hold(8000)
		time.Sleep(100 * time.Millisecond)
		n.vms["a"].stop()
		g.Expect(n.vms["b"].full()).To(gomega.BeTrue())
		time.Sleep(loadTTL + 2*resendInterval)
		g.Expect(n.vms["b"].full()).To(gomega.BeFalse())
	})
}

// The datagrams of a change are lost. The repetition makes up for them within a second.
func TestLostReportsOfMemoryAreRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		n := newMemoryNet(t, "a", "b")
		var lost atomic.Bool
		lost.Store(true)
		n.drops = lost.Load
		n.vms["a"].hold(8000)
		time.Sleep(minSendInterval)
		lost.Store(false)
		g.Expect(n.vms["b"].full()).To(gomega.BeFalse())
		time.Sleep(resendInterval + minSendInterval)
		g.Expect(n.vms["b"].full()).To(gomega.BeTrue())
	})
}

// Guards against a late datagram that undoes a newer one, and against the use of a VM's former
// start that stays counted beside that of its new one.
func TestLateReportOfMemoryIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		vm := newMemoryNet(t, "b").vms["b"]
		server := directory.Start{ID: "i1", Born: 100}.Hash()
		deliver := func(h header, r directory.MemoryReport) {
			b := encodeMemory(r)
			vm.socket.dispatch("a", append(encodeHeader(b.kind, h), b.raw...), time.Now())
			time.Sleep(20 * time.Millisecond)
		}
		used := directory.MemoryReport{Last: math.MaxUint32, Uses: []directory.MemoryUse{{Server: server, Tokens: 8000}}}
		deliver(header{incarnation: 1, seq: 2}, used)
		deliver(header{incarnation: 1, seq: 1}, directory.MemoryReport{Last: math.MaxUint32})
		g.Expect(vm.full()).To(gomega.BeTrue())
		deliver(header{incarnation: 2, seq: 1}, directory.MemoryReport{First: server + 1, Last: math.MaxUint32})
		g.Expect(vm.full()).To(gomega.BeFalse(), "it has started again")
	})
}

// A change is reported by the servers that it concerns. Guards against a report that grows with
// the streams of a VM for each that begins, and against servers that stay full at the others
// when a change that is lost was the last one.
func TestChangesOfMemoryAreReportedAlone(t *testing.T) {
	g := gomega.NewWithT(t)
	m := NewMemory(MemoryOptions{Socket: NewSocket("", nil, nil)})
	use := func(server uint32, tokens int) directory.MemoryUse {
		return directory.MemoryUse{Server: server, Tokens: tokens}
	}
	g.Expect(m.changes([]directory.MemoryUse{use(1, 10), use(5, 10), use(9, 10)})).To(gomega.HaveLen(3))
	g.Expect(m.changes([]directory.MemoryUse{use(1, 10), use(5, 20), use(7, 10)})).To(gomega.Equal([]directory.MemoryUse{use(5, 20), use(7, 10), use(9, 0)}))
	g.Expect(memoryChanges(m.changes([]directory.MemoryUse{use(1, 10), use(5, 20), use(7, 10)}))).To(gomega.BeEmpty())

	d := directory.New()
	d.Apply(1, []directory.Listing{listingBornAt("i1", 100)}, false, time.Now())
	server := directory.Start{ID: "i1", Born: 100}.Hash()
	full := func() bool {
		time.Sleep(12 * time.Millisecond)
		return d.Pick(directory.Query{Service: "s", Prompt: 1, Memory: 30, MemoryLimit: 100}, time.Now()) == nil
	}
	apply := func(reports []directory.MemoryReport) {
		for _, r := range reports {
			decoded, ok := decodeMemory(encodeMemory(r).raw)
			g.Expect(ok).To(gomega.BeTrue())
			d.SetPeerMemory("p", decoded)
		}
	}
	apply(memoryRanges([]directory.MemoryUse{use(server, 100)}))
	apply(memoryChanges([]directory.MemoryUse{use(server/2, 100)}))
	g.Expect(full()).To(gomega.BeTrue(), "a change of another server leaves it")
	apply(memoryChanges([]directory.MemoryUse{use(server, 0)}))
	g.Expect(full()).To(gomega.BeFalse())
	apply(memoryChanges([]directory.MemoryUse{use(server, 100)}))
	g.Expect(full()).To(gomega.BeTrue())
	apply(memoryRanges(nil)) // the repetition, after a change that was lost
	g.Expect(full()).To(gomega.BeFalse())
}

// A VM of an older release has no handler for these datagrams. Guards against a change of the
// number of the kind, and against one that an older release would read as another kind.
func TestOlderVMsIgnoreReportsOfMemory(t *testing.T) {
	g := gomega.NewWithT(t)
	d := directory.New()
	s := NewSocket("", nil, nil)
	NewLoads(LoadsOptions{Directory: d, Socket: s})
	b := encodeMemory(directory.MemoryReport{Last: math.MaxUint32, Uses: []directory.MemoryUse{{Server: 7, Tokens: 8000}}})
	g.Expect(b.kind).To(gomega.BeEquivalentTo(21))
	s.dispatch("a", append(encodeHeader(b.kind, header{incarnation: 1, seq: 1}), b.raw...), time.Now())
	g.Expect(d.MemoryByService()).To(gomega.BeEmpty())
}

// Guards against a datagram that can't be read, or names servers outside its range, and takes
// servers out of use.
func TestUnreadableReportOfMemory(t *testing.T) {
	g := gomega.NewWithT(t)
	valid := encodeMemory(directory.MemoryReport{First: 5, Last: 20, Uses: []directory.MemoryUse{{Server: 7, Tokens: 1}, {Server: 9, Tokens: 1 << 40}}}).raw
	r, ok := decodeMemory(valid)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(r.Uses).To(gomega.Equal([]directory.MemoryUse{{Server: 7, Tokens: memoryUnit}, {Server: 9, Tokens: math.MaxUint16 * memoryUnit}}))
	for name, raw := range map[string][]byte{
		"nothing":             nil,
		"cut":                 valid[:len(valid)-1],
		"without a range":     valid[:7],
		"below the range":     encodeMemory(directory.MemoryReport{First: 8, Last: 9, Uses: []directory.MemoryUse{{Server: 7, Tokens: 1}}}).raw,
		"above the range":     encodeMemory(directory.MemoryReport{First: 8, Last: 9, Uses: []directory.MemoryUse{{Server: 10, Tokens: 1}}}).raw,
		"changes in disorder": encodeMemory(directory.MemoryReport{First: 1, Uses: []directory.MemoryUse{{Server: 7, Tokens: 1}, {Server: 6}}}).raw,
		"a server twice":      encodeMemory(directory.MemoryReport{Last: 9, Uses: []directory.MemoryUse{{Server: 7, Tokens: 1}, {Server: 7, Tokens: 1}}}).raw,
	} {
		_, ok := decodeMemory(raw)
		g.Expect(ok).To(gomega.BeFalse(), name)
	}
}

// A VM that uses more servers than a datagram names sends several, none longer than allowed.
func TestMemoryOfManyServers(t *testing.T) {
	g := gomega.NewWithT(t)
	var uses []directory.MemoryUse
	for i := range 3*maxMemoryUses + 1 {
		uses = append(uses, directory.MemoryUse{Server: uint32(i) * 1000, Tokens: 64})
	}
	ranges := memoryRanges(uses)
	g.Expect(ranges).To(gomega.HaveLen(4))
	var got []directory.MemoryUse
	next := uint32(0)
	for _, r := range ranges {
		g.Expect(r.First).To(gomega.Equal(next), "ranges leave no server out")
		next = r.Last + 1
		raw := encodeMemory(r).raw
		g.Expect(headerBytes + len(raw)).To(gomega.BeNumerically("<=", maxDatagram))
		decoded, ok := decodeMemory(raw)
		g.Expect(ok).To(gomega.BeTrue())
		got = append(got, decoded.Uses...)
	}
	g.Expect(next).To(gomega.BeZero())
	g.Expect(got).To(gomega.Equal(uses))
	g.Expect(memoryRanges(nil)).To(gomega.Equal([]directory.MemoryReport{{Last: math.MaxUint32}}))
}
