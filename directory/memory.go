package directory

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// reportedMemoryTTL is how long a server's own report of its memory counts. The streams and
// copies that it saw are known from this process and its peers by then, or have ended.
const reportedMemoryTTL = time.Second

// serverMemory is what is known of the memory in use at one start of a server, in tokens.
type serverMemory struct {
	own        atomic.Int64    // what streams and copies of this process hold or will hold
	reported   atomic.Int64    // in use according to the server's newest report
	reportedAt atomic.Int64    // Unix nanoseconds of that report
	changed    chan<- struct{} // takes a token after a change of own; nil: nobody waits
}

// MemoryHold is the part of a server's memory that a stream or copy of this process holds or
// will hold. A nil MemoryHold holds nothing.
type MemoryHold struct {
	memory *serverMemory

	mu     sync.Mutex
	tokens int64
	ended  bool
}

// HoldMemory counts memory of a server until the hold ends. It returns nil for 0 tokens.
func (s *Server) HoldMemory(tokens int) *MemoryHold {
	if tokens <= 0 {
		return nil
	}
	h := &MemoryHold{memory: &s.memory, tokens: int64(tokens)}
	s.memory.add(h.tokens)
	return h
}

// Grow raises the hold to a number of tokens. A smaller number changes nothing.
func (h *MemoryHold) Grow(tokens int) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if more := int64(tokens) - h.tokens; more > 0 && !h.ended {
		h.tokens += more
		h.memory.add(more)
	}
}

// Tokens returns how much the hold counts, or counted before it ended.
func (h *MemoryHold) Tokens() int {
	if h == nil {
		return 0
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return int(h.tokens)
}

// End removes the hold. Further calls have no effect.
func (h *MemoryHold) End() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.ended {
		h.ended = true
		h.memory.add(-h.tokens)
	}
}

func (m *serverMemory) add(tokens int64) {
	m.own.Add(tokens)
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// RecordReportedMemory records how many tokens of memory the server says are in use.
func (s *Server) RecordReportedMemory(used int, now time.Time) {
	s.memory.reported.Store(int64(used))
	s.memory.reportedAt.Store(now.UnixNano())
}

// memoryState is what is known of a server's memory at the moment of a choice, in tokens.
type memoryState struct {
	committed int64 // what streams and copies of all processes hold or will hold
	reported  int64 // in use according to a fresh report of the server; 0: there is none
}

// memoryState returns what is known of the server's memory now. peers holds what other
// processes have reported, by start hash.
func (s *Server) memoryState(peers map[uint32]int64, now time.Time) memoryState {
	m := memoryState{committed: s.memory.own.Load() + peers[s.startHash]}
	if now.UnixNano()-s.memory.reportedAt.Load() < int64(reportedMemoryTTL) {
		m.reported = s.memory.reported.Load()
	}
	return m
}

// inUse returns the larger of the two counts: processes don't know of each other's newest
// streams, and a report is older than the newest streams of this process.
func (m memoryState) inUse() int64 { return max(m.committed, m.reported) }

// fits reports whether what a query is for fits beside what the server holds. It answers the
// load of more or larger streams than the servers' memory holds: a server that runs out
// interrupts a stream for longer than callers allow and reads its prompt again.
//
// A stream that would exceed the limit by itself may have a server of its own.
func (m memoryState) fits(q Query) bool {
	used := m.inUse()
	return used+int64(q.Memory) <= int64(q.MemoryLimit) || (used == 0 && !q.Copy)
}

// hasRoom reports whether the server has room for what a query is for.
func (q Query) hasRoom(s *Server, now time.Time) bool {
	if q.Memory == 0 {
		return true
	}
	m := s.memoryState(q.peerMemory, now)
	return m.fits(q) && (q.turns == nil || !m.isScarce(q) || q.turns.isOurs(s, now))
}

// withMemory returns the query with what other processes use of the servers' memory, and
// whether scarce room at a server is taken in turn.
//
// A copy may exceed its limit by a race, and a stream that was lost can't wait for its turn.
func (d *Directory) withMemory(q Query, list []*Server, now time.Time) Query {
	if q.Memory == 0 {
		return q
	}
	q.peerMemory = d.peerMemory(now)
	p := d.partition.Load()
	if q.Copy || q.AfterDisruption || p == nil || p.count <= 1 {
		return q
	}
	rooms := 0
	for _, s := range list {
		if !s.Draining() && q.hasRoom(s, now) {
			rooms++
		}
		if rooms == p.count {
			return q
		}
	}
	q.turns = p
	return q
}

// scarceRooms is for how many streams a server has room at most where it is taken in turn. More
// processes than two seldom send a stream to the same server before they know of each other's.
const scarceRooms = 2

// isScarce reports whether a server has room for no more than scarceRooms such streams.
func (m memoryState) isScarce(q Query) bool {
	return m.inUse()+(scarceRooms+1)*int64(q.Memory) > int64(q.MemoryLimit)
}

const (
	// turnTime is how long a process may take scarce room at a server before it is the
	// next one's turn. It exceeds turnGuard by more than the interval at which a waiting
	// stream looks for a server.
	turnTime = 100 * time.Millisecond
	// turnGuard is the time at the start of a turn in which nobody may take the room: what
	// the process before took is known to the others after it.
	turnGuard = 40 * time.Millisecond
)

// isOurs reports whether it is this process's turn to take scarce room at a server. It
// answers the load of more streams than fit into the servers' memory, at many processes: all
// would choose the same server where some comes free, before they know of each other's choice.
// Where clocks differ, two processes may have the same turn, which is no worse than none.
func (p *partition) isOurs(s *Server, now time.Time) bool {
	turn, since := now.UnixNano()/int64(turnTime), time.Duration(now.UnixNano()%int64(turnTime))
	return since >= turnGuard && (int64(s.idHash)+turn)%int64(p.count) == int64(p.index)
}

// MemoryUse is the memory that one process uses at a server.
type MemoryUse struct {
	Server uint32 // hash of its start
	Tokens int
}

// MemoryReport is what a process reports of the memory that it uses. It replaces what is known
// of the servers whose hashes are from First to Last, so that a report on all servers may take
// several datagrams. With First after Last it changes only the servers in Uses.
type MemoryReport struct {
	First, Last uint32
	Uses        []MemoryUse // by ascending Server; 0 tokens: none any more
}

// peerMemory holds the newest reports of the other processes on the servers' memory.
type peerMemory struct {
	changed chan struct{} // holds one token after a change of this process's own use

	mu       sync.Mutex
	byPeer   map[string]map[uint32]int
	sums     map[uint32]int64 // over byPeer, by start hash, without servers where none is used
	totalsAt time.Time
	stale    atomic.Bool                      // a report has come since totals was copied from sums
	totals   atomic.Pointer[map[uint32]int64] // nil: nothing has been reported
}

func newPeerMemory() peerMemory {
	return peerMemory{changed: make(chan struct{}, 1), byPeer: map[string]map[uint32]int{}, sums: map[uint32]int64{}}
}

// MemoryChanged returns a channel that holds a token after the memory that this process uses
// at servers has changed.
func (d *Directory) MemoryChanged() <-chan struct{} { return d.memory.changed }

// OwnMemory returns the memory that this process uses at servers, by ascending hash and
// without servers where it uses none.
func (d *Directory) OwnMemory() []MemoryUse {
	var out []MemoryUse
	for _, s := range d.view.Load().byID {
		if tokens := s.memory.own.Load(); tokens > 0 {
			out = append(out, MemoryUse{s.startHash, int(tokens)})
		}
	}
	slices.SortFunc(out, func(a, b MemoryUse) int { return cmp.Compare(a.Server, b.Server) })
	return mergeSameHash(out)
}

// mergeSameHash adds up the uses of different starts with the same hash, which reports can't
// tell apart. The list is sorted.
func mergeSameHash(uses []MemoryUse) []MemoryUse {
	var out []MemoryUse
	for _, use := range uses {
		if n := len(out); n > 0 && out[n-1].Server == use.Server {
			out[n-1].Tokens += use.Tokens
			continue
		}
		out = append(out, use)
	}
	return out
}

// MemoryByService returns the memory that this process uses at the servers of each service.
func (d *Directory) MemoryByService() map[string]int64 {
	sums := map[string]int64{}
	for _, s := range d.view.Load().byID {
		if tokens := s.memory.own.Load(); tokens > 0 {
			sums[s.Service] += tokens
		}
	}
	return sums
}

// SharesMemory reports whether processes of other cells use servers where this process uses
// memory, since the service has too few servers to be divided among cells.
func (d *Directory) SharesMemory() bool {
	if d.cells.Load() <= 1 {
		return false
	}
	view := d.view.Load()
	for service := range d.MemoryByService() {
		if list := view.Service(service); len(d.serversInOwnCell(list)) == len(list) {
			return true
		}
	}
	return false
}

// SetPeerMemory applies a peer's report.
func (d *Directory) SetPeerMemory(from string, r MemoryReport) {
	m := &d.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.byPeer[from]
	if known == nil {
		known = map[uint32]int{}
		m.byPeer[from] = known
	}
	for server := range known {
		if server >= r.First && server <= r.Last {
			m.set(known, server, 0)
		}
	}
	for _, use := range r.Uses {
		m.set(known, use.Server, use.Tokens)
	}
	if len(known) == 0 {
		delete(m.byPeer, from)
	}
	m.stale.Store(true)
}

// DropPeerMemory forgets what a peer has reported.
func (d *Directory) DropPeerMemory(from string) {
	d.memory.mu.Lock()
	defer d.memory.mu.Unlock()
	known := d.memory.byPeer[from]
	for server := range known {
		d.memory.set(known, server, 0)
	}
	delete(d.memory.byPeer, from)
	d.memory.stale.Store(true)
}

// set records what a peer uses at a server. The caller must hold mu.
func (m *peerMemory) set(known map[uint32]int, server uint32, tokens int) {
	if m.sums[server] += int64(tokens - known[server]); m.sums[server] == 0 {
		delete(m.sums, server)
	}
	if known[server] = tokens; tokens == 0 {
		delete(known, server)
	}
}

// peerMemory returns the memory that other processes have reported to use, by start hash.
// Reports on starts that aren't known here have no effect.
func (d *Directory) peerMemory(now time.Time) map[uint32]int64 {
	m := &d.memory
	if m.stale.Load() {
		m.copyTotals(now)
	}
	if totals := m.totals.Load(); totals != nil {
		return *totals
	}
	return nil
}

// copyTotals makes the newest sums visible to choices, at most once each totalsInterval.
func (m *peerMemory) copyTotals(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.totalsAt) < totalsInterval {
		return
	}
	m.totalsAt = now
	m.stale.Store(false)
	totals := maps.Clone(m.sums)
	m.totals.Store(&totals)
}
