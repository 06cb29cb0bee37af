package explain

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/entry"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/exchange"
	"github.com/pearyard/pearyard/site"
)

// Objective is the latency within which an answer is in time.
type Objective struct {
	Answer time.Duration `json:"answer"` // until the answer, for a stream until its first event; 0: none
	Gap    time.Duration `json:"gap"`    // longest pause between events; 0: none
}

// Period aggregates the log lines of all processes over a period. Read reads each
// file, the lines of a process in their order; Summary then returns the result.
//
// It keeps counts by second, route and cause, and single requests only while they
// are running and an event other than their end has been read. Ten million lines
// thus need only the memory of a few hundred thousand counts.
type Period struct {
	givenObjectives  map[string]Objective // by kind, set by the operator
	loggedObjectives map[string]Objective // by kind, read from the lines; the largest of several values
	names            stringTable          // of processes and routes
	kinds            map[int32]string     // of requests, by route
	seconds          map[bucket]*tally
	causes           map[causeBucket]*causeTally
	open             map[string]*openRequest         // by request
	losses           map[string][]loss               // by zone
	lossSeconds      map[string][]int64              // by server: seconds
	serverZones      map[string]string               // of servers that were lost, by server
	pauses           map[pauseBucket]map[string]bool // servers of the streams that paused; at most stallServers each
	processes        map[int32]*processState
	Lines            int
	Dropped          int                       // lines that processes report as dropped
	unusable         map[string]*UnusableLines // by reason
}

// loss is a process's report that a server was lost.
type loss struct {
	second int64
	server string
}

// processState is whether a process has lost the store, or the list of servers that it
// reads there, according to its events.
type processState struct{ storeLost, listLost bool }

func (s *processState) storeUnavailable() bool { return s.storeLost || s.listLost }

// UnusableLines counts the lines that could not be used for one reason.
type UnusableLines struct {
	Reason string `json:"reason"`
	Count  int    `json:"count"`
	First  string `json:"first"` // file and line of the first
}

// NewPeriod returns an empty period. The given objectives, by kind, override those
// read from the lines.
func NewPeriod(given map[string]Objective) *Period {
	return &Period{
		givenObjectives: given, loggedObjectives: map[string]Objective{}, names: stringTable{numbers: map[string]int32{}},
		kinds: map[int32]string{}, seconds: map[bucket]*tally{}, causes: map[causeBucket]*causeTally{},
		open: map[string]*openRequest{}, losses: map[string][]loss{}, lossSeconds: map[string][]int64{}, serverZones: map[string]string{},
		pauses: map[pauseBucket]map[string]bool{}, processes: map[int32]*processState{}, unusable: map[string]*UnusableLines{},
	}
}

// stringTable assigns numbers to strings that repeat.
type stringTable struct {
	numbers map[string]int32
	texts   []string
}

func (t *stringTable) indexOf(text []byte) int32 {
	if number, ok := t.numbers[string(text)]; ok {
		return number
	}
	number := int32(len(t.texts))
	t.texts = append(t.texts, string(text))
	t.numbers[t.texts[number]] = number
	return number
}

// readBuffer is larger than nearly all lines; longer lines are read in parts.
const readBuffer = 256 << 10

// Read reads the lines of a file. Unusable lines are counted by reason; the error
// returned is a read error.
func (p *Period) Read(r io.Reader, file string) error {
	reader := bufio.NewReaderSize(r, readBuffer)
	var rec record
	for number := 1; ; number++ {
		text, err := readLine(reader)
		if len(text) > 0 {
			p.addLine(&rec, text, file, number)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrapf(err, "explain: read %s", file)
		}
	}
}

// readLine returns a line, cut at maxLineBytes+1 bytes so that the caller can see that
// it is too long.
func readLine(reader *bufio.Reader) ([]byte, error) {
	text, err := reader.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return text, err
	}
	long := bytes.Clone(text)
	for errors.Is(err, bufio.ErrBufferFull) {
		text, err = reader.ReadSlice('\n')
		long = append(long, text[:min(len(text), maxLineBytes+1-len(long))]...)
	}
	return long, err
}

func (p *Period) addLine(rec *record, text []byte, file string, number int) {
	if len(text) > maxLineBytes {
		p.countUnusable(errTooLong, file, number)
		return
	}
	line, err := rec.scan(text)
	if !line {
		return
	}
	if err == nil {
		p.Lines++
		err = p.addEvent(rec)
	}
	if err != nil {
		p.countUnusable(err, file, number)
	}
}

func (p *Period) countUnusable(err error, file string, number int) {
	reason := err.Error()
	lines := p.unusable[reason]
	if lines == nil {
		lines = &UnusableLines{Reason: reason, First: fmt.Sprintf("%s:%d", file, number)}
		p.unusable[reason] = lines
	}
	lines.Count++
}

// IDs of the events that a summary uses.
var (
	idServed, idRefused, idFailed     = exchange.EventServed.ID(), exchange.EventRefused.ID(), exchange.EventFailed.ID()
	idCallerLeft, idCallerLost, idCut = exchange.EventCallerLeft.ID(), exchange.EventCallerLost.ID(), exchange.EventCut.ID()
	idQuarantined                     = exchange.EventQuarantined.ID()
	idAgain, idResumed                = exchange.EventAgain.ID(), exchange.EventResumed.ID()
	idCopied, idRunning               = exchange.EventCopied.ID(), exchange.EventRunning.ID()
	idServerLost                      = exchange.EventServerLost.ID()
	idTurnedAway, idNoConfig          = entry.EventTurnedAway.ID(), entry.EventNoConfig.ID()
	idStopRefused, idRouteRefused     = entry.EventStopRefused.ID(), entry.EventRouteRefused.ID()
	idStarted                         = entry.EventStarted.ID()
	idApplied                         = site.EventApplied.ID()
	idStoreLost, idStoreRegained      = site.EventStoreLost.ID(), site.EventStoreRegained.ID()
	idListLost, idListRegained        = directory.EventListLost.ID(), directory.EventListRegained.ID()
)

func (p *Period) addEvent(rec *record) error {
	process := p.names.indexOf(rec.fields[fieldProcess])
	p.countDropped(rec)
	switch string(rec.fields[fieldEvent]) {
	case idServed, idRefused, idFailed, idCallerLeft, idCallerLost, idCut:
		return p.recordEnd(rec)
	case idQuarantined, idStopRefused, idRouteRefused, idNoConfig, idTurnedAway:
		return p.recordRejection(rec, process)
	case idAgain, idResumed, idCopied:
		return p.recordAttemptEvent(rec, process)
	case idRunning:
		p.recordRunning(rec, process)
	case idServerLost:
		p.recordServerLoss(rec)
	case idApplied:
		return p.recordObjectives(rec)
	case idStarted:
		p.recordStart(rec, process)
	case idStoreLost:
		p.state(process).storeLost = true
	case idStoreRegained:
		p.state(process).storeLost = false
	case idListLost:
		p.state(process).listLost = true
	case idListRegained:
		p.state(process).listLost = false
	}
	return nil
}

func (p *Period) state(process int32) *processState {
	s := p.processes[process]
	if s == nil {
		s = &processState{}
		p.processes[process] = s
	}
	return s
}

func (p *Period) countDropped(rec *record) {
	for _, f := range []field{fieldDroppedInfo, fieldDroppedWarn, fieldDroppedError} {
		if len(rec.fields[f]) > 0 {
			n, err := strconv.Atoi(rec.text(f))
			if err != nil {
				continue // an unreadable count doesn't make the line unusable
			}
			p.Dropped += n
		}
	}
}

// recordObjectives records the objectives of a configuration that was applied.
func (p *Period) recordObjectives(rec *record) error {
	if len(rec.fields[fieldObjectives]) == 0 {
		return nil // written by a version that did not log objectives
	}
	for _, word := range strings.Split(rec.text(fieldObjectives), site.ObjectiveSeparator) {
		kind, o, err := ParseObjective(word)
		if err != nil {
			return errBadValue
		}
		old := p.loggedObjectives[kind]
		p.loggedObjectives[kind] = Objective{Answer: max(old.Answer, o.Answer), Gap: max(old.Gap, o.Gap)}
	}
	return nil
}

// ParseObjective reads KIND:ANSWER or KIND:ANSWER/GAP, such as stream:4.5s/700ms.
func ParseObjective(word string) (kind string, o Objective, err error) {
	kind, times, found := strings.Cut(word, ":")
	if !found {
		return "", o, errors.Errorf("%q is not KIND:ANSWER or KIND:ANSWER/GAP", word)
	}
	answer, gap, hasGap := strings.Cut(times, "/")
	if o.Answer, err = time.ParseDuration(answer); err != nil {
		return "", o, errors.Wrapf(err, "%q", word)
	}
	if hasGap {
		if o.Gap, err = time.ParseDuration(gap); err != nil {
			return "", o, errors.Wrapf(err, "%q", word)
		}
	}
	return kind, o, nil
}

func (p *Period) objective(kind string) Objective {
	if o, ok := p.givenObjectives[kind]; ok {
		return o
	}
	return p.loggedObjectives[kind]
}

func (p *Period) recordServerLoss(rec *record) {
	zone, server := rec.text(fieldZone), rec.text(fieldServer)
	second := rec.at.Unix()
	p.losses[zone] = append(p.losses[zone], loss{second, server})
	p.lossSeconds[server] = append(p.lossSeconds[server], second)
	p.serverZones[server] = zone
}

// recordStart ends the requests that were running in the previous incarnation of
// the process.
func (p *Period) recordStart(rec *record, process int32) {
	*p.state(process) = processState{}
	for id, open := range p.open {
		if open.process == process {
			p.recordLost(id, open)
		}
	}
}

// unknownRoute is the route of streams without an end: the line that lists running
// streams has no route.
const unknownRoute = "not_told"

// recordLost counts a request whose process ended before the request did. Requests
// that were not listed as running are left out: they may have ended, and the line
// was dropped.
func (p *Period) recordLost(id string, open *openRequest) {
	delete(p.open, id)
	if !open.running {
		return
	}
	route := p.names.indexOf([]byte(unknownRoute))
	p.kinds[route] = site.Stream.String()
	key := bucket{open.lastSecond, route}
	p.countOutcome(key, Failed)
	p.countCause(causeBucket{bucket: key, outcome: Failed, cause: CauseProcessLost}, Example{Request: id, Route: unknownRoute})
}

// recordRunning records the streams that a line lists as running. A process lists each
// stream once, when it has been running for a second.
func (p *Period) recordRunning(rec *record, process int32) {
	for _, item := range strings.Split(rec.text(fieldRequests), event.RequestSeparator) {
		id, _, _ := strings.Cut(item, event.ServerSeparator)
		open := p.openRequestOf(id, process)
		open.running, open.lastSecond = true, rec.at.Unix()
	}
}

func (p *Period) openRequestOf(id string, process int32) *openRequest {
	open := p.open[id]
	if open == nil {
		open = &openRequest{process: process}
		p.open[id] = open
	}
	return open
}
