package tokenlog

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pearyard/pearyard/rpc/stream"
)

// link sends appends to one peer, one at a time, each with everything that accumulated
// since the last, up to maxAppendBytes. It ends when it has no generations left.
type link struct {
	writer *Writer
	addr   string
	wake   chan struct{}

	mu      sync.Mutex // guards cursors
	cursors map[*cursor]struct{}

	failures int // consecutive failed sends; accessed only by run
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

// run sends an append when woken, at most one per batch interval. It uses no ticker, so an
// idle link costs nothing.
func (l *link) run() {
	defer l.writer.running.Done()
	for {
		select {
		case <-l.writer.ctx.Done():
			return
		case <-l.wake:
		}
		if l.closeIfIdle() {
			return
		}
		l.flush()
		if !l.waitBatchInterval() {
			return
		}
	}
}

// closeIfIdle removes the link from the writer if it has no generations, and reports
// whether it did.
func (l *link) closeIfIdle() bool {
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

func (l *link) waitBatchInterval() bool {
	timer := time.NewTimer(l.writer.batchInterval())
	defer timer.Stop()
	select {
	case <-l.writer.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// flush sends one append with the pending records of every generation on this link.
func (l *link) flush() {
	batch, cursors, more := l.buildBatch()
	if len(batch.Records) == 0 {
		return
	}
	reply, err := l.send(batch)
	if err != nil {
		l.handleFailure()
		return
	}
	l.failures = 0
	l.applyReply(batch, cursors, reply)
	if more {
		l.signal()
	}
}

// buildBatch returns the pending records and the cursor of each. more reports that the
// size limit was reached, so that further records may be pending.
func (l *link) buildBatch() (batch *streampb.JournalAppend, cursors []*cursor, more bool) {
	batch = &streampb.JournalAppend{From: l.writer.opts.Self}
	remaining := maxAppendBytes
	for _, c := range l.snapshot() {
		if remaining <= 0 {
			return batch, cursors, true
		}
		r := c.handle.nextRecord(c, remaining)
		if r == nil {
			continue
		}
		remaining -= proto.Size(r)
		batch.Records = append(batch.Records, r)
		cursors = append(cursors, c)
	}
	return batch, cursors, remaining <= 0
}

func (l *link) send(batch *streampb.JournalAppend) (*streampb.JournalAppended, error) {
	ctx, cancel := context.WithTimeout(l.writer.ctx, l.writer.opts.SendTimeout)
	defer cancel()
	reply, err := l.writer.opts.Sender.Append(ctx, l.addr, batch)
	l.recordMetrics(batch, err)
	return reply, err
}

func (l *link) recordMetrics(batch *streampb.JournalAppend, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	tokens := 0
	for _, r := range batch.Records {
		tokens += len(r.Tokens)
	}
	l.writer.metrics.appends.WithLabelValues(result).Inc()
	l.writer.metrics.sentTokens.Add(float64(tokens))
	l.writer.metrics.sentBytes.Add(float64(proto.Size(batch)))
}

// handleFailure has the first failure retried; after maxFailures it reassigns the peer's
// generations. Retrying is safe even if only the reply was lost, because a store accepts
// tokens that it already holds.
func (l *link) handleFailure() {
	l.failures++
	l.signal()
	if l.failures < maxFailures || l.writer.ctx.Err() != nil {
		return
	}
	l.failures = 0
	l.writer.markDown(l.addr)
	cursors := l.snapshot()
	l.writer.opts.Recorder.Emit(EventPeerReplaced, "peer", l.addr, "generations", len(cursors), "reason", "unreachable")
	l.replacePeer(cursors, false)
}

func (l *link) replacePeer(cursors []*cursor, avoid bool) {
	for _, c := range cursors {
		l.writer.metrics.replaced.Inc()
		c.handle.replace(c, avoid)
	}
}

// applyReply processes the reply to an append: generations that the peer reports as
// missing are sent again from the start.
func (l *link) applyReply(batch *streampb.JournalAppend, cursors []*cursor, reply *streampb.JournalAppended) {
	missing := make(map[string]bool, len(reply.GetMissing()))
	for _, name := range reply.GetMissing() {
		missing[name] = true
	}
	var exhausted []*cursor // restarted too often with this peer
	for i, c := range cursors {
		if !missing[batch.Records[i].GetGeneration()] {
			c.handle.acknowledge(c, batch.Records[i])
			continue
		}
		l.signal()
		if !c.handle.restartCursor(c) {
			exhausted = append(exhausted, c)
		}
	}
	if len(exhausted) == 0 {
		return
	}
	l.writer.opts.Recorder.Emit(EventPeerReplaced, "peer", l.addr, "generations", len(exhausted), "reason", "no room")
	l.replacePeer(exhausted, true)
}
