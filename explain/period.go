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

// Objective says when an answer is in time.
type Objective struct {
	Answer time.Duration `json:"answer"` // until the answer, of a stream until its first event; 0: none
	Gap    time.Duration `json:"gap"`    // longest pause between events; 0: none
}

// Period gathers what the lines of all processes tell of a time. Each file is
// read by Read, lines of a process in their order; Summary then tells.
//
// It keeps counts by second, route and cause, and single requests only while
// they are on their way and something has happened to them: ten million lines
// need the memory of a few hundred thousand counts.
type Period struct {
	given      map[string]Objective // by kind, by the operator
	objectives map[string]Objective // by kind, by the lines
	names      interned
	kinds      map[int32]string // of a route
	seconds    map[slot]*tally
	causes     map[causeSlot]*causeTally
	open       map[string]*trouble           // by request
	losses     map[string][]loss             // by zone
	lostAt     map[string][]int64            // by server: seconds
	zones      map[string]string             // of servers that were lost
	pauses     map[pauseSlot]map[string]bool // servers of streams that paused so
	processes  map[int32]*processState
	Lines      int
	Dropped    int // lines that processes dropped, by their own word
	bad        map[string]*Bad
}

// loss is a server that a process found lost.
type loss struct {
	second int64
	server string
}

// processState is what a process has told of the store.
type processState struct{ storeLost, listLost bool }

func (s *processState) storeAway() bool { return s.storeLost || s.listLost }

// Bad counts lines that could not be used for one reason.
type Bad struct {
	Reason string `json:"reason"`
	Count  int    `json:"count"`
	First  string `json:"first"` // file and line of the first
}

// NewPeriod returns an empty period; given holds objectives by kind that go
// before those of the lines.
func NewPeriod(given map[string]Objective) *Period {
	return &Period{
		given: given, objectives: map[string]Objective{}, names: interned{numbers: map[string]int32{}},
		kinds: map[int32]string{}, seconds: map[slot]*tally{}, causes: map[causeSlot]*causeTally{},
		open: map[string]*trouble{}, losses: map[string][]loss{}, lostAt: map[string][]int64{}, zones: map[string]string{},
		pauses: map[pauseSlot]map[string]bool{}, processes: map[int32]*processState{}, bad: map[string]*Bad{},
	}
}

// interned numbers texts that repeat.
type interned struct {
	numbers map[string]int32
	texts   []string
}

func (n *interned) number(text []byte) int32 {
	if number, ok := n.numbers[string(text)]; ok {
		return number
	}
	number := int32(len(n.texts))
	n.texts = append(n.texts, string(text))
	n.numbers[n.texts[number]] = number
	return number
}

// readBuffer is larger than nearly all lines; longer ones are put together.
const readBuffer = 256 << 10

// Read takes the lines of a file. Lines that can't be used are counted by their
// reason; an error is one of reading.
func (p *Period) Read(r io.Reader, file string) error {
	reader := bufio.NewReaderSize(r, readBuffer)
	var rec record
	for number := 1; ; number++ {
		text, err := readLine(reader)
		if len(text) > 0 {
			p.take(&rec, text, file, number)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrapf(err, "explain: read %s", file)
		}
	}
}

// readLine returns a line up to maxLine and a byte; the rest of a longer one is
// dropped.
func readLine(reader *bufio.Reader) ([]byte, error) {
	text, err := reader.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return text, err
	}
	long := bytes.Clone(text)
	for errors.Is(err, bufio.ErrBufferFull) {
		text, err = reader.ReadSlice('\n')
		long = append(long, text[:min(len(text), maxLine+1-len(long))]...)
	}
	return long, err
}

func (p *Period) take(rec *record, text []byte, file string, number int) {
	if len(text) > maxLine {
		p.note(errLong, file, number)
		return
	}
	line, err := rec.scan(text)
	if !line {
		return
	}
	if err == nil {
		p.Lines++
		err = p.apply(rec)
	}
	if err != nil {
		p.note(err, file, number)
	}
}

func (p *Period) note(err error, file string, number int) {
	reason := err.Error()
	b := p.bad[reason]
	if b == nil {
		b = &Bad{Reason: reason, First: fmt.Sprintf("%s:%d", file, number)}
		p.bad[reason] = b
	}
	b.Count++
}

// Numbers of the events that a summary uses.
var (
	idServed, idRefused, idFailed = exchange.EventServed.ID(), exchange.EventRefused.ID(), exchange.EventFailed.ID()
	idLeft, idLinkLost, idCut     = exchange.EventCallerLeft.ID(), exchange.EventCallerLost.ID(), exchange.EventCut.ID()
	idQuarantined                 = exchange.EventQuarantined.ID()
	idAgain, idResumed            = exchange.EventAgain.ID(), exchange.EventResumed.ID()
	idCopied, idRunning           = exchange.EventCopied.ID(), exchange.EventRunning.ID()
	idServerLost                  = exchange.EventServerLost.ID()
	idTurnedAway, idNotYet        = entry.EventTurnedAway.ID(), entry.EventNoConfig.ID()
	idStopping, idRouteRefused    = entry.EventStopRefused.ID(), entry.EventRouteRefused.ID()
	idStarted                     = entry.EventStarted.ID()
	idApplied                     = site.EventApplied.ID()
	idStoreLost, idStoreBack      = site.EventStoreLost.ID(), site.EventStoreRegained.ID()
	idListLost, idListBack        = directory.EventListLost.ID(), directory.EventListRegained.ID()
)

func (p *Period) apply(rec *record) error {
	process := p.names.number(rec.fields[fieldProcess])
	p.countDropped(rec)
	switch string(rec.fields[fieldEvent]) {
	case idServed, idRefused, idFailed, idLeft, idLinkLost, idCut:
		return p.ended(rec)
	case idQuarantined, idStopping, idRouteRefused, idNotYet, idTurnedAway:
		return p.turnedBack(rec, process)
	case idAgain, idResumed, idCopied:
		return p.troubled(rec, process)
	case idRunning:
		p.onTheirWay(rec, process)
	case idServerLost:
		p.serverLost(rec)
	case idApplied:
		return p.applied(rec)
	case idStarted:
		p.started(rec, process)
	case idStoreLost:
		p.state(process).storeLost = true
	case idStoreBack:
		p.state(process).storeLost = false
	case idListLost:
		p.state(process).listLost = true
	case idListBack:
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
				continue // the line's own word is the only use of this field
			}
			p.Dropped += n
		}
	}
}

// applied learns the objectives that a configuration sets.
func (p *Period) applied(rec *record) error {
	if len(rec.fields[fieldObjectives]) == 0 {
		return nil // of a version that didn't tell them
	}
	for _, word := range strings.Split(rec.text(fieldObjectives), site.ObjectiveSeparator) {
		kind, o, err := ParseObjective(word)
		if err != nil {
			return errValue
		}
		old := p.objectives[kind]
		p.objectives[kind] = Objective{Answer: max(old.Answer, o.Answer), Gap: max(old.Gap, o.Gap)}
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
	if o, ok := p.given[kind]; ok {
		return o
	}
	return p.objectives[kind]
}

func (p *Period) serverLost(rec *record) {
	zone, server := rec.text(fieldZone), rec.text(fieldServer)
	second := rec.at.Unix()
	p.losses[zone] = append(p.losses[zone], loss{second, server})
	p.lostAt[server] = append(p.lostAt[server], second)
	p.zones[server] = zone
}

// started ends what was on its way in the process's run before.
func (p *Period) started(rec *record, process int32) {
	*p.state(process) = processState{}
	for id, t := range p.open {
		if t.process == process {
			p.gone(id, t)
		}
	}
}

// routeNotTold stands for the routes of streams that have no end: the line that
// names them while they run has none.
const routeNotTold = "not_told"

// gone notes a request whose process ended without a word of it. One that no
// line has named as running may have ended before lines that were dropped.
func (p *Period) gone(id string, t *trouble) {
	delete(p.open, id)
	if !t.running {
		return
	}
	route := p.names.number([]byte(routeNotTold))
	p.kinds[route] = site.Stream.String()
	key := slot{t.at, route}
	p.count(key, Failed)
	p.caused(causeSlot{slot: key, outcome: Failed, cause: CauseProcessGone}, Example{Request: id, Route: routeNotTold})
}

// onTheirWay notes streams by the line that names each once.
func (p *Period) onTheirWay(rec *record, process int32) {
	for _, item := range strings.Split(rec.text(fieldRequests), event.RequestSeparator) {
		id, _, _ := strings.Cut(item, event.ServerSeparator)
		t := p.troubleOf(id, process)
		t.running, t.at = true, rec.at.Unix()
	}
}

func (p *Period) troubleOf(id string, process int32) *trouble {
	t := p.open[id]
	if t == nil {
		t = &trouble{process: process}
		p.open[id] = t
	}
	return t
}
