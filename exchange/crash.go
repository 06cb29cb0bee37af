package exchange

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/suspect"
	"github.com/pearyard/pearyard/types"
)

const (
	// crashConfirmDelay is how long to wait for other losses in the zone before a
	// request is blamed: the time in which several entry VMs notice a loss and report
	// it.
	crashConfirmDelay = 600 * time.Millisecond
	// zoneLossWindow is how close in time two losses in a zone count as one failure.
	zoneLossWindow = 2 * time.Second
	// zoneLossShare is the share of its servers above which a zone is considered lost.
	// Many poisoned requests at once may crash a third of a zone; the loss of a zone takes
	// nearly all of it.
	zoneLossShare = 2.0 / 3
	// survivalEvents is how many events show that a request does not crash its server: one
	// that does so crashes it while the prompt is read or soon after.
	survivalEvents = suspect.ProvenTokens
	// zoneSampleSize is how many of a zone's servers that are not known to be lost are
	// asked whether they are. Servers that are idle are lost unnoticed.
	zoneSampleSize = 8
)

// Verdicts on broken runs beside those of suspect.Excuse.
const (
	verdictCounted = "counted" // the crash counts against the request
	verdictAlive   = "alive"   // the same start answers a probe: it broke off one request, or was cut off for a moment
)

// checkBroken looks for the crash of a server that broke off a run, unless it is known to be
// alive.
func (e *Exchange) checkBroken(req *Request, s *directory.Server, run *trackedRun, err error, proven bool) {
	if askedForRest(err) {
		run.end()
		return
	}
	e.checkCrash(req, s, run, proven)
}

// checkCrash probes a server that broke off while it ran a request, and blames the
// request if the server has died. It ends the run once that is judged. proven is set if the
// server had sent a part of the response: then more likely another request crashed it.
func (e *Exchange) checkCrash(req *Request, s *directory.Server, run *trackedRun, proven bool) {
	go func() {
		defer run.end()
		<-e.probes.start(s).done
		if !s.IsDown(time.Now()) {
			e.metrics.crashesJudged.WithLabelValues(verdictAlive).Inc()
			return
		}
		e.opts.Suspects.ExcuseDeath(s.String(), req.Fingerprint(), proven, suspect.ExcusePending)
		time.Sleep(crashConfirmDelay)
		e.judgeCrash(req, s, run.onTrial(), proven)
	}()
}

// judgeCrash counts a crash against the request unless something else explains it.
func (e *Exchange) judgeCrash(req *Request, s *directory.Server, trial, proven bool) {
	fp := req.Fingerprint()
	accusations := e.opts.Suspects.Accusations()
	why, zone := e.findExcuse(fp, s, trial, accusations)
	if why != suspect.NoExcuse {
		e.opts.Suspects.ExcuseDeath(s.String(), fp, proven, why)
		e.metrics.crashesJudged.WithLabelValues(string(why)).Inc()
		e.logCrash(EventCrashExcused, req, s, zone, "why", why, "trial", trial)
		return
	}
	e.metrics.crashesJudged.WithLabelValues(verdictCounted).Inc()
	e.opts.Suspects.RecordWeightedDeath(s.String(), fp, proven)
	e.logCrash(EventCrashNoted, req, s, zone, "proven", proven, "trial", trial)
	switch {
	case trial:
		e.opts.Suspects.RevokeExcuses(fp, suspect.ExcuseOther, suspect.ExcuseDraining, suspect.ExcuseZoneLoss)
	case accusations.Accused(fp):
		e.opts.Suspects.RevokeExcuses(fp, suspect.ExcuseOther, suspect.ExcuseDraining)
	}
}

// findExcuse returns why a crash does not count against the request, and the state of the
// zone if that was looked at. A request on trial has no excuse that it can have caused
// itself.
func (e *Exchange) findExcuse(fp types.Fingerprint, s *directory.Server, trial bool, accusations *suspect.Accusations) (why suspect.Excuse, zone zoneState) {
	switch {
	case !trial && s.Leaving():
		return suspect.ExcuseDraining, zoneState{}
	case !trial && mayBeOthers(fp, s, accusations):
		return suspect.ExcuseOther, zoneState{}
	}
	var suspects *zoneSuspects
	if trial {
		suspects = &zoneSuspects{trial: fp, own: e.opts.Suspects.RecentDeaths(fp), accusations: accusations}
	}
	zone = e.zones.check(s, suspects)
	if zone.isLost() {
		return suspect.ExcuseZoneLoss, zone
	}
	return suspect.NoExcuse, zone
}

// mayBeOthers reports whether another request may have crashed a server: one that is
// accused ran there. Accused requests excuse each other only if all their crashes may be
// others'. Which of them crashes servers shows when they run again, one by one.
func mayBeOthers(fp types.Fingerprint, s *directory.Server, accusations *suspect.Accusations) bool {
	if accusations.Accused(fp) {
		return accusations.AlwaysBesideOthers(fp)
	}
	return accusations.Involved(s.String())
}

func (e *Exchange) logCrash(kind event.Kind, req *Request, s *directory.Server, zone zoneState, more ...any) {
	line := []any{event.FieldRequest, req.ID, "server", s.Start, "zone", s.Zone, "fingerprint", req.Fingerprint()}
	line = append(line, zone.fields()...)
	e.opts.Recorder.Emit(kind, append(line, more...)...)
}

// zoneState is what is known of a zone just after the loss of one of its servers.
type zoneState struct {
	directory.ZoneLosses
	involved      int // of the lost servers: those that don't testify; see zoneSuspects
	asked, silent int // of the servers that nothing is known of
}

// lost returns the number of lost servers that testify for the loss of the zone.
func (z zoneState) lost() int { return len(z.Lost) - z.involved }

// servers returns the number of servers without those that don't testify.
func (z zoneState) servers() int { return z.Servers() - z.involved }

// isLost reports whether the zone has failed as a whole. The servers that were asked stand
// for all that nothing is known of.
func (z zoneState) isLost() bool {
	lost := float64(z.lost())
	if z.asked > 0 {
		lost += float64(len(z.Unknown)) * float64(z.silent) / float64(z.asked)
	}
	return z.lost()+z.silent > 1 && lost > zoneLossShare*float64(z.servers())
}

// needsAsking reports whether the servers that nothing is known of decide whether the zone
// is lost.
func (z zoneState) needsAsking() bool {
	threshold := zoneLossShare * float64(z.servers())
	return float64(z.lost()) <= threshold && float64(z.lost()+len(z.Unknown)) > threshold
}

func (z zoneState) fields() []any {
	return []any{"lost", len(z.Lost), "involved", z.involved, "alive", z.Alive, "asked", z.asked, "silent", z.silent, "servers", z.Servers()}
}

// zoneSuspects are the requests that may have crashed servers of a zone when a request on trial
// has lost its server. Servers on which one of them ran don't testify for the loss of the zone.
type zoneSuspects struct {
	trial       types.Fingerprint // the request on trial
	own         map[string]bool   // servers that were lost under it
	accusations *suspect.Accusations
}

func (z *zoneSuspects) involved(server string) bool {
	return z != nil && (z.own[server] || z.accusations.Involved(server))
}

// zoneChecker finds out whether a zone has failed as a whole, with at most one check of a
// zone and service at a time however many requests were lost with it.
type zoneChecker struct {
	exchange *Exchange
	mu       sync.Mutex
	inFlight map[zoneKey]*zoneCheck
}

type zoneKey struct {
	service, zone string
	trial         types.Fingerprint // of zoneSuspects; 0: all servers testify
}

type zoneCheck struct {
	done  chan struct{}
	state zoneState // valid once done is closed
}

// check returns the state of a lost server's zone.
func (z *zoneChecker) check(s *directory.Server, suspects *zoneSuspects) zoneState {
	key := zoneKey{service: s.Service, zone: s.Zone}
	if suspects != nil {
		key.trial = suspects.trial
	}
	z.mu.Lock()
	c, running := z.inFlight[key]
	if !running {
		c = &zoneCheck{done: make(chan struct{})}
		z.inFlight[key] = c
	}
	z.mu.Unlock()
	if running {
		<-c.done
		return c.state
	}
	c.state = z.exchange.askZone(s, suspects)
	z.mu.Lock()
	delete(z.inFlight, key)
	z.mu.Unlock()
	close(c.done)
	return c.state
}

// askZone counts the known losses in a lost server's zone. If they don't decide whether the
// zone is lost, it asks some of the other servers whether they are alive.
func (e *Exchange) askZone(s *directory.Server, suspects *zoneSuspects) zoneState {
	state := zoneState{ZoneLosses: e.opts.Directory.LossesInZone(s, time.Now(), zoneLossWindow)}
	for _, lost := range state.Lost {
		if suspects.involved(lost.String()) {
			state.involved++
		}
	}
	if !state.needsAsking() {
		return state
	}
	sample := slices.Clone(state.Unknown)
	rand.Shuffle(len(sample), func(i, j int) { sample[i], sample[j] = sample[j], sample[i] })
	sample = sample[:min(zoneSampleSize, len(sample))]
	var silent atomic.Int32
	var answers sync.WaitGroup
	for _, other := range sample {
		answers.Go(func() {
			if !e.answersProbe(other) {
				silent.Add(1)
			}
		})
	}
	answers.Wait()
	state.asked, state.silent = len(sample), int(silent.Load())
	return state
}

// answersProbe reports whether a server's process is alive. Unlike prober it records no
// loss: nothing has failed there.
func (e *Exchange) answersProbe(s *directory.Server) bool {
	ctx, cancel := context.WithTimeout(context.Background(), e.opts.Timings.ProbeTimeout)
	defer cancel()
	e.metrics.probes.Inc()
	born, err := e.opts.Backend.Probe(ctx, s)
	if err != nil || s.EndedBy(born) {
		return false
	}
	s.MarkHeard(time.Now())
	return true
}
