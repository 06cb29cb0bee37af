package exchange

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/suspect"
	"github.com/pearyard/pearyard/types"
)

const (
	// grantWait is how long a request that is accused of crashing servers waits for its
	// turn. A run of it that crashes no server shows that within about a second.
	grantWait = time.Second
	// heldRetryAfter is the Retry-After time of one whose turn has not come: by then the run
	// in progress has ended.
	heldRetryAfter = 2 * time.Second
)

// RunGrants allows runs of requests that are accused of crashing servers: one at a time
// among all processes.
type RunGrants interface {
	// AwaitGrant waits for the grant of a run; see suspect.Gossiper.AwaitGrant.
	AwaitGrant(ctx context.Context, fp types.Fingerprint) (suspect.Verdict, error)
	// ReleaseGrant gives a grant back that no run has followed.
	ReleaseGrant(fp types.Fingerprint)
}

// trackedRun is a run of a request at a server, for which a run of the same request may have
// to wait. A nil *trackedRun is none.
type trackedRun struct {
	ledger      *suspect.Ledger
	fingerprint types.Fingerprint
	server      string
	// trial is set if the request was accused when the run began. No other copy of it runs
	// then, so that its crash says more than one among many.
	trial bool
	once  sync.Once
}

// beginRun records that a request is about to run at a server; nil: it may not.
func (e *Exchange) beginRun(fp types.Fingerprint, s *directory.Server) *trackedRun {
	r := &trackedRun{ledger: e.opts.Suspects, fingerprint: fp, server: s.String(), trial: e.opts.Suspects.Accused(fp)}
	if !e.opts.Suspects.TryRun(fp, r.server) {
		return nil
	}
	return r
}

// onTrial reports whether the crash of its server shows that the request crashes servers.
func (r *trackedRun) onTrial() bool { return r != nil && r.trial }

// end records that the run is over. If it may have crashed its server, that must have been
// judged.
func (r *trackedRun) end() {
	if r != nil {
		r.once.Do(func() { r.ledger.EndRun(r.fingerprint, r.server) })
	}
}

// awaitTurn waits until a request may run if it is accused of crashing servers.
func (e *Exchange) awaitTurn(ctx context.Context, fp types.Fingerprint) error {
	if !e.opts.Suspects.Accused(fp) || e.opts.Grants == nil {
		return nil
	}
	within, cancel := context.WithTimeout(ctx, grantWait)
	defer cancel()
	verdict, err := e.opts.Grants.AwaitGrant(within, fp)
	switch {
	case verdict.State == suspect.Quarantined:
		return ErrQuarantined
	case err != nil:
		return errors.Wrap(ErrHeld, err.Error())
	}
	return nil
}

// releaseTurn gives back the turn of a request that no run has followed.
func (e *Exchange) releaseTurn(fp types.Fingerprint) {
	if e.opts.Grants != nil {
		e.opts.Grants.ReleaseGrant(fp)
	}
}
