package measure

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pearyard/pearyard/text"
)

// IdleResult is what control costs a sidecar of a site without requests.
type IdleResult struct {
	Processes int     `json:"processes"`
	Bytes     Spread  `json:"bytes_per_second"` // through one sidecar's peer listener, both ways, HTTP included
	Core      Spread  `json:"core_percent"`
	Memory    Spread  `json:"megabytes"`
	Router    float64 `json:"router_core_percent"`
	Machine   Machine `json:"machine"`
}

// String returns the result as one line of the report.
func (r IdleResult) String() string {
	return fmt.Sprintf("idle, %d processes: a sidecar %.0f B/s [%.0f..%.0f], %.2f%% of a core [%.2f..%.2f], %.0f MB; a router %.2f%% of a core, load %s",
		r.Processes, r.Bytes.Median, r.Bytes.Least, r.Bytes.Most, r.Core.Median, r.Core.Least, r.Core.Most, r.Memory.Median, r.Router, r.Machine.Load)
}

const (
	idleSettle = 5 * time.Second
	idleTime   = 20 * time.Second
)

// Idle measures a site of some engines and two routers without requests.
func Idle(ctx context.Context, bin string, engines int, progress io.Writer) (IdleResult, error) {
	opts := siteOptions{bin: bin, engines: engines, routers: 2, relays: true, times: DefaultResume().Times, recovery: text.DefaultRecovery()}
	s, err := startSite(ctx, opts)
	if err != nil {
		return IdleResult{}, err
	}
	defer s.stop()
	time.Sleep(idleSettle)
	before := s.idleCounts()
	time.Sleep(idleTime)
	after := s.idleCounts()
	var bytes, core, memory []float64
	for i := range s.backends {
		bytes = append(bytes, float64(after[i].passed-before[i].passed)/idleTime.Seconds())
		core = append(core, 100*(after[i].cpu-before[i].cpu).Seconds()/idleTime.Seconds())
		memory = append(memory, float64(after[i].rss)/(1<<20))
	}
	last := len(s.backends)
	result := IdleResult{Processes: engines + 2, Bytes: spreadOf(bytes), Core: spreadOf(core), Memory: spreadOf(memory),
		Router: 100 * (after[last].cpu - before[last].cpu).Seconds() / idleTime.Seconds(), Machine: machine()}
	fmt.Fprintln(progress, result)
	return result, nil
}

// idleCount is what one process has used and what passed its relay.
type idleCount struct {
	usage
	passed int64
}

// idleCounts lists the sidecars and, last, the first router.
func (s *site) idleCounts() []idleCount {
	var out []idleCount
	for _, b := range s.backends {
		out = append(out, idleCount{usage: usageOf(b.sidecar), passed: b.relay.passed.Load()})
	}
	return append(out, idleCount{usage: usageOf(s.routers[0])})
}
