package explain

import (
	"fmt"
	"strings"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/exchange"
	"github.com/pearyard/pearyard/site"
)

// endedBy returns what ended a request according to its last line. Lines of older
// versions lack this field.
func endedBy(last Line) exchange.EndedBy { return exchange.EndedBy(last.Fields[event.FieldEndedBy]) }

// failureSubject returns the beginning of the sentence about a failed request.
func failureSubject(last Line) string {
	server := last.Fields["server"]
	switch endedBy(last) {
	case exchange.EndedByServer:
		return fmt.Sprintf("Its backend server %s broke it off", server)
	case exchange.EndedByServerLink:
		return fmt.Sprintf("The connection to its backend server %s %s", server, describeLinkLoss(last))
	case exchange.EndedByNoServer:
		return "No backend server took it any more, and it ended"
	case exchange.EndedByVersion:
		return "No backend server of the version that began it was left, and it ended"
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

// resetText is the operating system's error for a connection that was reset.
const resetText = "connection reset by peer"

// describeLinkLoss distinguishes a reset, which the server itself may have sent,
// from a connection that timed out.
func describeLinkLoss(last Line) string {
	if strings.Contains(last.Fields["err"], resetText) {
		return "was reset, by the server or on the way,"
	}
	return "went silent: the server, its VM or the network path to it was lost. The request ended"
}

// describePending names the server that had sent nothing when the request ended.
func describePending(last Line) string {
	f := last.Fields
	stream := f["kind"] == site.Stream.String() && f["first"] == "0s" && f["ran"] == "0" && f["refused"] == "0"
	plain := f["pending"] == "1" && f["sent"] == "0" && f["refused"] == "0"
	if f["server"] == "" || !stream && !plain {
		return ""
	}
	return "; its backend server " + f["server"] + " had sent nothing yet"
}

// describeRefused tells why a request was not run.
func describeRefused(last Line) string {
	why := ""
	switch endedBy(last) {
	case exchange.EndedByNoServer:
		why = "no backend server took it, "
		if strings.Contains(last.Fields["err"], textOverload) {
			why = "by its urgency others went before it, "
		}
	case exchange.EndedByVersion:
		why = "only the version that began the stream may go on with it, "
	case exchange.EndedByServerLink:
		why = "no backend server could be reached, "
	case exchange.EndedByLimit:
		why = "a limit forbade another try, "
		if strings.Contains(last.Fields["err"], textServerLimit) {
			why = "the backend servers were at the rate limits that they had named, "
		}
	case exchange.EndedByDeadline:
		why = "its caller's deadline passed, "
	case exchange.EndedByRouteTimeout:
		why = "its route's timeout passed, "
	case exchange.EndedByStop:
		why = "the planned stop of " + last.Process + " left no time, "
	}
	return "It was refused and has not run: " + why + last.Fields["err"] + "."
}

// describeCallerLeft distinguishes a caller that left from one whose deadline
// passed.
func describeCallerLeft(last Line) string {
	if endedBy(last) == exchange.EndedByDeadline {
		return "Its caller's deadline passed after " + last.Fields["took"] + ", and the caller closed the connection" + describePending(last)
	}
	return "Its caller closed the connection after " + last.Fields["took"] + describePending(last)
}

// describeInvalid tells why a request was rejected for its content, or because it
// was not received in full.
func describeInvalid(last Line) string {
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
