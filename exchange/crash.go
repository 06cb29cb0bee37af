package exchange

import (
	"time"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/types"
)

const (
	// crashConfirmDelay is how long to wait for other losses in the zone before a
	// request is blamed: the time in which several entry VMs notice a loss and report
	// it.
	crashConfirmDelay = 600 * time.Millisecond
	// zoneLossWindow is how close in time two losses in a zone count as one failure.
	zoneLossWindow = 2 * time.Second
)

// Reasons why a server's loss does not count against the requests that it ran.
const (
	excusedDraining = "draining"  // the server was to leave: a completed roll-out stops the old ones without draining
	excusedZoneLoss = "zone_lost" // other servers of its zone were lost too, which says nothing about the requests
)

// checkCrash probes a server that broke off while it ran a request, and blames the
// request if the server has died.
func (e *Exchange) checkCrash(req *Request, s *directory.Server) {
	go func() {
		<-e.probes.start(s).done
		if !s.IsDown(time.Now()) {
			return
		}
		time.Sleep(crashConfirmDelay)
		if s.Draining() {
			e.excuseCrash(req, s, excusedDraining, 0)
			return
		}
		if others := e.opts.Directory.OtherLossesInZone(s, time.Now(), zoneLossWindow); others > 0 {
			e.excuseCrash(req, s, excusedZoneLoss, others)
			return
		}
		e.opts.Suspects.RecordDeath(s.String(), []types.Fingerprint{req.Fingerprint()})
		e.opts.Recorder.Emit(EventCrashNoted, event.FieldRequest, req.ID, "server", s.Start, "zone", s.Zone, "fingerprint", req.Fingerprint())
	}()
}

// excuseCrash logs why a server's loss does not count against a request that it ran.
func (e *Exchange) excuseCrash(req *Request, s *directory.Server, why string, othersLost int) {
	e.opts.Recorder.Emit(EventCrashExcused, event.FieldRequest, req.ID, "server", s.Start, "zone", s.Zone, "fingerprint", req.Fingerprint(),
		"why", why, "others_lost", othersLost)
}
