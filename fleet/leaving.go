package fleet

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
)

// leavingRepeats is how many times it is told that a server leaves, a resendInterval apart: a
// datagram may be lost, and a VM that has just joined is known after registryPollInterval.
const leavingRepeats = 2 + int(registryPollInterval/resendInterval)

// LeavingOptions configures a Leaving.
type LeavingOptions struct {
	Socket    *Socket
	Directory *directory.Directory
	Recorder  *event.Recorder
}

// Leaving tells the other entry VMs which backend servers have said in an answer to this one
// that they leave, and receives their reports. While the store is unavailable its list does
// not say so.
type Leaving struct {
	opts    LeavingOptions
	pending map[directory.Start]*leavingReport // only Run's goroutine uses it
}

// leavingReport is a server that is still to be reported.
type leavingReport struct {
	server  uint32
	repeats int
}

// NewLeaving returns a Leaving that communicates through opts.Socket.
func NewLeaving(opts LeavingOptions) *Leaving {
	l := &Leaving{opts: opts, pending: map[directory.Start]*leavingReport{}}
	opts.Socket.handle(kindLeaving, l.receive)
	return l
}

// Run logs and reports servers that leave until ctx ends.
func (l *Leaving) Run(ctx context.Context) error {
	ticker := time.NewTicker(resendInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-l.opts.Directory.LeavingChanged():
			l.add(l.opts.Directory.TakeLeavingNews())
		}
		l.report()
	}
}

// add logs news, and has those reported that no other VM knew before.
func (l *Leaving) add(news []directory.LeavingNews) {
	for _, s := range news {
		l.opts.Recorder.Emit(EventServerLeaves, "server", s.Start, "service", s.Service, "zone", s.Zone, "by_peer", s.ByPeer)
		if !s.ByPeer {
			l.pending[s.Start] = &leavingReport{server: s.Hash(), repeats: leavingRepeats}
		}
	}
}

func (l *Leaving) report() {
	var servers []uint32
	for start, r := range l.pending {
		servers = append(servers, r.server)
		if r.repeats--; r.repeats == 0 {
			delete(l.pending, start)
		}
	}
	for len(servers) > 0 {
		n := min(len(servers), maxReportedLeaving)
		l.opts.Socket.Send(encodeLeaving(servers[:n]))
		servers = servers[n:]
	}
}

// receive handles the report of another VM.
func (l *Leaving) receive(_ string, _ header, raw []byte, now time.Time) bool {
	servers, ok := decodeLeaving(raw)
	for _, s := range servers {
		l.opts.Directory.RecordPeerLeaving(s, now)
	}
	return ok
}

// maxReportedLeaving is how many servers a datagram holds.
const maxReportedLeaving = (maxDatagram - headerBytes) / serverHashBytes

// encodeLeaving encodes servers, each as the hash of its start (4 bytes).
func encodeLeaving(servers []uint32) body {
	raw := make([]byte, 0, len(servers)*serverHashBytes)
	for _, s := range servers {
		raw = binary.BigEndian.AppendUint32(raw, s)
	}
	return body{kindLeaving, raw}
}

func decodeLeaving(raw []byte) ([]uint32, bool) {
	if len(raw) == 0 || len(raw)%serverHashBytes != 0 {
		return nil, false
	}
	servers := make([]uint32, 0, len(raw)/serverHashBytes)
	for ; len(raw) > 0; raw = raw[serverHashBytes:] {
		servers = append(servers, binary.BigEndian.Uint32(raw))
	}
	return servers, true
}
