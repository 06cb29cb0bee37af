package fleet

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/exchange"
	"github.com/pearyard/pearyard/site"
	"github.com/pearyard/pearyard/suspect"
)

// A backend server that has named a limit may get half as much again and limitExtra requests
// in any limitSpan. What is sent later than limitGrace after it first named the limit counts.
// The platform excuses VMs that have not passed on such an answer; the tests don't.
const (
	limitSpan  = 4 * time.Second
	limitGrace = 500 * time.Millisecond
	limitExtra = 5
	// modelCallTime is how long a request takes at a server.
	modelCallTime = 40 * time.Millisecond
)

// limitedServer is a backend server that may name a limit.
type limitedServer struct {
	mu       sync.Mutex
	limit    float64 // negative: it names none
	namedAt  time.Time
	arrivals []time.Time
}

func (s *limitedServer) arrive() (limit float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, time.Now())
	return s.limit
}

// nameLimit makes the server name a limit in its answers from now on; a negative one ends
// the limit.
func (s *limitedServer) nameLimit(limit float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limit < 0 {
		s.namedAt = time.Now()
	}
	s.limit = limit
}

// countSince returns how many requests have arrived since a time.
func (s *limitedServer) countSince(from time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, at := range s.arrivals {
		if !at.Before(from) {
			n++
		}
	}
	return n
}

// mostInSpan returns the largest number of requests in any limitSpan that counts.
func (s *limitedServer) mostInSpan() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most, first := 0, 0
	for last, at := range s.arrivals {
		for s.arrivals[first].Before(at.Add(-limitSpan)) || s.arrivals[first].Before(s.namedAt.Add(limitGrace)) && first < last {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// allowedInSpan returns how many requests the platform allows in any limitSpan.
func (s *limitedServer) allowedInSpan() float64 {
	return 1.5*s.limit*limitSpan.Seconds() + limitExtra
}

// limitSite is a site of VMs in front of servers that may name limits, in virtual time.
type limitSite struct {
	modelBackend

	servers map[string]*limitedServer
	ids     []string
	size    int // number of VMs

	mu  sync.Mutex
	vms []*limitVM
	cut bool // VMs don't reach each other
}

type limitVM struct {
	*exchange.Exchange
	address string
	dir     *directory.Directory
	socket  *Socket
	limits  *ServerLimits
	stop    context.CancelFunc
}

func newLimitSite(t *testing.T, vms, servers int) *limitSite {
	m := &limitSite{servers: map[string]*limitedServer{}, size: vms}
	for i := range servers {
		id := fmt.Sprintf("s%d", i)
		m.ids = append(m.ids, id)
		m.servers[id] = &limitedServer{limit: -1}
	}
	for i := range vms {
		m.vms = append(m.vms, m.newVM(t.Context(), i))
	}
	t.Cleanup(func() { time.Sleep(time.Second) }) // what is in progress ends
	return m
}

func (m *limitSite) newVM(ctx context.Context, i int) *limitVM {
	ctx, stop := context.WithCancel(ctx)
	vm := &limitVM{address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), dir: directory.New(), stop: stop}
	var list []directory.Listing
	for n, id := range m.ids {
		list = append(list, directory.Listing{ID: id, Service: "s", Address: id, Zone: zoneOf(n), Slots: 6})
	}
	vm.dir.Apply(1, list, false, time.Now())
	vm.socket = NewSocket(vm.address, m.addresses, nil)
	vm.socket.write = func(raw []byte, to string) bool { return m.deliver(vm, raw, to) }
	vm.limits = NewServerLimits(ServerLimitsOptions{
		Socket: vm.socket, Peers: m.addresses, Size: func() int { return m.size }, Directory: vm.dir, Recorder: event.Discard(),
	})
	go func() { _ = vm.limits.Run(ctx) }()
	vm.Exchange = exchange.New(vm.options(m, zoneOf(i)))
	return vm
}

// zoneOf spreads VMs and servers over four zones.
func zoneOf(i int) string { return string(rune('a' + i%4)) }

func (vm *limitVM) options(m *limitSite, zone string) exchange.Options {
	return exchange.Options{
		Zone: zone, Directory: vm.dir, Backend: m, Recorder: event.Discard(), Metrics: prometheus.NewRegistry(),
		Suspects: suspect.New(suspect.Options{}), Services: func(string) (site.Service, bool) { return site.Service{Name: "s"}, true },
		ServerLimits: vm.limits, RetryWindow: 10 * time.Second, RetryRatio: 0.8, RetryExtra: func() float64 { return 20 },
	}
}

func (m *limitSite) addresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []string
	for _, vm := range m.vms {
		all = append(all, vm.address)
	}
	return all
}

// deliver carries a datagram to a VM, unless VMs are cut off from each other.
func (m *limitSite) deliver(from *limitVM, raw []byte, to string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, vm := range m.vms {
		if vm.address == to && to != from.address && !m.cut {
			raw := bytes.Clone(raw)
			time.AfterFunc(linkDelay, func() { vm.socket.dispatch(from.address, raw, time.Now()) })
		}
	}
	return true
}

// setCut cuts VMs off from each other, or ends that.
func (m *limitSite) setCut(cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut = cut
}

// restart replaces a VM by a new process that knows nothing.
func (m *limitSite) restart(t *testing.T, i int) {
	m.vms[i].stop()
	vm := m.newVM(t.Context(), i)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.vms[i] = vm
}

// Open implements exchange.Backend.
func (m *limitSite) Open(ctx context.Context, a *exchange.Attempt) (*exchange.Answer, error) {
	sentAt := time.Now()
	limit := m.servers[a.Server.ID].arrive()
	select {
	case <-time.After(modelCallTime):
	case <-ctx.Done():
		return nil, &exchange.BrokenError{Err: ctx.Err()}
	}
	if limit >= 0 {
		a.Server.ReportRateLimit(limit, time.Now())
	} else {
		a.Server.ReportNoRateLimit(sentAt, time.Now())
	}
	return &exchange.Answer{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(bytes.NewBufferString("x"))}, nil
}

// limitOutcome is what callers got.
type limitOutcome struct {
	served, refused int
	slowest         time.Duration // refusal
	failures        []*exchange.Failure
}

// call sends calls at random times, perSecond on average, to random VMs.
func (m *limitSite) call(t *testing.T, perSecond float64, during time.Duration) (out limitOutcome) {
	var mu sync.Mutex
	var callers sync.WaitGroup
	end := time.Now().Add(during)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		m.mu.Lock()
		vm := m.vms[rand.IntN(len(m.vms))]
		m.mu.Unlock()
		callers.Go(func() {
			began := time.Now()
			_, err := vm.Call(t.Context(), limitRequest())
			var failure *exchange.Failure
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				out.served++
			} else if errors.As(err, &failure) {
				out.refused++
				out.slowest = max(out.slowest, time.Since(began))
				out.failures = append(out.failures, failure)
			}
		})
	}
	callers.Wait()
	return out
}

func limitRequest() *exchange.Request {
	return &exchange.Request{
		ID: fmt.Sprintf("%016x", rand.Uint64()), Method: http.MethodPost, Target: "/x", Header: http.Header{}, Service: "s",
		Arrived: time.Now(), Deadline: time.Now().Add(4 * time.Second),
		Route: &site.Route{Name: "r", Kind: site.AtMostOnce, MaxAttempts: 1, Objective: 300 * time.Millisecond, Timeout: 4 * time.Second},
	}
}
