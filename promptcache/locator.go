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
	// validFor is how long the answers of a round are used. It is short, since servers
	// evict the oldest prompts. An outdated answer costs no more than none: the prompt is
	// read again.
	validFor = 10 * time.Second
	// maxQueried is how many servers are queried in one round. It bounds the bytes of the
	// answers.
	maxQueried = 128
	// sufficientPrefix is the share of a prompt that is as good as all of it. Servers cache
	// whole blocks only, so the end of a prompt is hardly ever cached.
	sufficientPrefix = 0.9
)

// Asker queries a server for what it has cached.
type Asker func(ctx context.Context, s *directory.Server) (Contents, error)

// Locator finds the servers that have a prompt cached.
type Locator struct {
	ask Asker

	mu     sync.Mutex
	rounds map[string]*round // the newest round by service
}

// NewLocator returns a Locator that queries servers with ask.
func NewLocator(ask Asker) *Locator {
	return &Locator{ask: ask, rounds: map[string]*round{}}
}

// round is one round of queries to the servers of a service.
type round struct {
	startedAt time.Time
	done      chan struct{} // closed when all have answered or timed out
	mu        sync.Mutex
	changed   chan struct{} // closed and replaced with each answer
	answers   map[directory.Start]Contents
	queried   int // servers that were sent a query
}

// Found is what is known about a prompt.
type Found struct {
	CachedTokens map[directory.Start]int // cached tokens by server; servers with none are left out
	Queried      int                     // servers of the round that was awaited; 0: recent answers sufficed
}

// Known returns the servers that have a prompt cached according to recent answers. It
// queries none.
func (l *Locator) Known(service string, prompt []Part) Found {
	l.mu.Lock()
	r := l.rounds[service]
	l.mu.Unlock()
	if r == nil || time.Since(r.startedAt) > validFor {
		return Found{}
	}
	return Found{CachedTokens: r.cachedTokens(prompt)}
}

// Find returns the servers that have a prompt cached. Unless one is known to have
// nearly all of it, Find queries the given servers, or awaits a round that has just
// started, and returns as soon as one reports that it has. If ctx ends first, it returns
// nothing.
func (l *Locator) Find(ctx context.Context, service string, servers []*directory.Server, prompt []Part) Found {
	enough := int(sufficientPrefix * float64(Tokens(prompt)))
	if known := l.Known(service, prompt); enough == 0 || known.Most() >= enough {
		return known
	}
	r := l.join(service, servers)
	for {
		changed := r.nextAnswer()
		if found := (Found{CachedTokens: r.cachedTokens(prompt), Queried: r.queried}); found.Most() >= enough {
			return found
		}
		select {
		case <-changed:
		case <-r.done:
			return Found{CachedTokens: r.cachedTokens(prompt), Queried: r.queried}
		case <-ctx.Done():
			return Found{}
		}
	}
}

// Most returns the largest part of the prompt that one server has cached, in tokens.
func (f Found) Most() int {
	most := 0
	for _, tokens := range f.CachedTokens {
		most = max(most, tokens)
	}
	return most
}

// join returns the newest round, or starts one if that is too old.
func (l *Locator) join(service string, servers []*directory.Server) *round {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.rounds[service]; r != nil && time.Since(r.startedAt) < roundInterval {
		return r
	}
	servers = servers[:min(len(servers), maxQueried)]
	r := &round{
		startedAt: time.Now(), done: make(chan struct{}), changed: make(chan struct{}),
		answers: make(map[directory.Start]Contents, len(servers)), queried: len(servers),
	}
	l.rounds[service] = r
	go r.run(l.ask, servers)
	return r
}

// run queries all servers concurrently. It does not depend on the context of any
// caller, since others wait for it too.
func (r *round) run(ask Asker, servers []*directory.Server) {
	defer close(r.done)
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	var all sync.WaitGroup
	for _, s := range servers {
		all.Go(func() {
			contents, err := ask(ctx, s)
			if err != nil {
				return // if the server is lost, that shows when a request is sent there
			}
			r.addAnswer(s.Start, contents)
		})
	}
	all.Wait()
}

// addAnswer records a server's answer and wakes those who wait for one.
func (r *round) addAnswer(s directory.Start, contents Contents) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers[s] = contents
	close(r.changed)
	r.changed = make(chan struct{})
}

// nextAnswer returns a channel that is closed with the next answer.
func (r *round) nextAnswer() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// cachedTokens returns how many tokens of a prompt the servers that have answered so far
// have cached, without those that have none.
func (r *round) cachedTokens(prompt []Part) map[directory.Start]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	var byServer map[directory.Start]int
	for s, contents := range r.answers {
		tokens := contents.Prefix(prompt)
		if tokens == 0 {
			continue
		}
		if byServer == nil {
			byServer = map[directory.Start]int{}
		}
		byServer[s] = tokens
	}
	return byServer
}
