package measure

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/pearyard/pearyard/inspect"
	adminpb "github.com/pearyard/pearyard/rpc/admin"
	"github.com/pearyard/pearyard/standin"
	"github.com/pearyard/pearyard/text"
)

const (
	// inForceTarget is the limit for the time until a configuration is in force everywhere.
	inForceTarget = 4 * time.Second
	configRouters = 2
	configEngines = 40 // each with a sidecar
	operators     = 3
	applyInterval = 300 * time.Millisecond // between two attempts of an operator
	revisionPoll  = 50 * time.Millisecond  // between two queries of a process's revision
	// watchAfterLastApply is longer than inForceTarget, so that a revision that misses the
	// target is seen as well.
	watchAfterLastApply = 6 * time.Second
)

// ConfigResult summarizes how configurations came into force while operators applied them
// concurrently.
type ConfigResult struct {
	Accepted      int       `json:"accepted"`
	Races         int       `json:"races"`                    // failed attempts: another operator was first, or the call failed
	InForce       Quantiles `json:"in_force_everywhere"`      // from the response that accepted the configuration
	NotEverywhere int       `json:"not_in_force_everywhere"`  // accepted, but not seen at every process
	WentBack      int       `json:"processes_that_went_back"` // samples with an older revision than one before at the same process
	Processes     int       `json:"processes"`
	Machine       Machine   `json:"machine"`
}

// String returns the result as one line.
func (r ConfigResult) String() string {
	return fmt.Sprintf("%d texts accepted, %d races lost, in force at all %d processes: p50 %.0f ms p99 %.0f max %.0f (bar %d met %t), not everywhere %d, went back %d, load %s",
		r.Accepted, r.Races, r.Processes, r.InForce.P50, r.InForce.P99, r.InForce.Max, inForceTarget.Milliseconds(),
		r.NotEverywhere == 0 && r.InForce.Max < float64(inForceTarget.Milliseconds()), r.NotEverywhere, r.WentBack, r.Machine.Load)
}

// revisionSample is the revision that a process had at a time.
type revisionSample struct {
	process  int
	revision uint64
	at       time.Time
}

// Configure lets operators apply configurations concurrently at two routers and polls
// the revision of every process.
func Configure(ctx context.Context, bin string, texts int, progress io.Writer) (ConfigResult, error) {
	var inProcess []*inProcessEngine
	for range configEngines {
		e, err := startInProcessEngine(standin.EngineOptions{StepBase: 10 * time.Millisecond, Capacity: inProcessCapacity})
		if err != nil {
			return ConfigResult{}, err
		}
		defer func() { _ = e.server.Close() }()
		inProcess = append(inProcess, e)
	}
	s, err := startSite(ctx, siteOptions{bin: bin, engines: configEngines, routers: configRouters, inProcess: inProcess, recovery: text.DefaultRecovery()})
	if err != nil {
		return ConfigResult{}, err
	}
	defer s.stop()
	watching, stop := context.WithCancel(ctx)
	samples := make(chan []revisionSample, 1)
	go func() { samples <- s.watchRevisions(watching) }()
	accepted, races := s.applyConcurrently(ctx, texts)
	time.Sleep(watchAfterLastApply)
	stop()
	result := summarizeConfig(accepted, <-samples, configEngines+configRouters)
	result.Races, result.Machine = races, machine()
	fmt.Fprintln(progress, result)
	return result, nil
}

// applyConcurrently lets operators apply configurations concurrently. They differ in
// retainMillis, so that no two are equal. It returns the time at which each accepted
// revision was accepted, and the number of failed attempts.
func (s *site) applyConcurrently(ctx context.Context, texts int) (accepted map[uint64]time.Time, races int) {
	accepted = map[uint64]time.Time{}
	var mu sync.Mutex
	var wait sync.WaitGroup
	for operator := range operators {
		commands, queries := s.commands(operator%configRouters), s.queries(operator%configRouters)
		wait.Go(func() {
			for i := range texts {
				current, err := queries.Get(ctx, &adminpb.GetRequest{})
				if err != nil {
					continue
				}
				raw := bytes.Replace(s.configuration, []byte(`"retainMillis": 60000`), fmt.Appendf(nil, `"retainMillis": %d`, 60_000+operator*1000+i), 1)
				resp, err := commands.Apply(ctx, &adminpb.ApplyRequest{Base: current.GetRevision().GetRevision(), Text: raw, Who: fmt.Sprint(operator), Note: "race"})
				mu.Lock()
				if err == nil && resp.GetRevision() > 0 {
					accepted[resp.GetRevision()] = time.Now()
				} else {
					races++
				}
				mu.Unlock()
				time.Sleep(applyInterval)
			}
		})
	}
	wait.Wait()
	return accepted, races
}

// watchRevisions polls the revision of every process until ctx ends.
func (s *site) watchRevisions(ctx context.Context) []revisionSample {
	processes := append([]*process(nil), s.routers...)
	for _, b := range s.backends {
		processes = append(processes, b.sidecar)
	}
	var mu sync.Mutex
	var out []revisionSample
	var wait sync.WaitGroup
	for i, p := range processes {
		wait.Go(func() {
			for ctx.Err() == nil {
				var version inspect.Version
				if readJSON("http://"+p.address["peers"]+inspect.PathVersion, &version) == nil {
					mu.Lock()
					out = append(out, revisionSample{process: i, revision: uint64(version.Revision), at: time.Now()})
					mu.Unlock()
				}
				time.Sleep(revisionPoll)
			}
		})
	}
	wait.Wait()
	return out
}

// summarizeConfig determines when every process had each accepted revision or a later
// one. The samples of each process must be in order of time.
func summarizeConfig(accepted map[uint64]time.Time, samples []revisionSample, processes int) ConfigResult {
	out := ConfigResult{Accepted: len(accepted), Processes: processes}
	last := make([]uint64, processes)
	for _, s := range samples {
		if s.revision < last[s.process] {
			out.WentBack++
		}
		last[s.process] = max(last[s.process], s.revision)
	}
	var durations []time.Duration
	for revision, at := range accepted {
		first := make([]time.Time, processes)
		for _, s := range samples {
			if s.revision >= revision && first[s.process].IsZero() {
				first[s.process] = s.at
			}
		}
		everywhere := at
		notEverywhere := false
		for _, t := range first {
			notEverywhere = notEverywhere || t.IsZero()
			if t.After(everywhere) {
				everywhere = t
			}
		}
		if notEverywhere {
			out.NotEverywhere++
			continue
		}
		durations = append(durations, everywhere.Sub(at))
	}
	out.InForce = quantilesOf(durations)
	return out
}
