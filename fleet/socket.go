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

// Socket sends datagrams to all other entry VMs and hands on what they send.
type Socket struct {
	address  string
	peers    func() []string
	life     uint64
	order    sync.Mutex // held while a datagram is sent: a receiver drops one that a later one overtook
	seq      atomic.Uint32
	conn     atomic.Pointer[net.UDPConn]
	write    func(raw []byte, peer string) bool // writeUDP, or a test's own network
	handlers map[kind]handler
	recorder *event.Recorder // may be nil
	sent     prometheus.Counter
	got      prometheus.Counter
	bad      prometheus.Counter

	// Of datagrams that can't be read; only Run's goroutine uses these.
	toldBad  time.Time
	untoldOf int
}

// handler takes a datagram without its head. It reports whether it could be read.
type handler func(from string, h head, raw []byte, now time.Time) bool

// badEvery is the shortest time between two lines on datagrams that can't be
// read: anything may send to the port, as fast as it likes.
const badEvery = time.Second

// NewSocket returns a socket for address (UDP, ip:port).
func NewSocket(address string, peers func() []string, metrics prometheus.Registerer) *Socket {
	s := &Socket{
		address: address, peers: peers, life: uint64(time.Now().UnixNano()),
		handlers: map[kind]handler{},
		sent:     prometheus.NewCounter(prometheus.CounterOpts{Name: "pearyard_fleet_datagrams_sent_total", Help: "Datagrams sent to other entry VMs."}),
		got:      prometheus.NewCounter(prometheus.CounterOpts{Name: "pearyard_fleet_datagrams_received_total", Help: "Datagrams from other entry VMs."}),
		bad:      prometheus.NewCounter(prometheus.CounterOpts{Name: "pearyard_fleet_datagrams_unreadable_total", Help: "Datagrams that can't be read or are of no known kind."}),
	}
	s.write = s.writeUDP
	if metrics != nil {
		metrics.MustRegister(s.sent, s.got, s.bad)
	}
	return s
}

// handle sets who takes datagrams of a kind; it is called before Run.
func (s *Socket) handle(k kind, f handler) { s.handlers[k] = f }

// Report has datagrams that can't be read told; it is called before Run.
func (s *Socket) Report(r *event.Recorder) { s.recorder = r }

// Run listens until ctx ends.
func (s *Socket) Run(ctx context.Context) error {
	addr, err := net.ResolveUDPAddr("udp4", s.address)
	if err != nil {
		return errors.Wrap(err, "fleet: address for datagrams")
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
			// A peer's port that nobody listens on is told as an error here.
			continue
		}
		s.take(from.String(), buf[:n], time.Now())
	}
}

func (s *Socket) take(from string, raw []byte, now time.Time) {
	k, h, rest, ok := decodeHead(raw)
	if handle := s.handlers[k]; ok && handle != nil && handle(from, h, rest, now) {
		s.got.Inc()
		return
	}
	s.bad.Inc()
	s.tellBad(from, raw, now)
}

// tellBad tells of a datagram that can't be read, and how many were not told of.
func (s *Socket) tellBad(from string, raw []byte, now time.Time) {
	if s.recorder == nil || now.Sub(s.toldBad) < badEvery {
		s.untoldOf++
		return
	}
	s.recorder.Emit(EventDatagramUnreadable, "from", from, "bytes", len(raw), "begins", fmt.Sprintf("%x", raw[:min(len(raw), headBytes)]), "others", s.untoldOf)
	s.toldBad, s.untoldOf = now, 0
}

// Send sends a datagram to all peers. One that can't be told knows less for a
// moment; the next datagram follows within a second.
func (s *Socket) Send(b body) { s.SendTo(b, s.peers()) }

// SendTo sends a datagram to some peers.
func (s *Socket) SendTo(b body, peers []string) {
	s.order.Lock()
	defer s.order.Unlock()
	raw := append(encodeHead(b.kind, head{life: s.life, seq: s.seq.Add(1)}), b.raw...)
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
