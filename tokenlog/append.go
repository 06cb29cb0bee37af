package tokenlog

import (
	"time"

	"github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/types"
)

// verdict is what became of one record.
type verdict int

const (
	taken verdict = iota
	missing
	refused
)

// Append takes a batch of records and returns the generations for which
// earlier tokens are missing; their writers send them again from the start.
func (s *Store) Append(in *streampb.JournalAppend) *streampb.JournalAppended {
	out := &streampb.JournalAppended{}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range in.GetRecords() {
		v := s.take(r)
		s.metrics.records[v].Inc()
		if v == refused {
			s.opts.Recorder.Emit(EventRefused, "generation", r.GetGeneration(), "from", in.GetFrom(), "first", r.GetFirst())
		}
		if v != taken {
			out.Missing = append(out.Missing, r.GetGeneration())
		}
	}
	s.gauge()
	return out
}

func (s *Store) take(r *streampb.JournalRecord) verdict {
	id, err := types.ParseGenerationID(r.GetGeneration())
	lineage := lineageFromWire(r.GetLineage())
	first := int(r.GetFirst())
	if err != nil || !validLineage(lineage) || first > maxIndex {
		return refused
	}
	if r.GetForget() {
		s.forget(id, lineage)
		return taken
	}
	e := s.obtain(id)
	v := e.take(r, lineage, first)
	s.touch(e)
	s.shrink()
	return v
}

// take adds a record to the branch of its lineage. Tokens are accepted only at
// the end of what that branch holds, so no gap and no token of another attempt
// gets in: a branch is always a prefix of one attempt's answer.
func (e *entry) take(r *streampb.JournalRecord, lineage types.Lineage, first int) verdict {
	b := e.find(lineage)
	if b == nil {
		b = &branch{lineage: lineage, lastSeen: time.Now()}
		e.add(b)
	}
	b.lastSeen = time.Now()
	if r.GetRunner() != "" {
		b.runner = r.GetRunner()
	}
	e.inherit(b, first)
	if len(r.GetTokens()) == 0 {
		return b.end(r, first)
	}
	if first > b.log.len() {
		return missing
	}
	if !b.extend(r.GetTokens(), first) {
		return refused
	}
	return b.end(r, first+len(r.GetTokens()))
}

// inherit fills an empty branch with the first n tokens of a branch whose
// lineage is the same up to there, so that a resume needs no resend.
func (e *entry) inherit(b *branch, n int) {
	if b.log.len() > 0 || n == 0 {
		return
	}
	donor := e.donor(b.lineage, n)
	if donor == nil {
		return
	}
	b.log = donor.log.prefix(n)
	e.drop(func(old *branch) bool { return contains(b, old) })
}

// extend appends tokens at first; those already held must be the same.
func (b *branch) extend(tokens []*streampb.Token, first int) bool {
	held := b.log.len() - first
	for i, t := range tokens {
		if i < held && !b.log.same(first+i, t.GetId(), t.GetText()) {
			return false
		}
	}
	for i := max(held, 0); i < len(tokens); i++ {
		b.log.add(tokens[i].GetId(), tokens[i].GetText())
	}
	return true
}

// end notes the finish of an answer of count tokens. A branch that holds no
// tokens (the generation was too short to journal) only remembers that it ended.
func (b *branch) end(r *streampb.JournalRecord, count int) verdict {
	if r.GetFinish() == "" {
		return taken
	}
	if b.log.len() > 0 && b.log.len() < count {
		return missing
	}
	if b.log.len() > count {
		return refused
	}
	b.finish = types.FinishReason(r.GetFinish())
	b.count = count
	return taken
}

// forget drops the branch that its caller has whole, with those whose writers
// are silent, and the generation with its last branch. A writer that was only
// slow is told that its tokens are missing and sends them again.
func (s *Store) forget(id types.GenerationID, lineage types.Lineage) {
	e := s.entries[id]
	if e == nil {
		return
	}
	if b := e.find(lineage); b != nil {
		e.remove(b)
	}
	silentSince := time.Now().Add(-silent)
	e.drop(func(b *branch) bool { return b.lastSeen.Before(silentSince) })
	if len(e.branches) == 0 {
		s.drop(e)
		return
	}
	s.touch(e)
}
