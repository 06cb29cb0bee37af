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
	// placesResendInterval is how often an unchanged report is repeated. Until a call is
	// reported again it counts for no longer than a second at the peers.
	placesResendInterval = 250 * time.Millisecond

	// calmPlacesInterval is the shortest time between two reports while no server is full: they
	// then spread calls a little better and are not worth as much.
	calmPlacesInterval = 60 * time.Millisecond
	// placesSettleTime is how long after a change a report is sent: a place that a call has left
	// is often taken by the next one at once, and peers must not take it for free until then.
	placesSettleTime = 2 * time.Millisecond

	placeReportBytes  = 10
	placeWaitingBytes = 6
	// answerAgeUnit is the granularity of the age of a server's newest answer, which takes two
	// bytes.
	answerAgeUnit = 10 * time.Millisecond
)

// Places reports the plain calls that this entry VM has at servers with few places to the
// other entry VMs of its cell, and receives their reports. See docs/design/places.md.
type Places struct {
	socket    *Socket
	peers     func() []string
	directory *directory.Directory

	mu      sync.Mutex
	senders map[string]loadSender
}

// NewPlaces returns a Places that communicates through socket with peers.
func NewPlaces(socket *Socket, peers func() []string, d *directory.Directory) *Places {
	p := &Places{socket: socket, peers: peers, directory: d, senders: map[string]loadSender{}}
	socket.handle(kindPlaces, p.receive)
	return p
}

// Run sends reports until ctx ends: on a change, and for as long as there is something to
// report. When there no longer is, an empty report is sent once.
func (p *Places) Run(ctx context.Context) error {
	ticker := time.NewTicker(placesResendInterval)
	defer ticker.Stop()
	idle := true
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			p.forget(time.Now())
		case <-p.directory.PlacesChanged():
			if err := retry.Wait(ctx, placesSettleTime); err != nil {
				return err
			}
		}
		own := p.directory.OwnPlaces(time.Now())
		empty := len(own.Servers)+len(own.Waiting) == 0
		if empty && idle {
			continue
		}
		idle = empty
		p.socket.SendTo(encodePlaces(own), p.peers())
		interval := calmPlacesInterval
		if p.directory.PlacesTight(time.Now()) {
			interval = minSendInterval
		}
		if err := retry.Wait(ctx, interval-placesSettleTime); err != nil {
			return err
		}
	}
}

// receive handles a report. One that can't be decoded, or is older than what is known, is
// dropped.
func (p *Places) receive(from string, h header, raw []byte, now time.Time) bool {
	reports, ok := decodePlaces(raw)
	if !ok {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !h.newerThan(p.senders[from].header) {
		return true
	}
	p.senders[from] = loadSender{header: h, at: now}
	p.directory.SetPeerPlaces(from, reports, now)
	return true
}

// forget drops the state of senders that have been silent for senderTTL.
func (p *Places) forget(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for from, s := range p.senders {
		if now.Sub(s.at) > senderTTL {
			delete(p.senders, from)
		}
	}
}

func encodePlaces(r directory.PlaceReports) body {
	const room = maxDatagram - headerBytes - countBytes
	servers := r.Servers[:min(len(r.Servers), room/placeReportBytes)]
	services := min(len(r.Waiting), (room-len(servers)*placeReportBytes)/placeWaitingBytes)
	out := make([]byte, 0, countBytes+len(servers)*placeReportBytes+services*placeWaitingBytes)
	out = binary.BigEndian.AppendUint16(out, uint16(len(servers)))
	out = binary.BigEndian.AppendUint16(out, uint16(services))
	for _, s := range servers {
		out = binary.BigEndian.AppendUint32(out, s.Server)
		out = binary.BigEndian.AppendUint16(out, clamp[uint16](s.Calls, math.MaxUint16))
		out = append(out, clamp[uint8](s.Overdue, math.MaxUint8), clamp[uint8](s.Good, math.MaxUint8))
		out = binary.BigEndian.AppendUint16(out, clamp[uint16](int(s.SinceAnswer/answerAgeUnit), math.MaxUint16))
	}
	for service, n := range r.Waiting {
		if services == 0 {
			break
		}
		services--
		out = binary.BigEndian.AppendUint32(out, service)
		out = binary.BigEndian.AppendUint16(out, clamp[uint16](n, math.MaxUint16))
	}
	return body{kindPlaces, out}
}

func clamp[T uint8 | uint16](n, most int) T { return T(min(max(0, n), most)) }

func decodePlaces(raw []byte) (directory.PlaceReports, bool) {
	if len(raw) < countBytes {
		return directory.PlaceReports{}, false
	}
	servers, services := int(binary.BigEndian.Uint16(raw)), int(binary.BigEndian.Uint16(raw[2:]))
	raw = raw[countBytes:]
	if len(raw) != servers*placeReportBytes+services*placeWaitingBytes {
		return directory.PlaceReports{}, false
	}
	out := directory.PlaceReports{Servers: make([]directory.PlaceReport, servers), Waiting: make(map[uint32]int, services)}
	for i := range out.Servers {
		at := raw[i*placeReportBytes:]
		out.Servers[i] = directory.PlaceReport{
			Server: binary.BigEndian.Uint32(at), Calls: int(binary.BigEndian.Uint16(at[4:])), Overdue: int(at[6]), Good: int(at[7]),
			SinceAnswer: time.Duration(binary.BigEndian.Uint16(at[8:])) * answerAgeUnit,
		}
	}
	raw = raw[servers*placeReportBytes:]
	for i := range services {
		at := raw[i*placeWaitingBytes:]
		out.Waiting[binary.BigEndian.Uint32(at)] = int(binary.BigEndian.Uint16(at[4:]))
	}
	return out, true
}
