package fleet

import (
	"context"
	"encoding/binary"
	"math"
	"sync"
	"time"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/retry"
)

const (
	// pressureTTL is how long a class counts as held back after its report. It covers one lost
	// datagram, and is so short that less urgent streams lose little after the last report.
	pressureTTL = 250 * time.Millisecond
	// pressureInterval is the shortest time between two reports.
	pressureInterval = 50 * time.Millisecond
	// pressureBytes is the length of the hash of a service's name (4) and of a rank (1).
	pressureBytes = 5
)

// Pressure reports to entry VMs which classes of streams are held back at others: they wait for a
// server, or were refused for lack of one. Each VM has few streams of its own, so that a less
// urgent one would otherwise start at one VM while a more urgent one is refused at another.
//
// A lost or false report only lets less urgent streams start too soon or too late for a moment.
type Pressure struct {
	socket  *Socket
	peers   func() []string
	changed chan struct{}

	mu       sync.Mutex
	own      map[uint32]heldClass // by hash of the service's name
	reported map[uint32]map[uint8]time.Time
}

// heldClass is the most urgent class that this VM holds back.
type heldClass struct {
	rank  uint8
	until time.Time
}

// NewPressure returns a Pressure that communicates with peers through a socket.
func NewPressure(socket *Socket, peers func() []string) *Pressure {
	p := &Pressure{socket: socket, peers: peers, changed: make(chan struct{}, 1), own: map[uint32]heldClass{}, reported: map[uint32]map[uint8]time.Time{}}
	socket.handle(kindPressure, p.receive)
	return p
}

// Run reports the classes that are held back until ctx ends.
func (p *Pressure) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.changed:
		}
		if held := p.takeOwn(time.Now()); len(held) > 0 {
			p.socket.SendTo(encodePressure(held), p.peers())
		}
		if err := retry.Wait(ctx, pressureInterval); err != nil {
			return err
		}
	}
}

// HoldBack records that this VM holds back a stream of a rank.
func (p *Pressure) HoldBack(service string, rank int) {
	now := time.Now()
	// It lasts until the next report, which may be due an interval after the last one.
	key, held := directory.Hash(service), heldClass{uint8(min(max(0, rank), math.MaxUint8)), now.Add(2 * pressureInterval)}
	p.mu.Lock()
	if known, ok := p.own[key]; ok && known.rank < held.rank && now.Before(known.until) {
		held = known
	}
	p.own[key] = held
	p.mu.Unlock()
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// MostUrgent returns the most urgent rank that other VMs hold back; false: they hold back none.
func (p *Pressure) MostUrgent(service string) (rank int, ok bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for held, until := range p.reported[directory.Hash(service)] {
		if now.Before(until) && (!ok || int(held) < rank) {
			rank, ok = int(held), true
		}
	}
	return rank, ok
}

// takeOwn returns what is to be reported and forgets it.
func (p *Pressure) takeOwn(now time.Time) map[uint32]uint8 {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := map[uint32]uint8{}
	for key, class := range p.own {
		if now.Before(class.until) {
			held[key] = class.rank
		}
	}
	clear(p.own)
	return held
}

// receive handles the report of another VM. Reports need no order: each counts from its receipt.
func (p *Pressure) receive(_ string, _ header, raw []byte, now time.Time) bool {
	held, ok := decodePressure(raw)
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, rank := range held {
		if p.reported[key] == nil {
			p.reported[key] = map[uint8]time.Time{}
		}
		p.reported[key][rank] = now.Add(pressureTTL)
	}
	p.forget(now)
	return ok
}

// forget drops the services of which nothing is held back any more. It requires mu.
func (p *Pressure) forget(now time.Time) {
	for key, ranks := range p.reported {
		for rank, until := range ranks {
			if !now.Before(until) {
				delete(ranks, rank)
			}
		}
		if len(ranks) == 0 {
			delete(p.reported, key)
		}
	}
}

func encodePressure(held map[uint32]uint8) body {
	const most = (maxDatagram - headerBytes) / pressureBytes
	raw := make([]byte, 0, min(len(held), most)*pressureBytes)
	for key, rank := range held {
		if len(raw) == most*pressureBytes {
			break
		}
		raw = append(binary.BigEndian.AppendUint32(raw, key), rank)
	}
	return body{kindPressure, raw}
}

func decodePressure(raw []byte) (map[uint32]uint8, bool) {
	if len(raw) == 0 || len(raw)%pressureBytes != 0 {
		return nil, false
	}
	held := make(map[uint32]uint8, len(raw)/pressureBytes)
	for ; len(raw) > 0; raw = raw[pressureBytes:] {
		held[binary.BigEndian.Uint32(raw)] = raw[4]
	}
	return held, true
}
