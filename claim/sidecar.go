package claim

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/plain"
	streampb "github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/types"
)

// answerGrace is how long after its deadline a call's answer is still awaited, so
// that it can be saved for the caller's retry.
const answerGrace = 10 * time.Second

// reply is a sidecar's reply about an attempt, or the failure to get one.
type reply struct {
	result Result
	code   types.Code
	answer *plain.Answer
}

// sendCall dispatches an attempt, the only time that it is sent, and saves its
// outcome.
func (c *Coordinator) sendCall(ctx context.Context, key string, claim Record, req *streampb.CallRequest) reply {
	ctx, cancel := context.WithDeadline(ctx, claim.Deadline.Add(answerGrace))
	defer cancel()
	resp, err := c.opts.Sidecar.Call(ctx, claim.Target.Address, req)
	r := replyOf(resp)
	switch {
	case errors.Is(err, plain.ErrNotSent):
		r = reply{result: ResultNotRun, code: types.CodeNoBackend}
	case err != nil:
		r = reply{result: ResultAnswerLost}
	}
	c.metrics.sidecarAnswers.WithLabelValues("call", r.result.String()).Inc()
	c.save(key, claim, r)
	return r
}

// sendVoid asks the sidecar that a claim names to void its attempt.
func (c *Coordinator) sendVoid(ctx context.Context, key string, claim Record) reply {
	ctx, cancel := context.WithTimeout(ctx, c.opts.VoidTimeout)
	defer cancel()
	resp, err := c.opts.Sidecar.Void(ctx, claim.Target.Address, &streampb.VoidRequest{
		Claim:       Ref{Key: key, Deadline: claim.Deadline}.String(),
		Attempt:     uint32(claim.Attempt),
		Incarnation: uint64(claim.Target.Incarnation),
	})
	r := replyOf(resp)
	if err != nil || r.result == ResultUnknown && !isFinal(r.code) {
		r = reply{result: ResultUnreachable}
	}
	c.metrics.sidecarAnswers.WithLabelValues("void", r.result.String()).Inc()
	c.save(key, claim, r)
	return r
}

// isFinal reports whether a sidecar that answered "unknown" with this code will
// never know more. One whose memory is full (overloaded) can write the tombstone
// later.
func isFinal(code types.Code) bool {
	return code == types.CodeIncarnation || code == types.CodeUnknownOutcome
}

// save queues a final outcome to be saved in the claim row. The row of an attempt
// that did not run is left as it is: the request claims it again next, or calls
// markVoided if it ends.
func (c *Coordinator) save(key string, claim Record, r reply) {
	switch r.result {
	case ResultCompleted:
		c.outcomes.save(key, claim.withOutcome(RecordCompleted, r.answer))
	case ResultUnknown:
		c.outcomes.save(key, claim.withOutcome(RecordUnknown, nil))
	}
}

func replyOf(resp *streampb.CallResponse) reply {
	switch resp.GetOutcome() {
	case streampb.CallOutcome_CALL_COMPLETED:
		return reply{result: ResultCompleted, answer: answerOf(resp)}
	case streampb.CallOutcome_CALL_NOT_RUN:
		return reply{result: ResultNotRun, code: types.Code(resp.GetCode())}
	case streampb.CallOutcome_CALL_RUNNING:
		return reply{result: ResultRunning}
	case streampb.CallOutcome_CALL_UNKNOWN:
		return reply{result: ResultUnknown, code: types.Code(resp.GetCode())}
	default: // an outcome that this release doesn't know proves nothing
		return reply{result: ResultAnswerLost}
	}
}

// answerOf returns nil for a call that ran but whose answer is no longer kept.
func answerOf(resp *streampb.CallResponse) *plain.Answer {
	if resp.GetStatus() == 0 {
		return nil
	}
	return &plain.Answer{Status: int(resp.GetStatus()), Header: streampb.ToHeader(resp.GetHeaders()), Body: resp.GetBody()}
}
