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

// HeaderTimeout is a caller's own deadline in seconds, passed on to the engine.
const HeaderTimeout = "Pearyard-Timeout"

// longTokens is the budget from which a generation counts as long for limits.
const longTokens = 1024

const (
	drainRetryAfter    = time.Second
	unconfiguredRetry  = 2 * time.Second
	staleRetryAfter    = 2 * time.Second
	authorizationTitle = "Bearer "
)

// Handler serves callers.
func (r *Router) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", r.guarded(func(w http.ResponseWriter, req *http.Request, in *admitted) { r.serveGeneration(w, req, in, false) }))
	mux.HandleFunc("POST /v1/chat/completions", r.guarded(func(w http.ResponseWriter, req *http.Request, in *admitted) { r.serveGeneration(w, req, in, true) }))
	mux.HandleFunc("GET /v1/models", r.guarded(r.serveModels))
	mux.HandleFunc("/services/{service}/{path...}", r.guarded(r.serveCall))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", r.serveReady)
	mux.HandleFunc("/", r.serveUnknown)
	return mux
}

// admitted is a request that may be looked at: the router takes work, has a
// text that is fresh enough, and the caller is known.
type admitted struct {
	id           types.RequestID
	text         *text.Config
	organisation *text.Organisation
	begun        time.Time
}

func (r *Router) guarded(next func(http.ResponseWriter, *http.Request, *admitted)) http.HandlerFunc {
	return func(raw http.ResponseWriter, req *http.Request) {
		in := &admitted{id: types.NewRequestID(), begun: time.Now()}
		w := &httpanswer.Writer{ResponseWriter: raw}
		defer r.answerPanic(w, in.id)
		w.Header().Set(HeaderRequestID, string(in.id))
		if !r.enter() {
			defer httpanswer.DrainBody(w, req)()
			leaving := types.NotRun(types.CodeLeaving, drainRetryAfter, "this router is being stopped; another one serves")
			r.refuse(w, in.id, r.truthful(req, leaving))
			return
		}
		defer r.exit()
		r.begun.Store(in, nil)
		defer r.begun.Delete(in)
		if refusal := r.admitCaller(req, in); refusal != nil {
			defer httpanswer.DrainBody(w, req)()
			r.refuse(w, in.id, r.truthful(req, refusal))
			return
		}
		next(w, req, in)
	}
}

func (r *Router) admitCaller(req *http.Request, in *admitted) *types.Refusal {
	in.text = r.opts.Text()
	if in.text == nil {
		return types.NotRun(types.CodeNotConfigured, unconfiguredRetry, "no text is in force here yet")
	}
	// Failure it stops: a router that was frozen or cut off serves by a text
	// that was replaced long ago. Past the bounded age it refuses new work.
	if !r.opts.Fresh() {
		return types.NotRun(types.CodeStale, staleRetryAfter, "this router is cut off from the configuration")
	}
	token, ok := strings.CutPrefix(req.Header.Get("Authorization"), authorizationTitle)
	if !ok {
		return types.Invalid(http.StatusUnauthorized, types.CodeUnauthorized, "an API key is needed: Authorization: Bearer KEY")
	}
	org, ok := in.text.OrganisationByKey(token)
	if !ok {
		return types.Invalid(http.StatusUnauthorized, types.CodeUnauthorized, "the API key is not known")
	}
	in.organisation = org
	return nil
}

func (r *Router) serveGeneration(w http.ResponseWriter, req *http.Request, in *admitted, chat bool) {
	body, ok := r.readAdmitted(w, req, in)
	if !ok {
		return
	}
	a, refusal := parseAsk(req, body, chat, in.text, in.organisation)
	if refusal != nil {
		r.refuse(w, in.id, refusal)
		return
	}
	a.requestID = in.id
	ctx, cancel, refusal := withDeadline(req, in.text.Limits.Deadline())
	if refusal != nil {
		r.refuse(w, in.id, refusal)
		return
	}
	defer cancel()
	release, refusal := r.admitOrganisation(ctx, a)
	if refusal != nil {
		r.refuse(w, in.id, refusal)
		return
	}
	defer release()
	r.generate(ctx, w, a, in)
}

// readAdmitted reads a request's body and admits the request anew; false: it was
// refused.
//
// Failure it stops: a body that comes slowly was judged by the text of its head.
// A key that had been revoked meanwhile went on working, however long ago that was.
func (r *Router) readAdmitted(w http.ResponseWriter, req *http.Request, in *admitted) ([]byte, bool) {
	body, refusal := readBody(w, req, in.text.Limits.MaxBodyBytes)
	if refusal != nil {
		defer httpanswer.DrainBody(w, req)()
		r.refuse(w, in.id, refusal)
		return nil, false
	}
	if refusal := r.admitCaller(req, in); refusal != nil {
		r.refuse(w, in.id, r.truthful(req, refusal))
		return nil, false
	}
	return body, true
}

func (r *Router) admitOrganisation(ctx context.Context, a *ask) (func(), *types.Refusal) {
	// A caller that comes back for the rest of its answer has been admitted
	// before; shedding it would lose work already paid for.
	if r.opts.Limiter == nil || a.lastEvent != nil {
		return func() {}, nil
	}
	class := limit.Short
	if a.maxTokens >= longTokens {
		class = limit.Long
	}
	return r.opts.Limiter.Admit(ctx, types.Organisation(a.organisation.Name), class)
}

// generate runs a generation to its final answer.
func (r *Router) generate(ctx context.Context, w http.ResponseWriter, a *ask, in *admitted) {
	sf := r.service(a.service.Name)
	if sf == nil {
		r.refuse(w, a.requestID, types.NotRun(types.CodeNoBackend, unconfiguredRetry, "service %s is not ready here yet", a.service.Name))
		return
	}
	d := &drive{r: r, ask: a, text: in.text, fleet: sf, begun: in.begun, id: types.NewGenerationID(a.key)}
	if a.lastEvent != nil {
		d.id = a.lastEvent.Generation
	}
	attach := a.lastEvent != nil || (a.explicitKey && d.reserve(ctx))
	d.newAnswer = func(id types.GenerationID) answer { return newAnswer(w, a, id) }
	d.answer = d.newAnswer(d.id)
	refusal := d.start(ctx, attach)
	r.conclude(w, d, refusal)
}

// start reattaches where the caller returns, and drives the generation to its end.
func (d *drive) start(ctx context.Context, attach bool) *types.Refusal {
	defer d.dropSuccessor()
	if attach {
		done, refusal := d.reattach(ctx)
		if done || refusal != nil {
			return refusal
		}
		return d.run(ctx)
	}
	d.fleet.budget.RecordRequest()
	d.r.opts.Recorder.Emit(eventBegun, event.FieldRequest, d.ask.requestID, "generation", d.id, "organisation", d.ask.organisation.Name)
	return d.run(ctx)
}

// conclude writes what is left to say to the caller.
func (r *Router) conclude(w http.ResponseWriter, d *drive, refusal *types.Refusal) {
	switch {
	case refusal == nil || refusal == errAnswered:
	case refusal == errCallerLeft:
		r.opts.Recorder.Emit(eventCallerLeft, event.FieldRequest, d.ask.requestID, "generation", d.id, "tokens", d.sent)
		// Failure it stops: a caller that has only closed its sending side looks as
		// if it had left. Returning in order, the handler gave it 200 with nothing
		// in it, or a stream that ended in its middle and looked whole.
		panic(http.ErrAbortHandler)
	case d.answer.started():
		r.countRefusal(d.ask.requestID, refusal)
		_ = d.answer.fail(refusal)
	default:
		r.refuse(w, d.ask.requestID, refusal)
	}
}

// withDeadline bounds a request by its caller's deadline and the given limit.
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
