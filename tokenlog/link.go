package tokenlog

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pearyard/pearyard/rpc/stream"
)

// link sends to one peer: one append at a time, each with what gathered since
// the last. It ends when no generation is left on it.
type link struct {
	writer *Writer
	addr   string
	wake   chan struct{}

	mu      sync.Mutex // guards cursors
	cursors map[*cursor]struct{}

	failures int // in a row; only run uses it
}

func (l *link) add(c *cursor) {
	l.mu.Lock()
	l.cursors[c] = struct{}{}
	l.mu.Unlock()
	l.signal()
}

func (l *link) remove(c *cursor) {
	l.mu.Lock()
	delete(l.cursors, c)
	l.mu.Unlock()
	l.signal()
}

func (l *link) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *link) snapshot() []*cursor {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*cursor, 0, len(l.cursors))
	for c := range l.cursors {
		out = append(out, c)
	}
	return out
}

// run sends whenever woken, at most once per batch interval. A link without
// work costs nothing: there is no ticker.
func (l *link) run() {
	defer l.writer.done.Done()
	for {
		select {
		case <-l.writer.ctx.Done():
			return
		case <-l.wake:
		}
		if l.retire() {
			return
		}
		l.flush()
		if !l.pause() {
			return
		}
	}
}

// retire ends a link that has no generations.
func (l *link) retire() bool {
	l.writer.mu.Lock()
	defer l.writer.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.cursors) > 0 {
		return false
	}
	delete(l.writer.links, l.addr)
	return true
}

func (l *link) pause() bool {
	timer := time.NewTimer(l.writer.batch())
	defer timer.Stop()
	select {
	case <-l.writer.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// flush sends one append with what each generation has for this peer.
func (l *link) flush() {
	batch, cursors, more := l.gather()
	if len(batch.Records) == 0 {
		return
	}
	reply, err := l.send(batch)
	if err != nil {
		l.failed()
		return
	}
	l.failures = 0
	l.settle(batch, cursors, reply)
	if more {
		l.signal()
	}
}

func (l *link) gather() (*streampb.JournalAppend, []*cursor, bool) {
	batch := &streampb.JournalAppend{From: l.writer.opts.Self}
	var cursors []*cursor
	room := maxAppendBytes
	for _, c := range l.snapshot() {
		if room <= 0 {
			return batch, cursors, true
		}
		r := c.handle.next(c, room)
		if r == nil {
			continue
		}
		room -= proto.Size(r)
		batch.Records = append(batch.Records, r)
		cursors = append(cursors, c)
	}
	return batch, cursors, room <= 0
}

func (l *link) send(batch *streampb.JournalAppend) (*streampb.JournalAppended, error) {
	ctx, cancel := context.WithTimeout(l.writer.ctx, l.writer.opts.SendTimeout)
	defer cancel()
	reply, err := l.writer.opts.Sender.Append(ctx, l.addr, batch)
	l.count(batch, err)
	return reply, err
}

func (l *link) count(batch *streampb.JournalAppend, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	tokens := 0
	for _, r := range batch.Records {
		tokens += len(r.Tokens)
	}
	l.writer.metrics.appends.WithLabelValues(result).Inc()
	l.writer.metrics.tokens.Add(float64(tokens))
	l.writer.metrics.wire.Add(float64(proto.Size(batch)))
}

// failed retries once and then hands the peer's generations to others. A lost
// answer is safe to retry: repeats of what a store holds are accepted as such.
func (l *link) failed() {
	l.failures++
	l.signal()
	if l.failures < maxFailures || l.writer.ctx.Err() != nil {
		return
	}
	l.failures = 0
	l.writer.markDown(l.addr)
	cursors := l.snapshot()
	l.writer.opts.Recorder.Emit(EventPeerReplaced, "peer", l.addr, "generations", len(cursors), "reason", "unreachable")
	l.replace(cursors, false)
}

func (l *link) replace(cursors []*cursor, avoid bool) {
	for _, c := range cursors {
		l.writer.metrics.replaced.Inc()
		c.handle.replace(c, avoid)
	}
}

// settle applies the answer: generations that the peer misses start again.
func (l *link) settle(batch *streampb.JournalAppend, cursors []*cursor, reply *streampb.JournalAppended) {
	missing := make(map[string]bool, len(reply.GetMissing()))
	for _, name := range reply.GetMissing() {
		missing[name] = true
	}
	var full []*cursor
	for i, c := range cursors {
		if !missing[batch.Records[i].GetGeneration()] {
			c.handle.acknowledge(c, batch.Records[i])
			continue
		}
		l.signal()
		if !c.handle.lost(c) {
			full = append(full, c)
		}
	}
	if len(full) == 0 {
		return
	}
	l.writer.opts.Recorder.Emit(EventPeerReplaced, "peer", l.addr, "generations", len(full), "reason", "no room")
	l.replace(full, true)
}
