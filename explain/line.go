// Package explain tells from log lines alone what became of one request and
// why. Engineers on call have nothing else: they can log in nowhere.
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
	At      time.Time
	Process string
	Event   string // number, such as PY2720
	Name    string
	Fields  map[string]string
	order   int
}

// maxLine bounds one log line; a list of a few hundred servers fits.
const maxLine = 1 << 20

// Read reads log lines; what is none is passed over. Text before the first
// field, such as a collector's own time and host, is dropped.
func Read(r io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	var lines []Line
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.Index(text, "level=")
		if start < 0 {
			continue
		}
		if line, ok := parse(text[start:]); ok {
			line.order = len(lines)
			lines = append(lines, line)
		}
	}
	return lines, errors.Wrap(scanner.Err(), "explain: read")
}

func parse(text string) (Line, bool) {
	line := Line{Fields: map[string]string{}}
	decoder := logfmt.NewDecoder(strings.NewReader(text))
	if !decoder.ScanRecord() {
		return line, false
	}
	for decoder.ScanKeyval() {
		// The line's own fields come first; one of the same name after them is
		// another matter's.
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

// sorted returns lines by time; those of one process keep their order, whose
// clock may have been set back between them.
func sorted(lines []Line) []Line {
	out := append([]Line(nil), lines...)
	sort.SliceStable(out, func(i, j int) bool {
		if out[i].Process == out[j].Process {
			return out[i].order < out[j].order
		}
		return out[i].At.Before(out[j].At)
	})
	return out
}

// names tells whether the line is about a request, alone or among others.
func (l *Line) names(request string) bool {
	if l.Fields[event.FieldRequest] == request {
		return true
	}
	_, found := l.among(request)
	return found
}

// serverOf returns the backend server of a request that is named among others.
func (l *Line) serverOf(request string) string {
	server, _ := l.among(request)
	return server
}

func (l *Line) among(request string) (server string, found bool) {
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
