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
	running  map[*directory.Server]*question
}

// question is one that was put to a server.
type question struct {
	done  chan struct{} // closed when it is answered or the server was noted as lost
	alive bool          // the process that was asked answered; to be read after done
}

func (p *prober) ask(s *directory.Server) *question {
	p.mu.Lock()
	defer p.mu.Unlock()
	if q, ok := p.running[s]; ok {
		return q
	}
	q := &question{done: make(chan struct{})}
	p.running[s] = q
	go p.probe(s, q)
	return q
}

func (p *prober) probe(s *directory.Server, q *question) {
	ctx, cancel := context.WithTimeout(context.Background(), p.exchange.opts.Timings.ProbeTimeout)
	defer cancel()
	p.exchange.metrics.probes.Inc()
	born, err := p.exchange.opts.Backend.Probe(ctx, s)
	switch {
	case err != nil:
		p.exchange.failed(s, err)
	case s.EndedBy(born):
		// The process that answers knows nothing of the streams of the one before.
		p.exchange.ended(s, errors.Wrapf(ErrOtherStart, "born %d", born))
		p.exchange.opts.Restarts.confirm(p.exchange, s)
	default:
		q.alive = true
	}
	p.mu.Lock()
	delete(p.running, s)
	p.mu.Unlock()
	close(q.done)
}
