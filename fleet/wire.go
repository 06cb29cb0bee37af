package fleet

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/types"
)

// Datagrams between entry VMs, all numbers big endian. JSON would be three times as long.
//
// Header: kind (1 byte), incarnation of the sender (8, grows with each start), sequence
// number (4).
//
// A server is given by the hash of its start (4).
//
// Loads: number of loads (2), number of lost servers (2), for each load its server (4),
// streams (1), copies of streams that run elsewhere (1), prompt tokens in units of
// prefillUnit (2), then each lost server (4).
//
// Announcement: flags (1), spans of configuration and list (first and last position, 8
// each), digest of the entry VMs (8), version of the configuration (8).
//
// Restart: server by its former start (4), birth time of its new start (8), ID of its new
// start.
//
// Budget: for each service the hash of its name (4), first tries and retries (2 each).
//
// Server counts: the same for each server that has a rate limit, by its start; all of its
// requests count as retries.
//
// Server limits: for each server its start (4), milliseconds since it last spoke of its limit
// (4), requests a second as a float, negative if it names no limit any more (8). With a float
// of four bytes a limit differed from itself by its rounding, and VMs told it to each other
// as a new one.
//
// Prefill times: for each server (4), nanoseconds per prompt token (4).
//
// Memory: first and last server of a range (4 each), for each server of the range where the
// sender uses memory its start (4) and tokens in units of memoryUnit (2). With the first after
// the last there is no range, and only the servers named have changed.
// Places: number of servers (2), number of services (2), for each server its start (4), plain
// calls in progress (2), calls without an answer for too long (1), good answers since it was
// found to hang (1), age of its newest answer in units of answerAgeUnit (2), then for each
// service the hash of its name (4), calls that wait (2).
//
// Reports and notices on roll-outs: see encodeReport and encodeNotices. Queries for cached
// prompts and their answers: see appendPromptQuery and appendPromptAnswer. Records of the
// versions that began streams: see streamwire.go. Servers that leave: see encodeLeaving.
// Requests that were refused: see encodeRefusals.
// Disturbances of servers: see encodeDisturbances. Baselines: see encodeBaselines.
const (
	kindLoads  kind = 1
	kindBudget kind = 4
	// kindRestart is not 3, the former kind that names the new start by its ID alone: an
	// entry VM of an older release would read the birth time as part of the ID.
	kindRestart       kind = 5
	kindPrefillTimes  kind = 7
	kindRolloutReport kind = 8
	kindRolloutNotice kind = 9
	kindPromptQuery   kind = 10
	kindPromptAnswer  kind = 11
	kindServerCounts  kind = 12
	kindServerLimits  kind = 13
	kindStreamRecords kind = 14
	kindStreamQuery   kind = 15
	kindStreamAnswer  kind = 16
	// kindStreamPull has no body.
	kindStreamPull     kind = 17
	kindServedVersions kind = 18
	kindLeaving        kind = 19
	// kindAnnouncement is neither 2, the former kind that has single positions in place of
	// spans, nor 6, whose positions lack the era and which has no version: VMs of an older
	// release would take these positions for ones far ahead.
	kindAnnouncement kind = 20
	kindMemory       kind = 21
	kindPlaces       kind = 22
	kindDisturbances kind = 23
	kindRefusals     kind = 24
	kindPressure     kind = 25
	kindBaselines    kind = 26

	headerBytes       = 13
	countBytes        = 4
	loadBytes         = 8
	serverHashBytes   = 4
	announcementBytes = 49
	prefillTimeBytes  = 8
	// restartBytes is the length of the fields before the ID.
	restartBytes = serverHashBytes + 8

	// maxDatagram is below the size at which a datagram is fragmented: with the IP and UDP
	// headers it fits into the usual MTU of 1,500 bytes.
	maxDatagram = 1400
	// prefillUnit is the granularity of prompt token counts, which take two bytes.
	prefillUnit = 64
)

type kind uint8

// header identifies a datagram and orders those of one sender.
type header struct {
	incarnation uint64
	seq         uint32
}

// newerThan reports whether a datagram is newer than another of the same sender. A
// duplicate or late one must not undo what a newer one said.
func (h header) newerThan(old header) bool {
	return h.incarnation > old.incarnation || (h.incarnation == old.incarnation && h.seq > old.seq)
}

func encodeHeader(k kind, h header) []byte {
	out := make([]byte, 0, maxDatagram)
	out = append(out, byte(k))
	out = binary.BigEndian.AppendUint64(out, h.incarnation)
	return binary.BigEndian.AppendUint32(out, h.seq)
}

func decodeHeader(raw []byte) (kind, header, []byte, bool) {
	if len(raw) < headerBytes {
		return 0, header{}, nil, false
	}
	h := header{incarnation: binary.BigEndian.Uint64(raw[1:]), seq: binary.BigEndian.Uint32(raw[9:])}
	return kind(raw[0]), h, raw[headerBytes:], true
}

// body is a datagram without its header.
type body struct {
	kind kind
	raw  []byte
}

func encodeLoads(loads []directory.Load, lost []uint32) body {
	const room = maxDatagram - headerBytes - countBytes
	loads = loads[:min(len(loads), room/loadBytes)]
	lost = lost[:min(len(lost), (room-len(loads)*loadBytes)/serverHashBytes)]
	out := make([]byte, 0, countBytes+len(loads)*loadBytes+len(lost)*serverHashBytes)
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
	if len(raw) != nLoads*loadBytes+nLost*serverHashBytes {
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
		lost[i] = binary.BigEndian.Uint32(raw[i*serverHashBytes:])
	}
	return loads, lost, true
}

// announcement is the state that a VM reports of itself and of the store.
type announcement struct {
	healthy        bool // the store answers the sender
	isWatcher      bool // the sender is one of the watchers
	configReadNow  bool // the store has just confirmed the sender's configuration
	listReadNow    bool // the store has just confirmed the sender's list
	membersReadNow bool // the sender has just read the registry of entry VMs
	stopping       bool // a planned stop has begun: the sender accepts little new work
	// Marks at which the sender's configuration and list are the newest; those of the
	// configuration have one version.
	config, list  span
	membersDigest uint64 // hash of the entry VMs that the sender knows; 0: not read yet
}

// Bits of the flags of an announcement.
const (
	flagHealthy = 1 << iota
	flagConfigRead
	flagListRead
	flagStopping
	flagMembersRead
	flagWatcher
)

func encodeAnnouncement(a announcement) body {
	var flags byte
	for _, f := range []struct {
		set  bool
		flag byte
	}{{a.healthy, flagHealthy}, {a.configReadNow, flagConfigRead}, {a.listReadNow, flagListRead}, {a.stopping, flagStopping}, {a.membersReadNow, flagMembersRead}, {a.isWatcher, flagWatcher}} {
		if f.set {
			flags |= f.flag
		}
	}
	out := make([]byte, 0, announcementBytes)
	out = append(out, flags)
	for _, number := range []uint64{uint64(a.config.from.Position), uint64(a.config.to.Position), uint64(a.list.from.Position), uint64(a.list.to.Position), a.membersDigest, a.config.from.Version} {
		out = binary.BigEndian.AppendUint64(out, number)
	}
	return body{kindAnnouncement, out}
}

func decodeAnnouncement(raw []byte) (announcement, bool) {
	if len(raw) != announcementBytes {
		return announcement{}, false
	}
	flags := raw[0]
	number := func(i int) uint64 { return binary.BigEndian.Uint64(raw[1+8*i:]) }
	a := announcement{
		healthy: flags&flagHealthy != 0, isWatcher: flags&flagWatcher != 0, configReadNow: flags&flagConfigRead != 0, listReadNow: flags&flagListRead != 0,
		membersReadNow: flags&flagMembersRead != 0, stopping: flags&flagStopping != 0,
		config:        span{Mark{number(5), types.Position(number(0))}, Mark{number(5), types.Position(number(1))}},
		list:          span{Mark{Position: types.Position(number(2))}, Mark{Position: types.Position(number(3))}},
		membersDigest: number(4),
	}
	return a, !a.config.to.Before(a.config.from) && !a.list.to.Before(a.list.from)
}

func encodePrefillTimes(times []directory.PrefillTime) body {
	times = times[:min(len(times), (maxDatagram-headerBytes)/prefillTimeBytes)]
	out := make([]byte, 0, len(times)*prefillTimeBytes)
	for _, t := range times {
		out = binary.BigEndian.AppendUint32(out, t.Server)
		out = binary.BigEndian.AppendUint32(out, uint32(min(t.PerToken.Nanoseconds(), math.MaxUint32)))
	}
	return body{kindPrefillTimes, out}
}

func decodePrefillTimes(raw []byte) ([]directory.PrefillTime, bool) {
	if len(raw)%prefillTimeBytes != 0 {
		return nil, false
	}
	times := make([]directory.PrefillTime, len(raw)/prefillTimeBytes)
	for i := range times {
		at := raw[i*prefillTimeBytes:]
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
	start = directory.Start{ID: string(raw[restartBytes:]), Born: int64(binary.BigEndian.Uint64(raw[serverHashBytes:]))}
	return binary.BigEndian.Uint32(raw), start, true
}

// tryCounts is what one process has counted of the tries of a service or a server.
type tryCounts struct {
	key                 uint32 // hash of its name
	firstTries, retries uint16
}

const (
	tryCountsBytes = 8
	maxTryCounts   = (maxDatagram - headerBytes) / tryCountsBytes // in a datagram
)

func encodeTryCounts(list []tryCounts) []byte {
	list = list[:min(len(list), maxTryCounts)]
	out := make([]byte, 0, len(list)*tryCountsBytes)
	for _, s := range list {
		out = binary.BigEndian.AppendUint32(out, s.key)
		out = binary.BigEndian.AppendUint16(out, s.firstTries)
		out = binary.BigEndian.AppendUint16(out, s.retries)
	}
	return out
}

func decodeTryCounts(raw []byte) ([]tryCounts, bool) {
	if len(raw)%tryCountsBytes != 0 {
		return nil, false
	}
	list := make([]tryCounts, len(raw)/tryCountsBytes)
	for i := range list {
		at := raw[i*tryCountsBytes:]
		list[i] = tryCounts{binary.BigEndian.Uint32(at), binary.BigEndian.Uint16(at[4:]), binary.BigEndian.Uint16(at[6:])}
	}
	return list, true
}

// reportedLimit is what a server has said of its rate limit to the sender.
type reportedLimit struct {
	server    uint32 // hash of its start
	limited   bool
	perSecond float64
	age       time.Duration // since it said so
}

const (
	reportedLimitBytes = 16
	maxReportedLimits  = (maxDatagram - headerBytes) / reportedLimitBytes // in a datagram
)

func encodeServerLimits(list []reportedLimit) body {
	list = list[:min(len(list), maxReportedLimits)]
	out := make([]byte, 0, len(list)*reportedLimitBytes)
	for _, r := range list {
		perSecond := r.perSecond
		if !r.limited {
			perSecond = -1
		}
		out = binary.BigEndian.AppendUint32(out, r.server)
		out = binary.BigEndian.AppendUint32(out, uint32(min(max(0, r.age.Milliseconds()), math.MaxUint32)))
		out = binary.BigEndian.AppendUint64(out, math.Float64bits(perSecond))
	}
	return body{kindServerLimits, out}
}

// decodeServerLimits returns false if a limit is not a number.
func decodeServerLimits(raw []byte) ([]reportedLimit, bool) {
	if len(raw)%reportedLimitBytes != 0 {
		return nil, false
	}
	list := make([]reportedLimit, len(raw)/reportedLimitBytes)
	for i := range list {
		at := raw[i*reportedLimitBytes:]
		perSecond := math.Float64frombits(binary.BigEndian.Uint64(at[8:]))
		if math.IsNaN(perSecond) || math.IsInf(perSecond, 0) {
			return nil, false
		}
		list[i] = reportedLimit{
			server: binary.BigEndian.Uint32(at), limited: perSecond >= 0, perSecond: max(0, perSecond),
			age: time.Duration(binary.BigEndian.Uint32(at[4:])) * time.Millisecond,
		}
	}
	return list, true
}
