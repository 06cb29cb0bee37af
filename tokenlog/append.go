package tokenlog

import (
	"time"

	"github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/types"
)

// verdict is the outcome of applying one record.
type verdict int

const (
	taken   verdict = iota
	missing         // the store lacks tokens that the record follows
	refused         // the record is malformed or contradicts the tokens held
)

// Append applies a batch of records. It returns the generations whose records were not
// taken, because earlier tokens are missing or the record was refused; their writers send
// those generations again from the start.
func (s *Store) Append(in *streampb.JournalAppend) *streampb.JournalAppended {
	out := &streampb.JournalAppended{}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range in.GetRecords() {
		v := s.applyRecord(r)
		s.metrics.records[v].Inc()
		if v == refused {
			s.opts.Recorder.Emit(EventRefused, "generation", r.GetGeneration(), "from", in.GetFrom(), "first", r.GetFirst())
		}
		if v != taken {
			out.Missing = append(out.Missing, r.GetGeneration())
		}
	}
	s.updateGauges()
	return out
}

func (s *Store) applyRecord(r *streampb.JournalRecord) verdict {
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
	e := s.getOrCreate(id)
	v := e.applyRecord(r, lineage, first)
	s.touch(e)
	s.evict()
	return v
}

// applyRecord adds a record to the branch of its lineage. Tokens are accepted only at the
// end of what that branch holds, so a record can neither leave a gap nor mix in tokens of
// another attempt: a branch is always a prefix of one attempt's answer.
func (e *entry) applyRecord(r *streampb.JournalRecord, lineage types.Lineage, first int) verdict {
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
		return b.recordFinish(r, first)
	}
	if first > b.log.len() {
		return missing
	}
	if !b.extend(r.GetTokens(), first) {
		return refused
	}
	return b.recordFinish(r, first+len(r.GetTokens()))
}

// inherit fills an empty branch with the first n tokens of a branch that has the same
// lineage up to there, so that the writer of a resumed attempt need not send them again.
func (e *entry) inherit(b *branch, n int) {
	if b.log.len() > 0 || n == 0 {
		return
	}
	donor := e.findPrefix(b.lineage, n)
	if donor == nil {
		return
	}
	b.log = donor.log.prefix(n)
	e.removeIf(func(old *branch) bool { return supersedes(b, old) })
}

// extend appends the tokens whose first index is first. Tokens that are already held must
// be identical.
func (b *branch) extend(tokens []*streampb.Token, first int) bool {
	held := b.log.len() - first
	for i, t := range tokens {
		if i < held && !b.log.matches(first+i, t.GetId(), t.GetText()) {
			return false
		}
	}
	for i := max(held, 0); i < len(tokens); i++ {
		b.log.add(tokens[i].GetId(), tokens[i].GetText())
	}
	return true
}

// recordFinish records the finish reason of an answer of count tokens. A branch without
// tokens (the generation was too short to be journalled) records only that it ended.
func (b *branch) recordFinish(r *streampb.JournalRecord, count int) verdict {
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
	b.totalTokens = count
	return taken
}

// forget drops the branch whose answer the caller has received in full, along with the
// branches whose writers have fallen silent, and then the generation if no branch is left.
// A writer that was merely slow is told that its tokens are missing and sends them again.
func (s *Store) forget(id types.GenerationID, lineage types.Lineage) {
	e := s.entries[id]
	if e == nil {
		return
	}
	if b := e.find(lineage); b != nil {
		e.remove(b)
	}
	silentSince := time.Now().Add(-writerSilenceTimeout)
	e.removeIf(func(b *branch) bool { return b.lastSeen.Before(silentSince) })
	if len(e.branches) == 0 {
		s.drop(e)
		return
	}
	s.touch(e)
}
