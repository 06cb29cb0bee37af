package router

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/httpanswer"
	"github.com/pearyard/pearyard/limit"
	"github.com/pearyard/pearyard/text"
	"github.com/pearyard/pearyard/types"
)

// HeaderTimeout is the header for the caller's timeout in seconds, which also
// bounds the engine's work.
const HeaderTimeout = "Pearyard-Timeout"

// longMaxTokens is the max_tokens from which the limiter counts a generation as long.
const longMaxTokens = 1024

const (
	drainRetryAfter    = time.Second
	notReadyRetryAfter = 2 * time.Second
	staleRetryAfter    = 2 * time.Second
	bearerPrefix       = "Bearer "
)

// Handler serves callers.
func (r *Router) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", r.wrapHandler(func(w http.ResponseWriter, req *http.Request, adm *admittedRequest) {
		r.serveGeneration(w, req, adm, false)
	}))
	mux.HandleFunc("POST /v1/chat/completions", r.wrapHandler(func(w http.ResponseWriter, req *http.Request, adm *admittedRequest) {
		r.serveGeneration(w, req, adm, true)
	}))
	mux.HandleFunc("GET /v1/models", r.wrapHandler(r.serveModels))
	mux.HandleFunc("/services/{service}/{path...}", r.wrapHandler(r.serveCall))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", r.serveReady)
	mux.HandleFunc("/", r.serveUnknown)
	return mux
}

// admittedRequest is a request that passed the general checks: the router isn't
// draining, its configuration is fresh enough and the caller is known.
type admittedRequest struct {
	id           types.RequestID
	text         *text.Config
	organisation *text.Organisation
	started      time.Time
}

// wrapHandler returns a handler that gives a request its id, counts it as in flight
// and admits its caller before it calls next. It answers panics of next.
func (r *Router) wrapHandler(next func(http.ResponseWriter, *http.Request, *admittedRequest)) http.HandlerFunc {
	return func(raw http.ResponseWriter, req *http.Request) {
		adm := &admittedRequest{id: types.NewRequestID(), started: time.Now()}
		w := &httpanswer.Writer{ResponseWriter: raw}
		defer r.answerPanic(w, adm.id)
		w.Header().Set(HeaderRequestID, string(adm.id))
		if !r.beginRequest() {
			defer httpanswer.DrainBody(w, req)()
			leaving := types.NotRun(types.CodeLeaving, drainRetryAfter, "this router is being stopped; another one serves")
			r.refuse(w, adm.id, r.accountForEarlier(req, leaving))
			return
		}
		defer r.endRequest()
		r.inFlight.Store(adm, nil)
		defer r.inFlight.Delete(adm)
		if refusal := r.admitCaller(req, adm); refusal != nil {
			defer httpanswer.DrainBody(w, req)()
			r.refuse(w, adm.id, r.accountForEarlier(req, refusal))
			return
		}
		next(w, req, adm)
	}
}

// admitCaller sets the request's configuration and organisation, or refuses it.
func (r *Router) admitCaller(req *http.Request, adm *admittedRequest) *types.Refusal {
	adm.text = r.opts.Text()
	if adm.text == nil {
		return types.NotRun(types.CodeNotConfigured, notReadyRetryAfter, "no text is in force here yet")
	}
	// A router that was frozen or cut off would go on serving by a configuration
	// that was replaced long ago. Beyond the permitted age it refuses new requests.
	if !r.opts.Fresh() {
		return types.NotRun(types.CodeStale, staleRetryAfter, "this router is cut off from the configuration")
	}
	token, ok := strings.CutPrefix(req.Header.Get("Authorization"), bearerPrefix)
	if !ok {
		return types.Invalid(http.StatusUnauthorized, types.CodeUnauthorized, "an API key is needed: Authorization: Bearer KEY")
	}
	org, ok := adm.text.OrganisationByKey(token)
	if !ok {
		return types.Invalid(http.StatusUnauthorized, types.CodeUnauthorized, "the API key is not known")
	}
	adm.organisation = org
	return nil
}

func (r *Router) serveGeneration(w http.ResponseWriter, req *http.Request, adm *admittedRequest, chat bool) {
	body, ok := r.readAdmitted(w, req, adm)
	if !ok {
		return
	}
	gr, refusal := parseGenerationRequest(req, body, chat, adm.text, adm.organisation)
	if refusal != nil {
		r.refuse(w, adm.id, refusal)
		return
	}
	gr.requestID = adm.id
	ctx, cancel, refusal := withDeadline(req, adm.text.Limits.Deadline())
	if refusal != nil {
		r.refuse(w, adm.id, refusal)
		return
	}
	defer cancel()
	release, refusal := r.admitOrganisation(ctx, gr)
	if refusal != nil {
		r.refuse(w, adm.id, refusal)
		return
	}
	defer release()
	r.generate(ctx, w, gr, adm)
}

// readAdmitted reads a request's body and then checks the caller again; false means
// that the request was refused.
//
// The check is repeated because a body may arrive slowly: a key that was revoked in
// the meantime must not be accepted, however long ago the headers were read.
func (r *Router) readAdmitted(w http.ResponseWriter, req *http.Request, adm *admittedRequest) ([]byte, bool) {
	body, refusal := readBody(w, req, adm.text.Limits.MaxBodyBytes)
	if refusal != nil {
		defer httpanswer.DrainBody(w, req)()
		r.refuse(w, adm.id, refusal)
		return nil, false
	}
	if refusal := r.admitCaller(req, adm); refusal != nil {
		r.refuse(w, adm.id, r.accountForEarlier(req, refusal))
		return nil, false
	}
	return body, true
}

func (r *Router) admitOrganisation(ctx context.Context, gr *generationRequest) (func(), *types.Refusal) {
	// A caller that reconnects for the rest of its answer has been admitted before;
	// refusing it now would waste the work already done.
	if r.opts.Limiter == nil || gr.lastEvent != nil {
		return func() {}, nil
	}
	class := limit.Short
	if gr.maxTokens >= longMaxTokens {
		class = limit.Long
	}
	return r.opts.Limiter.Admit(ctx, types.Organisation(gr.organisation.Name), class)
}

// generate runs a generation to its end.
func (r *Router) generate(ctx context.Context, w http.ResponseWriter, gr *generationRequest, adm *admittedRequest) {
	sf := r.service(gr.service.Name)
	if sf == nil {
		r.refuse(w, gr.requestID, types.NotRun(types.CodeNoBackend, notReadyRetryAfter, "service %s is not ready here yet", gr.service.Name))
		return
	}
	g := &generationRun{router: r, req: gr, text: adm.text, service: sf, receivedAt: adm.started, id: types.NewGenerationID(gr.key)}
	if gr.lastEvent != nil {
		g.id = gr.lastEvent.Generation
	}
	attach := gr.lastEvent != nil || (gr.explicitKey && g.findOrReserveKey(ctx))
	g.newAnswer = func(id types.GenerationID) answerWriter { return newAnswer(w, gr, id) }
	g.answer = g.newAnswer(g.id)
	refusal := g.reattachOrRun(ctx, attach)
	r.writeOutcome(w, g, refusal)
}

// reattachOrRun continues an existing generation if attach is set, or starts a new
// one, and runs it to its end.
func (g *generationRun) reattachOrRun(ctx context.Context, attach bool) *types.Refusal {
	defer g.dropSuccessor()
	if attach {
		done, refusal := g.reattach(ctx)
		if done || refusal != nil {
			return refusal
		}
		return g.runToEnd(ctx)
	}
	g.service.budget.RecordRequest()
	g.router.opts.Recorder.Emit(eventBegun, event.FieldRequest, g.req.requestID, "generation", g.id, "organisation", g.req.organisation.Name)
	return g.runToEnd(ctx)
}

// writeOutcome ends the response according to how the run has ended.
func (r *Router) writeOutcome(w http.ResponseWriter, g *generationRun, refusal *types.Refusal) {
	switch {
	case refusal == nil || refusal == answeredRefusal:
	case refusal == callerLeftRefusal:
		r.opts.Recorder.Emit(eventCallerLeft, event.FieldRequest, g.req.requestID, "generation", g.id, "tokens", g.delivered)
		// A caller that has only closed its sending side looks like one that has
		// left. A normal return would give it an empty response with status 200, or
		// a truncated stream that looks complete.
		panic(http.ErrAbortHandler)
	case g.answer.started():
		r.countRefusal(g.req.requestID, refusal)
		_ = g.answer.fail(refusal)
	default:
		r.refuse(w, g.req.requestID, refusal)
	}
}

// withDeadline bounds a request by the caller's timeout, if any, and by bound.
func withDeadline(req *http.Request, bound time.Duration) (context.Context, context.CancelFunc, *types.Refusal) {
	if own := req.Header.Get(HeaderTimeout); own != "" {
		seconds, err := time.ParseDuration(own + "s")
		if err != nil || seconds <= 0 {
			return nil, nil, badRequest("%s must be a number of seconds above 0", HeaderTimeout)
		}
		bound = min(bound, seconds)
	}
	ctx, cancel := context.WithTimeout(req.Context(), bound)
	return ctx, cancel, nil
}

func (r *Router) serveUnknown(w http.ResponseWriter, req *http.Request) {
	defer httpanswer.DrainBody(w, req)()
	id := types.NewRequestID()
	w.Header().Set(HeaderRequestID, string(id))
	r.refuse(w, id, types.Invalid(http.StatusNotFound, types.CodeBadRequest, "nothing is served at %s %s", req.Method, req.URL.Path))
}
