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

// MemoryOptions configures a Memory.
type MemoryOptions struct {
	Socket    *Socket
	CellPeers func() []string // addresses of the VMs of this cell
	Peers     func() []string // addresses of all VMs
	Directory *directory.Directory
}

// Memory reports how much memory of each backend server this entry VM uses to the other
// entry VMs, and receives their reports. It sends nothing while this VM uses none.
//
// A report replaces the previous one of the same sender. One that is lost, late or
// duplicated only makes choices worse for a moment.
type Memory struct {
	opts MemoryOptions

	mu      sync.Mutex
	senders map[string]*loadSender // by sender
}

// NewMemory returns a Memory that communicates through opts.Socket.
func NewMemory(opts MemoryOptions) *Memory {
	m := &Memory{opts: opts, senders: map[string]*loadSender{}}
	opts.Socket.handle(kindMemory, m.receive)
	return m
}

// Run sends reports until ctx ends.
//
// Changes go to the VMs of the cell. The repetition goes to all VMs if those of other cells
// use the same servers: with each change to all, the traffic would grow with the square of
// the number of VMs.
func (m *Memory) Run(ctx context.Context) error {
	ticker := time.NewTicker(resendInterval)
	defer ticker.Stop()
	idle := true
	for {
		receivers := m.opts.CellPeers
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			m.expire(time.Now())
			if idle {
				continue
			}
			if m.opts.Directory.SharesMemory() {
				receivers = m.opts.Peers
			}
		case <-m.opts.Directory.MemoryChanged():
		}
		own := m.opts.Directory.OwnMemory()
		idle = len(own) == 0
		to := receivers()
		for _, r := range memoryRanges(own) {
			m.opts.Socket.SendTo(encodeMemory(r), to)
		}
		if err := retry.Wait(ctx, minSendInterval); err != nil {
			return err
		}
	}
}

// receive handles a report. One that can't be decoded, or is older than what is known, is
// dropped.
func (m *Memory) receive(from string, h header, raw []byte, now time.Time) bool {
	r, ok := decodeMemory(raw)
	if !ok {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.senders[from]
	if s == nil {
		s = &loadSender{}
		m.senders[from] = s
	}
	if !h.newerThan(s.header) {
		return true
	}
	if h.incarnation != s.header.incarnation {
		m.opts.Directory.DropPeerMemory(from) // it has started again, and its streams have ended
	}
	m.opts.Directory.SetPeerMemory(from, r)
	*s = loadSender{header: h, at: now}
	return true
}

// expire drops the reports of entry VMs that have been silent for loadTTL.
func (m *Memory) expire(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for from, s := range m.senders {
		if now.Sub(s.at) < loadTTL {
			continue
		}
		m.opts.Directory.DropPeerMemory(from)
		if now.Sub(s.at) > senderTTL {
			delete(m.senders, from)
		}
	}
}

const (
	// memoryUnit is the granularity of the tokens in a report, which take two bytes.
	memoryUnit = 64
	// memoryRangeBytes is the length of the fields before the servers.
	memoryRangeBytes = 2 * serverHashBytes
	memoryUseBytes   = serverHashBytes + 2
	maxMemoryUses    = (maxDatagram - headerBytes - memoryRangeBytes) / memoryUseBytes // in a datagram
)

// memoryRanges divides a report, sorted by server, into ranges of one datagram each. They
// cover all servers, so that what the receiver knows of others is removed.
func memoryRanges(uses []directory.MemoryUse) []directory.MemoryRange {
	var ranges []directory.MemoryRange
	first := uint32(0)
	for len(uses) > maxMemoryUses {
		last := uses[maxMemoryUses-1].Server
		ranges = append(ranges, directory.MemoryRange{First: first, Last: last, Uses: uses[:maxMemoryUses]})
		uses, first = uses[maxMemoryUses:], last+1
	}
	return append(ranges, directory.MemoryRange{First: first, Last: math.MaxUint32, Uses: uses})
}

// encodeMemory rounds tokens up, so that a receiver takes no server to have more room than
// it has.
func encodeMemory(r directory.MemoryRange) body {
	out := make([]byte, 0, memoryRangeBytes+len(r.Uses)*memoryUseBytes)
	out = binary.BigEndian.AppendUint32(out, r.First)
	out = binary.BigEndian.AppendUint32(out, r.Last)
	for _, use := range r.Uses {
		out = binary.BigEndian.AppendUint32(out, use.Server)
		out = binary.BigEndian.AppendUint16(out, uint16(min((use.Tokens+memoryUnit-1)/memoryUnit, math.MaxUint16)))
	}
	return body{kindMemory, out}
}

// decodeMemory returns false unless the servers are in ascending order and in the range.
func decodeMemory(raw []byte) (directory.MemoryRange, bool) {
	if len(raw) < memoryRangeBytes || (len(raw)-memoryRangeBytes)%memoryUseBytes != 0 {
		return directory.MemoryRange{}, false
	}
	r := directory.MemoryRange{First: binary.BigEndian.Uint32(raw), Last: binary.BigEndian.Uint32(raw[serverHashBytes:])}
	raw = raw[memoryRangeBytes:]
	r.Uses = make([]directory.MemoryUse, len(raw)/memoryUseBytes)
	for i := range r.Uses {
		at := raw[i*memoryUseBytes:]
		server := binary.BigEndian.Uint32(at)
		if server < r.First || server > r.Last || (i > 0 && server <= r.Uses[i-1].Server) {
			return directory.MemoryRange{}, false
		}
		r.Uses[i] = directory.MemoryUse{Server: server, Tokens: int(binary.BigEndian.Uint16(at[serverHashBytes:])) * memoryUnit}
	}
	return r, r.First <= r.Last
}
