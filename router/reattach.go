package router

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/event"
	streampb "github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/tokenlog"
	"github.com/pearyard/pearyard/types"
)

const (
	// extraJournalPeers are asked in addition to those that a journal is written
	// to: the writer's view of the members may have differed from this router's.
	extraJournalPeers = 2
	// maxSidecarsSearched bounds the search among all sidecars, used when the
	// journal peers don't know the generation.
	maxSidecarsSearched    = 64
	reserveTimeout         = 300 * time.Millisecond
	reservePollInterval    = 20 * time.Millisecond
	searchTimeout          = 500 * time.Millisecond
	lostRetryAfter         = time.Second
	inconclusiveRetryAfter = 2 * time.Second
)

// findOrReserveKey reserves the caller's idempotency key for this run, or reports
// that the key already has a generation that runs. The run then takes that
// generation's id.
//
// It keeps the same request, sent through two routers at once, from running
// twice. The second router finds the reservation of the first one before the
// backend server has registered the generation, and waits briefly for that. A
// registration later than the timeout costs duplicate work on an engine, but
// never a mixed answer.
func (g *generationRun) findOrReserveKey(ctx context.Context) (attach bool) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	for {
		found, err := g.router.journal.FindKey(ctx, g.id, g.journalPeers())
		if err != nil || !found.Known {
			return false
		}
		if found.Runner != "" {
			g.id = found.Generation
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(reservePollInterval):
		}
	}
}

func (g *generationRun) journalPeers() []string {
	n := g.text.Recovery.JournalPeers + extraJournalPeers
	return tokenlog.Place(g.req.key, g.router.journalSites(), n, "")
}

// searchOrder lists all sidecars, journal peers first: the others are asked when
// the journal peers hold nothing. With more than maxSidecarsSearched sidecars it
// lists the journal peers only.
//
// The writer may have seen other members than this router does, shortly after a
// start or a partition, and have written its journal to sidecars that are no
// journal peers in this router's view. The generation would be reported as lost
// although a sidecar holds all of its tokens.
func (g *generationRun) searchOrder() []string {
	sites := g.router.journalSites()
	if len(sites) > maxSidecarsSearched {
		return g.journalPeers()
	}
	return tokenlog.Place(g.req.key, sites, len(sites), "")
}

// reattach continues a generation that the caller may have received a part of. It
// reads from the sidecar that runs it, or else resumes it from its journal.
func (g *generationRun) reattach(ctx context.Context) (done bool, refusal *types.Refusal) {
	lastSeen := g.lastSeenEvent()
	g.delivered = g.tokensSeen()
	g.gap = &gap{since: g.receivedAt, cause: causeCallerReturned}
	g.ran = true
	g.router.opts.Recorder.Emit(eventReturned, event.FieldRequest, g.req.requestID, "generation", g.id, "seen", g.delivered)
	branch, err := g.router.journal.Find(ctx, lastSeen, g.searchOrder())
	runners := g.runners(ctx, branch, err)
	for _, addr := range runners {
		result := g.attach(ctx, addr, lastSeen)
		if g.successor == nil && (result.end == endLost || result.end == endNotStarted) {
			continue
		}
		return g.afterAttempt(ctx, result)
	}
	return false, g.resumeFromJournal(branch, err)
}

// lastSeenEvent identifies the last token that the caller has received.
func (g *generationRun) lastSeenEvent() types.EventID {
	if g.req.lastEvent == nil {
		return types.EventID{Generation: g.id}
	}
	return *g.req.lastEvent
}

func (g *generationRun) tokensSeen() int {
	if g.req.lastEvent == nil {
		return 0
	}
	return g.req.lastEvent.Index + 1
}

// runners lists the sidecars that may hold the generation's log: the one that the
// journal names, or else all that answer that they hold it.
func (g *generationRun) runners(ctx context.Context, branch tokenlog.Branch, err error) []string {
	var failed *tokenlog.FindError
	if errors.As(err, &failed) {
		branch = failed.Best
	}
	if branch.Runner != "" && g.router.maybeAlive(branch.Runner) {
		return []string{branch.Runner}
	}
	if err == nil {
		return nil
	}
	return g.router.searchSidecars(ctx, g.id)
}

// attach reads the answer from its beginning from a sidecar that holds it.
func (g *generationRun) attach(ctx context.Context, addr string, lastSeen types.EventID) attemptResult {
	req := &streampb.AttachRequest{Generation: g.id.String(), Attempt: uint32(lastSeen.Attempt), From: uint32(g.tokensSeen())}
	stream := g.router.openStream(ctx, addr, streampb.PathAttach, req)
	earlier := g.tokens
	g.tokens = nil
	reader := &attachReader{attemptReader: attemptReader{run: g, stream: stream, address: addr, openedAt: time.Now()}, lastSeen: lastSeen}
	result := reader.resolveHandover(readStream(stream, g.text.Recovery.Silence(), reader.handle))
	if result.end == endSuperseded || result.end == endLost && reader.accepted {
		g.router.cancelAttempt(addr, g.id, reader.attempt)
	}
	if len(g.tokens) < len(earlier) {
		g.tokens = earlier
	}
	return result
}

// attachReader adopts the attempt that the sidecar reports, after checking it
// against the last token that the caller has received.
type attachReader struct {
	attemptReader
	lastSeen types.EventID
}

func (a *attachReader) handle(frame *streampb.Frame) *attemptResult {
	if accepted := frame.GetAccepted(); accepted != nil {
		return a.adopt(streampb.ToLineage(accepted.GetLineage()))
	}
	// A log that ends before the caller's last token can't be the caller's answer.
	if end := frame.GetEnd(); end != nil && int(end.GetCount()) < a.run.delivered {
		return &attemptResult{end: endLost, cause: causeConnection}
	}
	return a.attemptReader.handle(frame)
}

// adopt rejects a log that doesn't contain the caller's last token. Continuing
// with it would join tokens of two attempts that ran concurrently.
func (a *attachReader) adopt(lineage types.Lineage) *attemptResult {
	if a.lastSeen.Attempt != 0 && !lineage.Produced(a.lastSeen.Attempt, a.lastSeen.Index) {
		return &attemptResult{end: endLost, cause: causeConnection}
	}
	a.attempt, a.lineage = lineage.Last(), lineage
	a.accepted = true
	return nil
}

// resumeFromJournal continues from the tokens that journal peers hold. If nothing can
// be found, a generation of which the caller has received nothing starts anew, and
// another one is refused as lost. A generation that is complete in the journal is
// answered at once, with answeredRefusal.
func (g *generationRun) resumeFromJournal(branch tokenlog.Branch, err error) *types.Refusal {
	if len(g.tokens) >= g.delivered && len(g.tokens) > len(branch.Tokens) {
		return nil // an attached log broke off: resume after the tokens it brought
	}
	if err != nil && g.req.lastEvent == nil {
		g.startAnew()
		return nil
	}
	if err != nil {
		return g.generationLost(err)
	}
	if len(branch.Tokens) < g.delivered {
		return g.generationLost(tokenlog.ErrTooShort)
	}
	if branch.Runner != "" && len(branch.Lineage) > 0 && branch.Finish == "" {
		// Its sidecar may be alive and work on, although its log can't be read.
		g.router.cancelAttempt(branch.Runner, g.id, branch.Lineage.Last())
	}
	g.tokens, g.lineage = branch.Tokens, branch.Lineage
	if sendErr := g.deliver(); sendErr != nil {
		return callerLeftRefusal
	}
	if branch.Finish != "" {
		return g.finishedInJournal(branch.Finish)
	}
	return nil
}

// startAnew replaces a generation that can't be found, and of which this caller
// has received nothing, by a new one.
func (g *generationRun) startAnew() {
	g.id = types.NewGenerationID(g.req.key)
	g.tokens, g.lineage, g.gap = nil, nil, nil
	g.answer = g.newAnswer(g.id)
}

// answeredRefusal ends a run whose answer has been written completely. It is never sent
// to a caller.
var answeredRefusal = &types.Refusal{Code: "", Message: "answered"}

func (g *generationRun) finishedInJournal(reason types.FinishReason) *types.Refusal {
	if refusal := g.finish(reason); refusal != nil {
		return refusal
	}
	return answeredRefusal
}

// generationLost returns the refusal of a generation that can't continue the
// tokens that the caller has. Starting another one in its place would join two
// different answers.
func (g *generationRun) generationLost(cause error) *types.Refusal {
	g.router.opts.Recorder.Emit(eventGenerationLost, event.FieldRequest, g.req.requestID, "generation", g.id, "cause", cause)
	refusal := types.Unknown(types.CodeGenerationLost, lostRetryAfter, "the generation can't go on (%v); send the request anew without %s", cause, HeaderLastEventID)
	refusal.Status = http.StatusGone
	if errors.Is(cause, tokenlog.ErrInconclusive) {
		refusal.Status = http.StatusServiceUnavailable
		refusal.RetryAfter = inconclusiveRetryAfter
		refusal.Message = "not everybody who may hold the generation could be asked; come back with the same Last-Event-ID"
	}
	return refusal
}

// searchSidecars asks every sidecar for a generation and returns those that hold it.
func (r *Router) searchSidecars(ctx context.Context, id types.GenerationID) []string {
	sites := r.journalSites()
	if len(sites) > maxSidecarsSearched {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	var mu sync.Mutex
	var found []string
	var wait sync.WaitGroup
	for _, site := range sites {
		wait.Go(func() {
			resp, err := r.sidecars.Lookup(ctx, site.Address, &streampb.LookupRequest{Generation: id.String()})
			if err != nil || resp.GetRunner() != site.Address {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			found = append(found, site.Address)
		})
	}
	wait.Wait()
	return found
}
