package router

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/claim"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/httpanswer"
	"github.com/pearyard/pearyard/limit"
	"github.com/pearyard/pearyard/plain"
	"github.com/pearyard/pearyard/route"
	streampb "github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/text"
	"github.com/pearyard/pearyard/types"
)

// hopHeaders belong to one connection, or to this system; they aren't passed on.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Authorization", "Content-Length"}

// callTimeout bounds a call of a plain service: its caller waits for seconds,
// and a frozen VM answers nothing.
const callTimeout = 10 * time.Second

// serveCall serves one call of a plain service.
func (r *Router) serveCall(w http.ResponseWriter, req *http.Request, in *admitted) {
	_, _, refusal := plainCall(req, in)
	if refusal != nil {
		defer httpanswer.DrainBody(w, req)()
		r.refuse(w, in.id, refusal)
		return
	}
	body, ok := r.readAdmitted(w, req, in)
	if !ok {
		return
	}
	service, key, refusal := plainCall(req, in)
	if refusal != nil {
		r.refuse(w, in.id, refusal)
		return
	}
	ctx, cancel, refusal := withDeadline(req, min(in.text.Limits.Deadline(), callTimeout))
	if refusal != nil {
		r.refuse(w, in.id, refusal)
		return
	}
	defer cancel()
	release, refusal := r.admitCall(ctx, in.organisation)
	if refusal != nil {
		r.refuse(w, in.id, r.truthful(req, refusal))
		return
	}
	defer release()
	answer, refusal := r.runCall(ctx, in, service, key, r.callOf(req, body))
	if refusal != nil && refusal.Code == types.CodeTableDown {
		refusal = r.truthful(req, refusal) // the others were said after reading the claim
	}
	if refusal != nil {
		r.refuse(w, in.id, refusal)
		return
	}
	r.writeCall(w, in, answer)
}

// plainCall returns the service that a call is for, and its idempotency key.
func plainCall(req *http.Request, in *admitted) (*text.Service, string, *types.Refusal) {
	service, ok := in.text.Service(req.PathValue("service"))
	if !ok || service.Kind != text.KindPlain {
		return nil, "", types.Invalid(http.StatusNotFound, types.CodeUnknownService, "no plain service has the name %q", req.PathValue("service"))
	}
	key, refusal := idempotencyKeyOf(req.Header)
	if refusal == nil && key == "" && service.Calls == text.CallsAtMostOnce {
		refusal = types.Invalid(http.StatusBadRequest, types.CodeKeyRequired, "calls of %s need an %s", service.Name, HeaderIdempotencyKey)
	}
	return service, key, refusal
}

func (r *Router) admitCall(ctx context.Context, org *text.Organisation) (func(), *types.Refusal) {
	if r.opts.Limiter == nil {
		return func() {}, nil
	}
	return r.opts.Limiter.Admit(ctx, types.Organisation(org.Name), limit.Plain)
}

func (r *Router) callOf(req *http.Request, body []byte) plain.Call {
	path := "/" + req.PathValue("path")
	if req.URL.RawQuery != "" {
		path += "?" + req.URL.RawQuery
	}
	header := req.Header.Clone()
	for _, name := range hopHeaders {
		header.Del(name)
	}
	return plain.Call{Method: req.Method, Path: path, Header: header, Body: body}
}

func (r *Router) runCall(ctx context.Context, in *admitted, service *text.Service, key string, call plain.Call) (plain.Answer, *types.Refusal) {
	sf := r.service(service.Name)
	if sf == nil {
		return plain.Answer{}, types.NotRun(types.CodeNoBackend, unconfiguredRetry, "service %s is not ready here yet", service.Name)
	}
	if service.Calls == text.CallsAtMostOnce {
		return r.runOnce(ctx, in, sf, key, call)
	}
	return r.runRepeatable(ctx, in, sf, call)
}

// runOnce leaves a non-idempotent call to the claim protocol.
func (r *Router) runOnce(ctx context.Context, in *admitted, sf *serviceFleet, key string, call plain.Call) (plain.Answer, *types.Refusal) {
	if r.opts.Claims == nil {
		return plain.Answer{}, types.NotRun(types.CodeTableDown, unconfiguredRetry, "this router has no table service")
	}
	deadline, _ := ctx.Deadline()
	return r.opts.Claims.Do(ctx, claim.Call{
		RequestID:    in.id,
		Service:      sf.name,
		Organisation: types.Organisation(in.organisation.Name),
		Key:          key,
		Method:       call.Method,
		Path:         call.Path,
		Header:       call.Header,
		Body:         call.Body,
		Deadline:     deadline,
	}, func(avoid []string) (claim.Target, bool) { return r.pickTarget(sf, avoid) })
}

// pickTarget chooses where a claimed call may run. Only a sidecar whose
// incarnation is known can be named in a claim.
func (r *Router) pickTarget(sf *serviceFleet, avoid []string) (claim.Target, bool) {
	query := route.Query{Zone: r.opts.Zone}
	for _, name := range avoid {
		query.Avoid = append(query.Avoid, types.ProcessID(name))
	}
	for {
		c, ok := sf.policy.Pick(&query, sf.view.Load())
		if !ok {
			return claim.Target{}, false
		}
		if t, known := sf.find(string(c.ID)); known && t.incarnation != 0 {
			return claim.Target{BackendServer: t.name, Process: t.process, Address: t.address, Incarnation: t.incarnation}, true
		}
		query.Avoid = append(query.Avoid, c.ID)
	}
}

// runRepeatable sends an idempotent call. It is sent again, within the budget,
// only where it proved not to have run: a call that makes its servers slow
// would otherwise be multiplied by those that wait for it in vain.
func (r *Router) runRepeatable(ctx context.Context, in *admitted, sf *serviceFleet, call plain.Call) (plain.Answer, *types.Refusal) {
	sf.budget.RecordRequest()
	query := route.Query{Zone: r.opts.Zone}
	for {
		c, ok := sf.policy.Pick(&query, sf.view.Load())
		if !ok {
			return plain.Answer{}, notCalled(sf.retryAfter())
		}
		query.Avoid = append(query.Avoid, c.ID)
		if !sf.circuit(c.ID).Allow() {
			continue
		}
		resp, err := r.sendCall(ctx, c, in, sf, call)
		r.noteCall(sf, c, resp, err)
		if err == nil && resp.GetOutcome() == streampb.CallOutcome_CALL_COMPLETED {
			return answerOf(resp), nil
		}
		if mayHaveRun(resp, err) {
			return plain.Answer{}, types.Unknown(types.CodeUnknownOutcome, sf.retryAfter(), "the call was sent and its answer is lost; it may be sent again")
		}
		if ctx.Err() != nil || !sf.budget.Allow() {
			return plain.Answer{}, notCalled(sf.retryAfter())
		}
	}
}

func (r *Router) sendCall(ctx context.Context, c *route.Candidate, in *admitted, sf *serviceFleet, call plain.Call) (*streampb.CallResponse, error) {
	sent := c.Begin(&route.Query{})
	defer sent.End()
	deadline, _ := ctx.Deadline()
	r.opts.Recorder.Emit(eventPlaced, event.FieldRequest, in.id, "service", sf.name, "backend_server", c.ID)
	return r.sidecars.Call(ctx, c.Address, &streampb.CallRequest{
		RequestId:      string(in.id),
		Service:        sf.name,
		Method:         call.Method,
		Path:           call.Path,
		Headers:        streampb.FromHeader(call.Header),
		Body:           call.Body,
		DeadlineUnixMs: deadline.UnixMilli(),
	})
}

func mayHaveRun(resp *streampb.CallResponse, err error) bool {
	if err != nil {
		return !errors.Is(err, plain.ErrNotSent)
	}
	return resp.GetOutcome() != streampb.CallOutcome_CALL_NOT_RUN
}

// noteCall updates what is known of the backend server by how a call ended.
func (r *Router) noteCall(sf *serviceFleet, c *route.Candidate, resp *streampb.CallResponse, err error) {
	circuit := sf.circuit(c.ID)
	switch {
	case err == nil && resp.GetOutcome() == streampb.CallOutcome_CALL_COMPLETED:
		c.Stats.Succeeded()
		circuit.Success()
	case types.Code(resp.GetCode()) == types.CodeLeaving:
		r.noteLeaving(sf, c)
	default:
		c.Stats.Failed(time.Now())
		circuit.Failure()
	}
}

func notCalled(wait time.Duration) *types.Refusal {
	return types.NotRun(types.CodeNoBackend, wait, "no backend server takes this call")
}

func answerOf(resp *streampb.CallResponse) plain.Answer {
	return plain.Answer{Status: int(resp.GetStatus()), Header: streampb.ToHeader(resp.GetHeaders()), Body: resp.GetBody()}
}

func (r *Router) writeCall(w http.ResponseWriter, in *admitted, answer plain.Answer) {
	h := w.Header()
	for name, values := range answer.Header {
		if !strings.HasPrefix(name, "Pearyard-") {
			h[name] = values
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
	h.Set(HeaderOutcome, string(types.OutcomeCompleted))
	r.metrics.requests.WithLabelValues(string(types.OutcomeCompleted), "").Inc()
	r.opts.Recorder.Emit(eventDelivered, event.FieldRequest, in.id, "status", answer.Status)
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}
