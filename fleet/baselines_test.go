package fleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/rollout"
	"github.com/pearyard/pearyard/types"
)

// baselineSite is a site of VMs that tell each other their baselines through a network that loses
// datagrams.
type baselineSite struct {
	loss float64

	mu  sync.Mutex
	vms map[string]*baselineVM
	cut map[string]bool
}

// reach returns the VM to which a datagram from another one gets, nil if it is lost.
func (s *baselineSite) reach(from, to string) *baselineVM {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cut[from] || s.cut[to] || rand.Float64() < s.loss {
		return nil
	}
	return s.vms[to]
}

func (s *baselineSite) peersOf(address string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(slices.Sorted(maps.Keys(s.vms)), func(a string) bool { return a == address })
}

func (s *baselineSite) setCut(address string, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[address] = cut
}

type baselineVM struct {
	*Baselines
	dir *directory.Directory
}

func (s *baselineSite) start(t *testing.T, address string) *baselineVM {
	vm := &baselineVM{dir: directory.New()}
	socket := NewSocket(address, nil, nil)
	socket.write = func(raw []byte, to string) bool {
		if peer := s.reach(address, to); peer != nil {
			time.AfterFunc(time.Millisecond, func() { peer.socket.dispatch(address, raw, time.Now()) })
		}
		return true
	}
	vm.Baselines = NewBaselines(socket, func() []string { return s.peersOf(address) }, rollout.New(rollout.Options{Size: func() int { return 2 }, Directory: vm.dir, Recorder: event.Discard(), Metrics: prometheus.NewRegistry()}))
	s.mu.Lock()
	s.vms[address] = vm
	s.mu.Unlock()
	go func() { _ = vm.Run(t.Context()) }()
	return vm
}

func (vm *baselineVM) list(position types.Position, versions ...string) {
	var list []directory.Listing
	for i, v := range versions {
		list = append(list, directory.Listing{ID: v, Service: "s", Address: fmt.Sprintf("10.0.0.1:%d", i+1), Version: v})
	}
	vm.dir.Apply(position, list, false, time.Now())
}

func (vm *baselineVM) baseline() string {
	var all []string
	for _, b := range vm.controller.Baselines() {
		all = append(all, b.Versions...)
	}
	return strings.Join(all, ",")
}

// Guards against entry VMs that differ for good in which versions need no order: one started
// amid a release, or was cut off meanwhile.
func TestVMsAgreeOnBaselines(t *testing.T) {
	for _, size := range []int{2, 5, 31, 103} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				site := &baselineSite{loss: 0.1, vms: map[string]*baselineVM{}, cut: map[string]bool{}}
				ran := site.start(t, "10.0.0.1:1")
				ran.list(10, "v1")
				for i := 2; i <= size; i++ {
					vm := site.start(t, fmt.Sprintf("10.0.0.%d:1", i))
					vm.list(20, "v1", "v2")
				}
				site.setCut("10.0.0.2:1", true)
				ran.list(20, "v1", "v2")
				time.Sleep(3 * time.Second)
				site.setCut("10.0.0.2:1", false)
				healed := time.Now()
				agree := func() bool {
					for _, vm := range site.vms {
						if vm.baseline() != "v1" {
							return false
						}
					}
					return true
				}
				for !agree() && time.Since(healed) < time.Minute {
					time.Sleep(100 * time.Millisecond)
				}
				g.Expect(time.Since(healed)).To(gomega.BeNumerically("<=", 5*time.Second))
			})
		})
	}
}

// Guards against a baseline that is lost with all VMs.
func TestBaselinesAreKeptInTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		site := &baselineSite{vms: map[string]*baselineVM{}}
		var values [][]byte
		for range 2 {
			vm := site.start(t, "10.0.0.1:1")
			versions := NewStreamVersions(StreamVersionsOptions{
				Address: "10.0.0.1:1", Socket: vm.socket, Peers: func() []string { return nil }, Directory: vm.dir, Baselines: vm.Baselines, Recorder: event.Discard(),
			})
			clock := &storeClock{0, time.Now()}
			versions.rows.clock.Store(clock)
			for _, value := range values {
				vm.list(20, "v1", "v2")
				versions.rows.merge(clock, value, true)
			}
			if values == nil {
				vm.list(10, "v1")
				values = append(values, encodedRow(t, versions.rows))
			}
			g.Expect(vm.baseline()).To(gomega.Equal("v1"))
		}
	})
}

func TestBaselinesRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	var sent []rollout.Baseline
	for i := range uint32(200) {
		sent = append(sent, rollout.Baseline{Service: i, Versions: []string{"v1", strings.Repeat("x", 50)}, Order: types.Position(i), Seen: 7})
	}
	var got []rollout.Baseline
	for _, datagram := range encodeBaselines(sent) {
		g.Expect(headerBytes + len(datagram.raw)).To(gomega.BeNumerically("<=", maxDatagram))
		list, ok := decodeBaselines(datagram.raw)
		g.Expect(ok).To(gomega.BeTrue())
		got = append(got, list...)
	}
	g.Expect(got).To(gomega.Equal(sent))
}

func encodedRow(t *testing.T, r *versionRows) []byte {
	t.Helper()
	raw, err := json.Marshal(r.encode(time.Now()))
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return raw
}
