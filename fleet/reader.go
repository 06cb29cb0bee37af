package fleet

import "encoding/binary"

// reader reads the body of a datagram. ok becomes false if it is too short.
type reader struct {
	raw []byte
	ok  bool
}

func (in *reader) take(n int) []byte {
	if len(in.raw) < n {
		in.raw, in.ok = nil, false
		return make([]byte, n)
	}
	taken := in.raw[:n]
	in.raw = in.raw[n:]
	return taken
}

func (in *reader) byte() int { return int(in.take(1)[0]) }

func (in *reader) uint32() uint32 { return binary.BigEndian.Uint32(in.take(4)) }

func (in *reader) uint16() uint16 { return binary.BigEndian.Uint16(in.take(2)) }

func (in *reader) uint64() uint64 { return binary.BigEndian.Uint64(in.take(8)) }

// text reads a text that follows its length.
func (in *reader) text() string { return string(in.take(in.byte())) }
