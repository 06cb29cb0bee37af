package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pearyard/pearyard/entry"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/exchange"
	"github.com/pearyard/pearyard/site"
)

// Explanation tells how one request ended and why.
type Explanation struct {
	Lines  []Line // of the request itself
	Around []Line // of the servers and processes involved, close in time
	Cause  string // a sentence
}

// relatedWindow is how long before and after a request's lines other lines may be
// related to it: losses are detected and stops take effect within seconds.
const relatedWindow = 4 * time.Second

// Request explains a request. The explanation has no lines if none mentions the
// request.
func Request(lines []Line, request string) Explanation {
	lines = sortLines(lines)
	var e Explanation
	for _, l := range lines {
		if l.mentions(request) {
			e.Lines = append(e.Lines, l)
		}
	}
	if len(e.Lines) == 0 {
		e.Cause = "No line names this request: no process received it in full, its process ended before it did, or its lines were dropped (look for dropped_info) or not collected." + describeCrashes(lines)
		return e
	}
	e.Around = relatedLines(lines, e.Lines, request)
	e.Cause = describeCause(e, lines)
	return e
}

// relatedLines returns lines that are about no request but come from the request's
// processes or are about its servers.
func relatedLines(all, own []Line, request string) []Line {
	from, to := own[0].At.Add(-relatedWindow), own[len(own)-1].At.Add(relatedWindow)
	servers, processes := map[string]bool{}, map[string]bool{}
	for _, l := range own {
		processes[l.Process] = true
		if at := l.serverOf(request); at != "" {
			servers[at] = true
		}
		for _, name := range []string{"server", "after", "copy", "lost", "to"} {
			if id := l.Fields[name]; id != "" {
				servers[id] = true
			}
		}
	}
	var out []Line
	for _, l := range all {
		if l.At.Before(from) || l.At.After(to) || l.Fields[event.FieldRequest] != "" || l.Fields[event.FieldRequests] != "" {
			continue
		}
		if processes[l.Process] || servers[l.Fields["server"]] {
			out = append(out, l)
		}
	}
	return out
}

// endEvents are the events that end a request.
var endEvents = map[string]bool{
	exchange.EventServed.ID(): true, exchange.EventRefused.ID(): true, exchange.EventFailed.ID(): true, exchange.EventCallerLeft.ID(): true,
	exchange.EventCallerLost.ID(): true, exchange.EventCut.ID(): true, exchange.EventQuarantined.ID(): true,
	entry.EventTurnedAway.ID(): true, entry.EventNoConfig.ID(): true, entry.EventStopRefused.ID(): true,
	entry.EventPanicked.ID(): true, entry.EventLate.ID(): true,
}

// finalLine returns the line that ends a request, or else its last line. Lines may
// follow the end: a server crash that the request caused is logged a second later.
func finalLine(own []Line) Line {
	for _, l := range slices.Backward(own) {
		if endEvents[l.Event] {
			return l
		}
	}
	return own[len(own)-1]
}

func describeCause(e Explanation, all []Line) string {
	last := finalLine(e.Lines)
	switch last.Event {
	case exchange.EventServed.ID():
		return describeServed(last)
	case exchange.EventRefused.ID():
		return describeRefused(last)
	case exchange.EventFailed.ID():
		return describeFailed(e, last)
	case exchange.EventCallerLeft.ID():
		return describeCallerLeft(last) + earlierErrors(e) + "."
	case exchange.EventCallerLost.ID():
		return "The connection to its caller was lost after " + last.Fields["took"] + " (" + last.Fields["err"] + "): it was reset, by the caller or on the way, or went dead" + earlierErrors(e) + "."
	case exchange.EventCut.ID():
		return "The planned stop of " + last.Process + " cut it after " + last.Fields["took"] + ", when the grace period was over; its caller was still there" + earlierErrors(e) + "."
	case exchange.EventQuarantined.ID():
		return "It was refused because the same request had crashed several backend servers."
	case entry.EventTurnedAway.ID():
		return describeRejected(e, last, all)
	case entry.EventNoConfig.ID():
		return "It was refused because " + last.Process + " had just started and knew no " + last.Fields["missing"] + " yet" + describeStoreLoss(e) + "."
	case entry.EventStopRefused.ID():
		return "It was refused because " + last.Process + " was about to stop and could not have finished it."
	case entry.EventPanicked.ID():
		return "A fault of the program on " + last.Process + " ended it: " + last.Fields["panic"] + "; it may have run."
	case entry.EventLate.ID():
		return "It was refused and has not run: its last byte came after " + last.Fields["took"] + ", when its time was over."
	default:
		return describeUnfinished(e, last, all)
	}
}

// describeCrashes names the processes that ended without logging a stop.
func describeCrashes(lines []Line) string {
	newest := map[string]Line{}
	var ends []string
	for _, l := range lines {
		before, known := newest[l.Process]
		if l.Event == entry.EventStarted.ID() && known && before.Event != entry.EventStopped.ID() {
			ends = append(ends, fmt.Sprintf("%s between %s and %s", l.Process, before.At.Format(time.TimeOnly), l.At.Format(time.TimeOnly)))
		}
		newest[l.Process] = l
	}
	if len(ends) == 0 {
		return ""
	}
	return " Processes that ended without logging a stop: " + strings.Join(ends, "; ") + "."
}

func describeServed(last Line) string {
	text := "It was served after " + last.Fields["took"]
	if status := last.Fields["status"]; status >= "400" {
		text = fmt.Sprintf("It was answered after %s with a backend server's own status %s, at try %s", last.Fields["took"], status, last.Fields["sent"])
	}
	if n := last.Fields["resumed"]; n != "" && n != "0" {
		text += fmt.Sprintf(", having been resumed on another backend server %s time(s), with a longest pause of %s", n, last.Fields["pause"])
	}
	return text + "."
}

func describeFailed(e Explanation, last Line) string {
	text := failureSubject(last) + " after " + last.Fields["took"] + ": " + last.Fields["err"] + describePending(last)
	if lost := lostServers(e, last.Fields["service"]); lost != "" {
		text += "; lost meanwhile: " + lost
	}
	return text + "."
}

// earlierErrors lists the failed attempts of the request.
func earlierErrors(e Explanation) string {
	var errs []string
	for _, l := range e.Lines {
		if l.Event == exchange.EventAgain.ID() {
			errs = append(errs, l.Fields["after"]+": "+l.Fields["err"])
		}
	}
	if len(errs) == 0 {
		return ""
	}
	return "; before that: " + strings.Join(errs, "; ")
}

// lostServers names the servers of the request's service that were lost at about
// the time of the request.
func lostServers(e Explanation, service string) string {
	seen := map[string]bool{}
	var out []string
	for _, l := range e.Around {
		id := l.Fields["server"]
		if l.Event == exchange.EventServerLost.ID() && !seen[id] && (service == "" || l.Fields["service"] == service) {
			seen[id] = true
			out = append(out, id+" of "+l.Fields["zone"])
		}
	}
	return strings.Join(out, ", ")
}

// describeRejected names the configuration version that rejected the request, and a
// newer version if it was applied shortly afterwards.
func describeRejected(e Explanation, last Line, all []Line) string {
	if by := endedBy(last); by != "" && by != exchange.EndedByConfiguration {
		return describeInvalid(last)
	}
	text := fmt.Sprintf("It was answered %s by version %s of the configuration: %s", last.Fields["status"], last.Fields["version"], last.Fields["err"])
	for _, l := range all {
		if l.Event != site.EventApplied.ID() || l.Process != last.Process {
			continue
		}
		if gap := l.At.Sub(last.At); gap > 0 && gap < relatedWindow {
			text += fmt.Sprintf("; version %s came into force there %v later", l.Fields["version"], gap.Round(time.Millisecond))
			break
		}
	}
	return text + describeStoreLoss(e) + "."
}

func describeStoreLoss(e Explanation) string {
	for _, l := range e.Around {
		if l.Event == site.EventStoreLost.ID() {
			return "; the store did not tell it: " + l.Fields["err"]
		}
	}
	return ""
}

// describeUnfinished covers a request without an end event, usually because its
// process ended first.
func describeUnfinished(e Explanation, last Line, all []Line) string {
	for _, l := range all {
		if l.Process != last.Process || !l.At.After(last.At) {
			continue
		}
		switch l.Event {
		case entry.EventStopped.ID():
			return "It was still running when " + l.Process + " ended its planned stop after " + l.Fields["took"] + "."
		case entry.EventStarted.ID():
			return fmt.Sprintf("Its process %s ended without logging a stop between %s and %s, its next start.",
				l.Process, last.At.Format(time.TimeOnly), l.At.Format(time.TimeOnly))
		}
	}
	return "No line tells its end: it is still running, or " + last.Process + " ended and was not started again" + earlierErrors(e) + "."
}
