package suspect

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pearyard/pearyard/types"
)

// runningShards is the number of shards of a runTracker.
const runningShards = 64

// run counts the running copies of a fingerprint on one backend server.
type run struct {
	backend string
	since   time.Time // when the first copy started
	count   int
}

// runTracker tracks which fingerprints run on which backend servers through this
// process. It is sharded to avoid contention between requests.
type runTracker struct {
	admission     sync.Mutex   // serializes the admission of suspects
	holdThreshold atomic.Int32 // number of deaths from which a suspect is held back; 0: any suspect is
	shards        [runningShards]struct {
		mu   sync.Mutex
		runs map[types.Fingerprint][]run
	}
}

func (r *runTracker) init() {
	for i := range r.shards {
		r.shards[i].runs = map[types.Fingerprint][]run{}
	}
}

// add records the start of a run.
func (r *runTracker) add(fp types.Fingerprint, backend string, now time.Time) {
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

// remove removes one run and reports whether the fingerprint still runs anywhere.
func (r *runTracker) remove(fp types.Fingerprint, backend string) bool {
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

// has reports whether a fingerprint runs on any backend server.
func (r *runTracker) has(fp types.Fingerprint) bool {
	shard := &r.shards[uint64(fp)%runningShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return len(shard.runs[fp]) > 0
}

// forEach calls visit for every run. It locks one shard at a time.
func (r *runTracker) forEach(visit func(types.Fingerprint, run)) {
	for i := range r.shards {
		r.shards[i].mu.Lock()
		for fp, runs := range r.shards[i].runs {
			for _, current := range runs {
				visit(fp, current)
			}
		}
		r.shards[i].mu.Unlock()
	}
}

// heldBack reports whether a request with this verdict is held back: whether it must
// not run twice at a time, nor beside another such request.
func (l *Ledger) heldBack(fp types.Fingerprint, v Verdict) bool {
	if l.opts.HoldAccused {
		return v.State != Quarantined && l.Accused(fp)
	}
	return v.State == Suspect && v.Deaths >= int(l.running.holdThreshold.Load())
}

// BeginRun records that a request is about to run on a backend server, and reports
// whether it may. A quarantined request may not. A suspect may not while another
// copy of it runs through this process, nor on a backend server that runs another
// suspect: if that server died too, an innocent request would be quarantined with
// the one that crashes engines. Other requests always may. After Configure, only
// suspects with strong evidence are restricted.
func (l *Ledger) BeginRun(fp types.Fingerprint, backend string) bool {
	now := l.opts.Now()
	verdict := l.Verdict(fp)
	if verdict.State == Quarantined {
		return false
	}
	if !l.heldBack(fp, verdict) {
		l.running.add(fp, backend, now)
		return true
	}
	l.running.admission.Lock()
	defer l.running.admission.Unlock()
	if l.running.has(fp) || l.SuspectsOn()[backend] > 0 {
		l.metrics.held.Inc()
		l.opts.Recorder.Emit(eventHeld, "fingerprint", fp.String(), "backend", backend)
		return false
	}
	l.running.add(fp, backend, now)
	return true
}

// TryRun is BeginRun for requests of which only the accused are restricted, see Accused.
func (l *Ledger) TryRun(fp types.Fingerprint, backend string) bool {
	now := l.opts.Now()
	if l.Verdict(fp).State == Quarantined {
		return false
	}
	if !l.Accused(fp) {
		l.running.add(fp, backend, now)
		return true
	}
	l.running.admission.Lock()
	defer l.running.admission.Unlock()
	if l.running.has(fp) || l.runsAccused(backend) {
		l.metrics.held.Inc()
		l.opts.Recorder.Emit(eventHeld, "fingerprint", fp.String(), "backend", backend)
		return false
	}
	l.running.add(fp, backend, now)
	return true
}

// runsAccused reports whether an accused request runs on a backend server through this
// process.
func (l *Ledger) runsAccused(backend string) bool {
	found := false
	l.running.forEach(func(fp types.Fingerprint, current run) {
		found = found || (current.backend == backend && l.Accused(fp))
	})
	return found
}

// EndRun records the end of a run that BeginRun or TryRun allowed. If the engine died, the
// death must be recorded first, because another process may start a copy as soon
// as the grant is released.
func (l *Ledger) EndRun(fp types.Fingerprint, backend string) {
	if l.running.remove(fp, backend) {
		return
	}
	if release := l.releaseGrant.Load(); release != nil {
		(*release)(fp)
	}
}

// runningSuspects lists the suspects that are held back and run through this process
// now. A suspect is listed once for each backend server that it runs on.
func (l *Ledger) runningSuspects() []types.Fingerprint {
	if len(*l.views.Load()) == 0 {
		return nil
	}
	var out []types.Fingerprint
	l.running.forEach(func(fp types.Fingerprint, _ run) {
		if l.heldBack(fp, l.Verdict(fp)) {
			out = append(out, fp)
		}
	})
	return out
}

// SuspectsOn returns, by backend server, how many suspects and quarantined requests
// run through this process and are not past their probation. The router excludes
// these servers when it places another suspect.
func (l *Ledger) SuspectsOn() map[string]int {
	now := l.opts.Now()
	out := map[string]int{}
	l.running.forEach(func(fp types.Fingerprint, current run) {
		if verdict := l.Verdict(fp); verdict.State != Quarantined && !l.heldBack(fp, verdict) {
			return
		}
		if l.opts.Probation > 0 && now.Sub(current.since) >= l.opts.Probation {
			return
		}
		out[current.backend]++
	})
	return out
}
