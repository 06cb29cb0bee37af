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
	// grantTTL is how long a grant lasts if it isn't renewed.
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
	since   time.Time            // when the coordinator first heard of the suspect, or its last run ended
	expires map[string]time.Time // expiry by holder
}

// grantRequest is a request to the coordinator of a fingerprint.
type grantRequest struct {
	fp      types.Fingerprint
	holder  string
	running bool // reports a copy that is already running, which is never refused
	release bool
}

// handle answers a request as coordinator: whether it is granted, and if not,
// after which time to ask again. It refuses while another holder has the run.
// Otherwise a second copy of a poisoned request could crash a third engine while
// the second one is still dying.
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
		// holder has learned of that death, and it would start a third copy. So the
		// next grant waits for settleDelay like the first one.
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

// heldByOther reports whether a process other than holder holds the grant.
func (g *grant) heldByOther(holder string) bool {
	_, own := g.expires[holder]
	return len(g.expires) > 1 || len(g.expires) == 1 && !own
}

// expire removes expired holders. A grant without holders is kept for a while, so
// that settleDelay doesn't apply again to each run of its fingerprint.
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
// of a suspect. It returns immediately if the request is clear or quarantined, and
// with the context's error if ctx ends first. The caller must still call BeginRun
// for the chosen backend server.
func (s *Gossiper) AwaitGrant(ctx context.Context, fp types.Fingerprint) (Verdict, error) {
	for {
		verdict := s.ledger.Verdict(fp)
		if verdict.State != Suspect {
			return verdict, nil
		}
		granted, wait := s.requestGrant(ctx, grantRequest{fp: fp, holder: s.opts.Self})
		if granted {
			s.addHeld(fp)
			return s.recheck(fp), nil
		}
		if err := sleep(ctx, max(wait, time.Millisecond)); err != nil {
			return verdict, err
		}
	}
}

// recheck returns the current verdict, because a death may have been recorded
// while the grant was requested. If the request is no longer a suspect, it
// releases the grant.
func (s *Gossiper) recheck(fp types.Fingerprint) Verdict {
	verdict := s.ledger.Verdict(fp)
	if verdict.State != Suspect {
		s.ReleaseGrant(fp)
	}
	return verdict
}

// requestGrant sends a request to the first process in rendezvous order that
// answers. If no peer is reachable, this process is its own coordinator, so
// partitioned routers may run one copy each.
func (s *Gossiper) requestGrant(ctx context.Context, q grantRequest) (bool, time.Duration) {
	for _, peer := range s.rendezvousOrder(q.fp) {
		if peer == s.opts.Self {
			return s.ledger.coordinator.handle(q, s.ledger.opts.Now())
		}
		granted, wait, err := s.requestGrantFrom(ctx, peer, q)
		if err == nil {
			return granted, wait
		}
		if ctx.Err() != nil {
			return false, grantRetryInterval
		}
	}
	return s.ledger.coordinator.handle(q, s.ledger.opts.Now())
}

// addHeld records that this process holds the run of a fingerprint.
func (s *Gossiper) addHeld(fp types.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[fp] = struct{}{}
}

// ReleaseGrant releases a grant that wasn't followed by BeginRun.
func (s *Gossiper) ReleaseGrant(fp types.Fingerprint) {
	if !s.ledger.running.has(fp) {
		s.release(fp)
	}
}

// release schedules the release of a run that this process holds.
func (s *Gossiper) release(fp types.Fingerprint) {
	s.mu.Lock()
	_, held := s.held[fp]
	delete(s.held, fp)
	if held {
		s.released = append(s.released, fp)
	}
	s.mu.Unlock()
	if held {
		s.ledger.notifyChanged()
	}
}

// renew reports to the coordinators the suspects that run at this process, whether
// granted or already running when they became suspects, and releases the runs that
// ended. Rounds don't overlap: if a release were overtaken by an earlier claim, the
// claim would block other processes until it expires.
func (s *Gossiper) renew(ctx context.Context) {
	s.renewing <- struct{}{}
	defer func() { <-s.renewing }()
	for _, fp := range s.ledger.runningSuspects() {
		s.addHeld(fp)
		s.ReleaseGrant(fp) // the run may have ended since it was listed
	}
	s.mu.Lock()
	released := s.released
	s.released = nil
	claims := maps.Clone(s.held)
	s.mu.Unlock()
	var calls errgroup.Group
	calls.SetLimit(maxConcurrentCalls)
	for fp := range claims {
		calls.Go(func() error {
			s.requestGrant(ctx, grantRequest{fp: fp, holder: s.opts.Self, running: true})
			return nil
		})
	}
	for _, fp := range released {
		if _, again := claims[fp]; again {
			continue
		}
		calls.Go(func() error {
			s.requestGrant(ctx, grantRequest{fp: fp, holder: s.opts.Self, release: true})
			return nil
		})
	}
	_ = calls.Wait()
}

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
