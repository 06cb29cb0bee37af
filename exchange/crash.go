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
	// zoneSampleSize is how many of a zone's servers that are not known to be lost are
	// asked whether they are. Servers that are idle are lost unnoticed.
	zoneSampleSize = 8
)

// Reasons why a server's loss does not count against the requests that it ran.
const (
	excusedDraining = "draining"  // the server was to leave: a completed roll-out stops the old ones without draining
	excusedZoneLoss = "zone_lost" // most servers of its zone were lost, which says nothing about the requests
	excusedAlive    = "alive"     // the same start answers a probe: it broke off one request, or was cut off for a moment
)

// checkCrash probes a server that broke off while it ran a request, and blames the
// request if the server has died. proven is set if the server had sent a part of the
// response: then more likely another request crashed it.
func (e *Exchange) checkCrash(req *Request, s *directory.Server, proven bool) {
	go func() {
		<-e.probes.start(s).done
		if !s.IsDown(time.Now()) {
			e.excuseCrash(req, s, excusedAlive, zoneState{})
			return
		}
		time.Sleep(crashConfirmDelay)
		if s.Leaving() {
			e.excuseCrash(req, s, excusedDraining, zoneState{})
			return
		}
		zone := e.zones.check(s)
		if zone.isLost() {
			e.excuseCrash(req, s, excusedZoneLoss, zone)
			return
		}
		e.opts.Suspects.RecordWeightedDeath(s.String(), req.Fingerprint(), proven)
		e.logCrash(EventCrashNoted, req, s, zone, "proven", proven)
	}()
}

// excuseCrash logs why a server's loss does not count against a request that it ran.
func (e *Exchange) excuseCrash(req *Request, s *directory.Server, why string, zone zoneState) {
	e.logCrash(EventCrashExcused, req, s, zone, "why", why)
}

func (e *Exchange) logCrash(kind event.Kind, req *Request, s *directory.Server, zone zoneState, more ...any) {
	line := []any{event.FieldRequest, req.ID, "server", s.Start, "zone", s.Zone, "fingerprint", req.Fingerprint()}
	line = append(line, zone.fields()...)
	e.opts.Recorder.Emit(kind, append(line, more...)...)
}

// zoneState is what is known of a zone just after the loss of one of its servers.
type zoneState struct {
	directory.ZoneLosses
	asked, silent int // of the servers that nothing is known of
}

// isLost reports whether the zone has failed as a whole. The servers that were asked stand
// for all that nothing is known of.
func (z zoneState) isLost() bool {
	lost := float64(z.Lost)
	if z.asked > 0 {
		lost += float64(len(z.Unknown)) * float64(z.silent) / float64(z.asked)
	}
	return z.Lost+z.silent > 1 && lost > zoneLossShare*float64(z.Servers())
}

// needsAsking reports whether the servers that nothing is known of decide whether the zone
// is lost.
func (z zoneState) needsAsking() bool {
	threshold := zoneLossShare * float64(z.Servers())
	return float64(z.Lost) <= threshold && float64(z.Lost+len(z.Unknown)) > threshold
}

func (z zoneState) fields() []any {
	return []any{"lost", z.Lost, "alive", z.Alive, "asked", z.asked, "silent", z.silent, "servers", z.Servers()}
}

// zoneChecker finds out whether a zone has failed as a whole, with at most one check of a
// zone and service at a time however many requests were lost with it.
type zoneChecker struct {
	exchange *Exchange
	mu       sync.Mutex
	inFlight map[zoneKey]*zoneCheck
}

type zoneKey struct{ service, zone string }

type zoneCheck struct {
	done  chan struct{}
	state zoneState // valid once done is closed
}

// check returns the state of a lost server's zone.
func (z *zoneChecker) check(s *directory.Server) zoneState {
	key := zoneKey{s.Service, s.Zone}
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
	c.state = z.exchange.askZone(s)
	z.mu.Lock()
	delete(z.inFlight, key)
	z.mu.Unlock()
	close(c.done)
	return c.state
}

// askZone counts the known losses in a lost server's zone. If they don't decide whether the
// zone is lost, it asks some of the other servers whether they are alive.
func (e *Exchange) askZone(s *directory.Server) zoneState {
	state := zoneState{ZoneLosses: e.opts.Directory.LossesInZone(s, time.Now(), zoneLossWindow)}
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
