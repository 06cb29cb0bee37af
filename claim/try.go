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

const (
	firstPause = 20 * time.Millisecond
	maxPause   = time.Second
)

// try is one Do: it carries out the steps that Next decides.
type try struct {
	c        *Coordinator
	call     Call
	pick     Pick
	key      string
	deadline time.Time

	state  State
	claim  Record // this try's newest claim
	row    Record // the row as last read
	answer *plain.Answer
	avoid  []string
	pause  time.Duration
}

func newTry(c *Coordinator, call Call, pick Pick) *try {
	return &try{
		c:        c,
		call:     call,
		pick:     pick,
		key:      Key(call.Service, call.Organisation, call.Key),
		deadline: deadlineOf(call, c.opts, time.Now()),
		pause:    firstPause,
	}
}

func deadlineOf(call Call, opts Options, now time.Time) time.Time {
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

func (t *try) run(ctx context.Context) (plain.Answer, *types.Refusal) {
	ctx, cancel := context.WithDeadline(ctx, t.deadline)
	defer cancel()
	state, action := Begin(types.NewAttemptTag(), fingerprint(t.call))
	t.state = state
	for action.Step != StepAnswer {
		seen := t.do(ctx, action.Step)
		seen.Fresh = types.NewAttemptTag()
		t.state, action = Next(t.state, seen)
	}
	return t.conclude(ctx, action)
}

// fingerprint covers all that makes two calls the same call.
func fingerprint(call Call) types.Fingerprint {
	content := bytes.Join([][]byte{[]byte(call.Method), []byte(call.Path), call.Body}, []byte{0})
	return types.FingerprintOf(call.Organisation, content)
}

func (t *try) do(ctx context.Context, step Step) Observation {
	switch step {
	case StepClaim:
		return t.write(ctx)
	case StepRead:
		return t.read(ctx)
	case StepDispatch:
		return t.dispatch(ctx)
	case StepWaitVoid:
		return t.waitVoid(ctx)
	default:
		return t.void(ctx)
	}
}

func (t *try) write(ctx context.Context) Observation {
	if ctx.Err() != nil {
		return Observation{Seen: SeenOutOfTime}
	}
	target, ok := t.pick(t.avoid)
	if !ok {
		return Observation{Seen: SeenNoTarget}
	}
	t.claim = Record{
		State:       RecordClaimed,
		Attempt:     t.state.Attempt,
		Router:      t.c.opts.Router,
		Target:      target,
		Deadline:    t.deadline,
		Fingerprint: t.state.Fingerprint,
	}
	return Observation{Seen: t.c.claims.claim(ctx, t.key, t.state.Version, t.claim)}
}

// markVoided marks claims of which this try knows that they never run, so that
// a later try needn't ask: the one it proved so, and its own if that was not
// dispatched (this try ends here, and nobody else dispatches it).
func (t *try) markVoided() {
	if t.state.Proved != 0 && t.state.Proved == t.row.Attempt {
		t.c.finisher.save(t.key, t.row.finished(RecordVoided, nil))
	}
	if !t.state.Dispatched && t.claim.Attempt == t.state.Attempt {
		t.c.finisher.save(t.key, t.claim.finished(RecordVoided, nil))
	}
}

func (t *try) read(ctx context.Context) Observation {
	if ctx.Err() != nil {
		return Observation{Seen: SeenOutOfTime}
	}
	ctx, cancel := context.WithTimeout(ctx, t.c.opts.ReadTimeout)
	defer cancel()
	row, err := t.c.opts.Table.Get(ctx, t.key)
	if errors.Is(err, backing.ErrNotFound) {
		return Observation{Seen: SeenNoRow}
	}
	if err != nil {
		return Observation{Seen: SeenTableDown}
	}
	record, err := Decode(row.Value)
	if err != nil {
		t.c.opts.Recorder.Emit(EventRowUnreadable, event.FieldRequest, t.call.RequestID, "key", t.key, "err", err)
		return Observation{Seen: SeenUnreadable}
	}
	t.row = record
	t.answer = record.Answer
	return Observation{Seen: SeenRow, Row: viewOf(record, row.Version)}
}

func viewOf(r Record, version uint64) View {
	return View{State: r.State, Attempt: r.Attempt, Fingerprint: r.Fingerprint, Version: version}
}

// dispatch sends the call, and waits for the answer as long as the caller does.
// The call goes on without the caller, so that its outcome is known and saved.
func (t *try) dispatch(ctx context.Context) Observation {
	t.row = t.claim
	if ctx.Err() != nil {
		return Observation{Seen: SeenNotRun, Code: types.CodeDeadline}
	}
	done := make(chan reply, 1)
	claim, req := t.claim, t.request()
	go func() { done <- t.c.send(context.WithoutCancel(ctx), t.key, claim, req) }()
	select {
	case r := <-done:
		if r.seen == SeenNotRun && r.code != types.CodeTombstone {
			t.avoid = append(t.avoid, t.claim.Target.BackendServer)
		}
		return t.heard(r)
	case <-ctx.Done():
		return Observation{Seen: SeenOutOfTime}
	}
}

func (t *try) request() *streampb.CallRequest {
	return &streampb.CallRequest{
		RequestId:      string(t.call.RequestID),
		Service:        t.call.Service,
		Method:         t.call.Method,
		Path:           t.call.Path,
		Headers:        streampb.FromHeader(t.call.Header),
		Body:           t.call.Body,
		DeadlineUnixMs: t.deadline.UnixMilli(),
		AtMostOnce:     true,
		Claim:          Ref{Key: t.key, Deadline: t.deadline}.String(),
		Attempt:        uint32(t.claim.Attempt),
		Incarnation:    uint64(t.claim.Target.Incarnation),
	}
}

// heard takes in a sidecar's word on t.row.
func (t *try) heard(r reply) Observation {
	t.answer = r.answer
	return Observation{Seen: r.seen, Code: r.code}
}

func (t *try) waitVoid(ctx context.Context) Observation {
	timer := time.NewTimer(t.pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return Observation{Seen: SeenOutOfTime}
	case <-timer.C:
	}
	t.pause = min(2*t.pause, maxPause)
	return t.void(ctx)
}

func (t *try) void(ctx context.Context) Observation {
	if ctx.Err() != nil {
		return Observation{Seen: SeenOutOfTime}
	}
	r := t.c.ask(ctx, t.key, t.row)
	t.c.opts.Recorder.Emit(EventAsked, event.FieldRequest, t.call.RequestID, "key", t.key,
		"process", t.row.Target.Process, "attempt", t.row.Attempt, "answer", r.seen)
	return t.heard(r)
}

func (t *try) conclude(ctx context.Context, a Action) (plain.Answer, *types.Refusal) {
	if a.Outcome == types.OutcomeCompleted {
		return t.completed(ctx)
	}
	if a.Outcome == types.OutcomeNotRun && a.Code != types.CodeKeyReused && a.Code != types.CodeTableDown {
		t.markVoided()
	}
	refusal := &types.Refusal{Code: a.Code, Outcome: a.Outcome, RetryAfter: a.RetryAfter, Status: statusOf(a)}
	refusal.Message = message(a.Code, a.Outcome)
	t.c.opts.Recorder.Emit(eventOf(a.Outcome), event.FieldRequest, t.call.RequestID, "key", t.key, "code", a.Code,
		"attempt", t.state.Attempt, "process", t.row.Target.Process)
	return plain.Answer{}, refusal
}

// completed hands out the answer. One that was too large for the row is fetched
// from the sidecar; if that has it no more, that the call ran is all that is known.
func (t *try) completed(ctx context.Context) (plain.Answer, *types.Refusal) {
	if t.answer == nil {
		t.answer = t.c.ask(ctx, t.key, t.row).answer
	}
	if t.answer == nil {
		return plain.Answer{}, &types.Refusal{
			Code: types.CodeUnknownOutcome, Outcome: types.OutcomeCompleted, Status: http.StatusConflict,
			Message: "the call ran once; its answer is no longer kept",
		}
	}
	return *t.answer, nil
}

func eventOf(outcome types.Outcome) event.Kind {
	if outcome == types.OutcomeUnknown {
		return EventUnknown
	}
	return EventNotRun
}

func statusOf(a Action) int {
	switch {
	case a.Code == types.CodeKeyReused:
		return http.StatusUnprocessableEntity
	case a.Outcome == types.OutcomeUnknown:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}

func message(code types.Code, outcome types.Outcome) string {
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
