package exchange

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/directory"
)

// prober asks servers for signs of life, one question a server at a time
// however many streams wait there.
type prober struct {
	exchange *Exchange
	mu       sync.Mutex
	running  map[*directory.Server]chan struct{}
}

// ask returns a channel that is closed when the question is answered or the
// server was noted as lost.
func (p *prober) ask(s *directory.Server) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if done, ok := p.running[s]; ok {
		return done
	}
	done := make(chan struct{})
	p.running[s] = done
	go p.probe(s, done)
	return done
}

func (p *prober) probe(s *directory.Server, done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), p.exchange.opts.Timings.ProbeTimeout)
	defer cancel()
	p.exchange.metrics.probes.Inc()
	born, err := p.exchange.opts.Backend.Probe(ctx, s)
	switch {
	case err != nil:
		p.exchange.failed(s, err)
	case s.EndedBy(born):
		// Failure it stops: a server lost power and was started again under its id.
		// It answers, but its streams are gone: their callers waited for a first
		// event until their time was up.
		p.exchange.ended(s, errors.Wrapf(ErrOtherStart, "born %d", born))
		p.exchange.opts.Restarts.confirm(p.exchange, s)
	}
	p.mu.Lock()
	delete(p.running, s)
	p.mu.Unlock()
	close(done)
}
