package membership

import (
	"context"
	"slices"
	"sync"
	"time"

	memberpb "github.com/pearyard/pearyard/rpc/member"
	"github.com/pearyard/pearyard/types"
)

const (
	// maxSyncRecords bounds one answer to about 20 KB, so that a mended
	// partition of a large site is levelled out over several comparisons
	// instead of flooding. A joining process gets the whole list once.
	maxSyncRecords = 250
	// syncTimeout bounds a comparison; a joining one carries the whole list.
	syncTimeout = 3 * time.Second
	// joinPatience is how long a seed may be silent before another one is asked
	// beside it; the whole list of 2,000 members, 160 KB, takes 0.13 s at 10 Mbit/s.
	joinPatience = 500 * time.Millisecond
)

// recontact tries one address outside the round robin: until the first answer
// any seed or candidate, later a dead member (a partition may have mended) or
// a seed or VM that never answered.
func (m *Membership) recontact(ctx context.Context) {
	if !m.hasJoined() {
		m.join(ctx)
		return
	}
	target, ok := m.pickLost()
	if !ok {
		return
	}
	if target.ID == "" {
		m.sync(ctx, target.Address, false)
		return
	}
	m.probe(ctx, target)
}

func (m *Membership) hasJoined() bool {
	m.lock()
	defer m.unlock()
	return m.joined
}

// join takes the whole list from the first address that answers. The next one is
// asked when one fails, or beside one that is silent for joinPatience.
//
// Failure it stops: seeds that are gone, whose addresses swallow calls, were
// waited out one after the other. It shows as a process that knows no other for
// three seconds a seed after it has started. While seeds answer, one is asked.
func (m *Membership) join(ctx context.Context) {
	var asking sync.WaitGroup
	defer asking.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	candidates := m.candidates()
	answers := make(chan bool, len(candidates))
	for open := 0; open > 0 || len(candidates) > 0; {
		patience := syncTimeout
		if len(candidates) > 0 {
			addr := candidates[0]
			candidates, patience = candidates[1:], joinPatience
			asking.Go(func() { answers <- m.sync(ctx, addr, true) })
			open++
		}
		select {
		case joined := <-answers:
			open--
			if joined {
				return
			}
		case <-time.After(patience):
		case <-ctx.Done():
			return
		}
	}
	m.tellAlone()
}

func (m *Membership) tellAlone() {
	m.lock()
	defer m.unlock()
	if m.joined || m.aloneTold || len(m.opts.Seeds) == 0 {
		return
	}
	m.aloneTold = true
	m.opts.Recorder.Emit(eventAlone, "seeds", len(m.opts.Seeds))
}

// candidates lists the seeds and VM list addresses where no member is known, shuffled.
func (m *Membership) candidates() []string {
	m.lock()
	defer m.unlock()
	var out []string
	for _, addr := range slices.Concat(m.opts.Seeds, m.unknown) {
		if addr == m.opts.Self.Address || slices.Contains(out, addr) {
			continue
		}
		if m.table.entries[m.table.byAddress[addr]] == nil {
			out = append(out, addr)
		}
	}
	m.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// pickLost draws a dead member or an address without a member; the latter has no id.
func (m *Membership) pickLost() (record, bool) {
	var lost []record
	for _, addr := range m.candidates() {
		lost = append(lost, record{Address: addr})
	}
	m.lock()
	defer m.unlock()
	for id, e := range m.table.entries {
		if e.Condition == conditionDead && m.table.byAddress[e.Address] == id {
			lost = append(lost, e.record)
		}
	}
	if len(lost) == 0 {
		return record{}, false
	}
	return lost[m.rng.IntN(len(lost))], true
}

// recontactInterval is short until the first member is found.
func (m *Membership) recontactInterval() time.Duration {
	if m.hasJoined() {
		return m.jitter(recontactPeriods * m.opts.Period)
	}
	return m.jitter(m.opts.Period)
}

func (m *Membership) syncInterval() time.Duration {
	m.lock()
	defer m.unlock()
	switch {
	case !m.settled:
		return firstSyncPeriods * m.opts.Period
	case m.differed:
		return resyncPeriods * m.opts.Period
	default:
		return syncPeriods * m.opts.Period
	}
}

// syncRandom compares lists with a random member: what piggybacking missed is
// found here.
func (m *Membership) syncRandom(ctx context.Context) {
	for _, target := range m.pickAlive(1, "") {
		m.sync(ctx, target.Address, false)
	}
}

// sync compares lists with the process at addr and exchanges what differs.
func (m *Membership) sync(ctx context.Context, addr string, join bool) bool {
	ctx, cancel := context.WithTimeout(slim(ctx), syncTimeout)
	defer cancel()
	client := m.client(addr)
	resp, err := client.Sync(ctx, m.syncRequest(join))
	if err != nil {
		m.metrics.syncs.WithLabelValues("failed").Inc()
		return false
	}
	push := m.takeSync(resp, join)
	if len(push) == 0 {
		m.metrics.syncs.WithLabelValues("equal").Inc()
		return true
	}
	m.metrics.syncs.WithLabelValues("differed").Inc()
	_, err = client.Sync(ctx, m.pushRequest(push))
	return err == nil
}

func (m *Membership) syncRequest(join bool) *memberpb.SyncRequest {
	m.lock()
	defer m.unlock()
	return &memberpb.SyncRequest{From: m.from(), Digests: slices.Clone(m.table.digests[:]), Join: join}
}

func (m *Membership) pushRequest(records []record) *memberpb.SyncRequest {
	m.lock()
	defer m.unlock()
	m.metrics.records.WithLabelValues("sent").Add(float64(len(records)))
	return &memberpb.SyncRequest{From: m.from(), Records: encodeAll(records)}
}

// takeSync merges an answer and returns the records that the other side lacks
// or holds in an older form.
func (m *Membership) takeSync(resp *memberpb.SyncResponse, join bool) []record {
	now := time.Now()
	m.lock()
	defer m.unlock()
	m.joined = true
	m.differed = len(resp.GetBuckets()) > 0
	m.settled = m.settled || !m.differed
	theirs := make(map[types.ProcessID]record, len(resp.GetRecords()))
	for _, r := range resp.GetRecords() {
		theirs[types.ProcessID(r.GetId())] = decode(r)
	}
	m.receiveLocked(now, decode(resp.GetFrom()), resp.GetRecords())
	m.drainQuietly(join)
	return m.lacking(resp.GetBuckets(), theirs)
}

// drainQuietly reports nothing for the members of a list taken in whole, and
// doesn't pass them on as news: the others have them already.
func (m *Membership) drainQuietly(join bool) {
	if !join {
		return
	}
	for _, t := range m.table.transitions {
		m.noteInRing(t)
		if t.ID != m.table.self {
			m.table.queue.remove(t.ID)
		}
	}
	m.table.transitions = nil
}

func (m *Membership) lacking(buckets []uint32, theirs map[types.ProcessID]record) []record {
	var out []record
	for _, r := range m.table.records(buckets, 0) {
		known, ok := theirs[r.ID]
		if r.ID == m.table.self || ok && covers(known, r) || !ok && r.Condition == conditionDead {
			continue
		}
		if len(out) == maxSyncRecords {
			break
		}
		out = append(out, r)
	}
	return out
}
