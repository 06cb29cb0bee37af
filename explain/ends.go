package explain

import (
	"time"

	"github.com/pearyard/pearyard/exchange"
	"github.com/pearyard/pearyard/site"
)

// recordAttemptEvent records an event of a request that is still running.
func (p *Period) recordAttemptEvent(rec *record, process int32) error {
	if len(rec.fields[fieldRequest]) == 0 {
		return errTruncated
	}
	open := p.openRequestOf(rec.text(fieldRequest), process)
	open.lastSecond = rec.at.Unix()
	switch string(rec.fields[fieldEvent]) {
	case idAgain:
		open.recordFailedAttempt(rec)
	case idCopied:
		open.copyReplaced = true
	case idResumed:
		pause, err := rec.duration(fieldAfter)
		if err != nil {
			return err
		}
		open.resumed, open.resumePause = true, max(open.resumePause, pause)
		open.promptReread = open.promptReread || rec.text(fieldHow) == howReread
	}
	return nil
}

// Texts in log lines that the rules match.
const (
	textLate = "would finish in time" // of exchange.LateError
	// textOverload is of exchange.OverloadError.
	textOverload = "would begin too late behind others"
	textBusy     = "not run: busy"       // of exchange.NotRunError
	textStatus   = "the server answered" // with an error status
	howReread    = "prompt_read_again"   // field how of PY2725
)

var (
	textSilent      = exchange.ErrSilent.Error()
	textBudget      = exchange.ErrBudget.Error()
	textQuarantined = exchange.ErrQuarantined.Error()
	textHeld        = exchange.ErrHeld.Error()
	textServerLimit = exchange.ErrServerLimits.Error()
	textMemory      = exchange.ErrNoMemory.Error()
	textServerRest  = exchange.ErrServersRest.Error()
	textPlaces      = exchange.ErrPlacesTaken.Error()
)

func (o *openRequest) recordFailedAttempt(rec *record) {
	switch {
	case rec.contains(fieldError, textBusy):
		o.serverBusy = true
	case rec.contains(fieldError, textStatus):
		o.serverFailed = true
	default:
		o.failedAfterCopy = o.failedAfterCopy || o.copyReplaced
		o.failedAttempt = failedAttemptOf(rec, fieldAfter)
	}
}

func failedAttemptOf(rec *record, server field) *failedAttempt {
	return &failedAttempt{server: rec.text(server), second: rec.at.Unix(), silent: rec.contains(fieldError, textSilent)}
}

// requestEnd is the last line of a request.
type requestEnd struct {
	rec       *record
	by        exchange.EndedBy
	kind      string
	took      time.Duration
	first     time.Duration // until the first event; 0: there was none
	pause     time.Duration
	objective Objective
	open      *openRequest // nil if no earlier line was about the request
}

func (p *Period) recordEnd(rec *record) error {
	e, err := p.readEnd(rec)
	if err != nil {
		return err
	}
	route := p.names.indexOf(rec.fields[fieldRoute])
	if _, known := p.kinds[route]; !known {
		p.kinds[route] = e.kind
	}
	key := bucket{rec.at.Add(-e.took).Unix(), route} // by arrival
	outcome, cause := e.classify()
	p.countOutcome(key, outcome)
	id := rec.text(fieldRequest)
	delete(p.open, id)
	if outcome == InTime || outcome == Left {
		return nil
	}
	keyed := e.causeBucket(key, outcome, cause)
	if cause == CauseServerPause {
		p.recordPause(keyed.pause, rec.text(fieldServer))
	}
	p.countCause(keyed, Example{
		Request: id, Route: rec.text(fieldRoute), Took: e.took, First: e.first, Pause: e.pause, Server: rec.text(fieldServer),
	})
	return nil
}

func (p *Period) readEnd(rec *record) (*requestEnd, error) {
	e := &requestEnd{rec: rec, by: exchange.EndedBy(rec.text(fieldEndedBy)), kind: rec.text(fieldKind)}
	if len(rec.fields[fieldRequest]) == 0 || e.by == "" || e.kind == "" {
		return nil, errTruncated
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
	e.open = p.open[rec.text(fieldRequest)]
	return e, nil
}

// classify returns the outcome of the request and, if it was not in time, the cause.
func (e *requestEnd) classify() (Outcome, Cause) {
	switch string(e.rec.fields[fieldEvent]) {
	case idServed:
		return e.classifyServed()
	case idRefused:
		return Refused, e.refusalCause()
	case idFailed:
		return Failed, e.failureCause()
	case idCallerLeft:
		return e.classifyLeft()
	case idCallerLost:
		return Failed, CauseCaller
	default: // idCut
		return Failed, CauseStop
	}
}

func (e *requestEnd) classifyServed() (Outcome, Cause) {
	switch {
	case e.by == exchange.EndedByServer:
		return Failed, CauseServerFailed
	case !e.exceededAnswer() && !e.exceededGap():
		return InTime, ""
	default:
		return Late, e.delayCause()
	}
}

// exceededAnswer reports whether the answer (for a stream: its first event) came
// later than the objective, or had not come by then.
func (e *requestEnd) exceededAnswer() bool {
	waited := e.took
	if e.first > 0 {
		waited = e.first
	}
	return e.objective.Answer > 0 && waited > e.objective.Answer
}

func (e *requestEnd) exceededGap() bool { return e.objective.Gap > 0 && e.pause > e.objective.Gap }

// delayCause returns the cause for a request that was served late or timed out. If
// only the objective for pauses was missed, and resuming did not pause the stream for
// that long, the pause is the server's own.
func (e *requestEnd) delayCause() Cause {
	cause := e.open.attemptCause()
	if !e.exceededAnswer() && e.exceededGap() && (cause == "" || e.open.resumed && e.open.resumePause < e.objective.Gap) {
		return CauseServerPause
	}
	if cause != "" {
		return cause
	}
	return CauseQueue
}

func (e *requestEnd) refusalCause() Cause {
	switch {
	case (e.rec.contains(fieldError, textLate) || e.rec.contains(fieldError, textOverload)):
		return CauseAdmission
	case e.rec.contains(fieldError, textMemory):
		return CauseMemory
	case e.by == exchange.EndedByStop:
		return CauseStop
	case e.rec.contains(fieldError, textPlaces):
		return CausePlaces
	case e.by == exchange.EndedByVersion:
		return CauseVersion
	case e.by == exchange.EndedByLimit, e.rec.contains(fieldError, textBudget):
		return e.limitCause()
	case e.by == exchange.EndedByDeadline, e.by == exchange.EndedByRouteTimeout:
		return e.delayCause()
	case e.by == exchange.EndedByServerLink:
		return e.attemptCauseOr(CauseServerLost)
	default:
		return e.attemptCauseOr(CauseNoServer)
	}
}

func (e *requestEnd) failureCause() Cause {
	switch e.by {
	case exchange.EndedByLimit:
		return e.limitCause()
	case exchange.EndedByVersion:
		return CauseVersion
	case exchange.EndedByStop:
		return CauseStop
	case exchange.EndedByDeadline, exchange.EndedByRouteTimeout:
		return e.delayCause()
	case exchange.EndedByServerLink:
		return e.attemptCauseOr(CauseServerLost)
	case exchange.EndedByServer:
		return e.attemptCauseOr(CauseServerFailed)
	case exchange.EndedByNoServer:
		if e.rec.contains(fieldError, textLate) || e.rec.contains(fieldError, textOverload) {
			return e.attemptCauseOr(CauseAdmission)
		}
		if e.rec.contains(fieldError, textMemory) {
			return e.attemptCauseOr(CauseMemory)
		}
		return e.attemptCauseOr(CauseNoServer)
	default:
		return e.attemptCauseOr(CauseUnclear)
	}
}

// limitCause returns which limit ended a request.
func (e *requestEnd) limitCause() Cause {
	switch {
	case e.rec.contains(fieldError, textQuarantined), e.rec.contains(fieldError, textHeld):
		return CauseQuarantined
	case e.rec.contains(fieldError, textServerLimit):
		return CauseServerLimit
	case e.rec.contains(fieldError, textServerRest):
		return CauseServerRest
	default:
		return CauseRetryBudget
	}
}

// attemptCauseOr returns the cause that failed attempts indicate, or else the
// given one.
func (e *requestEnd) attemptCauseOr(otherwise Cause) Cause {
	if cause := e.open.attemptCause(); cause != "" {
		return cause
	}
	return otherwise
}

// classifyLeft distinguishes a caller that gave up waiting from one that left of
// its own accord.
func (e *requestEnd) classifyLeft() (Outcome, Cause) {
	switch {
	case e.by == exchange.EndedByDeadline, e.exceededAnswer(), e.exceededGap():
		return Failed, e.delayCause()
	default:
		return Left, CauseCaller
	}
}

// causeBucket returns the bucket in which the cause is counted. For a lost server
// it holds the failed attempt, so that the loss of a server can later be told from
// the loss of its zone: the newest failed attempt, or the one in the last line.
func (e *requestEnd) causeBucket(key bucket, outcome Outcome, cause Cause) causeBucket {
	out := causeBucket{bucket: key, outcome: outcome, cause: cause}
	if cause == CauseServerPause {
		out.pause = pauseBucketOf(e)
		return out
	}
	if cause != CauseServerLost {
		return out
	}
	if e.open != nil && e.open.failedAttempt != nil {
		out.attempt = *e.open.failedAttempt
		return out
	}
	out.attempt = *failedAttemptOf(e.rec, fieldServer)
	return out
}

// recordRejection records a request that was answered without being forwarded.
func (p *Period) recordRejection(rec *record, process int32) error {
	if len(rec.fields[fieldEndedBy]) == 0 {
		return errTruncated
	}
	key := bucket{rec.at.Unix(), p.names.indexOf(rec.fields[fieldRoute])}
	cause := CauseUnclear
	switch string(rec.fields[fieldEvent]) {
	case idQuarantined:
		cause = CauseQuarantined
	case idStopRefused:
		cause = CauseStop
	case idNoConfig:
		cause = CauseStart
	case idTurnedAway:
		p.countRejected(rec, key, process)
		return nil
	}
	if cause == CauseStart && p.state(process).storeUnavailable() {
		cause = CauseStoreUnavailable
	}
	p.countOutcome(key, Refused)
	p.countCause(causeBucket{bucket: key, outcome: Refused, cause: cause}, Example{Request: rec.text(fieldRequest), Route: rec.text(fieldRoute)})
	return nil
}

// countRejected counts an invalid request. A process that can't reach the store may
// reject a key or route that is only newer than its configuration; the lines don't
// show which, so those requests are also counted separately.
func (p *Period) countRejected(rec *record, key bucket, process int32) {
	t := p.tally(key)
	t.rejected++
	if p.state(process).storeUnavailable() && exchange.EndedBy(rec.text(fieldEndedBy)) == exchange.EndedByConfiguration {
		t.rejectedOutdated++
	}
}

func (p *Period) tally(key bucket) *tally {
	t := p.seconds[key]
	if t == nil {
		t = &tally{}
		p.seconds[key] = t
	}
	return t
}

func (p *Period) countOutcome(key bucket, o Outcome) { p.tally(key).counts[o]++ }

func (p *Period) countCause(key causeBucket, example Example) {
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
