package tokenlog

import (
	"sync"
	"time"

	"github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/types"
)

// Handle is the writer's side of one attempt's journal. Its methods only record what is to
// be sent and return; they never wait for a peer. Every handle must be ended with Forget
// or Close.
type Handle struct {
	writer      *Writer
	gen         GenerationInfo
	name        string // the generation's ID as text
	started     time.Time
	minAgeTimer *time.Timer // wakes the links once the generation reaches its minimum age

	mu           sync.Mutex // guards all fields below
	log          tokenBuffer
	finish       types.FinishReason
	forget       bool            // Forget was called
	closed       bool            // Close was called
	overflow     bool            // the writer's memory limit ended journalling
	excluded     map[string]bool // peers that lacked the memory for this generation
	cursors      []*cursor
	lastAssigned time.Time // when assignPeers last ran
}

// cursor tracks how much of a generation one peer has acknowledged. It is guarded by
// handle.mu.
type cursor struct {
	handle     *Handle
	link       *link
	sent       int  // tokens acknowledged
	registered bool // the peer has acknowledged a record that names the runner
	finished   bool // finish acknowledged
	resends    int  // consecutive times that the peer had lost the generation
	detached   bool // the peer was replaced, or has everything
}

// Append adds the next tokens of the answer.
func (h *Handle) Append(tokens ...types.Token) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.overflow || h.forget || h.closed {
		return
	}
	before := h.log.bytes()
	for _, t := range tokens {
		h.log.add(t.ID, t.Text)
	}
	if !h.writer.account(h.log.bytes() - before) {
		h.stopJournalling()
		return
	}
	if !h.oldEnough() {
		return
	}
	if len(h.cursors) < h.gen.Copies && time.Since(h.lastAssigned) > assignInterval {
		h.assignPeers()
	}
	h.signalLocked()
}

// Finish records that the answer is complete.
func (h *Handle) Finish(reason types.FinishReason) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.finish = reason
	h.signalLocked()
}

// Forget tells the peers to drop the generation because the caller has received all of it.
func (h *Handle) Forget() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.forget = true
	h.release()
	h.signalLocked()
}

// Close ends the handle once everything appended has been sent. The peers keep their
// copies: if the attempt was lost, the next one resumes from them.
func (h *Handle) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	h.signalLocked()
	if len(h.cursors) == 0 {
		h.release()
	}
}

// oldEnough reports whether the generation has run long enough to be worth journalling. A
// resumed attempt is old enough at once, unless MinAge disables journalling: the
// generation has already lost one engine, and the peers may hold less of the earlier
// attempt than this one continues from.
func (h *Handle) oldEnough() bool {
	if len(h.gen.Emitted) > 0 && h.gen.MinAge < neverJournal {
		return true
	}
	return h.gen.MinAge < 0 || time.Since(h.started) >= h.gen.MinAge
}

// stopJournalling stops journalling a generation because the writer's memory limit is
// reached. What the peers hold remains a valid prefix of the answer.
func (h *Handle) stopJournalling() {
	h.overflow = true
	h.release()
	h.writer.opts.Recorder.Emit(EventWriterFull, "generation", h.name, "max_bytes", h.writer.opts.MaxBytes)
}

// release frees the buffered tokens and stops the timer. Callers must hold h.mu.
func (h *Handle) release() {
	if h.minAgeTimer != nil {
		h.minAgeTimer.Stop()
	}
	h.writer.account(-h.log.bytes())
	h.log = tokenBuffer{}
}

func (h *Handle) signal() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.signalLocked()
}

func (h *Handle) signalLocked() {
	for _, c := range h.cursors {
		c.link.signal()
	}
}

// assignPeers assigns the generation to the next available peers in rendezvous order until
// it has the configured number of copies. Callers must hold h.mu.
func (h *Handle) assignPeers() {
	h.lastAssigned = time.Now()
	for _, addr := range h.gen.Peers {
		if len(h.cursors) >= h.gen.Copies {
			return
		}
		if addr == h.writer.opts.Self || h.hasPeer(addr) || h.excluded[addr] || !h.writer.isAvailable(addr) {
			continue
		}
		c := &cursor{handle: h}
		if h.writer.attach(addr, c) {
			h.cursors = append(h.cursors, c)
		}
	}
	if len(h.cursors) < h.gen.Copies {
		h.writer.opts.Recorder.Emit(EventNoPeer, "generation", h.name, "have", len(h.cursors), "want", h.gen.Copies)
	}
}

func (h *Handle) hasPeer(addr string) bool {
	for _, c := range h.cursors {
		if c.link.addr == addr {
			return true
		}
	}
	return false
}

// replace moves the generation from a failed peer to the next one, which is sent all of it
// from the start. If avoid is set, the failed peer isn't assigned this generation again. A
// handle that has ended, or that no longer journals, gets no new peer.
func (h *Handle) replace(c *cursor, avoid bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.detach(c)
	if h.forget || h.overflow || h.closed {
		return
	}
	if avoid {
		h.excluded[c.link.addr] = true
	}
	h.assignPeers()
	h.signalLocked()
}

// detach removes a cursor from its link and handle. Callers must hold h.mu.
func (h *Handle) detach(c *cursor) {
	c.detached = true
	c.link.remove(c)
	defer h.releaseIfUnused()
	for i, other := range h.cursors {
		if other == c {
			h.cursors = append(h.cursors[:i], h.cursors[i+1:]...)
			return
		}
	}
}

func (h *Handle) releaseIfUnused() {
	if h.closed && len(h.cursors) == 0 {
		h.release()
	}
}

// nextRecord returns what is to be sent to the peer of c now, with at most limit bytes of
// tokens, or nil if the peer is up to date.
func (h *Handle) nextRecord(c *cursor, limit int) *streampb.JournalRecord {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.detached || (h.overflow && !h.forget) {
		return nil
	}
	r := &streampb.JournalRecord{Generation: h.name, Lineage: lineageToWire(h.gen.Lineage)}
	if h.forget {
		r.Forget = true
		return r
	}
	if !c.registered {
		r.Runner = h.writer.opts.Self
	}
	h.fillRecord(r, c, limit)
	if !c.registered || len(r.Tokens) > 0 || r.Finish != "" {
		return r
	}
	if h.closed {
		h.detach(c)
	}
	return nil
}

// fillRecord adds tokens and the finish reason. When a resumed attempt is registered
// without tokens, the record names the index that it continues from, so that a peer which
// holds the earlier attempt copies the tokens up to there instead of having them sent
// again. If the generation finishes before it is old enough, its tokens are not sent: the
// record has only the finish reason and, as its index, the length of the answer.
func (h *Handle) fillRecord(r *streampb.JournalRecord, c *cursor, limit int) {
	r.First = uint32(c.sent)
	if h.oldEnough() {
		r.Tokens = h.log.toWire(c.sent, limit)
	}
	end := c.sent + len(r.Tokens)
	if !c.registered && len(r.Tokens) == 0 {
		r.First = uint32(len(h.gen.Emitted))
	}
	tooYoung := end == 0 && !h.oldEnough()
	if h.finish == "" || c.finished || (end < h.log.len() && !tooYoung) {
		return
	}
	r.Finish = string(h.finish)
	if tooYoung {
		r.First = uint32(h.log.len())
	}
}

// acknowledge advances the cursor past a record that the peer accepted.
func (h *Handle) acknowledge(c *cursor, r *streampb.JournalRecord) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c.registered = true
	if len(r.GetTokens()) > 0 {
		c.sent = int(r.GetFirst()) + len(r.GetTokens())
	}
	if len(r.GetTokens()) > 0 && r.GetFirst() > 0 {
		c.resends = 0 // the peer still had the earlier tokens
	}
	if h.closed {
		c.link.signal() // nextRecord detaches the cursor if nothing is left to send
	}
	if r.GetFinish() != "" {
		c.finished = true
	}
	if r.GetForget() {
		h.detach(c)
	}
}

// restartCursor resets the cursor because the peer lacks earlier tokens. It returns false
// if that has happened too often with this peer.
func (h *Handle) restartCursor(c *cursor) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	c.sent, c.registered, c.finished = 0, false, false
	c.resends++
	return c.resends <= maxResends
}
