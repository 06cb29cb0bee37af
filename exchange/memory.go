package exchange

import (
	"math"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/site"
)

const (
	// memoryShare of a server's memory is filled with what streams are expected to need.
	// The rest covers the error of that estimate: prompts are known and take most of the
	// memory, answers are half as long or twice as long as the caller says. A server that
	// runs out interrupts a stream for longer than its route's allowed pause and reads its
	// prompt again; a stream that is held back has lost nothing yet.
	memoryShare = 0.95
	// copyReserve is how many streams as large as its own a copy of the least urgent class
	// leaves room for; more urgent classes leave less, in equal steps. With room for two, the
	// streams that come to the server while the copy lasts are seldom held back by it. A share
	// of the memory would cost copies where memory is ample, and without a copy a lost
	// stream's prompt is read again.
	copyReserve = 2
	// memoryGrowth is by how many tokens more than generated a stream counts whose answer is
	// longer than expected, so that it isn't reported to other VMs with each event.
	memoryGrowth = 256
	// noMemoryRetryAfter is the Retry-After time for a stream that found no room. Streams
	// last for seconds, so among a service's servers some end within it.
	noMemoryRetryAfter = time.Second
)

// memoryNeed is how a stream's memory at backend servers is accounted, in tokens. It is
// immutable. A nil memoryNeed is that of a stream whose memory isn't accounted.
type memoryNeed struct {
	prompt      int
	answer      int           // expected
	eventTokens int           // in an event
	capacity    int           // of a server
	copyLimit   int           // up to which a server may be filled by a copy of the stream
	copyTTL     time.Duration // how long a server keeps a copy whose run did not end successfully
}

// newMemoryNeed returns how a request's memory is accounted: only where the configuration
// states the servers' memory and which requests go before others.
func newMemoryNeed(req *Request, service site.Service, lengths *answerLengths) *memoryNeed {
	if service.Memory <= 0 || req.Competition == nil {
		return nil
	}
	rank := req.Competition.Rank(req.Urgency)
	n := &memoryNeed{
		prompt: req.PromptTokens, answer: lengths.expect(req.LengthHint, req.MaxTokens),
		eventTokens: max(1, service.EventTokens), capacity: service.Memory, copyTTL: service.CopyTTL,
	}
	n.copyLimit = copyLimit(n.capacity, n.tokens(0), rank, req.Competition.Ranks())
	return n
}

// copyLimit returns up to how many tokens a server's memory may be filled by a copy of a
// stream of that many tokens, by the rank of its class. It answers the load of more streams
// and copies than the servers' memory holds: copies of the least urgent class are the first
// that are not made.
func copyLimit(capacity, stream, rank, ranks int) int {
	free := copyReserve * float64(stream) * float64(rank+1) / float64(ranks)
	return max(0, int(memoryShare*float64(capacity)-free))
}

// tokens returns how much the stream needs at a server once the caller has its events up to
// lastEvent: never more than a server has.
func (n *memoryNeed) tokens(lastEvent uint64) int {
	if n == nil {
		return 0
	}
	generated := min(float64(n.capacity), float64(lastEvent+1)*float64(n.eventTokens))
	return max(1, min(n.capacity, min(n.prompt, n.capacity)+max(n.answer, int(generated))))
}

// limit returns up to how many tokens a server may be filled by the stream. One that goes on
// after a loss may take the margin as well: held back, it would be cut off.
func (n *memoryNeed) limit(goesOn bool) int {
	if n == nil {
		return 0
	}
	if goesOn {
		return n.capacity
	}
	return int(memoryShare * float64(n.capacity))
}

// keptFor returns how long a server keeps a copy whose run did not end successfully.
func (n *memoryNeed) keptFor() time.Duration {
	if n == nil {
		return 0
	}
	return n.copyTTL
}

// tooLarge reports whether the stream can't fit into any server. The answer doesn't count:
// its length is an estimate, which must not turn a stream away for good.
func (n *memoryNeed) tooLarge() bool { return n != nil && n.prompt >= n.capacity }

// errTooLarge is ErrNoMemory for a stream that would not fit into an empty server.
var errTooLarge = errors.Wrap(ErrNoMemory, "exchange: the prompt is larger than a backend server's memory")

// answerLengths holds what was seen of how long the answers of a service's streams are, in
// tokens.
type answerLengths struct {
	mu             sync.Mutex
	mean           float64 // of all answers; 0: none is complete
	hinted, actual float64 // means over the answers with a hint: of the hints, and of the answers
}

// observe records the length of a complete answer. The means are divided, not the single
// lengths: a hint of one token for a long answer would outweigh all others.
func (l *answerLengths) observe(hint, maxTokens int, tokens float64) {
	if tokens <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mean == 0 {
		l.mean = tokens
	}
	l.mean += lengthWeight * (tokens - l.mean)
	if hint <= 0 {
		return
	}
	hinted := float64(boundedLength(hint, maxTokens))
	if l.hinted == 0 {
		l.hinted, l.actual = hinted, hinted // hints are right at the median
	}
	l.hinted += lengthWeight * (hinted - l.hinted)
	l.actual += lengthWeight * (tokens - l.actual)
}

// expect returns how many tokens an answer is expected to have: as many as the caller hints,
// corrected by what was seen, or without a hint as many as others had. Before any was seen
// that is the largest number that the answer may have.
func (l *answerLengths) expect(hint, maxTokens int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case hint > 0 && l.hinted > 0:
		return boundedLength(int(math.Ceil(float64(boundedLength(hint, maxTokens))*l.actual/l.hinted)), maxTokens)
	case hint > 0:
		return boundedLength(hint, maxTokens)
	case l.mean > 0:
		return boundedLength(int(math.Ceil(l.mean)), maxTokens)
	default:
		return boundedLength(max(0, maxTokens), 0)
	}
}

// maxAnswerTokens bounds what a caller may say of its answer, so that sums can't overflow.
const maxAnswerTokens = 1 << 30

// boundedLength returns a length that is at most maxTokens, if that is stated.
func boundedLength(tokens, maxTokens int) int {
	if maxTokens > 0 {
		tokens = min(tokens, maxTokens)
	}
	return min(tokens, maxAnswerTokens)
}

// memoryNeed returns how the memory of a request is accounted; nil: it isn't.
func (e *Exchange) memoryNeed(req *Request) *memoryNeed {
	service, ok := e.opts.Services(req.Service)
	if !ok {
		return nil
	}
	return newMemoryNeed(req, service, &e.paceFor(req.Service).lengths)
}

// withMemory adds the memory that the stream needs to a query for its server.
func (s *stream) withMemory(q directory.Query) directory.Query {
	q.Memory, q.MemoryLimit = s.memory.tokens(s.lastEvent), s.memory.limit(s.lastEvent > 0)
	return q
}

// recordPick records whether a choice found no server for lack of memory. pickAny chooses
// without regard to memory.
func (s *stream) recordPick(found *directory.Server, pickAny func() *directory.Server) {
	if s.memory == nil {
		return
	}
	if s.lacksMemory = found == nil && pickAny() != nil; s.lacksMemory && !s.heldForMemory {
		s.heldForMemory = true
		s.e.metrics.memory.held.Inc()
	}
	watch := &s.e.paceFor(s.req.Service).memory
	switch change := watch.record(found != nil, s.lacksMemory, time.Now()); change {
	case memoryShort:
		s.e.opts.Recorder.Emit(EventMemoryShort, event.FieldRequest, s.req.ID, "service", s.req.Service, "route", s.req.Route.Name, "tokens", s.memory.tokens(s.lastEvent), "capacity", s.memory.capacity)
	case memoryFound:
		s.e.opts.Recorder.Emit(EventMemoryFound, event.FieldRequest, s.req.ID, "service", s.req.Service, "short_for", watch.lasted())
	}
}

// noServer returns why the stream found no server.
func (s *stream) noServer() error {
	if s.lacksMemory {
		return ErrNoMemory
	}
	if version, bound := s.versionBoundTo(); bound && !s.versions.MayResume(version) {
		return ErrVersionExcluded
	}
	return ErrNoServer
}

// recordLength records the length of the complete answer.
func (s *stream) recordLength() {
	if s.memory != nil {
		s.e.paceFor(s.req.Service).lengths.observe(s.req.LengthHint, s.req.MaxTokens, float64(s.lastEvent)*float64(s.memory.eventTokens))
	}
}

// growMemory records an event: it raises what an attempt and its copy count at their servers once the answer is
// longer than expected.
func (s *stream) growMemory(a *streamAttempt) {
	if a.events == 1 {
		a.copies.markSent()
	}
	if need := s.memory.tokens(s.lastEvent); need > a.memory.Tokens() {
		a.memory.Grow(need + memoryGrowth)
		a.copies.grow(need + memoryGrowth)
	}
}

// memoryChange is a change of whether a service's streams find memory.
type memoryChange int

const (
	memoryUnchanged memoryChange = iota
	memoryShort
	memoryFound
)

// memoryWatch notices when the streams of a service begin to find no memory and when they
// find it again.
type memoryWatch struct {
	mu           sync.Mutex
	since, until time.Time // first and newest time without memory; zero: there is enough
	short        time.Duration
}

// memoryCalm is how long no stream may lack memory before it counts as found again, so that
// a shortage is logged once and not with each stream that ends.
const memoryCalm = 5 * time.Second

// record records a choice of a server and returns what it changes.
func (w *memoryWatch) record(found, lacks bool, now time.Time) memoryChange {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case lacks && w.since.IsZero():
		w.since, w.until = now, now
		return memoryShort
	case lacks:
		w.until = now
	case found && !w.since.IsZero() && now.Sub(w.until) >= memoryCalm:
		w.short = w.until.Sub(w.since)
		w.since = time.Time{}
		return memoryFound
	}
	return memoryUnchanged
}

// lasted returns how long the last shortage was.
func (w *memoryWatch) lasted() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.short
}
