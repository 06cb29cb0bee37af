package fleet

import (
	"context"
	"encoding/binary"
	"math"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/retry"
)

// longDisturbanceInterval is the shortest time between two log lines on a server that has
// been disturbed for long.
const longDisturbanceInterval = time.Minute

// DisturbancesOptions configures a Disturbances.
type DisturbancesOptions struct {
	Socket    *Socket
	CellPeers func() []string // addresses of the receivers
	Directory *directory.Directory
	Recorder  *event.Recorder
	Metrics   prometheus.Registerer // may be nil
}

// Disturbances reports to the other entry VMs what backend servers have reported of their
// machines in answers to this one, and receives their reports. Disturbances last some
// hundred milliseconds, and a single VM gets an answer of a server too rarely to know them.
//
// Each figure is sent once, and only if the others don't expect it. If it is lost, the
// server counts as usual there until the next one. A VM whose servers report no figures
// sends nothing.
type Disturbances struct {
	opts           DisturbancesOptions
	sent, received prometheus.Counter
	logged         map[directory.Start]time.Time // servers with a line in the log; only Run's goroutine uses it

	mu      sync.Mutex
	senders map[string]senderHeader // newest datagram of each sender
}

// senderHeader is the header of a datagram and the time of its receipt.
type senderHeader struct {
	header header
	at     time.Time
}

// NewDisturbances returns a Disturbances that communicates through opts.Socket.
func NewDisturbances(opts DisturbancesOptions) *Disturbances {
	r := &Disturbances{
		opts: opts, logged: map[directory.Start]time.Time{}, senders: map[string]senderHeader{},
		sent:     prometheus.NewCounter(prometheus.CounterOpts{Name: "pearyard_fleet_disturbances_sent_total", Help: "Reports of backend servers on their machines that this process told other entry VMs."}),
		received: prometheus.NewCounter(prometheus.CounterOpts{Name: "pearyard_fleet_disturbances_received_total", Help: "Reports of backend servers on their machines that other entry VMs told this process."}),
	}
	opts.Socket.handle(kindDisturbances, r.receive)
	if opts.Metrics != nil {
		opts.Metrics.MustRegister(r.sent, r.received, disturbanceCollector{opts.Directory})
	}
	return r
}

// Run sends new reports and logs servers that are disturbed for long until ctx ends.
func (r *Disturbances) Run(ctx context.Context) error {
	ticker := time.NewTicker(resendInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			r.logLong(time.Now())
			continue
		case <-r.opts.Directory.DisturbanceChanged():
		}
		r.send()
		if err := retry.Wait(ctx, minSendInterval); err != nil {
			return err
		}
	}
}

func (r *Disturbances) send() {
	for more := true; more; {
		var reports []directory.DisturbanceReport
		if reports, more = r.opts.Directory.TakeUnsentDisturbances(maxDisturbanceReports, time.Now()); len(reports) > 0 {
			r.opts.Socket.SendTo(encodeDisturbances(reports), r.opts.CellPeers())
			r.sent.Add(float64(len(reports)))
		}
	}
}

// logLong logs servers that have been disturbed for long, each once in
// longDisturbanceInterval.
func (r *Disturbances) logLong(now time.Time) {
	for start, at := range r.logged {
		if now.Sub(at) >= longDisturbanceInterval {
			delete(r.logged, start)
		}
	}
	for _, s := range r.opts.Directory.LongDisturbances(now) {
		if _, known := r.logged[s.Start]; known {
			continue
		}
		r.logged[s.Start] = now
		r.opts.Recorder.Emit(EventServerDisturbed, "server", s.Start, "service", s.Service, "zone", s.Zone, "figure", s.Figure, "usual", math.Round(s.Usual), "for", s.For)
	}
}

// receive handles the reports of another VM. A datagram that is duplicated or comes after a
// later one is dropped: the ages in it don't include the delay.
func (r *Disturbances) receive(from string, h header, raw []byte, now time.Time) bool {
	reports, ok := decodeDisturbances(raw)
	if !ok || !r.isNews(from, h, now) {
		return ok
	}
	r.received.Add(float64(len(reports)))
	for _, report := range reports {
		r.opts.Directory.RecordPeerDisturbance(report, now)
	}
	return true
}

// isNews reports whether a datagram is later than all that came of its sender, and records
// that it came. Senders that have been silent for senderTTL are forgotten.
func (r *Disturbances) isNews(from string, h header, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.senders[from]
	if ok && !h.newerThan(known.header) {
		return false
	}
	if !ok {
		for other, s := range r.senders {
			if now.Sub(s.at) > senderTTL {
				delete(r.senders, other)
			}
		}
	}
	r.senders[from] = senderHeader{h, now}
	return true
}

const (
	disturbanceBytes = 8
	// maxDisturbanceReports is how many reports a datagram holds.
	maxDisturbanceReports = (maxDatagram - headerBytes) / disturbanceBytes
)

// encodeDisturbances encodes reports: for each the server (4), its figure (2) and the age in
// milliseconds (2).
func encodeDisturbances(reports []directory.DisturbanceReport) body {
	out := make([]byte, 0, len(reports)*disturbanceBytes)
	for _, r := range reports {
		out = binary.BigEndian.AppendUint32(out, r.Server)
		out = binary.BigEndian.AppendUint16(out, uint16(min(max(1, math.Round(r.Figure)), directory.MaxDisturbance)))
		out = binary.BigEndian.AppendUint16(out, uint16(min(max(0, r.Age.Milliseconds()), math.MaxUint16)))
	}
	return body{kindDisturbances, out}
}

// decodeDisturbances returns false if a figure is out of range.
func decodeDisturbances(raw []byte) ([]directory.DisturbanceReport, bool) {
	if len(raw) == 0 || len(raw)%disturbanceBytes != 0 {
		return nil, false
	}
	reports := make([]directory.DisturbanceReport, 0, len(raw)/disturbanceBytes)
	for ; len(raw) > 0; raw = raw[disturbanceBytes:] {
		r := directory.DisturbanceReport{
			Server: binary.BigEndian.Uint32(raw),
			Figure: float64(binary.BigEndian.Uint16(raw[4:])),
			Age:    time.Duration(binary.BigEndian.Uint16(raw[6:])) * time.Millisecond,
		}
		if r.Figure < 1 || r.Figure > directory.MaxDisturbance {
			return nil, false
		}
		reports = append(reports, r)
	}
	return reports, true
}

// disturbanceCollector exports what the servers of each service have reported.
type disturbanceCollector struct{ directory *directory.Directory }

var (
	disturbedServers = prometheus.NewDesc("pearyard_servers_disturbed",
		"Backend servers on whose machines work is expected to take half as long again as usual, or more.", []string{"service"}, nil)
	disturbanceDecay = prometheus.NewDesc("pearyard_server_disturbance_decay_seconds",
		"Time after which a backend server's report on its machine has lost most of its meaning.", []string{"service"}, nil)
)

// Describe implements prometheus.Collector.
func (disturbanceCollector) Describe(descs chan<- *prometheus.Desc) {
	descs <- disturbedServers
	descs <- disturbanceDecay
}

// Collect implements prometheus.Collector.
func (c disturbanceCollector) Collect(metrics chan<- prometheus.Metric) {
	for _, s := range c.directory.Disturbances(time.Now()) {
		metrics <- prometheus.MustNewConstMetric(disturbedServers, prometheus.GaugeValue, float64(s.Disturbed), s.Service)
		metrics <- prometheus.MustNewConstMetric(disturbanceDecay, prometheus.GaugeValue, s.Decay.Seconds(), s.Service)
	}
}
