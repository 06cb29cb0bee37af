package exchange

import (
	"context"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/suspect"
	"github.com/pearyard/pearyard/types"
)

// admit counts a request for the retry budget and refuses one that is known to crash
// servers.
func (e *Exchange) admit(req *Request) *Failure {
	w := e.budget(req.Service)
	w.RecordRequest()
	if e.opts.SharedBudget != nil {
		e.opts.SharedBudget.First(req.Service, w)
	}
	if !e.isQuarantined(req.Fingerprint()) {
		return nil
	}
	e.metrics.countEnd(req.Route.Kind.String(), outcomeRefused, EndedByLimit)
	e.opts.Recorder.Emit(EventQuarantined, event.FieldRequest, req.ID, "route", req.Route.Name, "fingerprint", req.Fingerprint(), event.FieldEndedBy, EndedByLimit)
	return &Failure{By: EndedByLimit, Err: ErrQuarantined, RetryAfter: quarantineRetryAfter}
}

// isQuarantined reports whether a request is known to crash servers.
func (e *Exchange) isQuarantined(fp types.Fingerprint) bool {
	return e.opts.Suspects.Verdict(fp).State == suspect.Quarantined
}

// EndQuarantined ends the attempts of a quarantined request that are in progress and have
// sent no event: each of them may be about to crash its server.
func (e *Exchange) EndQuarantined(fp types.Fingerprint) { e.active.quarantine(fp) }

func (s *stream) isQuarantined() bool { return s.e.isQuarantined(s.active.fingerprint) }

// onQuarantine ends the stream unless its current attempt has sent events: a server that
// generates the stream has survived its prompt.
func (s *stream) onQuarantine(ctx context.Context) error {
	if s.current.gotEvent {
		return nil
	}
	return &finalError{s.failure(ctx, ErrQuarantined)}
}

func (c *call) isQuarantined() bool { return c.e.isQuarantined(c.fingerprint) }
