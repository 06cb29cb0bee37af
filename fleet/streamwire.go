package fleet

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/pearyard/pearyard/streamversion"
)

const (
	streamRecordBytes = 10 // id and time to live
	// maxRecordsInGroup is the largest number of records that follow one version.
	maxRecordsInGroup = math.MaxUint8
	// Bits of the flags of an answer.
	streamKnown    = 1
	streamInferred = 2
)

// sendRecords sends records to the VMs that to returns for each, in as few datagrams as
// possible.
func (v *StreamVersions) sendRecords(records []streamversion.Record, to func(streamversion.Record) []string) {
	type group struct {
		peer    string
		service uint32
		version string
	}
	now := time.Now()
	groups := map[group][]streamversion.Record{}
	for _, r := range records {
		for _, peer := range to(r) {
			g := group{peer, r.Service, r.Version}
			groups[g] = append(groups[g], r)
		}
	}
	for g, list := range groups {
		for _, raw := range encodeStreamRecords(g.service, g.version, list, now) {
			v.opts.Socket.SendTo(body{kindStreamRecords, raw}, []string{g.peer})
		}
	}
}

// encodeStreamRecords encodes records of one service and version: service (4), length of the
// version (1) and the version, number of records (1), for each its id (8) and the seconds
// until it expires (2).
func encodeStreamRecords(service uint32, version string, list []streamversion.Record, now time.Time) [][]byte {
	var datagrams [][]byte
	for len(list) > 0 {
		out := appendText(binary.BigEndian.AppendUint32(nil, service), version)
		n := min(len(list), maxRecordsInGroup, (maxDatagram-headerBytes-len(out)-1)/streamRecordBytes)
		out = append(out, byte(n))
		for _, r := range list[:n] {
			out = binary.BigEndian.AppendUint64(out, r.Stream)
			ttl := r.Until.Sub(now).Seconds()
			out = binary.BigEndian.AppendUint16(out, uint16(min(max(0, math.Ceil(ttl)), math.MaxUint16)))
		}
		datagrams, list = append(datagrams, out), list[n:]
	}
	return datagrams
}

// encodeServedVersions encodes the versions that have served: whether all are known (1), then
// for each the service (4), the length of the version (1) and the version, and the
// milliseconds since it was listed (4).
func encodeServedVersions(complete bool, served []streamversion.Listed, now time.Time) [][]byte {
	start := []byte{0}
	if complete {
		start[0] = 1
	}
	var datagrams [][]byte
	out := start
	for _, l := range served {
		entry := appendText(binary.BigEndian.AppendUint32(nil, l.Service), l.Version)
		entry = binary.BigEndian.AppendUint32(entry, uint32(min(max(0, now.Sub(l.At).Milliseconds()), math.MaxUint32)))
		if len(out)+len(entry) > maxDatagram-headerBytes {
			// Only the last datagram says that nothing is missing.
			out[0] = 0
			datagrams, out = append(datagrams, out), []byte{start[0]}
		}
		out = append(out, entry...)
	}
	return append(datagrams, out)
}

// appendStreamKey appends the service (4) and the id (8) of a stream.
func appendStreamKey(out []byte, k streamversion.Key) []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint32(out, k.Service), k.Stream)
}

// appendStreamQuery appends a query: the stream, and how old it may be in seconds (2).
func appendStreamQuery(out []byte, k streamversion.Key, maxAge time.Duration) []byte {
	return binary.BigEndian.AppendUint16(appendStreamKey(out, k), uint16(min(maxAge.Seconds(), math.MaxUint16)))
}

func (in *reader) streamKey() streamversion.Key {
	return streamversion.Key{Service: in.uint32(), Stream: in.uint64()}
}

// appendStreamAnswer appends an answer: the stream, flags (1), length of the version (1) and
// the version.
func appendStreamAnswer(out []byte, k streamversion.Key, a versionAnswer) []byte {
	var flags byte
	if a.known {
		flags |= streamKnown
	}
	if a.inferred {
		flags |= streamInferred
	}
	return appendText(append(appendStreamKey(out, k), flags), a.version)
}

func (in *reader) streamAnswer() versionAnswer {
	flags := in.byte()
	return versionAnswer{known: flags&streamKnown != 0, inferred: flags&streamInferred != 0, version: in.text()}
}
