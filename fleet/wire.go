package fleet

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/pearyard/pearyard/directory"
)

// Datagrams between entry VMs, all numbers big endian. The head: kind (1 byte),
// life of the sender (8, grows with each start), sequence number (4). Loads:
// number of loads (2), number of lost servers (2), for each load server (4),
// streams (1), copies (1), prompt tokens in units (2), for each lost server 4
// bytes. Announcements: flags (1), spans of configuration and list (first and
// last place, 8 each), digest of the entry VMs (8). Restarts: server (4),
// when its new start was born (8), the id of that. Budgets: for each service its name's hash (4), first tries and
// retries (2 each). Read times: for each server its hash (4), nanoseconds a prompt token (4).
// JSON would be three times as long.
const (
	kindLoads  kind = 1
	kindBudget kind = 4
	// kindRestart is not 3, which names the new start by its id alone: an entry
	// VM of an older release would take the time of birth for part of the id.
	kindRestart kind = 5
	// kindAnnouncement is not 2, which has single places in place of spans.
	kindAnnouncement kind = 6
	kindReadTimes    kind = 7

	headBytes         = 13
	countBytes        = 4
	loadBytes         = 8
	lostBytes         = 4
	announcementBytes = 41
	readTimeBytes     = 8
	// restartBytes is what stands before the id.
	restartBytes = lostBytes + 8

	// maxDatagram is under the size at which a datagram is split.
	maxDatagram = 1400
	// prefillUnit is the grain of prompt tokens.
	prefillUnit = 64
)

type kind uint8

// head orders the datagrams of one sender.
type head struct {
	life uint64
	seq  uint32
}

// after tells whether a datagram is newer than another of the same sender. One
// that is doubled or late must not undo what a newer one said.
func (h head) after(old head) bool {
	return h.life > old.life || (h.life == old.life && h.seq > old.seq)
}

func encodeHead(k kind, h head) []byte {
	out := make([]byte, 0, maxDatagram)
	out = append(out, byte(k))
	out = binary.BigEndian.AppendUint64(out, h.life)
	return binary.BigEndian.AppendUint32(out, h.seq)
}

func decodeHead(raw []byte) (kind, head, []byte, bool) {
	if len(raw) < headBytes {
		return 0, head{}, nil, false
	}
	h := head{life: binary.BigEndian.Uint64(raw[1:]), seq: binary.BigEndian.Uint32(raw[9:])}
	return kind(raw[0]), h, raw[headBytes:], true
}

// body is a datagram without its head.
type body struct {
	kind kind
	raw  []byte
}

func encodeLoads(loads []directory.Load, lost []uint32) body {
	const room = maxDatagram - headBytes - countBytes
	loads = loads[:min(len(loads), room/loadBytes)]
	lost = lost[:min(len(lost), (room-len(loads)*loadBytes)/lostBytes)]
	out := make([]byte, 0, countBytes+len(loads)*loadBytes+len(lost)*lostBytes)
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
	return body{kindLoads, out}
}

func decodeLoads(raw []byte) (loads []directory.Load, lost []uint32, ok bool) {
	if len(raw) < countBytes {
		return nil, nil, false
	}
	nLoads, nLost := int(binary.BigEndian.Uint16(raw)), int(binary.BigEndian.Uint16(raw[2:]))
	raw = raw[countBytes:]
	if len(raw) != nLoads*loadBytes+nLost*lostBytes {
		return nil, nil, false
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
	return loads, lost, true
}

// announcement is what a VM tells of itself and of the store.
type announcement struct {
	healthy        bool // the store answers it
	watches        bool // it is one of the watchers
	configReadNow  bool // the store has just confirmed the configuration
	listReadNow    bool // and the list
	membersReadNow bool // the store has just told who the entry VMs are
	stopping       bool // a planned stop has begun: it takes little that is new
	// Where in the store's history the sender's configuration and list are the newest.
	config, list span
	members      uint64 // digest of the entry VMs that the sender knows; 0: none read yet
}

const (
	flagHealthy = 1 << iota
	flagConfig
	flagList
	flagStopping
	flagMembers
	flagWatches
)

func encodeAnnouncement(w announcement) body {
	var flags byte
	for _, f := range []struct {
		set  bool
		flag byte
	}{{w.healthy, flagHealthy}, {w.configReadNow, flagConfig}, {w.listReadNow, flagList}, {w.stopping, flagStopping}, {w.membersReadNow, flagMembers}, {w.watches, flagWatches}} {
		if f.set {
			flags |= f.flag
		}
	}
	out := make([]byte, 0, announcementBytes)
	out = append(out, flags)
	for _, place := range []uint64{w.config.from, w.config.to, w.list.from, w.list.to, w.members} {
		out = binary.BigEndian.AppendUint64(out, place)
	}
	return body{kindAnnouncement, out}
}

func decodeAnnouncement(raw []byte) (announcement, bool) {
	if len(raw) != announcementBytes {
		return announcement{}, false
	}
	flags := raw[0]
	number := func(i int) uint64 { return binary.BigEndian.Uint64(raw[1+8*i:]) }
	w := announcement{
		healthy: flags&flagHealthy != 0, watches: flags&flagWatches != 0, configReadNow: flags&flagConfig != 0, listReadNow: flags&flagList != 0,
		membersReadNow: flags&flagMembers != 0, stopping: flags&flagStopping != 0,
		config: span{number(0), number(1)}, list: span{number(2), number(3)}, members: number(4),
	}
	return w, w.config.from <= w.config.to && w.list.from <= w.list.to
}

func encodeReadTimes(times []directory.PrefillTime) body {
	times = times[:min(len(times), (maxDatagram-headBytes)/readTimeBytes)]
	out := make([]byte, 0, len(times)*readTimeBytes)
	for _, t := range times {
		out = binary.BigEndian.AppendUint32(out, t.Server)
		out = binary.BigEndian.AppendUint32(out, uint32(min(t.PerToken.Nanoseconds(), math.MaxUint32)))
	}
	return body{kindReadTimes, out}
}

func decodeReadTimes(raw []byte) ([]directory.PrefillTime, bool) {
	if len(raw)%readTimeBytes != 0 {
		return nil, false
	}
	times := make([]directory.PrefillTime, len(raw)/readTimeBytes)
	for i := range times {
		at := raw[i*readTimeBytes:]
		times[i] = directory.PrefillTime{
			Server:   binary.BigEndian.Uint32(at),
			PerToken: time.Duration(binary.BigEndian.Uint32(at[4:])),
		}
	}
	return times, true
}

func encodeRestart(server uint32, start directory.Start) body {
	out := binary.BigEndian.AppendUint32(nil, server)
	out = binary.BigEndian.AppendUint64(out, uint64(start.Born))
	return body{kindRestart, append(out, start.ID...)}
}

func decodeRestart(raw []byte) (server uint32, start directory.Start, ok bool) {
	if len(raw) < restartBytes || !directory.ValidID(string(raw[restartBytes:])) {
		return 0, directory.Start{}, false
	}
	start = directory.Start{ID: string(raw[restartBytes:]), Born: int64(binary.BigEndian.Uint64(raw[lostBytes:]))}
	return binary.BigEndian.Uint32(raw), start, true
}

// spent is what one process has counted of a service's tries.
type spent struct {
	service      uint32
	first, again uint16
}

const spentBytes = 8

func encodeBudget(list []spent) body {
	list = list[:min(len(list), (maxDatagram-headBytes)/spentBytes)]
	out := make([]byte, 0, len(list)*spentBytes)
	for _, s := range list {
		out = binary.BigEndian.AppendUint32(out, s.service)
		out = binary.BigEndian.AppendUint16(out, s.first)
		out = binary.BigEndian.AppendUint16(out, s.again)
	}
	return body{kindBudget, out}
}

func decodeBudget(raw []byte) ([]spent, bool) {
	if len(raw)%spentBytes != 0 {
		return nil, false
	}
	list := make([]spent, len(raw)/spentBytes)
	for i := range list {
		at := raw[i*spentBytes:]
		list[i] = spent{binary.BigEndian.Uint32(at), binary.BigEndian.Uint16(at[4:]), binary.BigEndian.Uint16(at[6:])}
	}
	return list, true
}
