package sidecar

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/engine"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/generation"
	streampb "github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/suspect"
	"github.com/pearyard/pearyard/tokenlog"
	"github.com/pearyard/pearyard/types"
)

const (
	// refusedRetryAfter is when a router may try again here after a refusal whose reason
	// is expected to pass: the engine doesn't respond, or another suspect runs.
	refusedRetryAfter = 500 * time.Millisecond
	// maxEnginePriority and minEnginePriority limit the priority that a configuration can
	// request from an engine.
	maxEnginePriority = 100
	minEnginePriority = -100
)

// refusal is the reason why no part of an attempt ran here.
type refusal struct {
	code       types.Code
	message    string
	retryAfter time.Duration
}

// start admits an attempt and hands it to the engine, or returns the reason why no part of
// it ran. If the attempt is already known here, its existing run is returned.
func (s *Sidecar) start(req *streampb.GenerateRequest) (*run, *refusal) {
	id, err := types.ParseGenerationID(req.GetGeneration())
	if err != nil {
		return nil, &refusal{code: types.CodeBadRequest, message: err.Error()}
	}
	lineage := streampb.ToLineage(req.GetLineage())
	if old := s.runs.get(runKey{id, lineage.Last()}); old != nil {
		return old, nil
	}
	if r := s.checkAdmission(req); r != nil {
		s.metrics.refused.WithLabelValues(string(r.code)).Inc()
		s.opts.Recorder.Emit(eventRefused, event.FieldRequest, req.GetRequestId(), "code", r.code)
		return nil, r
	}
	if !s.admission.enter() {
		return nil, &refusal{code: types.CodeLeaving, message: "backend server is leaving"}
	}
	return s.admit(id, lineage, req)
}

// checkAdmission returns the reason to refuse a new attempt, or nil if there is none.
func (s *Sidecar) checkAdmission(req *streampb.GenerateRequest) *refusal {
	if s.opts.Engine == nil {
		return &refusal{code: types.CodeUnknownModel, message: "no engine here"}
	}
	if s.admission.isDraining() {
		return &refusal{code: types.CodeLeaving, message: "backend server is leaving"}
	}
	if s.monitor.isDown() {
		return &refusal{code: types.CodeNoBackend, message: "engine does not answer", retryAfter: refusedRetryAfter}
	}
	if deadlinePassed(req.GetDeadlineUnixMs()) {
		return &refusal{code: types.CodeDeadline, message: "the caller's deadline has passed"}
	}
	return s.checkSuspect(types.Fingerprint(req.GetFingerprint()), req.GetSuspect())
}

// checkSuspect refuses a quarantined request, and keeps two suspects of the same crash from
// running together. Otherwise both would be running at the next engine death, and the
// innocent one would be suspected again and quarantined along with the guilty one. A
// request is a suspect if its router reports that, or if the evidence known here suffices.
func (s *Sidecar) checkSuspect(fp types.Fingerprint, reportedSuspect bool) *refusal {
	isSuspect := reportedSuspect
	if s.opts.Suspects != nil {
		verdict := s.opts.Suspects.Verdict(fp)
		if verdict.State == suspect.Quarantined {
			return &refusal{code: types.CodeQuarantined, message: "this request has crashed backend servers", retryAfter: time.Until(verdict.Until)}
		}
		isSuspect = isSuspect || verdict.StrongEvidence()
	}
	if !isSuspect {
		return nil
	}
	for _, r := range s.runs.all() {
		if r.suspect && !r.isProven() && r.log.Snapshot(0).Phase == generation.Running {
			return &refusal{code: types.CodeOverloaded, message: "another suspect runs here", retryAfter: refusedRetryAfter}
		}
	}
	return nil
}

func deadlinePassed(unixMs int64) bool {
	return unixMs != 0 && time.Now().UnixMilli() > unixMs
}

// admit creates and starts the run of an accepted attempt. It must be called after
// admission.enter; exit is called when the run ends.
func (s *Sidecar) admit(id types.GenerationID, lineage types.Lineage, req *streampb.GenerateRequest) (*run, *refusal) {
	emitted := streampb.ToTokens(req.GetEmitted())
	ctx, cancel := context.WithCancel(context.Background())
	r := &run{
		log:         generation.NewLog(id, lineage, emitted),
		request:     types.RequestID(req.GetRequestId()),
		fingerprint: types.Fingerprint(req.GetFingerprint()),
		suspect:     req.GetSuspect(),
		emitted:     len(emitted),
		started:     time.Now(),
		cancel:      cancel,
		readers:     map[*reader]struct{}{},
	}
	stored, added := s.runs.add(r)
	if !added {
		cancel()
		s.admission.exit()
		return stored, nil
	}
	s.opts.Recorder.Emit(eventAccepted, event.FieldRequest, req.GetRequestId(), "generation", id, "emitted", len(emitted))
	go s.runAttempt(ctx, r, req, emitted)
	return r, nil
}

// runAttempt runs an attempt on the engine until it ends.
func (s *Sidecar) runAttempt(ctx context.Context, r *run, req *streampb.GenerateRequest, emitted []types.Token) {
	defer s.admission.exit()
	defer s.runs.recordEnd()
	defer r.cancel()
	handle := s.openJournal(r, emitted)
	defer handle.close()
	emit := func(t types.Token) error {
		if err := r.log.Append(t); err != nil {
			return err
		}
		s.metrics.generated.Inc()
		handle.append(t)
		return nil
	}
	result, err := s.opts.Engine.Generate(ctx, engine.Request{
		ID:        req.GetRequestId(),
		Model:     req.GetModel(),
		Prompt:    req.GetPrompt(),
		Emitted:   emitted,
		MaxTokens: int(req.GetMaxTokens()) - len(emitted),
		Priority:  int(min(max(req.GetPriority(), minEnginePriority), maxEnginePriority)),
	}, emit)
	s.finish(r, handle, result, err, len(emitted) > 0)
}

// finish records how an attempt ended in its log and its journal.
func (s *Sidecar) finish(r *run, handle journalHandle, result engine.Result, err error, resumed bool) {
	s.countPrefill(result, resumed)
	switch {
	case err == nil:
		r.setPrefilled(result.PrefilledTokens)
		r.log.Finish(result.Finish)
		handle.finish(result.Finish)
	case errors.Is(err, engine.ErrConnectionLost):
		s.markLost(r, s.monitor.markDied(s.runs.activeCount()))
	default:
		// Cancelled, refused by the engine, or already marked as lost by the monitor.
		r.log.Lose(err)
	}
	state := r.log.Snapshot(0)
	s.opts.Recorder.Emit(eventEnded, event.FieldRequest, r.request, "tokens", state.Count, "phase", state.Phase)
	s.retain(r)
}

func (s *Sidecar) countPrefill(result engine.Result, resumed bool) {
	s.metrics.prefilled.Add(float64(result.PrefilledTokens))
	if resumed {
		s.metrics.prefilledForResume.Add(float64(result.PrefilledTokens))
	}
}

// retain keeps an ended run for a while, because a caller whose router died after the last
// token but before the end of the stream comes back for the rest.
func (s *Sidecar) retain(r *run) {
	key := runKey{r.log.ID(), r.log.Lineage().Last()}
	time.AfterFunc(s.opts.Recovery().Retention, func() { s.runs.remove(key) })
}

// journalHandle wraps a tokenlog.Handle that may be nil.
type journalHandle struct{ h *tokenlog.Handle }

func (s *Sidecar) openJournal(r *run, emitted []types.Token) journalHandle {
	if s.opts.OpenJournal == nil {
		return journalHandle{}
	}
	return journalHandle{s.opts.OpenJournal(tokenlog.GenerationInfo{ID: r.log.ID(), Lineage: r.log.Lineage(), Emitted: emitted})}
}

func (j journalHandle) append(t types.Token) {
	if j.h != nil {
		j.h.Append(t)
	}
}

func (j journalHandle) close() {
	if j.h != nil {
		j.h.Close()
	}
}

func (j journalHandle) finish(reason types.FinishReason) {
	if j.h != nil {
		j.h.Finish(reason)
	}
}

func (r *run) setDeath(d death) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.death = d
}

func (r *run) getDeath() death {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.death
}

func (r *run) setPrefilled(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prefilled = n
}

func (r *run) getPrefilled() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.prefilled
}
