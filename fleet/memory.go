package fleet

import (
	"cmp"
	"context"
	"encoding/binary"
	"math"
	"slices"
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
// A change is reported by the servers that it concerns alone, and all servers each second. A
// report that is lost or late makes choices worse until then.
type Memory struct {
	opts MemoryOptions

	sent map[uint32]int // tokens last sent of each server; used by Run alone

	mu      sync.Mutex
	senders map[string]*loadSender // by sender
}

// NewMemory returns a Memory that communicates through opts.Socket.
func NewMemory(opts MemoryOptions) *Memory {
	m := &Memory{opts: opts, sent: map[uint32]int{}, senders: map[string]*loadSender{}}
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
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			m.expire(time.Now())
			if idle {
				continue
			}
			own := m.opts.Directory.OwnMemory()
			idle = len(own) == 0
			m.changes(own)
			m.send(memoryRanges(own), m.repetitionReceivers())
		case <-m.opts.Directory.MemoryChanged():
			idle = false
			m.send(memoryChanges(m.changes(m.opts.Directory.OwnMemory())), m.opts.CellPeers())
		}
		if err := retry.Wait(ctx, minSendInterval); err != nil {
			return err
		}
	}
}

func (m *Memory) send(reports []directory.MemoryReport, to []string) {
	for _, r := range reports {
		m.opts.Socket.SendTo(encodeMemory(r), to)
	}
}

func (m *Memory) repetitionReceivers() []string {
	if m.opts.Directory.SharesMemory() {
		return m.opts.Peers()
	}
	return m.opts.CellPeers()
}

// changes returns what differs from what was last sent, by ascending server and with 0 tokens
// for servers where no memory is used any more, and records it as sent.
func (m *Memory) changes(own []directory.MemoryUse) []directory.MemoryUse {
	var changed []directory.MemoryUse
	used := make(map[uint32]int, len(own))
	for _, use := range own {
		used[use.Server] = use.Tokens
		if m.sent[use.Server] != use.Tokens {
			changed = append(changed, use)
		}
	}
	for server := range m.sent {
		if _, still := used[server]; !still {
			changed = append(changed, directory.MemoryUse{Server: server})
		}
	}
	m.sent = used
	slices.SortFunc(changed, func(a, b directory.MemoryUse) int { return cmp.Compare(a.Server, b.Server) })
	return changed
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

// memoryRanges divides the use of memory, sorted by server, into reports of one datagram each.
// Their ranges cover all servers, so that what the receiver knows of others is removed.
func memoryRanges(uses []directory.MemoryUse) []directory.MemoryReport {
	var ranges []directory.MemoryReport
	first := uint32(0)
	for len(uses) > maxMemoryUses {
		last := uses[maxMemoryUses-1].Server
		ranges = append(ranges, directory.MemoryReport{First: first, Last: last, Uses: uses[:maxMemoryUses]})
		uses, first = uses[maxMemoryUses:], last+1
	}
	return append(ranges, directory.MemoryReport{First: first, Last: math.MaxUint32, Uses: uses})
}

// memoryChanges divides changes into reports of one datagram each.
func memoryChanges(changed []directory.MemoryUse) []directory.MemoryReport {
	var reports []directory.MemoryReport
	for part := range slices.Chunk(changed, maxMemoryUses) {
		reports = append(reports, directory.MemoryReport{First: 1, Last: 0, Uses: part})
	}
	return reports
}

// encodeMemory rounds tokens up, so that a receiver takes no server to have more room than
// it has.
func encodeMemory(r directory.MemoryReport) body {
	out := make([]byte, 0, memoryRangeBytes+len(r.Uses)*memoryUseBytes)
	out = binary.BigEndian.AppendUint32(out, r.First)
	out = binary.BigEndian.AppendUint32(out, r.Last)
	for _, use := range r.Uses {
		out = binary.BigEndian.AppendUint32(out, use.Server)
		out = binary.BigEndian.AppendUint16(out, uint16(min((use.Tokens+memoryUnit-1)/memoryUnit, math.MaxUint16)))
	}
	return body{kindMemory, out}
}

// decodeMemory returns false unless the servers are in ascending order, and in the range if
// there is one.
func decodeMemory(raw []byte) (directory.MemoryReport, bool) {
	if len(raw) < memoryRangeBytes || (len(raw)-memoryRangeBytes)%memoryUseBytes != 0 {
		return directory.MemoryReport{}, false
	}
	r := directory.MemoryReport{First: binary.BigEndian.Uint32(raw), Last: binary.BigEndian.Uint32(raw[serverHashBytes:])}
	raw = raw[memoryRangeBytes:]
	r.Uses = make([]directory.MemoryUse, len(raw)/memoryUseBytes)
	for i := range r.Uses {
		at := raw[i*memoryUseBytes:]
		server := binary.BigEndian.Uint32(at)
		outside := r.First <= r.Last && (server < r.First || server > r.Last)
		if outside || (i > 0 && server <= r.Uses[i-1].Server) {
			return directory.MemoryReport{}, false
		}
		r.Uses[i] = directory.MemoryUse{Server: server, Tokens: int(binary.BigEndian.Uint16(at[serverHashBytes:])) * memoryUnit}
	}
	return r, true
}
