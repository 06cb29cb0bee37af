// Package explain determines from log lines alone how a request ended and why, and
// summarizes the requests of a period. On-call engineers have only the logs: they
// cannot log in to any machine.
package explain

import (
	"bufio"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/event"
)

// Line is one log line of a process.
type Line struct {
	At       time.Time
	Process  string
	Event    string // number, such as PY2720
	Name     string
	Fields   map[string]string
	position int // index among the lines that Read returned
}

// maxLineBytes is the maximum length of a log line; a list of a few hundred servers fits.
const maxLineBytes = 1 << 20

// Read reads log lines and skips other text. Text before the first field, such as
// a log collector's timestamp and host, is dropped.
func Read(r io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	var lines []Line
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.Index(text, "level=")
		if start < 0 {
			continue
		}
		if line, ok := parse(text[start:]); ok {
			line.position = len(lines)
			lines = append(lines, line)
		}
	}
	return lines, errors.Wrap(scanner.Err(), "explain: read log lines")
}

func parse(text string) (Line, bool) {
	line := Line{Fields: map[string]string{}}
	decoder := logfmt.NewDecoder(strings.NewReader(text))
	if !decoder.ScanRecord() {
		return line, false
	}
	for decoder.ScanKeyval() {
		// The header fields come first; a later field of the same name belongs to
		// the event.
		if _, twice := line.Fields[string(decoder.Key())]; !twice {
			line.Fields[string(decoder.Key())] = string(decoder.Value())
		}
	}
	if decoder.Err() != nil {
		return line, false
	}
	at, err := time.Parse(time.RFC3339Nano, line.Fields["ts"])
	if err != nil {
		return line, false
	}
	line.At, line.Process, line.Event, line.Name = at, line.Fields["process"], line.Fields["event"], line.Fields["name"]
	for _, known := range []string{"ts", "process", "event", "name", "level"} {
		delete(line.Fields, known)
	}
	return line, line.Event != ""
}

// sortLines returns the lines ordered by time. Lines of one process keep their
// order, because its clock may have been set back between them.
func sortLines(lines []Line) []Line {
	out := append([]Line(nil), lines...)
	sort.SliceStable(out, func(i, j int) bool {
		if out[i].Process == out[j].Process {
			return out[i].position < out[j].position
		}
		return out[i].At.Before(out[j].At)
	})
	return out
}

// mentions reports whether the line is about a request, alone or in a list.
func (l *Line) mentions(request string) bool {
	if l.Fields[event.FieldRequest] == request {
		return true
	}
	_, found := l.findInList(request)
	return found
}

// serverOf returns the backend server of a request in a list of requests.
func (l *Line) serverOf(request string) string {
	server, _ := l.findInList(request)
	return server
}

func (l *Line) findInList(request string) (server string, found bool) {
	list := l.Fields[event.FieldRequests]
	if list == "" {
		return "", false
	}
	for _, item := range strings.Split(list, event.RequestSeparator) {
		id, server, _ := strings.Cut(item, event.ServerSeparator)
		if id == request {
			return server, true
		}
	}
	return "", false
}
