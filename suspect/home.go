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
	// settle is how long a home knows of a suspect, or of its last run's end,
	// before it grants a run. In that time every router that already runs a copy
	// has heard of the death and has told the home of its copy.
	settle = 250 * time.Millisecond
	// grantLife is how long a run stays granted without being renewed.
	grantLife = 15 * time.Second
	// grantRenew is how often a holder renews its grants.
	grantRenew = 4 * time.Second
	// grantPoll is how soon one that was held back asks again.
	grantPoll = 100 * time.Millisecond
)

// home gives out the one run that a suspect may have among all routers, for
// the fingerprints whose home this process is.
type home struct {
	mu      sync.Mutex
	holders map[types.Fingerprint]*grant
}

type grant struct {
	since   time.Time            // when this home first heard of the suspect, or its last run ended
	expires map[string]time.Time // by holder
}

// request is one question to the home of a fingerprint.
type request struct {
	fp      types.Fingerprint
	holder  string
	running bool // tells of a copy that runs already: noted, never refused
	release bool
}

// decide answers a request at its home. It refuses while another holder has
// the run: the failure it stops is a second copy of a poisoned request that
// kills a third engine while the second one is still dying.
func (h *home) decide(q request, now time.Time) (bool, time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tidy(now)
	g := h.holders[q.fp]
	if g == nil {
		g = &grant{since: now, expires: map[string]time.Time{}}
		h.holders[q.fp] = g
	}
	if q.release {
		// A run that ended by its engine's death is given back while news of that
		// death is still on its way to the next holder, who would start a third
		// copy: so the next grant waits for the news as the first one did.
		delete(g.expires, q.holder)
		g.since = now
		return true, 0
	}
	if !q.running {
		if wait := g.since.Add(settle).Sub(now); wait > 0 {
			return false, wait
		}
		if g.heldByOther(q.holder) {
			return false, grantPoll
		}
	}
	g.expires[q.holder] = now.Add(grantLife)
	return true, 0
}

func (g *grant) heldByOther(holder string) bool {
	_, own := g.expires[holder]
	return len(g.expires) > 1 || len(g.expires) == 1 && !own
}

// tidy drops lapsed holders. A grant without holders is kept for a while so
// that its fingerprint need not settle anew for each run.
func (h *home) tidy(now time.Time) {
	for fp, g := range h.holders {
		for holder, until := range g.expires {
			if until.Before(now) {
				delete(g.expires, holder)
			}
		}
		if len(g.expires) == 0 && now.Sub(g.since) > grantLife {
			delete(h.holders, fp)
		}
	}
}

// Await waits until this process may run a suspect: the home of the
// fingerprint granted it the run. It returns at once with the verdict when the
// request is clear or quarantined, and with the context's error when its time
// is over. After it, Enter still decides for the backend server chosen.
func (s *Spreader) Await(ctx context.Context, fp types.Fingerprint) (Verdict, error) {
	for {
		verdict := s.ledger.Verdict(fp)
		if verdict.State != Suspect {
			return verdict, nil
		}
		granted, wait := s.ask(ctx, request{fp: fp, holder: s.opts.Self})
		if granted {
			s.hold(fp)
			return s.heldVerdict(fp), nil
		}
		if err := sleep(ctx, max(wait, time.Millisecond)); err != nil {
			return verdict, err
		}
	}
}

// heldVerdict looks once more, for a death that was told while the home was asked.
func (s *Spreader) heldVerdict(fp types.Fingerprint) Verdict {
	verdict := s.ledger.Verdict(fp)
	if verdict.State != Suspect {
		s.Release(fp)
	}
	return verdict
}

// ask puts a request to the first process in rendezvous order that answers.
// With every peer out of reach this process is its own home: routers cut off
// from each other may then run one copy each.
func (s *Spreader) ask(ctx context.Context, q request) (bool, time.Duration) {
	for _, peer := range s.order(q.fp) {
		if peer == s.opts.Self {
			return s.ledger.home.decide(q, s.ledger.opts.Now())
		}
		granted, wait, err := s.askPeer(ctx, peer, q)
		if err == nil {
			return granted, wait
		}
		if ctx.Err() != nil {
			return false, grantPoll
		}
	}
	return s.ledger.home.decide(q, s.ledger.opts.Now())
}

func (s *Spreader) hold(fp types.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[fp] = struct{}{}
}

// Release gives a granted run back, for one that was never entered.
func (s *Spreader) Release(fp types.Fingerprint) {
	if !s.ledger.running.has(fp) {
		s.release(fp)
	}
}

func (s *Spreader) release(fp types.Fingerprint) {
	s.mu.Lock()
	_, held := s.held[fp]
	delete(s.held, fp)
	if held {
		s.released = append(s.released, fp)
	}
	s.mu.Unlock()
	if held {
		s.ledger.wake()
	}
}

// renew tells the homes of the suspects that run here, granted or found running
// when the suspicion arrived, and gives back what ended. Rounds don't overlap:
// a claim that overtook its release would hold others off until it lapses.
func (s *Spreader) renew(ctx context.Context) {
	s.renewing <- struct{}{}
	defer func() { <-s.renewing }()
	for _, fp := range s.ledger.runningSuspects() {
		s.hold(fp)
		s.Release(fp) // its run may have ended between the two
	}
	s.mu.Lock()
	released := s.released
	s.released = nil
	claims := maps.Clone(s.held)
	s.mu.Unlock()
	var asks errgroup.Group
	asks.SetLimit(maxCalls)
	for fp := range claims {
		asks.Go(func() error {
			s.ask(ctx, request{fp: fp, holder: s.opts.Self, running: true})
			return nil
		})
	}
	for _, fp := range released {
		if _, again := claims[fp]; again {
			continue
		}
		asks.Go(func() error {
			s.ask(ctx, request{fp: fp, holder: s.opts.Self, release: true})
			return nil
		})
	}
	_ = asks.Wait()
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
