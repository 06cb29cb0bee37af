package suspect

import (
	"context"
	"maps"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/pearyard/pearyard/types"
)

const (
	// settleDelay is how long a coordinator waits before it grants a run, after it
	// first heard of the suspect or the last run ended. Within this time, every
	// router that already runs a copy learns of the death and reports its copy to
	// the coordinator.
	settleDelay = 250 * time.Millisecond
	// grantTTL is how long a grant lasts if it isn't renewed, as when its holder has
	// died. Several renewals may fail before it expires.
	grantTTL = 15 * time.Second
	// grantRenewInterval is how often a holder renews its grants.
	grantRenewInterval = 4 * time.Second
	// grantRetryInterval is the time after which a refused process asks again.
	grantRetryInterval = 100 * time.Millisecond
)

// coordinator grants runs of suspects, so that only one copy of a suspect runs at a
// time among all routers. Every process is the coordinator of some fingerprints,
// chosen by rendezvous hashing.
type coordinator struct {
	mu     sync.Mutex
	grants map[types.Fingerprint]*grant
}

// grant is the state of a fingerprint at its coordinator. It usually has at most
// one holder, but several if copies were already running when the death became
// known.
type grant struct {
	since   time.Time            // when the coordinator first heard of the suspect, or a run of it was last released
	expires map[string]time.Time // expiry by holder
}

// grantRequest is a request to the coordinator of a fingerprint.
type grantRequest struct {
	fp      types.Fingerprint
	holder  string
	running bool // claims the grant for a copy that is already running, which is never refused
	release bool // releases the grant, because the run has ended
}

// handle answers a request as coordinator: whether it is granted, and if not,
// after which time to ask again. It refuses while another process holds a grant.
// Otherwise, while a copy of a poisoned request is crashing the second engine and
// that death isn't known yet, another copy could start and crash a third one.
func (c *coordinator) handle(q grantRequest, now time.Time) (bool, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire(now)
	g := c.grants[q.fp]
	if g == nil {
		g = &grant{since: now, expires: map[string]time.Time{}}
		c.grants[q.fp] = g
	}
	if q.release {
		// A run that ended with its engine's death may be released before the next
		// holder has learned of that death, and the next holder would crash one engine
		// more. So the next grant waits for settleDelay like the first one.
		delete(g.expires, q.holder)
		g.since = now
		return true, 0
	}
	if !q.running {
		if wait := g.since.Add(settleDelay).Sub(now); wait > 0 {
			return false, wait
		}
		if g.heldByOther(q.holder) {
			return false, grantRetryInterval
		}
	}
	g.expires[q.holder] = now.Add(grantTTL)
	return true, 0
}

// heldByOther reports whether a process other than holder holds a grant.
func (g *grant) heldByOther(holder string) bool {
	_, own := g.expires[holder]
	return len(g.expires) > 1 || len(g.expires) == 1 && !own
}

// expire removes expired holders. A grant without holders is kept for grantTTL, so
// that a run requested later than settleDelay after the last one is granted at once.
func (c *coordinator) expire(now time.Time) {
	for fp, g := range c.grants {
		for holder, until := range g.expires {
			if until.Before(now) {
				delete(g.expires, holder)
			}
		}
		if len(g.expires) == 0 && now.Sub(g.since) > grantTTL {
			delete(c.grants, fp)
		}
	}
}

// AwaitGrant waits until the fingerprint's coordinator grants this process a run
// of a suspect. It returns immediately if the request needs no grant or is quarantined,
// and with the context's error if ctx ends first. After a grant, the caller must still
// call BeginRun for the chosen backend server, or ReleaseGrant.
func (g *Gossiper) AwaitGrant(ctx context.Context, fp types.Fingerprint) (Verdict, error) {
	for {
		verdict := g.ledger.Verdict(fp)
		if !g.ledger.needsGrant(fp, verdict) {
			return verdict, nil
		}
		granted, wait := g.requestGrant(ctx, grantRequest{fp: fp, holder: g.opts.Self})
		if granted {
			g.addHeldGrant(fp)
			return g.recheck(fp), nil
		}
		if err := sleep(ctx, max(wait, time.Millisecond)); err != nil {
			return verdict, err
		}
	}
}

// needsGrant reports whether a request with this verdict may run only with a grant.
func (l *Ledger) needsGrant(fp types.Fingerprint, v Verdict) bool {
	if l.opts.HoldAccused {
		return l.heldBack(fp, v)
	}
	return v.State == Suspect
}

// recheck returns the current verdict, because a death may have been recorded
// while the grant was requested. If the request is no longer a suspect, it
// releases the grant.
func (g *Gossiper) recheck(fp types.Fingerprint) Verdict {
	verdict := g.ledger.Verdict(fp)
	if !g.ledger.needsGrant(fp, verdict) {
		g.ReleaseGrant(fp)
	}
	return verdict
}

// requestGrant sends a request to the first process in rendezvous order that
// answers. If no peer is reachable, this process is its own coordinator, so
// partitioned routers may run one copy each.
func (g *Gossiper) requestGrant(ctx context.Context, q grantRequest) (bool, time.Duration) {
	for _, peer := range g.rendezvousOrder(q.fp) {
		if peer == g.opts.Self {
			return g.ledger.coordinator.handle(q, g.ledger.opts.Now())
		}
		granted, wait, err := g.requestGrantFrom(ctx, peer, q)
		if err == nil {
			return granted, wait
		}
		if ctx.Err() != nil {
			return false, grantRetryInterval
		}
	}
	return g.ledger.coordinator.handle(q, g.ledger.opts.Now())
}

// addHeldGrant records that this process holds the grant for a fingerprint.
func (g *Gossiper) addHeldGrant(fp types.Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.heldGrants[fp] = struct{}{}
	g.holdsGrants.Store(true)
}

// ReleaseGrant releases a grant that wasn't followed by BeginRun. It does nothing
// while the request runs through this process.
func (g *Gossiper) ReleaseGrant(fp types.Fingerprint) {
	if !g.ledger.running.has(fp) {
		g.release(fp)
	}
}

// release schedules the release of a grant, if this process holds it.
func (g *Gossiper) release(fp types.Fingerprint) {
	if !g.holdsGrants.Load() {
		return
	}
	g.mu.Lock()
	_, held := g.heldGrants[fp]
	delete(g.heldGrants, fp)
	g.holdsGrants.Store(len(g.heldGrants) > 0)
	if held {
		g.releasedGrants = append(g.releasedGrants, fp)
	}
	g.mu.Unlock()
	if held {
		g.ledger.notifyChanged()
	}
}

// renew reports to the coordinators the suspects that run at this process, whether
// granted or already running when they became suspects, and releases the grants of
// runs that ended. Rounds don't overlap: if an earlier claim arrived after the
// release, it would block other processes until it expires.
func (g *Gossiper) renew(ctx context.Context) {
	g.renewing <- struct{}{}
	defer func() { <-g.renewing }()
	for _, fp := range g.ledger.runningSuspects() {
		g.addHeldGrant(fp)
		g.ReleaseGrant(fp) // the run may have ended since it was listed
	}
	g.mu.Lock()
	released := g.releasedGrants
	g.releasedGrants = nil
	claims := maps.Clone(g.heldGrants)
	g.mu.Unlock()
	var calls errgroup.Group
	calls.SetLimit(maxConcurrentCalls)
	for fp := range claims {
		calls.Go(func() error {
			g.requestGrant(ctx, grantRequest{fp: fp, holder: g.opts.Self, running: true})
			return nil
		})
	}
	for _, fp := range released {
		if _, again := claims[fp]; again {
			continue
		}
		calls.Go(func() error {
			g.requestGrant(ctx, grantRequest{fp: fp, holder: g.opts.Self, release: true})
			return nil
		})
	}
	_ = calls.Wait()
}

// sleep waits for d. If ctx ends first, it returns ctx's error.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
