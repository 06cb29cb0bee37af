package claim

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/backing"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/plain"
	streampb "github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/types"
)

// Delays between the void requests for an attempt; each is twice the one before.
const (
	minVoidDelay = 20 * time.Millisecond
	maxVoidDelay = time.Second
)

// request is one invocation of Do. It performs the steps that Next decides on.
type request struct {
	c        *Coordinator
	call     Call
	pick     Pick
	key      string
	deadline time.Time

	state     State
	claim     Record        // this request's newest claim
	row       Record        // the claim that the sidecar is asked about: last read or dispatched
	answer    *plain.Answer // of the attempt in row; nil: unknown, or too large for the row
	excluded  []string      // backend servers known not to have run the call
	voidDelay time.Duration // before the next StepDelayedVoid
}

func newRequest(c *Coordinator, call Call, pick Pick) *request {
	return &request{
		c:         c,
		call:      call,
		pick:      pick,
		key:       Key(call.Service, call.Organisation, call.Key),
		deadline:  effectiveDeadline(call, c.opts, time.Now()),
		voidDelay: minVoidDelay,
	}
}

// effectiveDeadline applies CallTimeout and MaxDeadline, and truncates to the
// precision of Ref.Deadline.
func effectiveDeadline(call Call, opts Options, now time.Time) time.Time {
	latest := now.Add(opts.MaxDeadline)
	deadline := call.Deadline
	if deadline.IsZero() {
		deadline = now.Add(opts.CallTimeout)
	}
	if deadline.After(latest) {
		deadline = latest
	}
	return deadline.Truncate(time.Millisecond)
}

func (req *request) run(ctx context.Context) (plain.Answer, *types.Refusal) {
	ctx, cancel := context.WithDeadline(ctx, req.deadline)
	defer cancel()
	state, action := Begin(types.NewAttemptTag(), fingerprint(req.call))
	req.state = state
	for action.Step != StepAnswer {
		observation := req.perform(ctx, action.Step)
		observation.NewTag = types.NewAttemptTag()
		req.state, action = Next(req.state, observation)
	}
	return req.conclude(ctx, action)
}

// fingerprint covers everything in which two calls with the same key must agree.
func fingerprint(call Call) types.Fingerprint {
	content := bytes.Join([][]byte{[]byte(call.Method), []byte(call.Path), call.Body}, []byte{0})
	return types.FingerprintOf(call.Organisation, content)
}

func (req *request) perform(ctx context.Context, step Step) Observation {
	switch step {
	case StepClaim:
		return req.write(ctx)
	case StepRead:
		return req.read(ctx)
	case StepDispatch:
		return req.dispatch(ctx)
	case StepDelayedVoid:
		return req.delayedVoid(ctx)
	default:
		return req.void(ctx)
	}
}

func (req *request) write(ctx context.Context) Observation {
	if ctx.Err() != nil {
		return Observation{Result: ResultExpired}
	}
	target, ok := req.pick(req.excluded)
	if !ok {
		return Observation{Result: ResultNoTarget}
	}
	req.claim = Record{
		State:       RecordClaimed,
		Attempt:     req.state.Attempt,
		Router:      req.c.opts.Router,
		Target:      target,
		Deadline:    req.deadline,
		Fingerprint: req.state.Fingerprint,
	}
	return Observation{Result: req.c.claims.writeClaim(ctx, req.key, req.state.Version, req.claim)}
}

// markVoided saves that claims never run, so that later requests needn't ask the
// sidecar: the claim that was proven not to run, and this request's own if it was
// not dispatched. The own one never runs, since the request ends here and no other
// request dispatches its attempt.
func (req *request) markVoided() {
	if req.state.ProvenNotRun != 0 && req.state.ProvenNotRun == req.row.Attempt {
		req.c.outcomes.save(req.key, req.row.withOutcome(RecordVoided, nil))
	}
	if !req.state.Dispatched && req.claim.Attempt == req.state.Attempt {
		req.c.outcomes.save(req.key, req.claim.withOutcome(RecordVoided, nil))
	}
}

func (req *request) read(ctx context.Context) Observation {
	if ctx.Err() != nil {
		return Observation{Result: ResultExpired}
	}
	ctx, cancel := context.WithTimeout(ctx, req.c.opts.ReadTimeout)
	defer cancel()
	row, err := req.c.opts.Table.Get(ctx, req.key)
	if errors.Is(err, backing.ErrNotFound) {
		return Observation{Result: ResultNoRow}
	}
	if err != nil {
		return Observation{Result: ResultTableUnavailable}
	}
	record, err := Decode(row.Value)
	if err != nil {
		req.c.opts.Recorder.Emit(EventRowUnreadable, event.FieldRequest, req.call.RequestID, "key", req.key, "err", err)
		return Observation{Result: ResultUnreadable}
	}
	req.row = record
	req.answer = record.Answer
	return Observation{Result: ResultRow, Row: newView(record, row.Version)}
}

func newView(r Record, version uint64) View {
	return View{State: r.State, Attempt: r.Attempt, Fingerprint: r.Fingerprint, Version: version}
}

// dispatch sends the call and waits for the answer until ctx ends. The call
// continues after that, so that its outcome is known and saved.
func (req *request) dispatch(ctx context.Context) Observation {
	req.row = req.claim
	if ctx.Err() != nil { // nothing was sent; after ResultExpired the call would count as possibly running
		return Observation{Result: ResultNotRun, Code: types.CodeDeadline}
	}
	done := make(chan reply, 1)
	claim, callReq := req.claim, req.callRequest()
	go func() { done <- req.c.sendCall(context.WithoutCancel(ctx), req.key, claim, callReq) }()
	select {
	case r := <-done:
		// A tombstone means that another request voided the attempt; the backend
		// server itself accepts calls.
		if r.result == ResultNotRun && r.code != types.CodeTombstone {
			req.excluded = append(req.excluded, req.claim.Target.BackendServer)
		}
		return req.observe(r)
	case <-ctx.Done():
		return Observation{Result: ResultExpired}
	}
}

func (req *request) callRequest() *streampb.CallRequest {
	return &streampb.CallRequest{
		RequestId:      string(req.call.RequestID),
		Service:        req.call.Service,
		Method:         req.call.Method,
		Path:           req.call.Path,
		Headers:        streampb.FromHeader(req.call.Header),
		Body:           req.call.Body,
		DeadlineUnixMs: req.deadline.UnixMilli(),
		AtMostOnce:     true,
		Claim:          Ref{Key: req.key, Deadline: req.deadline}.String(),
		Attempt:        uint32(req.claim.Attempt),
		Incarnation:    uint64(req.claim.Target.Incarnation),
	}
}

// observe keeps the answer in a sidecar's reply about req.row and returns the reply
// as an observation.
func (req *request) observe(r reply) Observation {
	req.answer = r.answer
	return Observation{Result: r.result, Code: r.code}
}

func (req *request) delayedVoid(ctx context.Context) Observation {
	timer := time.NewTimer(req.voidDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return Observation{Result: ResultExpired}
	case <-timer.C:
	}
	req.voidDelay = min(2*req.voidDelay, maxVoidDelay)
	return req.void(ctx)
}

func (req *request) void(ctx context.Context) Observation {
	if ctx.Err() != nil {
		return Observation{Result: ResultExpired}
	}
	r := req.c.sendVoid(ctx, req.key, req.row)
	req.c.opts.Recorder.Emit(EventVoiding, event.FieldRequest, req.call.RequestID, "key", req.key,
		"process", req.row.Target.Process, "attempt", req.row.Attempt, "answer", r.result)
	return req.observe(r)
}

// conclude returns the caller's answer or refusal.
func (req *request) conclude(ctx context.Context, a Action) (plain.Answer, *types.Refusal) {
	if a.Outcome == types.OutcomeCompleted {
		return req.completedAnswer(ctx)
	}
	if a.Outcome == types.OutcomeNotRun && a.Code != types.CodeKeyReused && a.Code != types.CodeTableDown {
		req.markVoided()
	}
	refusal := &types.Refusal{Code: a.Code, Outcome: a.Outcome, RetryAfter: a.RetryAfter, Status: httpStatus(a)}
	refusal.Message = refusalMessage(a.Code, a.Outcome)
	req.c.opts.Recorder.Emit(outcomeEvent(a.Outcome), event.FieldRequest, req.call.RequestID, "key", req.key, "code", a.Code,
		"attempt", req.state.Attempt, "process", req.row.Target.Process)
	return plain.Answer{}, refusal
}

// completedAnswer returns the answer of a completed call. An answer too large for
// the row is fetched from the sidecar; if the sidecar no longer has it, the
// refusal only says that the call ran.
func (req *request) completedAnswer(ctx context.Context) (plain.Answer, *types.Refusal) {
	if req.answer == nil {
		req.answer = req.c.sendVoid(ctx, req.key, req.row).answer
	}
	if req.answer == nil {
		return plain.Answer{}, &types.Refusal{
			Code: types.CodeUnknownOutcome, Outcome: types.OutcomeCompleted, Status: http.StatusConflict,
			Message: "the call ran once; its answer is no longer kept",
		}
	}
	return *req.answer, nil
}

func outcomeEvent(outcome types.Outcome) event.Kind {
	if outcome == types.OutcomeUnknown {
		return EventOutcomeUnknown
	}
	return EventNotRun
}

func httpStatus(a Action) int {
	switch {
	case a.Code == types.CodeKeyReused:
		return http.StatusUnprocessableEntity
	case a.Outcome == types.OutcomeUnknown:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}

func refusalMessage(code types.Code, outcome types.Outcome) string {
	switch {
	case code == types.CodeKeyReused:
		return "this idempotency key belongs to a call with another content; nothing of this one ran"
	case code == types.CodeTableDown:
		return "the table service can't be reached; this try ran nowhere; come back with the same key"
	case code == types.CodeStillRunning:
		return "the call is running or may be; come back with the same key for its answer"
	case outcome == types.OutcomeUnknown:
		return "the call may have run; it won't be run again"
	case code == types.CodeNoBackend:
		return "no backend server takes this call; it ran nowhere; come back with the same key"
	default:
		return "this try ran nowhere; come back with the same key"
	}
}
