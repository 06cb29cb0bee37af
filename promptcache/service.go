package promptcache

import (
	"context"
	"sync"
	"time"

	"github.com/pearyard/pearyard/directory"
)

// serviceCache holds what the servers of one service have answered, and who waits for
// answers.
type serviceCache struct {
	mu      sync.Mutex // guards the fields below
	answers map[directory.Start]answer
	queries map[*query]struct{}
	round   *round // the newest one
}

// answer is what a server had cached at a time.
type answer struct {
	contents Contents
	at       time.Time
}

// query waits for a server that has nearly all of a prompt cached. It comes from a caller
// of this process, or from a peer if reply is set.
type query struct {
	prompt  []Part
	enough  int
	hits    chan hit // holds the first hit
	reply   func(s directory.Start, tokens int)
	expires time.Time // of a peer's query
}

// hit is a server that has nearly all of a prompt cached.
type hit struct {
	start  directory.Start
	cached int // tokens
	byPeer bool
}

func (h hit) tokens() map[directory.Start]int { return map[directory.Start]int{h.start: h.cached} }

func newQuery(prompt []Part, expires time.Time) *query {
	return &query{prompt: prompt, enough: Sufficient(prompt), hits: make(chan hit, 1), expires: expires}
}

// deliver hands over a hit unless there has been one.
func (q *query) deliver(h hit) {
	select {
	case q.hits <- h:
	default:
	}
}

func (s *serviceCache) add(q *query) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queries[q] = struct{}{}
}

func (s *serviceCache) remove(q *query) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.queries, q)
}

// round is one round of queries to the servers of a service.
type round struct {
	startedAt time.Time
	done      chan struct{} // closed when all have answered or timed out
	queried   int           // servers that were sent a query
}

// join returns the newest round, or starts one if that is too old. Servers that have just
// answered are not queried again.
func (s *serviceCache) join(ask Asker, servers func() []*directory.Server) *round {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.round != nil && now.Sub(s.round.startedAt) < roundInterval {
		return s.round
	}
	var due []*directory.Server
	for _, server := range servers() {
		if known, ok := s.answers[server.Start]; !ok || now.Sub(known.at) >= freshFor {
			due = append(due, server)
		}
	}
	due = due[:min(len(due), maxQueried)]
	r := &round{startedAt: now, done: make(chan struct{}), queried: len(due)}
	s.round = r
	go func() {
		defer close(r.done)
		s.query(ask, due)
	}()
	return r
}

// query queries servers, several at once, and returns when all have answered or timed out.
// It does not depend on the context of any caller, since others wait for it too.
func (s *serviceCache) query(ask Asker, servers []*directory.Server) {
	next := make(chan *directory.Server, len(servers))
	for _, server := range servers {
		next <- server
	}
	close(next)
	var all sync.WaitGroup
	for range min(maxConcurrent, len(servers)) {
		all.Go(func() {
			for server := range next {
				s.queryOne(ask, server)
			}
		})
	}
	all.Wait()
}

func (s *serviceCache) queryOne(ask Asker, server *directory.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	contents, err := ask(ctx, server)
	if err != nil {
		return // if the server is lost, that shows when a request is sent there
	}
	s.addAnswer(server.Start, contents, time.Now())
}

// addAnswer records a server's answer and tells those who wait for what it has.
func (s *serviceCache) addAnswer(start directory.Start, contents Contents, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers[start] = answer{contents, now}
	for q := range s.queries {
		if q.reply != nil && now.After(q.expires) {
			delete(s.queries, q)
			continue
		}
		cached := contents.Prefix(q.prompt)
		if cached < q.enough {
			continue
		}
		if q.reply == nil {
			q.deliver(hit{start, cached, false})
			continue
		}
		q.reply(start, cached)
		delete(s.queries, q)
	}
}

// cachedTokens returns how many tokens of a prompt the servers have cached by their recent
// answers, without those that have none. It drops old answers.
func (s *serviceCache) cachedTokens(prompt []Part, now time.Time) map[directory.Start]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var byServer map[directory.Start]int
	for start, known := range s.answers {
		if now.Sub(known.at) > validFor {
			delete(s.answers, start)
			continue
		}
		tokens := known.contents.Prefix(prompt)
		if tokens == 0 {
			continue
		}
		if byServer == nil {
			byServer = map[directory.Start]int{}
		}
		byServer[start] = tokens
	}
	return byServer
}
