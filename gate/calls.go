package gate

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/claim"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/plain"
	streampb "github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/types"
)

// Defaults of Options.
const (
	DefaultMaxAttempts    = 32768
	DefaultMaxAnswerBytes = 16 << 20
	DefaultRetention      = 10 * time.Minute
	DefaultAnswerGrace    = 30 * time.Second
)

// Options of Calls. Zero values take the defaults.
type Options struct {
	Service     plain.Service
	Incarnation types.Incarnation // of this run of the sidecar
	Clock       func() time.Time
	Recorder    *event.Recorder
	Registerer  prometheus.Registerer
	Leaving     func() bool // reports whether the backend server is leaving and accepts no new calls

	MaxAttempts    int           // attempts remembered at once, tombstones included
	MaxAnswerBytes int           // total size of the remembered answers
	Retention      time.Duration // how long after its deadline an attempt is remembered, if there is room
	AnswerGrace    time.Duration // how long after its deadline a call may still complete
}

// Calls admits and remembers the calls of one plain service.
type Calls struct {
	opts     Options
	memory   *memory
	metrics  *metrics
	inFlight atomic.Int64
}

// NewCalls returns a Calls that remembers no attempt.
func NewCalls(opts Options) *Calls {
	opts = withDefaults(opts)
	c := &Calls{opts: opts, memory: newMemory(opts.MaxAttempts, opts.MaxAnswerBytes, opts.Retention)}
	c.metrics = newMetrics(opts.Registerer, c)
	return c
}

func withDefaults(o Options) Options {
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.Recorder == nil {
		o.Recorder = event.Discard()
	}
	if o.Registerer == nil {
		o.Registerer = prometheus.NewRegistry()
	}
	if o.Leaving == nil {
		o.Leaving = func() bool { return false }
	}
	if o.MaxAttempts <= 0 {
		o.MaxAttempts = DefaultMaxAttempts
	}
	if o.MaxAnswerBytes <= 0 {
		o.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	if o.Retention <= 0 {
		o.Retention = DefaultRetention
	}
	if o.AnswerGrace <= 0 {
		o.AnswerGrace = DefaultAnswerGrace
	}
	return o
}

// Call runs one call, or refuses it, and waits for its answer until ctx ends.
func (c *Calls) Call(ctx context.Context, req *streampb.CallRequest) *streampb.CallResponse {
	kind, run := "repeatable", c.callRepeatable
	if req.GetAtMostOnce() {
		kind, run = "at_most_once", c.callAtMostOnce
	}
	// The call is counted before Leaving is read. In the opposite order it could
	// read "not leaving" just before a stop begins, the stop would see nothing in
	// flight, and the process would exit during the call. callRepeatable
	// and callAtMostOnce end the count: an admitted at-most-once call stays counted
	// until the service has answered, even if its caller leaves.
	c.inFlight.Add(1)
	resp := run(ctx, req)
	resp.Incarnation = uint64(c.opts.Incarnation)
	c.metrics.calls.WithLabelValues(kind, resp.GetOutcome().String(), resp.GetCode()).Inc()
	return resp
}

// callRepeatable runs a call without remembering it.
func (c *Calls) callRepeatable(ctx context.Context, req *streampb.CallRequest) *streampb.CallResponse {
	defer c.inFlight.Add(-1)
	if c.opts.Leaving() {
		return notRunResponse(types.CodeLeaving)
	}
	deadline := time.UnixMilli(req.GetDeadlineUnixMs())
	if req.GetDeadlineUnixMs() > 0 {
		if !deadline.After(c.opts.Clock()) {
			return notRunResponse(types.CodeDeadline)
		}
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
	}
	answer, err := c.opts.Service.Do(ctx, toCall(req))
	return responseOf(stateOfError(err), &answer)
}

// callAtMostOnce admits an attempt once. Repeated requests for it get the result of
// the first one.
func (c *Calls) callAtMostOnce(ctx context.Context, req *streampb.CallRequest) *streampb.CallResponse {
	ref, err := claim.ParseRef(req.GetClaim())
	if err != nil || ref.Deadline.UnixMilli() != req.GetDeadlineUnixMs() || req.GetAttempt() == 0 {
		c.inFlight.Add(-1)
		return notRunResponse(types.CodeBadRequest)
	}
	e, verdict, code := c.admit(ref, req)
	if verdict != Admit {
		c.inFlight.Add(-1)
	}
	switch verdict {
	case Refuse:
		c.opts.Recorder.Emit(EventCallRefused, event.FieldRequest, req.GetRequestId(), "claim", ref.Key, "attempt", req.GetAttempt(), "code", code)
		return notRunResponse(code)
	case Admit:
		go c.run(context.WithoutCancel(ctx), e, req)
	}
	return c.waitForAnswer(ctx, e)
}

func (c *Calls) admit(ref claim.Ref, req *streampb.CallRequest) (*entry, CallVerdict, types.Code) {
	id := attemptID{claim: ref.Key, attempt: types.AttemptTag(req.GetAttempt())}
	s := c.memory.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	view := c.memory.completeView(s, id, c.newView(ref, req.GetIncarnation()))
	verdict, code := DecideCall(view)
	if verdict != Admit {
		return s.entries[id], verdict, code
	}
	e := &entry{id: id, deadline: ref.Deadline, state: Running, done: make(chan struct{})}
	c.memory.add(s, e)
	return e, verdict, ""
}

func (c *Calls) newView(ref claim.Ref, incarnation uint64) View {
	return View{
		Deadline:       ref.Deadline,
		Incarnation:    types.Incarnation(incarnation),
		OwnIncarnation: c.opts.Incarnation,
		Now:            c.opts.Clock(),
		Leaving:        c.opts.Leaving(),
	}
}

// run passes an admitted call to the service. It continues when the caller has left:
// a call that is cut off has an unknown outcome, a call that ends has a known one.
func (c *Calls) run(ctx context.Context, e *entry, req *streampb.CallRequest) {
	defer c.inFlight.Add(-1)
	ctx, cancel := context.WithTimeout(ctx, e.deadline.Sub(c.opts.Clock())+c.opts.AnswerGrace)
	defer cancel()
	answer, err := c.opts.Service.Do(ctx, toCall(req))
	state := stateOfError(err)
	if state != Completed {
		c.memory.finish(e, state, nil)
		c.opts.Recorder.Emit(EventCallFailed, event.FieldRequest, req.GetRequestId(), "claim", e.id.claim, "attempt", e.id.attempt, "err", err)
		return
	}
	c.memory.finish(e, Completed, &answer)
}

// stateOfError returns the state of an attempt whose call returned err. Only an error
// that is known to have had no effect is NotSent, all others mean a lost answer.
func stateOfError(err error) AttemptState {
	switch {
	case err == nil:
		return Completed
	case errors.Is(err, plain.ErrNotSent):
		return NotSent
	default:
		return Lost
	}
}

func (c *Calls) waitForAnswer(ctx context.Context, e *entry) *streampb.CallResponse {
	select {
	case <-e.done:
		return c.storedResponse(e)
	case <-ctx.Done():
		return responseOf(Running, nil)
	}
}

func (c *Calls) storedResponse(e *entry) *streampb.CallResponse {
	s := c.memory.shard(e.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return responseOf(e.state, e.answer)
}

// Void makes sure that an attempt never runs, if that is still possible, and returns
// what is known of it.
func (c *Calls) Void(_ context.Context, req *streampb.VoidRequest) *streampb.CallResponse {
	resp := c.void(req)
	resp.Incarnation = uint64(c.opts.Incarnation)
	c.metrics.voids.WithLabelValues(resp.GetOutcome().String(), resp.GetCode()).Inc()
	return resp
}

func (c *Calls) void(req *streampb.VoidRequest) *streampb.CallResponse {
	ref, err := claim.ParseRef(req.GetClaim())
	if err != nil || req.GetAttempt() == 0 {
		return response(streampb.CallOutcome_CALL_UNKNOWN, types.CodeBadRequest)
	}
	id := attemptID{claim: ref.Key, attempt: types.AttemptTag(req.GetAttempt())}
	s := c.memory.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	verdict, code := DecideVoid(c.memory.completeView(s, id, c.newView(ref, req.GetIncarnation())))
	switch verdict {
	case LeaveTombstone:
		c.memory.add(s, &entry{id: id, deadline: ref.Deadline, state: Voided})
		c.opts.Recorder.Emit(EventVoided, "claim", ref.Key, "attempt", req.GetAttempt())
		return notRunResponse(types.CodeTombstone)
	case AnswerNotRun:
		return notRunResponse(types.CodeTombstone)
	case AnswerRunning:
		return responseOf(Running, nil)
	case AnswerCompleted:
		return responseOf(Completed, s.entries[id].answer)
	default:
		c.opts.Recorder.Emit(EventVoidUnknown, "claim", ref.Key, "attempt", req.GetAttempt(), "code", code)
		return response(streampb.CallOutcome_CALL_UNKNOWN, code)
	}
}

// InFlight counts the calls that a stop has to wait for.
func (c *Calls) InFlight() int { return int(c.inFlight.Load()) }

// Dump is the gate's state for operators.
type Dump struct {
	Incarnation types.Incarnation `json:"incarnation"`
	InFlight    int               `json:"in_flight"`
	Attempts    map[string]int    `json:"attempts"` // remembered attempts by state
	AnswerBytes int               `json:"answer_bytes"`
	Forgotten   time.Time         `json:"forgotten"` // latest deadline of the forgotten attempts of all shards
}

// Dump returns the gate's state.
func (c *Calls) Dump() any {
	states, bytes := c.memory.counts()
	dump := Dump{Incarnation: c.opts.Incarnation, InFlight: c.InFlight(), AnswerBytes: bytes,
		Attempts: make(map[string]int, len(states)), Forgotten: c.memory.latestForgotten()}
	for state, n := range states {
		dump.Attempts[state.String()] = n
	}
	return dump
}

func toCall(req *streampb.CallRequest) plain.Call {
	return plain.Call{Method: req.GetMethod(), Path: req.GetPath(), Header: streampb.ToHeader(req.GetHeaders()), Body: req.GetBody()}
}
