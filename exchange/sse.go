package exchange

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

const (
	// eventBufferSize is the initial size of the buffer for one event, in bytes.
	eventBufferSize = 1024
	// maxEvent bounds one event, in bytes. Events hold a few tokens; a server in trouble sends without
	// end on all its streams at once, and what is held for them must fit the process.
	maxEvent = 64 << 10
)

// streamEvent is one event of a stream, as received.
type streamEvent struct {
	raw []byte // including the empty line that ends it; valid until the next read
	id  uint64 // 0: none
}

// eventReader splits a stream into events, each with its bytes unchanged.
type eventReader struct {
	in  *bufio.Reader
	buf []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{in: bufio.NewReaderSize(r, eventBufferSize), buf: make([]byte, 0, eventBufferSize)}
}

// next returns the next complete event. io.EOF means that the stream ended between two
// events; an end within one is io.ErrUnexpectedEOF.
func (r *eventReader) next() (streamEvent, error) {
	r.buf = r.buf[:0]
	var ev streamEvent
	for {
		line, err := r.in.ReadSlice('\n')
		r.buf = append(r.buf, line...)
		if err == bufio.ErrBufferFull && len(r.buf) < maxEvent {
			continue
		}
		if err != nil {
			return ev, r.endError(err)
		}
		if len(r.buf) > maxEvent {
			return ev, errors.New("exchange: an event is too long")
		}
		complete := r.buf[lineStart(r.buf):]
		if len(bytes.TrimRight(complete, "\r\n")) == 0 {
			ev.raw = r.buf
			return ev, nil
		}
		if id, ok := eventID(complete); ok {
			ev.id = id
		}
	}
}

// endError returns the error for a stream that ended with err.
func (r *eventReader) endError(err error) error {
	if err == io.EOF && len(r.buf) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// lineStart returns where the last line of buf begins; buf ends with a newline.
func lineStart(buf []byte) int {
	return bytes.LastIndexByte(buf[:len(buf)-1], '\n') + 1
}

// eventID returns the id in a line of an event; false: the line holds none.
func eventID(line []byte) (uint64, bool) {
	value, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return 0, false
	}
	id, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
	return id, err == nil
}
