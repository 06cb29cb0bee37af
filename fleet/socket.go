package fleet

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/event"
)

// Socket sends datagrams to the other entry VMs and dispatches those that it receives by
// their kind.
type Socket struct {
	address     string // ip:port
	peers       func() []string
	incarnation uint64     // of this process: its start in Unix nanoseconds
	sendMu      sync.Mutex // held while a datagram is sent: a receiver drops one that arrives after a later one
	seq         atomic.Uint32
	conn        atomic.Pointer[net.UDPConn]
	write       func(raw []byte, peer string) bool // writeUDP, or the simulated network of a test
	handlers    map[kind]handler
	recorder    *event.Recorder // may be nil
	contact     contact
	onRegained  func() // called when another VM is heard after a time out of touch; may be nil
	sent        prometheus.Counter
	received    prometheus.Counter
	unreadable  prometheus.Counter

	// Log state of unreadable datagrams; only Run's goroutine uses it.
	lastReported time.Time
	unreported   int
}

// handler handles the body of a datagram. It reports whether the body could be decoded.
type handler func(from string, h header, raw []byte, now time.Time) bool

// unreadableInterval is the shortest time between two log lines on unreadable datagrams.
// Any program may send to the port at any rate.
const unreadableInterval = time.Second

// maxClockError is more than clocks of two entry VMs may differ.
const maxClockError = 10 * 365 * 24 * time.Hour

// NewSocket returns a socket that listens at a UDP address (ip:port) and sends to peers.
func NewSocket(address string, peers func() []string, metrics prometheus.Registerer) *Socket {
	s := &Socket{
		address: address, peers: peers, incarnation: uint64(time.Now().UnixNano()),
		handlers:   map[kind]handler{},
		contact:    contact{heardAt: time.Now()},
		sent:       prometheus.NewCounter(prometheus.CounterOpts{Name: "pearyard_fleet_datagrams_sent_total", Help: "Datagrams sent to other entry VMs."}),
		received:   prometheus.NewCounter(prometheus.CounterOpts{Name: "pearyard_fleet_datagrams_received_total", Help: "Datagrams from other entry VMs."}),
		unreadable: prometheus.NewCounter(prometheus.CounterOpts{Name: "pearyard_fleet_datagrams_unreadable_total", Help: "Datagrams that can't be read or are of no known kind."}),
	}
	s.write = s.writeUDP
	if metrics != nil {
		metrics.MustRegister(s.sent, s.received, s.unreadable)
	}
	return s
}

// handle sets the handler for a kind of datagrams; it must be called before Run.
func (s *Socket) handle(k kind, f handler) { s.handlers[k] = f }

// SetRecorder sets the recorder for unreadable datagrams; it must be called before Run.
func (s *Socket) SetRecorder(r *event.Recorder) { s.recorder = r }

// Run receives datagrams until ctx ends.
func (s *Socket) Run(ctx context.Context) error {
	addr, err := net.ResolveUDPAddr("udp4", s.address)
	if err != nil {
		return errors.Wrap(err, "fleet: resolve address for datagrams")
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return errors.Wrap(err, "fleet: listen for datagrams")
	}
	s.conn.Store(conn)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	buf := make([]byte, 2*maxDatagram)
	for {
		n, from, err := conn.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return ctx.Err()
		}
		if err != nil {
			// For example an ICMP error: nothing listens on the port of a peer.
			continue
		}
		s.dispatch(from.String(), buf[:n], time.Now())
	}
}

// dispatch passes the body of a datagram to the handler of its kind and counts the datagram.
func (s *Socket) dispatch(from string, raw []byte, now time.Time) {
	k, h, rest, ok := decodeHeader(raw)
	// A later incarnation is a mistake, and the true ones of the sender would count as earlier.
	ok = ok && h.incarnation <= uint64(now.Add(maxClockError).UnixNano())
	if ok && s.contact.heard(now) && s.onRegained != nil {
		s.onRegained()
	}
	if handle := s.handlers[k]; ok && handle != nil && handle(from, h, rest, now) {
		s.received.Inc()
		return
	}
	s.unreadable.Inc()
	s.reportUnreadable(from, raw, now)
}

// reportUnreadable logs an unreadable datagram, with the number of those that were not
// logged since the last line.
func (s *Socket) reportUnreadable(from string, raw []byte, now time.Time) {
	if s.recorder == nil || now.Sub(s.lastReported) < unreadableInterval {
		s.unreported++
		return
	}
	s.recorder.Emit(EventDatagramUnreadable, "from", from, "bytes", len(raw), "begins", fmt.Sprintf("%x", raw[:min(len(raw), headerBytes)]), "others", s.unreported)
	s.lastReported, s.unreported = now, 0
}

// Send sends a datagram to all peers. Errors are ignored, as datagrams may be lost anyway:
// loads, budgets and the announcements of candidates are repeated every second. Restarts and
// prefill times are sent only once.
func (s *Socket) Send(b body) { s.SendTo(b, s.peers()) }

// SendTo sends a datagram to some peers; see Send.
func (s *Socket) SendTo(b body, peers []string) {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	raw := append(encodeHeader(b.kind, header{incarnation: s.incarnation, seq: s.seq.Add(1)}), b.raw...)
	for _, peer := range peers {
		if s.write(raw, peer) {
			s.sent.Inc()
		}
	}
}

// writeUDP reports whether a datagram was sent.
func (s *Socket) writeUDP(raw []byte, peer string) bool {
	conn := s.conn.Load()
	if conn == nil {
		return false
	}
	addr, err := net.ResolveUDPAddr("udp4", peer)
	if err != nil {
		return false
	}
	_, err = conn.WriteToUDP(raw, addr)
	return err == nil
}
