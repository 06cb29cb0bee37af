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
	// inForceBar is how long a text may take until it is in force everywhere.
	inForceBar    = 4 * time.Second
	configRouters = 2
	configEngines = 40
	operators     = 3
	watchInterval = 50 * time.Millisecond // of each process's revision
	configTail    = 6 * time.Second
)

// ConfigResult is how texts came in force while operators raced.
type ConfigResult struct {
	Accepted  int       `json:"accepted"`
	Races     int       `json:"races"`
	InForce   Quantiles `json:"in_force_everywhere"` // from the answer that accepted it
	Unseen    int       `json:"not_in_force_everywhere"`
	WentBack  int       `json:"processes_that_went_back"`
	Processes int       `json:"processes"`
	Machine   Machine   `json:"machine"`
}

// String returns the result as one line of the report.
func (r ConfigResult) String() string {
	return fmt.Sprintf("%d texts accepted, %d races lost, in force at all %d processes: p50 %.0f ms p99 %.0f max %.0f (bar %d met %t), not everywhere %d, went back %d, load %s",
		r.Accepted, r.Races, r.Processes, r.InForce.P50, r.InForce.P99, r.InForce.Max, inForceBar.Milliseconds(),
		r.Unseen == 0 && r.InForce.Max < float64(inForceBar.Milliseconds()), r.Unseen, r.WentBack, r.Machine.Load)
}

// sighting is a revision that a process had at a time.
type sighting struct {
	process  int
	revision uint64
	at       time.Time
}

// Configure lets operators race for a while at two routers and watches the
// revision of every process.
func Configure(ctx context.Context, bin string, texts int, progress io.Writer) (ConfigResult, error) {
	var own []*ownEngine
	for range configEngines {
		e, err := startOwnEngine(standin.EngineOptions{StepBase: 10 * time.Millisecond, Capacity: ownCapacity})
		if err != nil {
			return ConfigResult{}, err
		}
		defer func() { _ = e.server.Close() }()
		own = append(own, e)
	}
	s, err := startSite(ctx, siteOptions{bin: bin, engines: configEngines, routers: configRouters, own: own, recovery: text.DefaultRecovery()})
	if err != nil {
		return ConfigResult{}, err
	}
	defer s.stop()
	watching, stop := context.WithCancel(ctx)
	seen := make(chan []sighting, 1)
	go func() { seen <- s.watchRevisions(watching) }()
	accepted, races := s.race(ctx, texts)
	time.Sleep(configTail)
	stop()
	result := configFigures(accepted, <-seen, configEngines+configRouters)
	result.Races, result.Machine = races, machine()
	fmt.Fprintln(progress, result)
	return result, nil
}

// race lets operators apply texts at once and returns when which was accepted.
func (s *site) race(ctx context.Context, texts int) (accepted map[uint64]time.Time, races int) {
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
				raw := bytes.Replace(s.raw, []byte(`"retainMillis": 60000`), fmt.Appendf(nil, `"retainMillis": %d`, 60_000+operator*1000+i), 1)
				resp, err := commands.Apply(ctx, &adminpb.ApplyRequest{Base: current.GetRevision().GetRevision(), Text: raw, Who: fmt.Sprint(operator), Note: "race"})
				mu.Lock()
				if err == nil && resp.GetRevision() > 0 {
					accepted[resp.GetRevision()] = time.Now()
				} else {
					races++
				}
				mu.Unlock()
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	wait.Wait()
	return accepted, races
}

func (s *site) watchRevisions(ctx context.Context) []sighting {
	processes := append([]*process(nil), s.routers...)
	for _, b := range s.backends {
		processes = append(processes, b.sidecar)
	}
	var mu sync.Mutex
	var out []sighting
	var wait sync.WaitGroup
	for i, p := range processes {
		wait.Go(func() {
			for ctx.Err() == nil {
				var version inspect.Version
				if readJSON("http://"+p.address["peers"]+inspect.PathVersion, &version) == nil {
					mu.Lock()
					out = append(out, sighting{process: i, revision: uint64(version.Revision), at: time.Now()})
					mu.Unlock()
				}
				time.Sleep(watchInterval)
			}
		})
	}
	wait.Wait()
	return out
}

// configFigures tells from sightings, each process's in order of time, when
// every process had each accepted revision or a later one.
func configFigures(accepted map[uint64]time.Time, seen []sighting, processes int) ConfigResult {
	out := ConfigResult{Accepted: len(accepted), Processes: processes}
	last := make([]uint64, processes)
	for _, s := range seen {
		if s.revision < last[s.process] {
			out.WentBack++
		}
		last[s.process] = max(last[s.process], s.revision)
	}
	var took []time.Duration
	for revision, at := range accepted {
		first := make([]time.Time, processes)
		for _, s := range seen {
			if s.revision >= revision && first[s.process].IsZero() {
				first[s.process] = s.at
			}
		}
		everywhere := at
		missing := false
		for _, t := range first {
			missing = missing || t.IsZero()
			if t.After(everywhere) {
				everywhere = t
			}
		}
		if missing {
			out.Unseen++
			continue
		}
		took = append(took, everywhere.Sub(at))
	}
	out.InForce = quantilesOf(took)
	return out
}
