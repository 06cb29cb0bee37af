package explain

import (
	"bytes"
	"time"

	"github.com/pkg/errors"
)

// Reasons why a line could not be used.
var (
	errTruncated   = errors.New("cut: its last field has no end, or a field that it must have is missing")
	errInterleaved = errors.New("mixed: two lines stand in one")
	errBadTime     = errors.New("its time can't be read")
	errBadValue    = errors.New("the value of a field can't be read")
	errTooLong     = errors.New("too long")
)

// record is a line whose fields point into the reader's buffer. A summary reads
// millions of lines, and a map for each, as in Line, takes ten times as long.
type record struct {
	at     time.Time
	fields [fieldCount][]byte
}

// field is a field that a summary uses.
type field uint8

const (
	fieldTime field = iota
	fieldProcess
	fieldEvent
	fieldRequest
	fieldRequests
	fieldRoute
	fieldKind
	fieldService
	fieldZone
	fieldServer
	fieldAfter
	fieldTook
	fieldFirst
	fieldPause
	fieldStatus
	fieldEndedBy
	fieldHow
	fieldError
	fieldObjectives
	fieldDroppedInfo
	fieldDroppedWarn
	fieldDroppedError
	fieldCount
)

func fieldOf(name []byte) (field, bool) {
	switch string(name) {
	case "ts":
		return fieldTime, true
	case "process":
		return fieldProcess, true
	case "event":
		return fieldEvent, true
	case "request":
		return fieldRequest, true
	case "requests":
		return fieldRequests, true
	case "route":
		return fieldRoute, true
	case "kind":
		return fieldKind, true
	case "service":
		return fieldService, true
	case "zone":
		return fieldZone, true
	case "server":
		return fieldServer, true
	case "after":
		return fieldAfter, true
	case "took":
		return fieldTook, true
	case "first":
		return fieldFirst, true
	case "pause":
		return fieldPause, true
	case "status":
		return fieldStatus, true
	case "ended_by":
		return fieldEndedBy, true
	case "how":
		return fieldHow, true
	case "err":
		return fieldError, true
	case "objectives":
		return fieldObjectives, true
	case "dropped_info":
		return fieldDroppedInfo, true
	case "dropped_warn":
		return fieldDroppedWarn, true
	case "dropped_error":
		return fieldDroppedError, true
	default:
		return 0, false
	}
}

// linePrefix begins each line of a process; a log collector may put text before it.
var linePrefix = []byte("level=")

// scan reads one line. It returns false for text that is not a line of a process.
func (r *record) scan(text []byte) (bool, error) {
	start := bytes.Index(text, linePrefix)
	if start < 0 {
		return false, nil
	}
	r.fields = [fieldCount][]byte{}
	rest := bytes.TrimRight(text[start+len(linePrefix):], " \r\n")
	if bytes.Contains(rest, linePrefix) {
		return true, errInterleaved
	}
	for len(rest) > 0 {
		name, value, after, err := nextField(rest)
		if err != nil {
			return true, err
		}
		rest = after
		// The header fields come first; a later field of the same name belongs to
		// the event.
		if f, used := fieldOf(name); used && r.fields[f] == nil {
			r.fields[f] = value
		}
	}
	return true, r.parseHeader()
}

// nextField splits off the first field. Escapes in a quoted value are kept, since
// no value that is compared contains any.
func nextField(text []byte) (name, value, rest []byte, err error) {
	text = bytes.TrimLeft(text, " ")
	end := bytes.IndexAny(text, "= ")
	if end < 0 || text[end] == ' ' {
		return nil, nil, text[max(0, end):], missingValueError(end)
	}
	name, text = text[:end], text[end+1:]
	if len(text) > 0 && text[0] == '"' {
		end := closingQuote(text)
		if end < 0 {
			return nil, nil, nil, errTruncated
		}
		return name, text[1:end], text[end+1:], nil
	}
	end = bytes.IndexByte(text, ' ')
	if end < 0 {
		end = len(text)
	}
	return name, text[:end:end], text[end:], nil
}

// missingValueError returns an error for a name without a value at the end of the
// line. In the middle of the line it is skipped: since linePrefix was removed, the
// value of level looks like such a name.
func missingValueError(end int) error {
	if end < 0 {
		return errTruncated
	}
	return nil
}

func closingQuote(text []byte) int {
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return -1
}

// parseHeader checks the required fields and parses the time.
func (r *record) parseHeader() error {
	if len(r.fields[fieldEvent]) == 0 || len(r.fields[fieldProcess]) == 0 || len(r.fields[fieldTime]) == 0 {
		return errTruncated
	}
	at, err := time.Parse(time.RFC3339Nano, string(r.fields[fieldTime]))
	if err != nil {
		return errBadTime
	}
	r.at = at
	return nil
}

func (r *record) text(f field) string { return string(r.fields[f]) }

// contains reports whether a field's value contains the text.
func (r *record) contains(f field, text string) bool {
	return bytes.Contains(r.fields[f], []byte(text))
}

// duration parses a required field.
func (r *record) duration(f field) (time.Duration, error) {
	if len(r.fields[f]) == 0 {
		return 0, errTruncated
	}
	d, err := time.ParseDuration(r.text(f))
	if err != nil {
		return 0, errBadValue
	}
	return d, nil
}
