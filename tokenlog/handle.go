package tokenlog

import (
	"sync"
	"time"

	"github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/types"
)

// Handle is one attempt's journal on the writing side. Its methods only note
// what is to be sent and return; they never wait for a peer. Every handle is
// ended by Forget or Close.
type Handle struct {
	writer  *Writer
	gen     GenerationInfo
	name    string
	started time.Time
	due     *time.Timer // wakes the links when the generation is old enough

	mu       sync.Mutex // guards all below
	log      packed
	finish   types.FinishReason
	forget   bool
	closed   bool
	overflow bool
	avoid    map[string]bool // peers that had no room for this generation
	cursors  []*cursor
	repaired time.Time // when repair last looked for peers
}

// cursor is how far one peer has been given a generation. Guarded by handle.mu.
type cursor struct {
	handle     *Handle
	link       *link
	sent       int // tokens acknowledged
	registered bool
	finished   bool // finish acknowledged
	resends    int  // times in a row that the peer had lost the generation
	gone       bool // the peer was replaced or all is done
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
		h.giveUp()
		return
	}
	if !h.ripe() {
		return
	}
	if len(h.cursors) < h.gen.Copies && time.Since(h.repaired) > repairEvery {
		h.repair()
	}
	h.signalLocked()
}

// Finish notes that the answer is whole.
func (h *Handle) Finish(reason types.FinishReason) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.finish = reason
	h.signalLocked()
}

// Forget tells the peers to drop the generation: the caller has it all.
func (h *Handle) Forget() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.forget = true
	h.release()
	h.signalLocked()
}

// Close ends the handle when what was appended has been sent. The peers keep
// their copies: the attempt was lost and another goes on from them.
func (h *Handle) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	h.signalLocked()
	if len(h.cursors) == 0 {
		h.release()
	}
}

// ripe: the generation has run long enough to be worth journalling. A resume is
// ripe at once: it has cost one engine already, and its peers may hold less of
// the earlier attempt than it continues from.
func (h *Handle) ripe() bool {
	if len(h.gen.Emitted) > 0 && h.gen.After < never {
		return true
	}
	return h.gen.After < 0 || time.Since(h.started) >= h.gen.After
}

// giveUp stops journalling a generation for want of room here. The peers keep
// what they have, which stays a true prefix.
func (h *Handle) giveUp() {
	h.overflow = true
	h.release()
	h.writer.opts.Recorder.Emit(EventWriterFull, "generation", h.name, "max_bytes", h.writer.opts.MaxBytes)
}

// release gives the kept tokens back.
func (h *Handle) release() {
	if h.due != nil {
		h.due.Stop()
	}
	h.writer.account(-h.log.bytes())
	h.log = packed{}
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

// repair gives the generation to the next usable peers in rendezvous order
// until it has its copies.
func (h *Handle) repair() {
	h.repaired = time.Now()
	for _, addr := range h.gen.Peers {
		if len(h.cursors) >= h.gen.Copies {
			return
		}
		if addr == h.writer.opts.Self || h.uses(addr) || h.avoid[addr] || !h.writer.usable(addr) {
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

func (h *Handle) uses(addr string) bool {
	for _, c := range h.cursors {
		if c.link.addr == addr {
			return true
		}
	}
	return false
}

// replace moves the generation from a failed peer to the next one, which gets
// it whole from the start. With avoid the failed one isn't chosen again.
func (h *Handle) replace(c *cursor, avoid bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.detach(c)
	if h.forget || h.overflow || h.closed {
		return
	}
	if avoid {
		h.avoid[c.link.addr] = true
	}
	h.repair()
	h.signalLocked()
}

// detach takes a cursor off its link and handle. Callers hold h.mu.
func (h *Handle) detach(c *cursor) {
	c.gone = true
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

// next returns what the peer of c is to be told now, at most limit bytes of
// tokens; nil if it knows all that it should.
func (h *Handle) next(c *cursor, limit int) *streampb.JournalRecord {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.gone || (h.overflow && !h.forget) {
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
	h.fill(r, c, limit)
	if !c.registered || len(r.Tokens) > 0 || r.Finish != "" {
		return r
	}
	if h.closed {
		h.detach(c)
	}
	return nil
}

// fill adds tokens and finish. A registration without tokens of a resume names
// the index that it continues from, so that a peer which holds the earlier
// attempt copies them from there instead of having them sent again.
func (h *Handle) fill(r *streampb.JournalRecord, c *cursor, limit int) {
	r.First = uint32(c.sent)
	if h.ripe() {
		r.Tokens = h.log.wire(c.sent, limit)
	}
	end := c.sent + len(r.Tokens)
	if !c.registered && len(r.Tokens) == 0 {
		r.First = uint32(len(h.gen.Emitted))
	}
	young := end == 0 && !h.ripe()
	if h.finish == "" || c.finished || (end < h.log.len() && !young) {
		return
	}
	r.Finish = string(h.finish)
	if young {
		r.First = uint32(h.log.len())
	}
}

// acknowledge moves the cursor past a record that the peer took.
func (h *Handle) acknowledge(c *cursor, r *streampb.JournalRecord) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c.registered = true
	if len(r.GetTokens()) > 0 {
		c.sent = int(r.GetFirst()) + len(r.GetTokens())
	}
	if len(r.GetTokens()) > 0 && r.GetFirst() > 0 {
		c.resends = 0 // it kept what it was given before
	}
	if h.closed {
		c.link.signal()
	}
	if r.GetFinish() != "" {
		c.finished = true
	}
	if r.GetForget() {
		h.detach(c)
	}
}

// lost restarts the cursor: the peer misses earlier tokens. It reports false if
// that happened too often for this peer.
func (h *Handle) lost(c *cursor) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	c.sent, c.registered, c.finished = 0, false, false
	c.resends++
	return c.resends <= maxResends
}
