package suspect

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pearyard/pearyard/types"
)

const runningShards = 64

// run is one place where a fingerprint runs now.
type run struct {
	backend string
	since   time.Time
	count   int
}

// running knows which fingerprints run where, through this process. It is
// sharded so that requests share no lock.
type running struct {
	suspects sync.Mutex   // taken only to admit a suspect: one at a time
	heldFrom atomic.Int32 // deaths from which a suspect is held back; 0: any
	shards   [runningShards]struct {
		mu   sync.Mutex
		runs map[types.Fingerprint][]run
	}
}

func (r *running) init() {
	for i := range r.shards {
		r.shards[i].runs = map[types.Fingerprint][]run{}
	}
}

func (r *running) add(fp types.Fingerprint, backend string, now time.Time) {
	shard := &r.shards[uint64(fp)%runningShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	runs := shard.runs[fp]
	for i := range runs {
		if runs[i].backend == backend {
			runs[i].count++
			return
		}
	}
	shard.runs[fp] = append(runs, run{backend: backend, since: now, count: 1})
}

// remove takes one run away and reports whether the fingerprint still runs.
func (r *running) remove(fp types.Fingerprint, backend string) bool {
	shard := &r.shards[uint64(fp)%runningShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	runs := shard.runs[fp]
	for i := range runs {
		if runs[i].backend != backend {
			continue
		}
		if runs[i].count--; runs[i].count == 0 {
			runs = append(runs[:i], runs[i+1:]...)
		}
		break
	}
	if len(runs) == 0 {
		delete(shard.runs, fp)
		return false
	}
	shard.runs[fp] = runs
	return true
}

func (r *running) has(fp types.Fingerprint) bool {
	shard := &r.shards[uint64(fp)%runningShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return len(shard.runs[fp]) > 0
}

// each calls visit for every run, one shard locked at a time.
func (r *running) each(visit func(types.Fingerprint, run)) {
	for i := range r.shards {
		r.shards[i].mu.Lock()
		for fp, runs := range r.shards[i].runs {
			for _, one := range runs {
				visit(fp, one)
			}
		}
		r.shards[i].mu.Unlock()
	}
}

// held reports whether a request with this verdict is held back.
func (l *Ledger) held(v Verdict) bool {
	return v.State == Suspect && v.Deaths >= int(l.running.heldFrom.Load())
}

// Enter notes that a request is about to run on a backend server. A request
// that is clear always may. A suspect may not while a copy of it runs through
// this process, nor on a backend server that has another suspect: dying
// together a second time would quarantine the innocent one with the guilty.
func (l *Ledger) Enter(fp types.Fingerprint, backend string) bool {
	now := l.opts.Now()
	verdict := l.Verdict(fp)
	if verdict.State == Quarantined {
		return false
	}
	if !l.held(verdict) {
		l.running.add(fp, backend, now)
		return true
	}
	l.running.suspects.Lock()
	defer l.running.suspects.Unlock()
	if l.running.has(fp) || l.SuspectsOn()[backend] > 0 {
		l.metrics.held.Inc()
		l.opts.Recorder.Emit(eventHeld, "fingerprint", fp.String(), "backend", backend)
		return false
	}
	l.running.add(fp, backend, now)
	return true
}

// Leave notes that a run which Enter allowed is over. When its engine died, tell
// the Death first: a copy elsewhere may start as soon as the run is given back.
func (l *Ledger) Leave(fp types.Fingerprint, backend string) {
	if l.running.remove(fp, backend) {
		return
	}
	if giveBack := l.giveBack.Load(); giveBack != nil {
		(*giveBack)(fp)
	}
}

// runningSuspects lists the suspects that run through this process now.
func (l *Ledger) runningSuspects() []types.Fingerprint {
	if len(*l.views.Load()) == 0 {
		return nil
	}
	var out []types.Fingerprint
	l.running.each(func(fp types.Fingerprint, _ run) {
		if l.held(l.Verdict(fp)) {
			out = append(out, fp)
		}
	})
	return out
}

// SuspectsOn counts the suspects that run on each backend server through this
// process and are not past their probation. The router leaves these servers out
// when it places another suspect.
func (l *Ledger) SuspectsOn() map[string]int {
	now := l.opts.Now()
	out := map[string]int{}
	l.running.each(func(fp types.Fingerprint, one run) {
		if verdict := l.Verdict(fp); verdict.State != Quarantined && !l.held(verdict) {
			return
		}
		if l.opts.Probation > 0 && now.Sub(one.since) >= l.opts.Probation {
			return
		}
		out[one.backend]++
	})
	return out
}
