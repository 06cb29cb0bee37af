package fleet

import (
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
)

// disturbancePair is a VM that sends reports, and one that receives them over a network that
// a test controls.
type disturbancePair struct {
	here, there *directory.Directory
	receiver    *Socket
	mu          sync.Mutex // guards the fields below
	sent        [][]byte
	lost        bool // datagrams are
	log         *event.Recorder
	metrics     *prometheus.Registry
}

func newDisturbancePair(t *testing.T) *disturbancePair {
	p := &disturbancePair{here: newThreeServers(), there: newThreeServers()}
	p.receiver = NewSocket("there", func() []string { return nil }, nil)
	NewDisturbances(DisturbancesOptions{Socket: p.receiver, Directory: p.there, Recorder: event.Discard()})
	sender := NewSocket("here", func() []string { return nil }, nil)
	sender.write = func(raw []byte, _ string) bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.sent = append(p.sent, raw)
		if !p.lost {
			p.receiver.dispatch("here", raw, time.Now())
		}
		return true
	}
	p.log, p.metrics = event.NewRecorder(log.NewNopLogger(), 100), prometheus.NewRegistry()
	d := NewDisturbances(DisturbancesOptions{Socket: sender, CellPeers: func() []string { return []string{"there"} }, Directory: p.here, Recorder: p.log, Metrics: p.metrics})
	go func() { _ = d.Run(t.Context()) }()
	synctest.Wait()
	return p
}

func server(d *directory.Directory) *directory.Server { return d.View().Service("s")[0] }

// settle has the server report as usual, until nothing of that is sent any more.
func (p *disturbancePair) settle() {
	for range 20 {
		server(p.here).RecordDisturbance(directory.UsualDisturbance, time.Now())
		time.Sleep(time.Second)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent = nil
}

func (p *disturbancePair) datagrams() [][]byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.sent)
}

func (p *disturbancePair) lose(lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lost = lost
}

func factor(d *directory.Directory) float64 { return server(d).DisturbanceFactor(0, time.Now()) }

// Guards against a VM that takes a disturbed server for one that is as usual until it has
// called it itself.
func TestDisturbancesReachOtherVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		p := newDisturbancePair(t)
		p.settle()
		for range 5 {
			server(p.here).RecordDisturbance(300, time.Now())
			time.Sleep(2 * time.Millisecond)
		}
		g.Expect(factor(p.there)).To(gomega.BeNumerically(">", 2.5))
		time.Sleep(minSendInterval)
		server(p.here).RecordDisturbance(directory.UsualDisturbance, time.Now())
		time.Sleep(minSendInterval)
		g.Expect(factor(p.there)).To(gomega.BeNumerically("~", 1, 0.05))
		time.Sleep(time.Minute)
		g.Expect(p.datagrams()).To(gomega.HaveLen(2), "one each for the beginning and the end")
	})
}

// Guards against datagrams where servers report nothing.
func TestNoDatagramsWithoutDisturbances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newDisturbancePair(t)
		server(p.here).RecordReportedLoad(time.Now(), 3, 0)
		time.Sleep(time.Minute)
		gomega.NewWithT(t).Expect(p.datagrams()).To(gomega.BeEmpty())
	})
}

// A datagram is sent once; if it is lost, the next one is as good.
func TestLostDisturbanceIsFollowedByTheNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		p := newDisturbancePair(t)
		p.settle()
		p.lose(true)
		server(p.here).RecordDisturbance(300, time.Now())
		time.Sleep(200 * time.Millisecond)
		g.Expect(factor(p.there)).To(gomega.BeNumerically("~", 1, 0.05))
		p.lose(false)
		server(p.here).RecordDisturbance(300, time.Now())
		time.Sleep(minSendInterval)
		g.Expect(factor(p.there)).To(gomega.BeNumerically(">", 2))
	})
}

// Guards against a datagram that comes twice, or late, and makes a disturbance that is over
// look new.
func TestDuplicatedAndLateDisturbances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		p := newDisturbancePair(t)
		p.settle()
		server(p.here).RecordDisturbance(300, time.Now())
		time.Sleep(2 * time.Second)
		g.Expect(p.datagrams()).To(gomega.HaveLen(1))
		p.receiver.dispatch("here", p.datagrams()[0], time.Now())
		g.Expect(factor(p.there)).To(gomega.BeNumerically("~", 1, 0.05), "twice")
		p.lose(true)
		server(p.here).RecordDisturbance(300, time.Now())
		time.Sleep(minSendInterval)
		p.lose(false)
		server(p.here).RecordDisturbance(directory.UsualDisturbance, time.Now())
		time.Sleep(minSendInterval)
		g.Expect(p.datagrams()).To(gomega.HaveLen(3))
		p.receiver.dispatch("here", p.datagrams()[1], time.Now())
		g.Expect(factor(p.there)).To(gomega.BeNumerically("~", 1, 0.05), "late")
	})
}

// Guards against a datagram that can't be read and has an effect.
func TestUnreadableDisturbances(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, raw := range [][]byte{nil, {1}, {1, 2, 3, 4, 5, 6, 7}, {1, 2, 3, 4, 0, 0, 0, 1}, {1, 2, 3, 4, 255, 255, 0, 1}} {
		_, ok := decodeDisturbances(raw)
		g.Expect(ok).To(gomega.BeFalse(), "%v", raw)
	}
	reports, ok := decodeDisturbances(encodeDisturbances([]directory.DisturbanceReport{{Server: 7, Figure: 54.6, Age: 1500 * time.Microsecond}, {Server: 8, Figure: 1e6, Age: time.Hour}}).raw)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(reports).To(gomega.Equal([]directory.DisturbanceReport{{Server: 7, Figure: 55, Age: time.Millisecond}, {Server: 8, Figure: directory.MaxDisturbance, Age: 65535 * time.Millisecond}}))
}

// A VM of an older release takes a report for unreadable and goes on.
func TestOlderReleaseIgnoresDisturbances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		p := newDisturbancePair(t)
		delete(p.receiver.handlers, kindDisturbances)
		loads := NewLoads(LoadsOptions{Directory: p.there, Socket: p.receiver})
		server(p.here).RecordDisturbance(300, time.Now())
		time.Sleep(minSendInterval)
		g.Expect(p.datagrams()).To(gomega.HaveLen(1))
		g.Expect(factor(p.there)).To(gomega.Equal(1.0))
		p.receiver.dispatch("here", append(encodeHeader(kindLoads, header{incarnation: p.receiver.incarnation + 1, seq: 9}), encodeLoads([]directory.Load{{Server: server(p.there).Hash(), Streams: 1}}, nil).raw...), time.Now())
		g.Expect(loads.senders).To(gomega.HaveKey("here"))
	})
}

// Guards against a list of senders that grows with each VM that ever was.
func TestSilentSendersOfDisturbancesAreForgotten(t *testing.T) {
	g := gomega.NewWithT(t)
	r := NewDisturbances(DisturbancesOptions{Socket: NewSocket("x", func() []string { return nil }, nil), Directory: newThreeServers()})
	now := time.Now()
	g.Expect(r.isNews("a", header{1, 1}, now)).To(gomega.BeTrue())
	g.Expect(r.isNews("b", header{1, 1}, now.Add(2*senderTTL))).To(gomega.BeTrue())
	g.Expect(r.senders).To(gomega.HaveLen(1))
}

// Operators see servers that are disturbed now and those that are for long, each at most once
// a minute.
func TestOperatorsSeeDisturbedServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		p := newDisturbancePair(t)
		p.settle()
		lines := func() (n int) {
			for _, entry := range p.log.Entries("") {
				if entry.ID == EventServerDisturbed.ID() {
					n++
				}
			}
			return n
		}
		report := func(figure float64, during time.Duration) {
			for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
				server(p.here).RecordDisturbance(figure, time.Now())
			}
		}
		report(250, 2*time.Second)
		report(100, time.Second)
		report(250, 2*time.Second)
		g.Expect(lines()).To(gomega.BeZero())
		time.Sleep(4 * time.Second)
		g.Expect(testutil.GatherAndCompare(p.metrics, strings.NewReader(`
# HELP pearyard_servers_disturbed Backend servers on whose machines work is expected to take half as long again as usual, or more.
# TYPE pearyard_servers_disturbed gauge
pearyard_servers_disturbed{service="s"} 0
`), "pearyard_servers_disturbed")).To(gomega.Succeed(), "the newest report is old")
		server(p.here).RecordDisturbance(250, time.Now())
		g.Expect(testutil.GatherAndCompare(p.metrics, strings.NewReader(`
# HELP pearyard_servers_disturbed Backend servers on whose machines work is expected to take half as long again as usual, or more.
# TYPE pearyard_servers_disturbed gauge
pearyard_servers_disturbed{service="s"} 1
`), "pearyard_servers_disturbed")).To(gomega.Succeed())
		report(400, 10*time.Second)
		g.Expect(lines()).To(gomega.Equal(1))
		report(4000, 50*time.Second)
		g.Expect(lines()).To(gomega.Equal(1), "within a minute")
	})
}

func FuzzDecodeDisturbances(f *testing.F) {
	f.Add(encodeDisturbances([]directory.DisturbanceReport{{Server: 3, Figure: 250, Age: time.Second}, {Server: 4, Figure: 55, Age: time.Hour}}).raw)
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, raw []byte) {
		reports, ok := decodeDisturbances(raw)
		if !ok {
			return
		}
		if encoded := encodeDisturbances(reports).raw; string(encoded) != string(raw) {
			t.Fatalf("%x became %x", raw, encoded)
		}
	})
}
