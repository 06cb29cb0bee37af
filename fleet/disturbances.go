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

// Disturbances tells the other entry VMs what backend servers have reported of their
// machines in answers to this one, and receives their reports. Disturbances last some
// hundred milliseconds, and a single VM gets an answer of a server too rarely to know them.
//
// Each figure is sent once, and only if the others don't expect it. If it is lost, the
// server counts as usual there until the next one. A VM whose servers report no figures
// sends nothing.
type Disturbances struct {
	socket    *Socket
	cellPeers func() []string // addresses of the receivers
	directory *directory.Directory

	mu      sync.Mutex
	senders map[string]senderHeader // newest datagram of each sender
}

// senderHeader is the header of a datagram and the time of its receipt.
type senderHeader struct {
	header header
	at     time.Time
}

// NewDisturbances returns a Disturbances that communicates through a socket.
func NewDisturbances(socket *Socket, cellPeers func() []string, d *directory.Directory) *Disturbances {
	r := &Disturbances{socket: socket, cellPeers: cellPeers, directory: d, senders: map[string]senderHeader{}}
	socket.handle(kindDisturbances, r.receive)
	return r
}

// Run sends new reports until ctx ends.
func (r *Disturbances) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.directory.DisturbanceChanged():
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
		if reports, more = r.directory.TakeUnsentDisturbances(maxDisturbanceReports, time.Now()); len(reports) > 0 {
			r.socket.SendTo(encodeDisturbances(reports), r.cellPeers())
		}
	}
}

// receive handles the reports of another VM. A datagram that is duplicated or comes after a
// later one is dropped: the ages in it don't include the delay.
func (r *Disturbances) receive(from string, h header, raw []byte, now time.Time) bool {
	reports, ok := decodeDisturbances(raw)
	if !ok || !r.isNews(from, h, now) {
		return ok
	}
	for _, report := range reports {
		r.directory.RecordPeerDisturbance(report, now)
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
