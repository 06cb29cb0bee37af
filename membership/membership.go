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

// publishInterval limits how often incoming messages rebuild the view: at 2,000
// members a rebuild takes a good part of a millisecond. A change that arrives
// sooner after the last rebuild is published by the next tick at the latest.
const publishInterval = 50 * time.Millisecond

// Membership tracks the other processes of the site and makes this process known
// to them.
type Membership struct {
	opts    Options
	server  memberpb.TwirpServer
	metrics *metrics
	view    atomic.Pointer[View]

	// freezeHook lets tests freeze this process: it is called before the lock is
	// taken and blocks while the process is frozen.
	freezeHook func()

	mu               sync.Mutex // guards the fields below; not held during calls to other members
	table            *table
	rng              *rand.Rand
	ring             probeRing
	health           health
	rounds           int               // probe rounds so far
	changed          chan struct{}     // closed when the next view is published
	published        time.Time         // when the view was last published
	cutOff           bool              // the last tick did not see more than half of the members alive
	laterSelf        types.Incarnation // highest later incarnation of the own ID reported so far
	revision         types.Revision    // last announced value of opts.Revision
	joined           bool
	lastSyncDiffered bool               // the last list comparison found differences
	converged        bool               // some list comparison has found no differences
	burstBudget      tokenBucket        // limits the messages sent for urgent changes
	vmMatches        map[string]vmMatch // by VM ID and address
	vmListDown       bool               // the last poll of the VM list failed
	unjoined         []string           // VM list addresses without a known member
	aloneReported    bool               // eventAlone has been emitted
	newerRevisions   []newerRevision    // passed to OnRevision after the lock is released
}

// newerRevision is a revision, later than that of this process, which the process
// at address has in force.
type newerRevision struct {
	address  string
	revision types.Revision
}

// New returns a Membership that knows only this process; Run makes it contact
// others.
func New(opts Options) (*Membership, error) {
	if err := opts.complete(); err != nil {
		return nil, err
	}
	now := time.Now()
	self := recordOf(opts.Self)
	self.Leaving = false
	self.Revision = opts.Revision()
	m := &Membership{
		opts:        opts,
		metrics:     newMetrics(opts.Registerer),
		table:       newTable(self, opts.SuspectTimeout, now),
		rng:         rand.New(rand.NewPCG(xxhash.Sum64String(string(self.ID)), uint64(self.Incarnation))),
		changed:     make(chan struct{}),
		burstBudget: tokenBucket{count: burstTokens, refilled: now},
		vmMatches:   map[string]vmMatch{},
	}
	m.table.transitions = nil
	m.revision = self.Revision
	m.health.lastTick = now
	m.server = memberpb.NewMembersServer(&service{m})
	m.publish(now)
	return m, nil
}

// Handler serves the calls of other members; mount it under PathPrefix.
func (m *Membership) Handler() http.Handler { return m.server }

// PathPrefix is the path under which Handler must be mounted.
func (m *Membership) PathPrefix() string { return m.server.PathPrefix() }

// Snapshot returns the current view. It takes no lock.
func (m *Membership) Snapshot() *View { return m.view.Load() }

// Changed returns a channel that is closed when the next view is published. Obtain
// the channel before the snapshot, so that no change is missed.
func (m *Membership) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Leave announces that this process is shutting down. It returns nil once another
// member has received the announcement or if this process sees no other member
// alive, and ctx's error otherwise; the mark itself is set at once and never
// removed.
func (m *Membership) Leave(ctx context.Context) error {
	m.MarkLeaving(m.opts.Self.ID)
	for {
		targets := m.pickAlive(burstFanout, "")
		if len(targets) == 0 || m.notify(ctx, targets) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(m.opts.ProbeTimeout):
		}
	}
}

// MarkLeaving marks a member's current incarnation as leaving, for example after
// an operator's stop request. The next tick begins to spread the mark. It reports
// whether the member is known.
func (m *Membership) MarkLeaving(id types.ProcessID) bool {
	m.lock()
	defer m.unlock()
	e := m.table.entries[id]
	if e == nil {
		return false
	}
	m.markEntryLeaving(e)
	return true
}

func (m *Membership) markEntryLeaving(e *entry) {
	if e.Leaving {
		return
	}
	next := e.record
	next.Leaving = true
	m.table.put(time.Now(), e, next)
	m.publish(time.Now())
}

// Observe records direct contact through any other message that member has just
// sent: it is alive, has this incarnation and, if State says so, is leaving.
func (m *Membership) Observe(member Member) {
	now := time.Now()
	m.lock()
	defer m.unlock()
	m.table.apply(now, recordOf(member))
	suspected := m.table.recordContact(now, member.ID, member.Incarnation)
	m.checkNewerRevision(member.Address, member.Revision)
	if suspected {
		// The member does not know that it is suspected; the next probe tells it.
		m.ring.prioritize(member.ID)
	}
}

// AnnounceRevision records a newly applied configuration revision as an urgent
// change, which the next tick sends to a few members. Without this call, that tick
// would notice the revision itself.
func (m *Membership) AnnounceRevision() {
	m.lock()
	defer m.unlock()
	m.updateOwnRevision()
}

// Run probes other members, exchanges changes with them and polls the VM list
// until ctx ends.
func (m *Membership) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := newSchedule(m, &wg)
	ticker := time.NewTicker(m.opts.Period / ticksPerPeriod)
	defer ticker.Stop()
	s.tick(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			s.tick(ctx)
		}
	}
}

func (m *Membership) lock() {
	if m.freezeHook != nil {
		m.freezeHook()
	}
	m.mu.Lock()
}

// unlock publishes the view if it has changed and was not published just before,
// releases the lock, and then reports newer revisions and events.
func (m *Membership) unlock() {
	now := time.Now()
	if m.table.dirty && now.Sub(m.published) >= publishInterval {
		m.publish(now)
	}
	events := m.takeEvents()
	newer := m.newerRevisions
	m.newerRevisions = nil
	m.mu.Unlock()
	for _, n := range newer {
		m.opts.OnRevision(n.address, n.revision)
	}
	for _, e := range events {
		m.opts.Recorder.Emit(e.kind, e.fields...)
	}
}

func (m *Membership) publish(now time.Time) {
	v := m.table.view()
	m.view.Store(v)
	m.table.dirty = false
	m.published = now
	m.metrics.setMembers(v, len(m.table.queue.pending))
	close(m.changed)
	m.changed = make(chan struct{})
}

// checkNewerRevision queues a call of OnRevision if rev, which the process at addr
// has, is later than the revision of this process.
func (m *Membership) checkNewerRevision(addr string, rev types.Revision) {
	if rev > m.opts.Revision() {
		m.newerRevisions = append(m.newerRevisions, newerRevision{addr, rev})
	}
}

// updateOwnRevision marks a revision that this process has newly applied as an
// urgent change.
func (m *Membership) updateOwnRevision() {
	rev := m.opts.Revision()
	if rev <= m.revision {
		return
	}
	m.revision = rev
	m.table.own().Revision = rev
	m.table.dirty = true
	m.table.urgent = true
}

// ownRecord returns this process's own record, which is part of every message.
func (m *Membership) ownRecord() *memberpb.Record {
	own := m.table.own()
	own.Revision = max(own.Revision, m.opts.Revision())
	return encode(own.record)
}
