package exchange

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/promptcache"
	"github.com/pearyard/pearyard/site"
	"github.com/pearyard/pearyard/suspect"
	"github.com/pearyard/pearyard/types"
)

// Parameters of the model engine, a batch engine that reads prompts in chunks between
// the tokens of running streams: a step gives each stream a token and reads one chunk
// of the oldest unread prompt.
const (
	modelStep       = 6 * time.Millisecond
	modelChunk      = 200                    // prompt tokens per step
	modelReadSpeed  = 8                      // prompt tokens per millisecond
	modelEvent      = 5                      // tokens per event
	modelCopyDelay  = 400 * time.Millisecond // from a run's first event until the copy that it sends is ready
	modelCopyTime   = 50 * time.Millisecond  // of a requested copy
	modelAnswerTime = 2 * time.Millisecond   // of a probe or query
	// modelReadAtOnce is up to how many tokens that a copy lacks are read with the next
	// step; more are queued behind prompts. This models a measurement: of the streams that
	// resumed from a requested copy, 0 of 31 paused for over 0.7 s where the copy was less
	// than a second old, 88 of 543 where it was older.
	modelReadAtOnce = 100
)

// modelEngine is one backend server's engine.
type modelEngine struct {
	slowness float64 // 1: as fast as modelStep and modelReadSpeed say
	version  string  // of its software; its events name it

	mu      sync.Mutex
	runs    []*modelRun
	cached  promptcache.Contents
	down    bool
	born    int64 // of its newest start
	unlists bool  // its entry is removed while it is down
	read    int   // prompt tokens read in total
	started int   // runs started
	wake    chan struct{}
	copies  map[string]modelCopy // by request
}

// modelCopy is a copy of a run on another engine.
type modelCopy struct {
	ready  time.Time // when it can be resumed from
	grows  bool      // the run itself sends it as it grows
	events int       // events that it covers, if it doesn't grow
}

// modelRun is one stream on an engine.
type modelRun struct {
	id     string
	ctx    context.Context
	prompt []promptcache.Part
	unread int
	tokens int         // generated since the start of the run
	last   int         // id of the newest event
	events int         // of the whole stream
	mute   bool        // it generates nothing
	out    chan []byte // its events, and closed at its end
	ended  error       // valid once out is closed
}

// modelBackend is a set of model engines in virtual time. The first letter of an id is
// its zone.
type modelBackend struct {
	engines map[string]*modelEngine
	length  func(id string) int           // events of a request's stream
	arrived func(*modelEngine, *modelRun) // called with each run that an engine admits; may be nil
	// turnsAway is called with each request that reaches an engine and reports whether it is
	// turned away; may be nil.
	turnsAway func(*directory.Server) bool
}

func newModelBackend(ctx context.Context, ids []string, slowness func(i int) float64) *modelBackend {
	b := &modelBackend{engines: map[string]*modelEngine{}, length: func(string) int { return 130 }}
	for i, id := range ids {
		e := &modelEngine{slowness: slowness(i), cached: promptcache.Contents{}, wake: make(chan struct{}, 1), copies: map[string]modelCopy{}}
		b.engines[id] = e
		go e.work(ctx)
	}
	return b
}

// evenSpeed is a slowness that is the same for all engines.
func evenSpeed(int) float64 { return 1 }

// work runs steps while there are runs.
func (e *modelEngine) work(ctx context.Context) {
	for {
		e.mu.Lock()
		idle := len(e.runs) == 0
		reading := e.reading()
		e.mu.Unlock()
		if idle {
			select {
			case <-e.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		took, chunk := modelStep, 0
		if reading != nil {
			chunk = min(modelChunk, reading.unread)
			took += time.Duration(chunk) * time.Millisecond / modelReadSpeed
		}
		time.Sleep(time.Duration(e.slowness * float64(took)))
		e.step(reading, chunk)
	}
}

// reading returns the run whose prompt is read next; nil: there is none.
func (e *modelEngine) reading() *modelRun {
	for _, r := range e.runs {
		if r.unread > 0 {
			return r
		}
	}
	return nil
}

// step reads a chunk of a run's prompt and gives each run that has read its prompt a
// token.
func (e *modelEngine) step(reading *modelRun, chunk int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if reading != nil {
		reading.unread -= chunk
		e.read += chunk
		if reading.unread == 0 {
			e.cachePrompt(reading.prompt)
		}
	}
	var left []*modelRun
	for _, r := range e.runs {
		if e.generate(r) {
			left = append(left, r)
		}
	}
	e.runs = left
}

// cachePrompt adds the parts of a prompt to the cache.
func (e *modelEngine) cachePrompt(prompt []promptcache.Part) {
	for _, part := range prompt {
		e.cached[part.ID] = part.Tokens
	}
}

// generate generates a run's next token; it returns false if the run has ended.
func (e *modelEngine) generate(r *modelRun) bool {
	if r.ctx.Err() != nil {
		r.end(r.ctx.Err())
		return false
	}
	if r.unread > 0 || r.mute {
		return true
	}
	r.tokens++
	if r.tokens%modelEvent != 0 {
		return true
	}
	r.last++
	r.out <- fmt.Appendf(nil, "id: %d\ndata: %s\n\n", r.last, e.version)
	if r.last < r.events {
		return true
	}
	r.end(io.EOF)
	return false
}

func (r *modelRun) end(err error) {
	r.ended = err
	close(r.out)
}

// fallSilent makes the runs on an engine generate nothing more, and probes of it fail.
func (e *modelEngine) fallSilent() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.runs {
		r.mute = true
	}
	e.down = true
}

// crash ends all runs and drops the cache and the copies; revive begins a new start.
func (e *modelEngine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = true
	for _, r := range e.runs {
		r.end(io.ErrUnexpectedEOF)
	}
	e.runs, e.cached, e.copies = nil, promptcache.Contents{}, map[string]modelCopy{}
}

func (e *modelEngine) revive() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = false
	e.born++
}

// Open implements Backend.
func (b *modelBackend) Open(ctx context.Context, a *Attempt) (*Answer, error) {
	a.MarkSent()
	sentAt := time.Now()
	if b.turnsAway != nil && b.turnsAway(a.Server) {
		return nil, &NotRunError{Reason: Busy, Err: io.ErrClosedPipe}
	}
	r, err := b.engines[a.Server.ID].admit(ctx, a, b.length(a.Request.ID))
	if err != nil {
		return nil, err
	}
	if b.arrived != nil {
		b.arrived(b.engines[a.Server.ID], r)
	}
	if a.CopyTo != nil {
		b.engines[a.CopyTo.ID].expectCopy(a.Request.ID)
	}
	body := &modelBody{run: r}
	select {
	case first, ok := <-r.out:
		if !ok {
			return nil, &BrokenError{Err: r.ended}
		}
		body.rest = first
		a.Server.ReportServed(sentAt)
		return &Answer{Status: http.StatusOK, Header: http.Header{}, Body: body}, nil
	case <-ctx.Done():
		return nil, &BrokenError{Err: ctx.Err()}
	}
}

// admit starts a run.
func (e *modelEngine) admit(ctx context.Context, a *Attempt, events int) (*modelRun, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return nil, &NotRunError{Reason: Refused, Err: io.ErrClosedPipe}
	}
	r := &modelRun{id: a.Request.ID, ctx: ctx, prompt: a.Request.Prompt, events: events, out: make(chan []byte, 4096)}
	_, _ = fmt.Sscan(a.ResumeAfter, &r.last)
	r.unread = max(0, a.Request.PromptTokens-e.cached.Prefix(r.prompt)) + modelEvent*r.last
	if a.ResumeFrom != nil {
		found, known := e.copies[a.Request.ID]
		if !known || time.Now().Before(found.ready) {
			return nil, &NotRunError{Reason: Busy, Err: io.ErrClosedPipe}
		}
		r.unread = 0
		if !found.grows {
			r.unread = modelEvent * max(0, r.last-found.events)
			if r.unread <= modelReadAtOnce {
				r.unread = 0
			}
		}
	}
	e.runs = append(e.runs, r)
	e.started++
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return r, nil
}

// expectCopy records a copy that a run sends as it grows.
func (e *modelEngine) expectCopy(request string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	// It takes about a second to read a long prompt, until the first event.
	e.copies[request] = modelCopy{ready: time.Now().Add(time.Second + modelCopyDelay), grows: true}
}

// Copy implements Backend.
func (b *modelBackend) Copy(_ context.Context, req *Request, from, to *directory.Server) (*KVCopy, error) {
	events, runs := b.engines[from.ID].reached(req.ID)
	time.Sleep(modelCopyTime)
	e := b.engines[to.ID]
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down || !runs {
		return nil, io.ErrClosedPipe
	}
	e.copies[req.ID] = modelCopy{ready: time.Now(), events: events}
	return &KVCopy{Server: to, Source: from, Handle: req.ID}, nil
}

// reached returns the id of the newest event of a request's run, and whether it runs.
func (e *modelEngine) reached(request string) (event int, runs bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.runs {
		if r.id == request {
			return r.last, true
		}
	}
	return 0, false
}

// Free implements Backend.
func (b *modelBackend) Free(context.Context, *KVCopy) error { return nil }

// Probe implements Backend.
func (b *modelBackend) Probe(ctx context.Context, s *directory.Server) (int64, error) {
	e := b.engines[s.ID]
	e.mu.Lock()
	down, born := e.down, e.born
	e.mu.Unlock()
	if down {
		return 0, &NotRunError{Reason: Refused, Err: io.ErrClosedPipe}
	}
	time.Sleep(modelAnswerTime)
	return born, nil
}

// CachedPrompts implements Backend.
func (b *modelBackend) CachedPrompts(ctx context.Context, s *directory.Server) (promptcache.Contents, error) {
	time.Sleep(modelAnswerTime)
	e := b.engines[s.ID]
	e.mu.Lock()
	defer e.mu.Unlock()
	cached := promptcache.Contents{}
	for id, tokens := range e.cached {
		cached[id] = tokens
	}
	return cached, nil
}

// tokensRead returns how many prompt tokens all engines have read.
func (b *modelBackend) tokensRead() int {
	sum := 0
	for _, e := range b.engines {
		e.mu.Lock()
		sum += e.read
		e.mu.Unlock()
	}
	return sum
}

type modelBody struct {
	run  *modelRun
	rest []byte
}

func (b *modelBody) Read(p []byte) (int, error) {
	if len(b.rest) == 0 {
		select {
		case next, ok := <-b.run.out:
			if !ok {
				return 0, b.run.ended
			}
			b.rest = next
		case <-b.run.ctx.Done():
			return 0, b.run.ctx.Err()
		}
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

func (b *modelBody) Close() error { return nil }

// modelVM is an entry VM in front of model engines.
type modelVM struct {
	*Exchange
	dir      *directory.Directory
	suspects *suspect.Ledger
	grants   *suspect.Gossiper
}

// newModelVM returns a VM that has just started: it knows the list of servers and
// nothing else.
func newModelVM(b *modelBackend, ids []string) *modelVM {
	vm := &modelVM{dir: directory.New()}
	vm.suspects = suspect.New(suspect.Options{
		Limit: suspect.LedgerLimit(3), Quarantine: time.Minute,
		OnQuarantine: func(fp types.Fingerprint, _ suspect.Verdict) { vm.EndQuarantined(fp) }, HoldAccused: true,
	})
	vm.grants = suspect.NewGossiper(vm.suspects, suspect.GossiperOptions{Peers: func() []string { return nil }})
	vm.readList(b, ids)
	vm.Exchange = New(Options{
		Zone: "a", Directory: vm.dir, Backend: b, Recorder: event.Discard(), Metrics: prometheus.NewRegistry(),
		Suspects: vm.suspects, Grants: vm.grants,
		Services: func(string) (site.Service, bool) {
			return site.Service{Name: "s", Copies: true, CopiesOnDemand: true}, true
		},
		RetryWindow: 10 * time.Second, RetryRatio: 0.8, RetryExtra: func() float64 { return 150 },
	})
	return vm
}

// readList applies the store's list of servers.
func (vm *modelVM) readList(b *modelBackend, ids []string) {
	var list []directory.Listing
	for _, id := range ids {
		e := b.engines[id]
		e.mu.Lock()
		if !e.down || !e.unlists {
			list = append(list, directory.Listing{ID: id, Born: e.born, Service: "s", Zone: id[:1], Address: id, Slots: 64, Version: e.version})
		}
		e.mu.Unlock()
	}
	vm.dir.Apply(vm.dir.View().Position+1, list, false, time.Now())
}

// modelServers returns ids of servers in four zones.
func modelServers(count int) []string {
	var ids []string
	for i := range count {
		ids = append(ids, fmt.Sprintf("%c%d", 'a'+i%4, i))
	}
	return ids
}

// modelRequest returns a request with a long prompt: a short part that all requests share
// and one of its own of 7,800 tokens, 30% more or less, as long prompts vary. The same
// name gives the same length.
func modelRequest(name string) *Request {
	chance := rand.New(rand.NewPCG(xxhash.Sum64String(name), 0))
	own := int(7800 * (0.7 + 0.6*chance.Float64()))
	r := streamRequest()
	r.ID, r.Body = name, []byte(name)
	r.Prompt = []promptcache.Part{{ID: "shared", Tokens: 200}, {ID: name, Tokens: own}}
	r.PromptTokens, r.MaxTokens = 200+own, 1000
	r.Route.Objective = 4500 * time.Millisecond
	return r
}
