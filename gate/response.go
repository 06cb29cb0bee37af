package gate

import (
	"github.com/pearyard/pearyard/plain"
	streampb "github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/types"
)

var stateNames = [...]string{
	Unseen: "unseen", Voided: "voided", Running: "running", Completed: "completed", NotSent: "not_sent", Lost: "lost",
}

// String returns the name of the state as operators see it.
func (s AttemptState) String() string { return stateNames[s] }

func notRunResponse(code types.Code) *streampb.CallResponse {
	return response(streampb.CallOutcome_CALL_NOT_RUN, code)
}

func response(outcome streampb.CallOutcome, code types.Code) *streampb.CallResponse {
	return &streampb.CallResponse{Outcome: outcome, Code: string(code)}
}

// responseOf returns the response for an attempt or call that was admitted, by its state.
// The response of a completed one whose answer isn't stored any more has status 0.
func responseOf(state AttemptState, answer *plain.Answer) *streampb.CallResponse {
	switch state {
	case NotSent:
		return notRunResponse(types.CodeNoBackend)
	case Running:
		return response(streampb.CallOutcome_CALL_RUNNING, types.CodeStillRunning)
	case Lost:
		return response(streampb.CallOutcome_CALL_UNKNOWN, types.CodeUnknownOutcome)
	}
	resp := response(streampb.CallOutcome_CALL_COMPLETED, "")
	if answer == nil {
		return resp
	}
	resp.Status = uint32(answer.Status)
	resp.Body = answer.Body
	resp.Headers = streampb.FromHeader(answer.Header)
	return resp
}
