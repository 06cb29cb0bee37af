package explain

import (
	"fmt"
	"strings"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/exchange"
	"github.com/pearyard/pearyard/site"
)

// endedBy returns the side that a request's last line names; lines of older
// versions name none.
func endedBy(last Line) exchange.EndedBy { return exchange.EndedBy(last.Fields[event.FieldEndedBy]) }

// who begins the sentence about a request that failed.
func who(last Line) string {
	server := last.Fields["server"]
	switch endedBy(last) {
	case exchange.EndedByServer:
		return fmt.Sprintf("Its backend server %s broke it off", server)
	case exchange.EndedByServerLink:
		return fmt.Sprintf("The connection to its backend server %s %s", server, lostHow(last))
	case exchange.EndedByNoServer:
		return "No backend server took it any more, and it ended"
	case exchange.EndedByDeadline:
		return "Its caller's deadline passed"
	case exchange.EndedByRouteTimeout:
		return "Its route's timeout passed"
	case exchange.EndedByLimit:
		return "A limit ended it"
	case exchange.EndedByStop:
		return "The planned stop of " + last.Process + " ended it"
	default:
		return "It failed"
	}
}

// resetWords are those of the system's error for a connection that was reset.
const resetWords = "connection reset by peer"

// lostHow tells a reset, which the server may have sent itself, from silence.
func lostHow(last Line) string {
	if strings.Contains(last.Fields["err"], resetWords) {
		return "was reset, by the server or on the way,"
	}
	return "went silent: the server, its VM or the way to it was lost. It ended"
}

// waitedFor names the server that a request without any answer was waiting for.
func waitedFor(last Line) string {
	f := last.Fields
	stream := f["kind"] == site.Stream.String() && f["first"] == "0s" && f["ran"] == "0" && f["refused"] == "0"
	plain := f["pending"] == "1" && f["sent"] == "0" && f["refused"] == "0"
	if f["server"] == "" || !stream && !plain {
		return ""
	}
	return "; its backend server " + f["server"] + " had sent nothing yet"
}

// refused tells why a request has not run.
func refused(last Line) string {
	why := ""
	switch endedBy(last) {
	case exchange.EndedByNoServer:
		why = "no backend server took it, "
	case exchange.EndedByServerLink:
		why = "no backend server could be reached, "
	case exchange.EndedByLimit:
		why = "a limit forbade another try, "
	case exchange.EndedByDeadline:
		why = "its caller's deadline passed, "
	case exchange.EndedByRouteTimeout:
		why = "its route's timeout passed, "
	case exchange.EndedByStop:
		why = "the planned stop of " + last.Process + " left no time, "
	}
	return "It was refused and has not run: " + why + last.Fields["err"] + "."
}

// callerLeft tells a caller that gave up from one whose time was over.
func callerLeft(last Line) string {
	if endedBy(last) == exchange.EndedByDeadline {
		return "Its caller's deadline passed after " + last.Fields["took"] + ", and the caller closed the connection" + waitedFor(last)
	}
	return "Its caller closed the connection after " + last.Fields["took"] + waitedFor(last)
}

// unread tells why a request was turned away for what came of it, or because
// not all of it came.
func unread(last Line) string {
	text := "It was answered " + last.Fields["status"]
	switch endedBy(last) {
	case exchange.EndedByLimit:
		text += " by a limit of version " + last.Fields["version"] + " of the configuration"
	case exchange.EndedByCallerLink:
		text += ", since the connection to its caller was lost before all of it had come"
	case exchange.EndedByStop:
		text += ", since the planned stop of " + last.Process + " came before all of it had come"
	default:
		text += " for what its caller sent"
	}
	return text + ": " + last.Fields["err"] + "."
}
