package explain

import (
	"time"

	"github.com/pearyard/pearyard/exchange"
	"github.com/pearyard/pearyard/site"
)

// troubled notes a line about a request that is on its way.
func (p *Period) troubled(rec *record, process int32) error {
	if len(rec.fields[fieldRequest]) == 0 {
		return errCut
	}
	t := p.troubleOf(rec.text(fieldRequest), process)
	t.at = rec.at.Unix()
	switch string(rec.fields[fieldEvent]) {
	case idAgain:
		t.tryFailed(rec)
	case idCopied:
		t.copied = true
	case idResumed:
		pause, err := rec.duration(fieldAfter)
		if err != nil {
			return err
		}
		t.resumed, t.pause = true, max(t.pause, pause)
		t.reread = t.reread || rec.text(fieldHow) == howReread
	}
	return nil
}

// Words in lines by which rules go.
const (
	wordsLate   = "would finish in time"
	wordsBusy   = "not run: busy"
	wordsStatus = "the server answered"
	howReread   = "prompt_read_again"
)

var (
	wordsSilent = exchange.ErrSilent.Error()
	wordsBudget = exchange.ErrBudget.Error()
)

func (t *trouble) tryFailed(rec *record) {
	switch {
	case rec.has(fieldError, wordsBusy):
		t.full = true
	case rec.has(fieldError, wordsStatus):
		t.failed = true
	default:
		t.replaced = t.replaced || t.copied
		t.broken = tryOf(rec, fieldAfter)
	}
}

func tryOf(rec *record, server field) *failedTry {
	return &failedTry{server: rec.text(server), at: rec.at.Unix(), silent: rec.has(fieldError, wordsSilent)}
}

// end is the last line of a request.
type end struct {
	rec       *record
	by        exchange.EndedBy
	kind      string
	took      time.Duration
	first     time.Duration // 0: no event came
	pause     time.Duration
	objective Objective
	trouble   *trouble // nil if nothing was told before
}

func (p *Period) ended(rec *record) error {
	e, err := p.readEnd(rec)
	if err != nil {
		return err
	}
	route := p.names.number(rec.fields[fieldRoute])
	if _, known := p.kinds[route]; !known {
		p.kinds[route] = e.kind
	}
	key := slot{rec.at.Add(-e.took).Unix(), route}
	outcome, cause := e.judge()
	p.count(key, outcome)
	id := rec.text(fieldRequest)
	delete(p.open, id)
	if outcome == InTime || outcome == Left {
		return nil
	}
	keyed := e.slot(key, outcome, cause)
	if cause == CausePause {
		p.paused(keyed.paused, rec.text(fieldServer))
	}
	p.caused(keyed, Example{
		Request: id, Route: rec.text(fieldRoute), Took: e.took, First: e.first, Pause: e.pause, Server: rec.text(fieldServer),
	})
	return nil
}

func (p *Period) readEnd(rec *record) (*end, error) {
	e := &end{rec: rec, by: exchange.EndedBy(rec.text(fieldEndedBy)), kind: rec.text(fieldKind)}
	if len(rec.fields[fieldRequest]) == 0 || e.by == "" || e.kind == "" {
		return nil, errCut
	}
	var err error
	if e.took, err = rec.duration(fieldTook); err != nil {
		return nil, err
	}
	if e.kind == site.Stream.String() {
		if e.first, err = rec.duration(fieldFirst); err != nil {
			return nil, err
		}
		if e.pause, err = rec.duration(fieldPause); err != nil {
			return nil, err
		}
	}
	e.objective = p.objective(e.kind)
	e.trouble = p.open[rec.text(fieldRequest)]
	return e, nil
}

// judge returns what became of the request and, if it was not in time, why.
func (e *end) judge() (Outcome, Cause) {
	switch string(e.rec.fields[fieldEvent]) {
	case idServed:
		return e.served()
	case idRefused:
		return Refused, e.refused()
	case idFailed:
		return Failed, e.failed()
	case idLeft:
		return e.left()
	case idLinkLost:
		return Failed, CauseCaller
	default:
		return Failed, CauseStop
	}
}

func (e *end) served() (Outcome, Cause) {
	switch {
	case e.by == exchange.EndedByServer:
		return Failed, CauseServerFailed
	case !e.waitedLong() && !e.pausedLong():
		return InTime, ""
	default:
		return Late, e.waitedFor()
	}
}

// waitedLong tells whether the answer, of a stream its first event, came later
// than the objective or not at all so long.
func (e *end) waitedLong() bool {
	waited := e.took
	if e.first > 0 {
		waited = e.first
	}
	return e.objective.Answer > 0 && waited > e.objective.Answer
}

func (e *end) pausedLong() bool { return e.objective.Gap > 0 && e.pause > e.objective.Gap }

// waitedFor returns what a request was waiting for that was served late or whose
// time was over. A pause that is longer than going on elsewhere cost is the
// server's own.
func (e *end) waitedFor() Cause {
	tries := e.trouble.ofTries()
	if !e.waitedLong() && e.pausedLong() && (tries == "" || e.trouble.resumed && e.trouble.pause < e.objective.Gap) {
		return CausePause
	}
	if tries != "" {
		return tries
	}
	return CauseQueue
}

func (e *end) refused() Cause {
	switch {
	case e.rec.has(fieldError, wordsLate):
		return CauseAdmission
	case e.by == exchange.EndedByStop:
		return CauseStop
	case e.by == exchange.EndedByLimit, e.rec.has(fieldError, wordsBudget):
		return CauseRetries
	case e.by == exchange.EndedByDeadline, e.by == exchange.EndedByRouteTimeout:
		return e.waitedFor()
	case e.by == exchange.EndedByServerLink:
		return e.afterTries(CauseServerLost)
	default:
		return e.afterTries(CauseNoServer)
	}
}

func (e *end) failed() Cause {
	switch e.by {
	case exchange.EndedByLimit:
		return CauseRetries
	case exchange.EndedByStop:
		return CauseStop
	case exchange.EndedByDeadline, exchange.EndedByRouteTimeout:
		return e.waitedFor()
	case exchange.EndedByServerLink:
		return e.afterTries(CauseServerLost)
	case exchange.EndedByServer:
		return e.afterTries(CauseServerFailed)
	case exchange.EndedByNoServer:
		if e.rec.has(fieldError, wordsLate) {
			return e.afterTries(CauseAdmission)
		}
		return e.afterTries(CauseNoServer)
	default:
		return e.afterTries(CauseUnclear)
	}
}

// afterTries returns what made the request need another server, if anything did,
// or else the cause that is left.
func (e *end) afterTries(otherwise Cause) Cause {
	if tries := e.trouble.ofTries(); tries != "" {
		return tries
	}
	return otherwise
}

// left tells a caller that gave up waiting from one that left of its own accord.
func (e *end) left() (Outcome, Cause) {
	switch {
	case e.by == exchange.EndedByDeadline, e.waitedLong(), e.pausedLong():
		return Failed, e.waitedFor()
	default:
		return Left, CauseCaller
	}
}

// slot names the server whose try failed, so that its loss can be told from that
// of its zone: the newest such try, or that which the last line tells of.
func (e *end) slot(key slot, outcome Outcome, cause Cause) causeSlot {
	s := causeSlot{slot: key, outcome: outcome, cause: cause}
	if cause == CausePause {
		s.paused = pauseOf(e)
		return s
	}
	if cause != CauseServerLost {
		return s
	}
	if e.trouble != nil && e.trouble.broken != nil {
		s.try = *e.trouble.broken
		return s
	}
	s.try = *tryOf(e.rec, fieldServer)
	return s
}

// turnedBack notes a request that was answered without being handed on.
func (p *Period) turnedBack(rec *record, process int32) error {
	if len(rec.fields[fieldEndedBy]) == 0 {
		return errCut
	}
	key := slot{rec.at.Unix(), p.names.number(rec.fields[fieldRoute])}
	cause := CauseUnclear
	switch string(rec.fields[fieldEvent]) {
	case idQuarantined:
		cause = CauseCrashes
	case idStopping:
		cause = CauseStop
	case idNotYet:
		cause = CauseStart
	case idTurnedAway:
		p.turnedAway(rec, key, process)
		return nil
	}
	if cause == CauseStart && p.state(process).storeAway() {
		cause = CauseStore
	}
	p.count(key, Refused)
	p.caused(causeSlot{slot: key, outcome: Refused, cause: cause}, Example{Request: rec.text(fieldRequest), Route: rec.text(fieldRoute)})
	return nil
}

// turnedAway counts a request that is wrong in itself. Whether a key or route
// that is unknown is wrong, or only newer than what a process knows that does
// not hear from the store, the lines don't tell: these are counted apart.
func (p *Period) turnedAway(rec *record, key slot, process int32) {
	t := p.tally(key)
	t.turned++
	if p.state(process).storeAway() && exchange.EndedBy(rec.text(fieldEndedBy)) == exchange.EndedByConfiguration {
		t.turnedBlind++
	}
}

func (p *Period) tally(key slot) *tally {
	t := p.seconds[key]
	if t == nil {
		t = &tally{}
		p.seconds[key] = t
	}
	return t
}

func (p *Period) count(key slot, o Outcome) { p.tally(key).counts[o]++ }

func (p *Period) caused(key causeSlot, example Example) {
	c := p.causes[key]
	if c == nil {
		c = &causeTally{}
		p.causes[key] = c
	}
	c.count++
	c.waited += max(example.First, example.Pause, example.Took)
	if len(c.examples) < maxExamples {
		c.examples = append(c.examples, example)
	}
}
