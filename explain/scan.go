package explain

import (
	"bytes"
	"time"

	"github.com/pkg/errors"
)

// Why a line could not be used.
var (
	errCut   = errors.New("cut: its last field has no end, or a field that it must have is missing")
	errMixed = errors.New("mixed: two lines stand in one")
	errTime  = errors.New("its time can't be read")
	errValue = errors.New("the value of a field can't be read")
	errLong  = errors.New("too long")
)

// record is a line whose fields point into the reader's buffer. A summary reads
// millions of lines: a map for each, as Line has it, takes ten times as long.
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

// lineStart is what each line of a process begins with; a collector's own words
// may stand before it.
var lineStart = []byte("level=")

// scan reads one line; it reports false for text that is no line of a process.
func (r *record) scan(text []byte) (bool, error) {
	start := bytes.Index(text, lineStart)
	if start < 0 {
		return false, nil
	}
	r.fields = [fieldCount][]byte{}
	rest := bytes.TrimRight(text[start+len(lineStart):], " \r\n")
	if bytes.Contains(rest, lineStart) {
		return true, errMixed
	}
	for len(rest) > 0 {
		name, value, after, err := nextField(rest)
		if err != nil {
			return true, err
		}
		rest = after
		// The line's own fields come first; one of the same name after them is
		// another matter's.
		if f, used := fieldOf(name); used && r.fields[f] == nil {
			r.fields[f] = value
		}
	}
	return true, r.check()
}

// nextField cuts a field off; a quoted value keeps its escapes, which stand in
// no value that is compared.
func nextField(text []byte) (name, value, rest []byte, err error) {
	text = bytes.TrimLeft(text, " ")
	end := bytes.IndexAny(text, "= ")
	if end < 0 || text[end] == ' ' {
		return nil, nil, text[max(0, end):], cutAtEnd(end)
	}
	name, text = text[:end], text[end+1:]
	if len(text) > 0 && text[0] == '"' {
		end := closingQuote(text)
		if end < 0 {
			return nil, nil, nil, errCut
		}
		return name, text[1:end], text[end+1:], nil
	}
	end = bytes.IndexByte(text, ' ')
	if end < 0 {
		end = len(text)
	}
	return name, text[:end:end], text[end:], nil
}

// cutAtEnd returns the error of a name without a value at the line's end; one in
// its middle, as the value of level leaves it, is passed over.
func cutAtEnd(end int) error {
	if end < 0 {
		return errCut
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

// check reads the time, without which a line is of no use.
func (r *record) check() error {
	if len(r.fields[fieldEvent]) == 0 || len(r.fields[fieldProcess]) == 0 || len(r.fields[fieldTime]) == 0 {
		return errCut
	}
	at, err := time.Parse(time.RFC3339Nano, string(r.fields[fieldTime]))
	if err != nil {
		return errTime
	}
	r.at = at
	return nil
}

func (r *record) text(f field) string { return string(r.fields[f]) }

// has tells whether a field's value holds some text.
func (r *record) has(f field, text string) bool {
	return bytes.Contains(r.fields[f], []byte(text))
}

// duration reads a field that a line of this kind must have.
func (r *record) duration(f field) (time.Duration, error) {
	if len(r.fields[f]) == 0 {
		return 0, errCut
	}
	d, err := time.ParseDuration(r.text(f))
	if err != nil {
		return 0, errValue
	}
	return d, nil
}
