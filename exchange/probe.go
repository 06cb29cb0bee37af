package exchange

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/directory"
)

// prober probes servers, with at most one probe per server at a time however many
// streams wait there.
type prober struct {
	exchange *Exchange
	mu       sync.Mutex
	inFlight map[*directory.Server]*probe
}

// probe is one probe of a server.
type probe struct {
	done  chan struct{} // closed when it is answered or the server was recorded as lost
	alive bool          // the process that was probed answered; valid once done is closed
}

// start returns the probe of a server that is in flight, and starts one if there is none.
func (p *prober) start(s *directory.Server) *probe {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pr, ok := p.inFlight[s]; ok {
		return pr
	}
	pr := &probe{done: make(chan struct{})}
	p.inFlight[s] = pr
	go p.run(s, pr)
	return pr
}

// run sends a probe and records what it says about the server. A late failure says more about
// this process than about the server.
func (p *prober) run(s *directory.Server, pr *probe) {
	born, late, err := p.send(s)
	for n := 0; late && err != nil && n < maxProbeRepeats; n++ {
		born, late, err = p.send(s)
	}
	switch {
	case err != nil:
		p.exchange.recordFailure(s, err)
	case s.EndedBy(born):
		// The process that answers is a later start, which knows nothing of the streams
		// of the one before.
		p.exchange.recordLoss(s, s.MarkEnded(time.Now()), errors.Wrapf(ErrOtherStart, "born %d", born))
		p.exchange.opts.Restarts.confirm(p.exchange, s)
	default:
		pr.alive = true
	}
	p.mu.Lock()
	delete(p.inFlight, s)
	p.mu.Unlock()
	close(pr.done)
}

// maxProbeRepeats bounds how many more probes are sent in place of late ones.
const maxProbeRepeats = 2

// send sends a probe. late means that it ended long after its timeout: this process was
// frozen, and the answer may have arrived meanwhile.
func (p *prober) send(s *directory.Server) (born int64, late bool, err error) {
	timeout, sent := p.exchange.opts.Timings.ProbeTimeout, time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	p.exchange.metrics.probes.Inc()
	born, err = p.exchange.opts.Backend.Probe(ctx, s)
	return born, time.Since(sent) > timeout+maxTimerDelay, err
}
