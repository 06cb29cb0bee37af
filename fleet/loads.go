package fleet

import (
	"context"
	"encoding/binary"
	"math"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
)

const (
	// tellEvery is the shortest time between two tellings: a burst of streams
	// goes into one.
	tellEvery = 20 * time.Millisecond
	// tellAgain is how often an unchanged load is told; a telling may be lost.
	tellAgain = time.Second
	// loadLife is how long a telling counts. It covers two that were lost; an
	// entry VM that is gone leaves no load for longer.
	loadLife = 2500 * time.Millisecond
	// lossLife is how long a server found lost is told of.
	lossLife = time.Second
	// maxTelling is under the size at which a datagram is split.
	maxTelling = 1400
	// prefillUnit is the grain of prompt tokens in a telling.
	prefillUnit = 64
)

// Layout of a telling: life of the sender (8 bytes, grows with each start),
// sequence number (4), number of loads (2), number of lost servers (2), then
// for each load: server (4), streams (1), copies (1), prompt tokens in units
// (2); for each lost server: 4 bytes. All big endian. JSON would be three times as long, and
// bytes between zones are priced.
const (
	tellingHead = 16
	loadBytes   = 8
	lostBytes   = 4
)

// LoadsOptions of a Loads.
type LoadsOptions struct {
	Address   string // UDP, ip:port
	Peers     func() []string
	Directory *directory.Directory
	Recorder  *event.Recorder
	Metrics   prometheus.Registerer
}

// Loads tells the other entry VMs what this one has put on which backend
// server, and takes in what they tell. Without it each sees only its own
// streams, and after a loss they all choose the same idle servers: a prompt
// that takes a second to be read then takes four.
//
// A telling replaces the sender's former one. One that is lost, late or
// doubled makes a choice worse for a moment and nothing else.
type Loads struct {
	opts LoadsOptions
	life uint64
	sent prometheus.Counter
	got  prometheus.Counter

	mu   sync.Mutex
	from map[string]*told // by sender
}

type told struct {
	life uint64
	seq  uint32
	at   time.Time
}

// NewLoads returns a Loads.
func NewLoads(opts LoadsOptions) *Loads {
	l := &Loads{opts: opts, life: uint64(time.Now().UnixNano()), from: map[string]*told{}}
	l.sent = prometheus.NewCounter(prometheus.CounterOpts{Name: "pearyard_fleet_loads_sent_total", Help: "Datagrams sent to other entry VMs."})
	l.got = prometheus.NewCounter(prometheus.CounterOpts{Name: "pearyard_fleet_loads_received_total", Help: "Datagrams taken in from other entry VMs."})
	if opts.Metrics != nil {
		opts.Metrics.MustRegister(l.sent, l.got)
	}
	return l
}

// Run tells and listens until ctx ends.
func (l *Loads) Run(ctx context.Context) error {
	addr, err := net.ResolveUDPAddr("udp4", l.opts.Address)
	if err != nil {
		return errors.Wrap(err, "fleet: address for loads")
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return errors.Wrap(err, "fleet: listen for loads")
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	go l.listen(conn)
	l.tell(ctx, conn)
	return ctx.Err()
}

func (l *Loads) tell(ctx context.Context, conn *net.UDPConn) {
	again := time.NewTicker(tellAgain)
	defer again.Stop()
	var seq uint32
	idle := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-again.C:
			l.expire(time.Now())
			if idle {
				continue
			}
		case <-l.opts.Directory.LoadChanged():
		}
		seq++
		own := l.opts.Directory.Own()
		idle = len(own) == 0
		l.send(conn, encode(l.life, seq, own, l.opts.Directory.LostHere(time.Now(), lossLife)))
		if !sleep(ctx, tellEvery) {
			return
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// send tells all peers. A peer that can't be told chooses with less knowledge;
// the next telling follows within a second.
func (l *Loads) send(conn *net.UDPConn, telling []byte) {
	for _, peer := range l.opts.Peers() {
		addr, err := net.ResolveUDPAddr("udp4", peer)
		if err != nil {
			continue
		}
		if _, err := conn.WriteToUDP(telling, addr); err == nil {
			l.sent.Inc()
		}
	}
}

func (l *Loads) listen(conn *net.UDPConn) {
	buf := make([]byte, 2*maxTelling)
	for {
		n, from, err := conn.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		l.take(from.String(), buf[:n], time.Now())
	}
}

// take takes in one telling; what can't be read or is older than what is known
// is dropped.
func (l *Loads) take(from string, raw []byte, now time.Time) {
	life, seq, loads, lost, ok := decode(raw)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.from[from]
	if t == nil {
		t = &told{}
		l.from[from] = t
	}
	if life < t.life || (life == t.life && seq <= t.seq) {
		return
	}
	l.got.Inc()
	l.opts.Directory.Others(from, loads)
	*t = told{life: life, seq: seq, at: now}
	for _, server := range lost {
		l.opts.Directory.LostElsewhere(server, now)
	}
}

// expire drops the load of entry VMs that have fallen silent.
func (l *Loads) expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for from, t := range l.from {
		if now.Sub(t.at) < loadLife {
			continue
		}
		l.opts.Directory.Others(from, nil)
		if now.Sub(t.at) > forgetSender {
			delete(l.from, from)
		}
	}
}

// forgetSender is when a silent sender's numbers are forgotten.
const forgetSender = time.Minute

func encode(life uint64, seq uint32, loads []directory.Load, lost []uint32) []byte {
	loads = loads[:min(len(loads), (maxTelling-tellingHead)/loadBytes)]
	lost = lost[:min(len(lost), (maxTelling-tellingHead-len(loads)*loadBytes)/lostBytes)]
	out := make([]byte, 0, tellingHead+len(loads)*loadBytes+len(lost)*lostBytes)
	out = binary.BigEndian.AppendUint64(out, life)
	out = binary.BigEndian.AppendUint32(out, seq)
	out = binary.BigEndian.AppendUint16(out, uint16(len(loads)))
	out = binary.BigEndian.AppendUint16(out, uint16(len(lost)))
	for _, load := range loads {
		out = binary.BigEndian.AppendUint32(out, load.Server)
		out = append(out, uint8(min(load.Streams, math.MaxUint8)), uint8(min(load.Copies, math.MaxUint8)))
		out = binary.BigEndian.AppendUint16(out, uint16(min(load.Prefill/prefillUnit, math.MaxUint16)))
	}
	for _, server := range lost {
		out = binary.BigEndian.AppendUint32(out, server)
	}
	return out
}

func decode(raw []byte) (life uint64, seq uint32, loads []directory.Load, lost []uint32, ok bool) {
	if len(raw) < tellingHead {
		return 0, 0, nil, nil, false
	}
	life, seq = binary.BigEndian.Uint64(raw), binary.BigEndian.Uint32(raw[8:])
	nLoads, nLost := int(binary.BigEndian.Uint16(raw[12:])), int(binary.BigEndian.Uint16(raw[14:]))
	raw = raw[tellingHead:]
	if len(raw) != nLoads*loadBytes+nLost*lostBytes {
		return 0, 0, nil, nil, false
	}
	loads = make([]directory.Load, nLoads)
	for i := range loads {
		at := raw[i*loadBytes:]
		loads[i] = directory.Load{
			Server:  binary.BigEndian.Uint32(at),
			Streams: int(at[4]),
			Copies:  int(at[5]),
			Prefill: int(binary.BigEndian.Uint16(at[6:])) * prefillUnit,
		}
	}
	raw = raw[nLoads*loadBytes:]
	lost = make([]uint32, nLost)
	for i := range lost {
		lost[i] = binary.BigEndian.Uint32(raw[i*lostBytes:])
	}
	return life, seq, loads, lost, true
}
