package promptcache

import (
	"context"
	"sync"
	"time"

	"github.com/pearyard/pearyard/directory"
)

const (
	// askTimeout bounds a question to one server. A lost server answers never, and the
	// caller waits meanwhile.
	askTimeout = 60 * time.Millisecond
	// askEvery is the least time between two rounds of questions about a service. The
	// callers of a lost entry VM come back together, and one round serves them all; a
	// prompt that has been read since is missed.
	askEvery = 200 * time.Millisecond
	// validFor is how long an answer is used: servers drop the oldest prompts. A wrong
	// answer costs no more than none.
	validFor = 10 * time.Second
	// maxAsked bounds the servers of one round, and so the bytes of its answers.
	maxAsked = 128
	// sufficientPrefix of a prompt is as good as all of it: servers keep whole blocks.
	sufficientPrefix = 0.9
)

// Asker asks a server what it keeps.
type Asker func(ctx context.Context, s *directory.Server) (Contents, error)

// Locator finds the servers that keep a prompt.
type Locator struct {
	ask Asker

	mu     sync.Mutex
	rounds map[string]*round // the newest by service
}

// NewLocator returns a Locator that asks servers by ask.
func NewLocator(ask Asker) *Locator {
	return &Locator{ask: ask, rounds: map[string]*round{}}
}

// round is one round of questions to the servers of a service.
type round struct {
	begun   time.Time
	done    chan struct{} // closed when all have answered or are late
	mu      sync.Mutex
	changed chan struct{} // closed and replaced with each answer
	answers map[directory.Start]Contents
	asked   int
}

// Found is what is known of a prompt.
type Found struct {
	Kept  map[directory.Start]int // tokens that need not be read, by server; those with none are left out
	Asked int                     // servers that were asked for it just now
}

// Known returns the servers that keep a prompt by what they have told lately. It
// asks nobody.
func (l *Locator) Known(service string, prompt []Part) Found {
	l.mu.Lock()
	r := l.rounds[service]
	l.mu.Unlock()
	if r == nil || time.Since(r.begun) > validFor {
		return Found{}
	}
	return Found{Kept: r.kept(prompt)}
}

// Find returns the servers that keep a prompt. Unless one is known to keep nearly
// all of it, it asks the servers given, and returns as soon as one says so.
func (l *Locator) Find(ctx context.Context, service string, servers []*directory.Server, prompt []Part) Found {
	enough := int(sufficientPrefix * float64(Tokens(prompt)))
	if known := l.Known(service, prompt); enough == 0 || known.Most() >= enough {
		return known
	}
	r := l.join(service, servers)
	for {
		changed := r.next()
		if found := (Found{Kept: r.kept(prompt), Asked: r.asked}); found.Most() >= enough {
			return found
		}
		select {
		case <-changed:
		case <-r.done:
			return Found{Kept: r.kept(prompt), Asked: r.asked}
		case <-ctx.Done():
			return Found{}
		}
	}
}

// Most returns the largest part of the prompt that one server keeps, in tokens.
func (f Found) Most() int {
	most := 0
	for _, tokens := range f.Kept {
		most = max(most, tokens)
	}
	return most
}

// join returns the newest round, or begins one if that is too old.
func (l *Locator) join(service string, servers []*directory.Server) *round {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.rounds[service]; r != nil && time.Since(r.begun) < askEvery {
		return r
	}
	servers = servers[:min(len(servers), maxAsked)]
	r := &round{
		begun: time.Now(), done: make(chan struct{}), changed: make(chan struct{}),
		answers: make(map[directory.Start]Contents, len(servers)), asked: len(servers),
	}
	l.rounds[service] = r
	go r.run(l.ask, servers)
	return r
}

// run asks all servers side by side. It is of no caller: others wait for it too.
func (r *round) run(ask Asker, servers []*directory.Server) {
	defer close(r.done)
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	var all sync.WaitGroup
	for _, s := range servers {
		all.Go(func() {
			contents, err := ask(ctx, s)
			if err != nil {
				return // whether it is lost shows where a request goes there
			}
			r.answered(s.Start, contents)
		})
	}
	all.Wait()
}

func (r *round) answered(s directory.Start, contents Contents) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers[s] = contents
	close(r.changed)
	r.changed = make(chan struct{})
}

// next returns a channel that is closed with the next answer.
func (r *round) next() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

func (r *round) kept(prompt []Part) map[directory.Start]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	var kept map[directory.Start]int
	for s, contents := range r.answers {
		tokens := contents.Prefix(prompt)
		if tokens == 0 {
			continue
		}
		if kept == nil {
			kept = map[directory.Start]int{}
		}
		kept[s] = tokens
	}
	return kept
}
