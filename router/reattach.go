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
	// extraPeers are asked beyond those that a journal is written to: the
	// writer's view of the members may have differed from this router's.
	extraPeers = 2
	// askAllUpTo bounds the search among all sidecars when the journal peers
	// don't know the generation.
	askAllUpTo       = 64
	reserveTimeout   = 300 * time.Millisecond
	reservePause     = 20 * time.Millisecond
	askAllTimeout    = 500 * time.Millisecond
	lostRetryAfter   = time.Second
	unsureRetryAfter = 2 * time.Second
)

// reserve finds out whether the caller's idempotency key already has a
// generation. It returns the generation to use, and whether it is another's.
//
// Failure it stops: the same request sent through two routers at once runs
// twice. The router that comes second finds the first one's reservation before
// its backend server has registered, and waits a little for that. What the
// wait doesn't catch costs an engine's work, never a mixed answer.
func (d *drive) reserve(ctx context.Context) (attach bool) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	for {
		found, err := d.r.journal.FindKey(ctx, d.id, d.journalPeers())
		if err != nil || !found.Known {
			return false
		}
		if found.Runner != "" {
			d.id = found.Generation
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(reservePause):
		}
	}
}

func (d *drive) journalPeers() []string {
	n := d.text.Recovery.JournalPeers + extraPeers
	return tokenlog.Place(d.ask.key, d.r.sites(), n, "")
}

// allSites lists the journal peers first and then, on a site of moderate size,
// everybody else: they are asked when the journal peers hold nothing.
//
// Failure it stops: the writer saw other members than this router does, just
// after a start or a partition, and wrote where this router doesn't look. It
// shows as generation_lost although a peer holds all tokens.
func (d *drive) allSites() []string {
	sites := d.r.sites()
	if len(sites) > askAllUpTo {
		return d.journalPeers()
	}
	return tokenlog.Place(d.ask.key, sites, len(sites), "")
}

// reattach goes on with a generation that the caller has seen a part of: it
// reads from the sidecar that runs it, or else resumes it from its journal.
func (d *drive) reattach(ctx context.Context) (done bool, refusal *types.Refusal) {
	want := d.want()
	d.sent = d.seen()
	d.gap = &gap{since: d.begun, cause: causeReturn}
	d.ran = true
	d.r.opts.Recorder.Emit(eventReturned, event.FieldRequest, d.ask.requestID, "generation", d.id, "seen", d.sent)
	branch, err := d.r.journal.Find(ctx, want, d.allSites())
	runners := d.runners(ctx, branch, err)
	for _, addr := range runners {
		result := d.attach(ctx, addr, want)
		if d.successor == nil && (result.ending == lost || result.ending == notStarted) {
			continue
		}
		return d.settle(ctx, result)
	}
	return false, d.resumeFromJournal(branch, err)
}

// want names the last token that the caller has seen.
func (d *drive) want() types.EventID {
	if d.ask.lastEvent == nil {
		return types.EventID{Generation: d.id}
	}
	return *d.ask.lastEvent
}

func (d *drive) seen() int {
	if d.ask.lastEvent == nil {
		return 0
	}
	return d.ask.lastEvent.Index + 1
}

// runners lists the sidecars that may hold the generation's log: the one that
// the journal names, else whoever says so when all are asked.
func (d *drive) runners(ctx context.Context, branch tokenlog.Branch, err error) []string {
	var failed *tokenlog.FindError
	if errors.As(err, &failed) {
		branch = failed.Best
	}
	if branch.Runner != "" && d.r.reachable(branch.Runner) {
		return []string{branch.Runner}
	}
	if err == nil {
		return nil
	}
	return d.r.askAll(ctx, d.id)
}

// attach reads the answer from the beginning from a sidecar that holds it.
func (d *drive) attach(ctx context.Context, addr string, want types.EventID) attemptResult {
	req := &streampb.AttachRequest{Generation: d.id.String(), Attempt: uint32(want.Attempt), From: uint32(d.seen())}
	stream := d.r.openStream(ctx, addr, streampb.PathAttach, req)
	kept := d.tokens
	d.tokens = nil
	reader := &attachReader{attemptReader: attemptReader{d: d, stream: stream, address: addr, opened: time.Now()}, want: want}
	result := reader.handOver(readStream(stream, d.text.Recovery.Silence(), reader.handle))
	if result.ending == overtaken {
		d.r.cancelAttempt(addr, d.id, reader.attempt)
	}
	if len(d.tokens) < len(kept) {
		d.tokens = kept
	}
	return result
}

// attachReader learns the attempt from the sidecar and holds it against what
// the caller has seen.
type attachReader struct {
	attemptReader
	want types.EventID
}

func (a *attachReader) handle(frame *streampb.Frame) *attemptResult {
	if accepted := frame.GetAccepted(); accepted != nil {
		return a.adopt(streampb.ToLineage(accepted.GetLineage()))
	}
	if end := frame.GetEnd(); end != nil && int(end.GetCount()) < a.d.sent {
		return &attemptResult{ending: lost, cause: causeConnection}
	}
	return a.attemptReader.handle(frame)
}

// adopt refuses a log that doesn't contain the caller's last token. Going on
// with it would join tokens of two attempts that ran side by side.
func (a *attachReader) adopt(lineage types.Lineage) *attemptResult {
	if a.want.Attempt != 0 && !lineage.Produced(a.want.Attempt, a.want.Index) {
		return &attemptResult{ending: lost, cause: causeConnection}
	}
	a.attempt, a.lineage = lineage.Last(), lineage
	a.accepted = true
	return nil
}

// resumeFromJournal continues from what journal peers hold, or says truthfully
// that the generation is lost.
func (d *drive) resumeFromJournal(branch tokenlog.Branch, err error) *types.Refusal {
	if len(d.tokens) >= d.sent && len(d.tokens) > len(branch.Tokens) {
		return nil // a log broke off while it was read; go on from what was read
	}
	if err != nil && d.ask.lastEvent == nil {
		d.renew()
		return nil
	}
	if err != nil {
		return d.generationLost(err)
	}
	if len(branch.Tokens) < d.sent {
		return d.generationLost(tokenlog.ErrTooShort)
	}
	d.tokens, d.lineage = branch.Tokens, branch.Lineage
	if sendErr := d.send(); sendErr != nil {
		return errCallerLeft
	}
	if branch.Finish != "" {
		return d.finishedInJournal(branch.Finish)
	}
	return nil
}

// renew begins another generation in place of one that can't be found and of
// which this caller has seen nothing.
func (d *drive) renew() {
	d.id = types.NewGenerationID(d.ask.key)
	d.tokens, d.lineage, d.gap = nil, nil, nil
	d.answer = d.newAnswer(d.id)
}

// errAnswered tells the caller of run that the answer is already whole.
var errAnswered = &types.Refusal{Code: "", Message: "answered"}

func (d *drive) finishedInJournal(reason types.FinishReason) *types.Refusal {
	if refusal := d.finish(reason); refusal != nil {
		return refusal
	}
	return errAnswered
}

// generationLost is the typed end of a generation that can't go on as the one
// the caller has seen. Starting another in its place would be a splice.
func (d *drive) generationLost(cause error) *types.Refusal {
	d.r.opts.Recorder.Emit(eventGenerationLost, event.FieldRequest, d.ask.requestID, "generation", d.id, "cause", cause)
	refusal := types.Unknown(types.CodeGenerationLost, lostRetryAfter, "the generation can't go on (%v); send the request anew without %s", cause, HeaderLastEventID)
	refusal.Status = http.StatusGone
	if errors.Is(cause, tokenlog.ErrInconclusive) {
		refusal.Status = http.StatusServiceUnavailable
		refusal.RetryAfter = unsureRetryAfter
		refusal.Message = "not everybody who may hold the generation could be asked; come back with the same Last-Event-ID"
	}
	return refusal
}

// askAll asks every sidecar for a generation and returns those that hold it.
func (r *Router) askAll(ctx context.Context, id types.GenerationID) []string {
	sites := r.sites()
	if len(sites) > askAllUpTo {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, askAllTimeout)
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
