package promptcache

import (
	"context"
	"sync"
	"time"

	"github.com/pearyard/pearyard/directory"
)

const (
	// queryTimeout bounds a query to one server. A lost server never answers, and the
	// caller waits meanwhile.
	queryTimeout = 60 * time.Millisecond
	// roundInterval is the least time between the starts of two rounds of queries to the
	// servers of a service. The callers of a lost entry VM come back together, and one
	// round serves them all; a prompt that was cached after a server's answer is missed.
	roundInterval = 200 * time.Millisecond
	// freshFor is how long a server that has answered is not queried again.
	freshFor = roundInterval / 2
	// validFor is how long a server's answer is used. It is short, since servers evict the
	// oldest prompts. An outdated answer costs no more than none: the prompt is read again.
	validFor = 10 * time.Second
	// maxQueried is how many servers are queried in one round. It bounds the bytes of the
	// answers.
	maxQueried = 320
	// maxConcurrent is how many queries of a round run at once. A VM with little processing
	// time gains nothing from more, and each has a stack that grows.
	maxConcurrent = 64
	// sufficientPrefix is the share of a prompt that is as good as all of it. Servers cache
	// whole blocks only, so the end of a prompt is hardly ever cached.
	sufficientPrefix = 0.9
	// peerWait is how long the answers of peers are awaited: the time in which a peer that
	// has little processing time queries its servers. It is short against the time that it
	// takes to read a prompt again.
	peerWait = 150 * time.Millisecond
)

// Asker queries a server for what it has cached.
type Asker func(ctx context.Context, s *directory.Server) (Contents, error)

// Peers asks other processes for servers that have a prompt cached: those that query
// servers which this process does not. Their answers go to Locator.RecordPeerAnswer.
type Peers interface {
	// Await waits until it is known which servers this process queries, but not for long.
	Await(ctx context.Context)
	// Ask reports whether there is anybody to ask.
	Ask(service string, prompt []Part) bool
}

// Locator finds the servers that have a prompt cached.
type Locator struct {
	ask   Asker
	peers Peers // may be nil

	mu       sync.Mutex
	services map[string]*serviceCache
}

// NewLocator returns a Locator that queries servers with ask.
func NewLocator(ask Asker) *Locator {
	return &Locator{ask: ask, services: map[string]*serviceCache{}}
}

// UsePeers makes the Locator ask peers while it queries servers. It must be called before any
// other method.
func (l *Locator) UsePeers(p Peers) { l.peers = p }

// Found is what is known about a prompt.
type Found struct {
	CachedTokens map[directory.Start]int // cached tokens by server; servers with none are left out
	Queried      int                     // servers of the round that was awaited; 0: recent answers or a peer sufficed
	ByPeer       bool                    // a peer knew the server
}

// Most returns the largest part of the prompt that one server has cached, in tokens.
func (f Found) Most() int {
	most := 0
	for _, tokens := range f.CachedTokens {
		most = max(most, tokens)
	}
	return most
}

func (l *Locator) service(name string) *serviceCache {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.services[name]
	if s == nil {
		s = &serviceCache{answers: map[directory.Start]answer{}, queries: map[*query]struct{}{}}
		l.services[name] = s
	}
	return s
}

// Known returns the servers that have a prompt cached according to recent answers. It
// queries none.
func (l *Locator) Known(service string, prompt []Part) Found {
	return Found{CachedTokens: l.service(service).cachedTokens(prompt, time.Now())}
}

// Find returns the servers that have a prompt cached. Unless one is known to have
// nearly all of it, Find queries the given servers, or awaits a round that has just
// started, asks peers, and returns as soon as one server is found that has it. If ctx ends
// first, it returns nothing.
func (l *Locator) Find(ctx context.Context, service string, servers func() []*directory.Server, prompt []Part) Found {
	enough := Sufficient(prompt)
	if known := l.Known(service, prompt); enough == 0 || known.Most() >= enough {
		return known
	}
	s := l.service(service)
	q := newQuery(prompt, time.Time{})
	s.add(q)
	defer s.remove(q)
	var patience <-chan time.Time
	if l.peers != nil {
		l.peers.Await(ctx)
		if l.peers.Ask(service, prompt) {
			patience = time.After(peerWait)
		}
	}
	r := s.join(l.ask, servers)
	for done := r.done; ; {
		select {
		case hit := <-q.hits:
			return Found{CachedTokens: hit.tokens(), Queried: r.queried, ByPeer: hit.byPeer}
		case <-done:
			if done = nil; patience != nil {
				continue
			}
		case <-patience:
			if patience = nil; done != nil {
				continue
			}
		case <-ctx.Done():
			return Found{}
		}
		return Found{CachedTokens: s.cachedTokens(prompt, time.Now()), Queried: r.queried}
	}
}

// AnswerPeer finds servers that have nearly all of a prompt cached for a peer. It calls reply
// with each that is known, or else with the first that the given servers' answers show.
func (l *Locator) AnswerPeer(service string, servers func() []*directory.Server, prompt []Part, reply func(s directory.Start, tokens int)) {
	enough := Sufficient(prompt)
	if enough == 0 {
		return
	}
	s := l.service(service)
	answered := false
	for start, tokens := range s.cachedTokens(prompt, time.Now()) {
		if tokens >= enough {
			reply(start, tokens)
			answered = true
		}
	}
	if answered {
		return
	}
	q := newQuery(prompt, time.Now().Add(peerWait))
	q.reply = reply
	s.add(q)
	s.join(l.ask, servers)
}

// RecordPeerAnswer hands a peer's answer to the callers that wait for the prompt, which is
// given by the id of its last part.
func (l *Locator) RecordPeerAnswer(service, lastPart string, start directory.Start, tokens int) {
	s := l.service(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	for q := range s.queries {
		if q.reply == nil && q.prompt[len(q.prompt)-1].ID == lastPart && tokens >= q.enough {
			q.deliver(hit{start, tokens, true})
		}
	}
}

// Sufficient returns how many cached tokens of a prompt are as good as all of it.
func Sufficient(prompt []Part) int { return int(sufficientPrefix * float64(Tokens(prompt))) }
