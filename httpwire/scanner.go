package httpwire

import (
	"bytes"
	"net/http"
	"strings"
)

// part is the part of a response that a Scanner expects next.
type part int

const (
	partStatusLine part = iota
	partField
	partBody // with a length
	partChunkLine
	partChunkData
	partChunkEnd
	partTrailer
	partRest // a body that ends with the connection
)

// maxLineBytes bounds a line. It is far above any line of a response; httpconn bounds heads by
// less.
const maxLineBytes = 1 << 20

// Scanner follows the responses on a connection. It keeps no more than the current line.
type Scanner struct {
	headOnly bool // the responses answer a HEAD request
	expects  part
	line     []byte // begun and not ended
	left     int64  // bytes of the body or the chunk
	head     head
	between  bool // the last final response has ended, and no other one has begun
}

// head is what the head of the current response says.
type head struct {
	statusLine
	length  int64
	fields  int // that give the length
	codings int // fields that name transfer codings
	chunked bool
}

// ExpectNoBodies tells whether the responses from now on answer HEAD requests.
func (s *Scanner) ExpectNoBodies(headOnly bool) { s.headOnly = headOnly }

// Between reports whether the last final response has ended and no other one has begun.
func (s *Scanner) Between() bool { return s.between && len(s.line) == 0 }

// Scan checks the next bytes from the server. It returns how many of them are right, which is all
// unless there is an error. After an error the connection can't be used.
func (s *Scanner) Scan(p []byte) (int, error) {
	for done := 0; done < len(p); {
		n, err := s.scan(p[done:])
		if err != nil {
			return done, err
		}
		done += n
	}
	return len(p), nil
}

// scan checks what of p belongs to one part of a response.
func (s *Scanner) scan(p []byte) (int, error) {
	switch s.expects {
	case partRest:
		return len(p), nil
	case partBody, partChunkData:
		return s.scanData(p), nil
	default:
		return s.scanLine(p)
	}
}

func (s *Scanner) scanData(p []byte) int {
	n := min(int64(len(p)), s.left)
	s.left -= n
	if s.left == 0 && s.expects == partChunkData {
		s.expects = partChunkEnd
	} else if s.left == 0 {
		s.endMessage()
	}
	return int(n)
}

// scanLine takes the rest of a line. Lines of fields may end with LF alone (RFC 9112, section 2.2),
// those of chunks end with CRLF. The end of a chunk's data is an empty line.
func (s *Scanner) scanLine(p []byte) (int, error) {
	end := bytes.IndexByte(p, '\n')
	if end < 0 {
		s.line = append(s.line, p...)
		if len(s.line) > maxLineBytes {
			return 0, syntaxError("length of a line", s.line)
		}
		return len(p), nil
	}
	line := append(s.line, p[:end]...)
	s.line = line[:0]
	line, ok := bytes.CutSuffix(line, []byte{'\r'})
	if !ok && (s.expects == partChunkLine || s.expects == partChunkEnd) {
		return 0, syntaxError("end of a line", line)
	}
	return end + 1, s.endLine(line)
}

func (s *Scanner) endLine(line []byte) error {
	switch s.expects {
	case partStatusLine:
		parsed, ok := parseStatusLine(line)
		if !ok {
			return syntaxError("status line", line)
		}
		s.head, s.expects, s.between = head{statusLine: parsed}, partField, false
		return nil
	case partField:
		if len(line) == 0 {
			return s.endHead()
		}
		return s.addField(line)
	case partChunkLine:
		size, ok := parseChunkLine(line)
		if !ok {
			return syntaxError("size of a chunk", line)
		}
		s.left, s.expects = size, partChunkData
		if size == 0 {
			s.expects = partTrailer
		}
		return nil
	case partChunkEnd:
		if len(line) > 0 {
			return syntaxError("end of a chunk", line)
		}
		s.expects = partChunkLine
		return nil
	default:
		return s.addTrailer(line)
	}
}

func (s *Scanner) addTrailer(line []byte) error {
	if len(line) == 0 {
		s.endMessage()
		return nil
	}
	if _, _, ok := parseField(line); !ok {
		return syntaxError("field of the trailer", line)
	}
	return nil
}

func (s *Scanner) addField(line []byte) error {
	name, value, ok := parseField(line)
	if !ok {
		return syntaxError("field", line)
	}
	switch strings.ToLower(string(name)) {
	case "content-length":
		s.head.fields++
		if s.head.length, ok = parseDigits(value); !ok || s.head.fields > 1 {
			return syntaxError("length of the body", line)
		}
	case "transfer-encoding":
		s.head.codings++
		// No request of ours allows another coding.
		s.head.chunked = strings.EqualFold(string(value), "chunked")
		if !s.head.chunked || s.head.codings > 1 {
			return syntaxError("transfer coding", line)
		}
	}
	return nil
}

// endHead begins the body, as RFC 9112, section 6.3 frames it. Where two readings of a head are
// possible it is refused.
func (s *Scanner) endHead() error {
	h := s.head
	switch {
	case h.chunked && (h.minor == 0 || h.fields > 0 || h.status < http.StatusOK || h.status == http.StatusNoContent):
		return syntaxError("use of a transfer coding", nil)
	case h.status == http.StatusSwitchingProtocols: // no request asks for another protocol
		return syntaxError("change of the protocol", nil)
	case h.status < http.StatusOK, h.status == http.StatusNoContent, h.status == http.StatusNotModified, s.headOnly:
		s.endMessage()
	case h.chunked:
		s.expects = partChunkLine
	case h.fields > 0 && h.length == 0:
		s.endMessage()
	case h.fields > 0:
		s.left, s.expects = h.length, partBody
	default:
		s.expects = partRest
	}
	return nil
}

func (s *Scanner) endMessage() {
	s.expects, s.between = partStatusLine, s.head.status >= http.StatusOK
}
