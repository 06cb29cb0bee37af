package membership

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	memberpb "github.com/pearyard/pearyard/rpc/member"
	"github.com/pearyard/pearyard/types"
)

// publishInterval bounds how often the view is rebuilt while news pours in:
// at 2,000 members a rebuild costs a good part of a millisecond.
const publishInterval = 50 * time.Millisecond

// Membership is this process's part in knowing who is there.
type Membership struct {
	opts    Options
	server  memberpb.TwirpServer
	metrics *metrics
	view    atomic.Pointer[View]

	// stall lets tests freeze this process: it is called wherever a frozen
	// process would stop.
	stall func()

	mu        sync.Mutex // guards all below; never held over a call
	table     *table
	rng       *rand.Rand
	ring      probeRing
	health    health
	rounds    int // probe rounds so far
	changed   chan struct{}
	published time.Time
	cutOff    bool
	behind    types.Incarnation
	revision  types.Revision // last seen of opts.Revision
	joined    bool
	differed  bool // the last comparison of lists found differences
	settled   bool // a comparison has found none
	burst     tokens
	pairs     map[string]vmPair
	vmDown    bool
	unknown   []string // addresses of VM list entries that aren't members
	aloneTold bool
	ahead     []revisionNews // to hand to OnRevision once the lock is released
}

// revisionNews says that the process at address has a later revision.
type revisionNews struct {
	address  string
	revision types.Revision
}

// New returns a Membership that knows only itself; Run makes it look for others.
func New(opts Options) (*Membership, error) {
	if err := opts.complete(); err != nil {
		return nil, err
	}
	now := time.Now()
	self := recordOf(opts.Self)
	self.Leaving = false
	self.Revision = opts.Revision()
	m := &Membership{
		opts:    opts,
		metrics: newMetrics(opts.Registerer),
		table:   newTable(self, opts.SuspectTimeout, now),
		rng:     rand.New(rand.NewPCG(xxhash.Sum64String(string(self.ID)), uint64(self.Incarnation))),
		changed: make(chan struct{}),
		burst:   tokens{count: burstTokens, refilled: now},
		pairs:   map[string]vmPair{},
	}
	m.table.transitions = nil
	m.revision = self.Revision
	m.health.lastTick = now
	m.server = memberpb.NewMembersServer(&service{m})
	m.publish(now)
	return m, nil
}

// Handler serves the other members' calls; mount it under PathPrefix.
func (m *Membership) Handler() http.Handler { return m.server }

// PathPrefix is the path under which Handler must be mounted.
func (m *Membership) PathPrefix() string { return m.server.PathPrefix() }

// Snapshot returns the current view. It takes no lock.
func (m *Membership) Snapshot() *View { return m.view.Load() }

// Changed returns a channel that is closed when the next view is published.
// Take the channel first and the snapshot after it, so as to miss nothing.
func (m *Membership) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Leave announces that this process is being stopped. It returns once another
// member has heard it, or with ctx's error; the mark itself is set at once and
// never taken back.
func (m *Membership) Leave(ctx context.Context) error {
	m.MarkLeaving(m.opts.Self.ID)
	for {
		targets := m.pickAlive(burstFanout, "")
		if len(targets) == 0 || m.tell(ctx, targets) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(m.opts.ProbeTimeout):
		}
	}
}

// MarkLeaving marks a member's present run as leaving, from an operator's stop
// or the VM list, and tells the others at once. It reports whether the member is known.
func (m *Membership) MarkLeaving(id types.ProcessID) bool {
	m.lock()
	defer m.unlock()
	e := m.table.entries[id]
	if e == nil {
		return false
	}
	m.markLeaving(e)
	return true
}

func (m *Membership) markLeaving(e *entry) {
	if e.Leaving {
		return
	}
	next := e.record
	next.Leaving = true
	m.table.put(time.Now(), e, next)
	m.publish(time.Now())
}

// Observe takes in direct evidence from any other message that member sent
// just now: it lives, has this incarnation and, if State says so, is leaving.
func (m *Membership) Observe(member Member) {
	now := time.Now()
	m.lock()
	defer m.unlock()
	m.table.apply(now, recordOf(member))
	held := m.table.hear(now, member.ID, member.Incarnation)
	m.noteRevision(member.Address, member.Revision)
	if held {
		// The member doesn't know that it is suspected; a probe tells it.
		m.ring.next(member.ID)
	}
}

// AnnounceRevision spreads the news of a revision just taken into force
// without waiting for the next tick.
func (m *Membership) AnnounceRevision() {
	m.lock()
	defer m.unlock()
	m.checkRevision()
}

// Run probes, answers suspicions and follows the VM list until ctx ends.
func (m *Membership) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l := newLoop(m, &wg)
	ticker := time.NewTicker(m.opts.Period / ticksPerPeriod)
	defer ticker.Stop()
	l.tick(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			l.tick(ctx)
		}
	}
}

func (m *Membership) lock() {
	if m.stall != nil {
		m.stall()
	}
	m.mu.Lock()
}

// unlock publishes what changed, unless that was done just before, releases
// the lock and reports the changes.
func (m *Membership) unlock() {
	now := time.Now()
	if m.table.dirty && now.Sub(m.published) >= publishInterval {
		m.publish(now)
	}
	reports := m.takeReports()
	ahead := m.ahead
	m.ahead = nil
	m.mu.Unlock()
	for _, a := range ahead {
		m.opts.OnRevision(a.address, a.revision)
	}
	for _, r := range reports {
		m.opts.Recorder.Emit(r.kind, r.fields...)
	}
}

func (m *Membership) publish(now time.Time) {
	v := m.table.view()
	m.view.Store(v)
	m.table.dirty = false
	m.published = now
	m.metrics.show(v, len(m.table.queue.pending))
	close(m.changed)
	m.changed = make(chan struct{})
}

// noteRevision passes on that addr has a later revision than this process.
func (m *Membership) noteRevision(addr string, rev types.Revision) {
	if rev > m.opts.Revision() {
		m.ahead = append(m.ahead, revisionNews{addr, rev})
	}
}

// checkRevision makes a revision newly in force here urgent news.
func (m *Membership) checkRevision() {
	rev := m.opts.Revision()
	if rev <= m.revision {
		return
	}
	m.revision = rev
	m.table.own().Revision = rev
	m.table.dirty = true
	m.table.urgent = true
}

// from is this process's own record, the head of every message.
func (m *Membership) from() *memberpb.Record {
	own := m.table.own()
	own.Revision = max(own.Revision, m.opts.Revision())
	return encode(own.record)
}
